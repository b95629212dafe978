//! State of one pipeline request at one stage: its position in the route and the tokens it chose.

use crate::id::{Attempt, Position, StageIndex, TokenId};
use crate::request::{
    Handover, Hop, KeptBudget, LayerRange, Open, Outgoing, Peer, PipelineMessage, StageSession,
    StageTrouble, Step, TokenOut,
};
use std::sync::Arc;
use std::time::Instant;

/// A token that an engine chose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Chosen {
    /// The token.
    pub token: TokenId,
    /// Its text.
    pub text: String,
    /// Whether the model ended its output with this token.
    pub end_of_text: bool,
}

/// Whether a stage can run its request, and if not, why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// Steps can run.
    Live,
    /// Waits for the KV cache of the stage that it replaces.
    AwaitingKv,
    /// The engine is importing that KV cache.
    Importing,
    /// Its KV cache goes to another stage as soon as the engine runs no step of it.
    HandingOver { to: Peer, attempt: Attempt },
    /// Its KV cache was handed over to another stage.
    HandedOver { to: Peer, attempt: Attempt },
    /// The contents of its KV cache are unknown.
    Lost,
}

/// Work of one request for the engine to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWork {
    /// Name of the KV cache at the engine.
    pub session: String,
    /// If set, the KV cache must be truncated to the positions below this one first.
    pub truncate: Option<Position>,
    /// The step to run.
    pub step: Step,
    /// The layers to run.
    pub layers: LayerRange,
    /// Whether to choose a token for the last position.
    pub sample: bool,
    /// Priority; higher values run first.
    pub priority: u8,
}

/// State of one pipeline request at one stage.
#[derive(Debug)]
pub(super) struct StageRun {
    pub(super) open: Open,
    pub(super) session: StageSession,
    pub(super) engine_session: String,
    pub(super) state: RunState,
    /// Whether it is in the engine's queue.
    pub(super) queued: bool,
    pub(super) last_contact: Instant,
    /// Number of times that the KV cache was requested from the leaving stage, or found to be still importing.
    pub(super) handover_requests: u32,
    pub(super) since: Attempt,
    /// A last stage samples no token below this position, since the entry already holds those tokens.
    min_sample_position: Position,
    chosen: Vec<TokenOut>,
}

impl StageRun {
    /// Creates a run that starts without state, or waits for a handover.
    pub(super) fn new(open: Open, budget: Arc<KeptBudget>, now: Instant) -> StageRun {
        let since = open.since(open.stage);
        let awaits = open.handed_by().is_some();
        StageRun {
            session: StageSession::new(open.attempt, budget),
            engine_session: engine_session(&open),
            state: if awaits { RunState::AwaitingKv } else { RunState::Live },
            queued: false,
            last_contact: now,
            handover_requests: 0,
            since,
            min_sample_position: open.have,
            chosen: Vec::new(),
            open,
        }
    }

    /// Returns whether `open` continues with the state of this run.
    pub(super) fn continues(&self, open: &Open) -> bool {
        let same_hop = open.route.hops.get(usize::from(open.stage)) == Some(self.hop());
        same_hop && open.since(open.stage) == self.since
    }

    /// Moves to a higher attempt, whose route may differ.
    pub(super) fn raise(&mut self, open: Open) {
        let cut = open.cut_after(self.open.attempt);
        self.session.raise(open.attempt, cut);
        self.open = open;
    }

    pub(super) fn attempt(&self) -> Attempt {
        self.open.attempt
    }

    /// Addresses an output to the next stage.
    pub(super) fn outgoing(&self, output: Step) -> Step {
        Step { attempt: self.open.attempt, stage: self.open.stage + 1, ..output }
    }

    pub(super) fn hop(&self) -> &Hop {
        &self.open.route.hops[usize::from(self.open.stage)]
    }

    pub(super) fn next_hop(&self) -> Option<&Hop> {
        self.open.route.hops.get(usize::from(self.open.stage) + 1)
    }

    pub(super) fn is_last(&self) -> bool {
        self.open.stage == self.open.route.last()
    }

    /// Returns the sender of this stage's steps: the previous stage, or the entry.
    pub(super) fn previous_peer(&self) -> Peer {
        match usize::from(self.open.stage) {
            0 => self.open.entry,
            stage => self.open.route.hops[stage - 1].daemon,
        }
    }

    /// Returns the [`Open`] for the next stage, unless this is the last one.
    pub(super) fn open_for_next(&self) -> Option<Outgoing> {
        let to = self.next_hop()?.daemon;
        let open = Open { stage: self.open.stage + 1, ..self.open.clone() };
        Some(Outgoing { to, message: PipelineMessage::Open(open) })
    }

    /// Returns whether the next stage starts without state in the current attempt.
    pub(super) fn next_is_fresh(&self) -> bool {
        let next = self.open.stage + 1;
        let handed = self.open.handover.get(usize::from(next)).is_some_and(Option::is_some);
        next <= self.open.route.last() && self.open.since(next) == self.open.attempt && !handed
    }

    /// Returns the indices of the other stages whose hop satisfies `matches`.
    pub(super) fn stages_at(&self, matches: impl Fn(&Hop) -> bool) -> Vec<StageIndex> {
        let hops = self.open.route.hops.iter().enumerate();
        let others = hops.filter(|(index, _)| *index != usize::from(self.open.stage));
        others.filter(|(_, hop)| matches(hop)).map(|(index, _)| index as StageIndex).collect()
    }

    /// Takes the waiting step and returns it as work for the engine.
    pub(super) fn start(&mut self) -> Option<EngineWork> {
        if self.state != RunState::Live {
            return None;
        }
        let turn = self.session.start()?;
        Some(EngineWork {
            session: self.engine_session.clone(),
            truncate: turn.truncate,
            sample: self.is_last() && turn.step.end() >= self.min_sample_position,
            step: turn.step,
            layers: self.hop().layers,
            priority: self.open.priority,
        })
    }

    /// Returns whether a token in `step` differs from the one that this last stage chose for its position.
    pub(super) fn differs_from_chosen(&self, step: &Step) -> bool {
        let differs = |out: &&TokenOut| {
            let at = out.position + 1;
            at >= step.first
                && at < step.end()
                && step.tokens[(at - step.first) as usize] != out.token
        };
        self.chosen
            .iter()
            .rev()
            .take_while(|out| out.position + 1 >= step.first)
            .any(|o| differs(&o))
    }

    /// Records a token that was chosen as the output of `position`.
    pub(super) fn choose(&mut self, position: Position, chosen: Chosen) -> TokenOut {
        let out = TokenOut {
            request: self.open.request,
            attempt: self.open.attempt,
            position,
            token: chosen.token,
            text: chosen.text,
            end_of_text: chosen.end_of_text,
        };
        self.chosen.push(out.clone());
        out
    }

    /// Returns the tokens chosen at `position` and above, marked with the current attempt.
    pub(super) fn chosen_from(&self, position: Position) -> Vec<TokenOut> {
        let later = self.chosen.iter().filter(|out| out.position >= position);
        later.map(|out| TokenOut { attempt: self.open.attempt, ..out.clone() }).collect()
    }

    /// Returns the step that feeds a chosen token to the first stage, unless the token completes the answer.
    pub(super) fn feedback(&self, out: &TokenOut) -> Option<Outgoing> {
        if out.end_of_text || out.position + 2 >= self.open.prompt_len + self.open.max_tokens {
            return None;
        }
        let step = Step {
            request: out.request,
            attempt: self.open.attempt,
            stage: 0,
            first: out.position + 1,
            tokens: vec![out.token],
            activations: Default::default(),
        };
        let to = self.open.route.hops[0].daemon;
        Some(Outgoing { to, message: PipelineMessage::Step(step) })
    }

    /// Returns the state to hand over together with the KV cache `kv`.
    pub(super) fn handover(&self, kv: Vec<u8>) -> Handover {
        Handover {
            attempt: self.open.attempt,
            positions: self.session.done(),
            kv,
            kept: self.session.kept().steps(),
            chosen: self.chosen.clone(),
        }
    }

    /// Continues from the state that another stage handed over.
    pub(super) fn take_over(&mut self, handover: Handover) {
        self.session.take_over(handover.positions, handover.kept);
        self.session.raise(self.open.attempt, self.open.cut_after(handover.attempt));
        self.chosen = handover.chosen;
        self.state = RunState::Live;
    }

    pub(super) fn trouble(&self, stage: StageIndex, trouble: StageTrouble, why: &str) -> Outgoing {
        trouble_message(&self.open, stage, trouble, why)
    }
}

/// Builds the message that reports a trouble to the entry.
pub(super) fn trouble_message(
    open: &Open,
    stage: StageIndex,
    trouble: StageTrouble,
    why: &str,
) -> Outgoing {
    let (request, attempt) = (open.request, open.attempt);
    let reporter = &open.route.hops[usize::from(open.stage)].endpoint;
    let detail = format!("stage {stage}: {why} (told by {reporter})");
    let message = PipelineMessage::Trouble { request, attempt, stage, trouble, detail };
    Outgoing { to: open.entry, message }
}

/// Returns the name of the KV cache at the engine. The attempt is part of the name, since a request that
/// starts over at an engine takes a new KV cache there.
fn engine_session(open: &Open) -> String {
    format!("{}-{}-{}", open.request, open.attempt, open.stage)
}
