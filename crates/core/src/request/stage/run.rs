//! One pipeline request at one stage: its place in the route, and the tokens it chose.

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
    /// Whether the answer ends with it.
    pub end_of_text: bool,
}

/// Whether a stage can run its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// It can.
    Live,
    /// It waits for the KV cache of the stage whose place it takes.
    AwaitingKv,
    /// The engine puts that KV cache in place.
    Importing,
    /// Its KV cache goes to another stage once the engine has nothing of it in hand.
    HandingOver { to: Peer, attempt: Attempt },
    /// Its KV cache went to another stage.
    HandedOver { to: Peer, attempt: Attempt },
    /// What its KV cache holds is not known.
    Lost,
}

/// Work of one request for the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineWork {
    /// Names the KV cache.
    pub session: String,
    /// Cut the KV cache back to the positions below this one first.
    pub truncate: Option<Position>,
    /// What to run.
    pub step: Step,
    /// The layers to run.
    pub layers: LayerRange,
    /// Whether to choose a token for the last position.
    pub sample: bool,
    /// Higher goes first.
    pub priority: u8,
}

/// One pipeline request at one stage.
#[derive(Debug)]
pub(super) struct StageRun {
    pub(super) open: Open,
    pub(super) session: StageSession,
    pub(super) engine_session: String,
    pub(super) state: RunState,
    /// Whether it is on the engine's waiting list.
    pub(super) queued: bool,
    pub(super) touched: Instant,
    /// How often the leaving stage was asked for its KV cache.
    pub(super) asked: u32,
    pub(super) since: Attempt,
    /// A last stage chooses no token below this position: the entry had them before.
    floor: Position,
    chosen: Vec<TokenOut>,
}

impl StageRun {
    /// A run that starts from nothing, or from what it is handed.
    pub(super) fn new(open: Open, budget: Arc<KeptBudget>, now: Instant) -> StageRun {
        let since = open.since(open.stage);
        let awaits = open.handed_by().is_some();
        StageRun {
            session: StageSession::new(open.attempt, budget),
            engine_session: engine_session(&open),
            state: if awaits { RunState::AwaitingKv } else { RunState::Live },
            queued: false,
            touched: now,
            asked: 0,
            since,
            floor: open.have,
            chosen: Vec::new(),
            open,
        }
    }

    /// Whether `open` goes on with what this run holds.
    pub(super) fn continues(&self, open: &Open) -> bool {
        let same_hop = open.route.hops.get(usize::from(open.stage)) == Some(self.hop());
        same_hop && open.since(open.stage) == self.since
    }

    /// Goes on under a higher attempt and perhaps another route.
    pub(super) fn raise(&mut self, open: Open) {
        let cut = open.cut_after(self.open.attempt);
        self.session.raise(open.attempt, cut);
        self.open = open;
    }

    pub(super) fn attempt(&self) -> Attempt {
        self.open.attempt
    }

    /// An output as the next stage takes it.
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

    /// Who sends steps to this stage: the stage before, or the entry.
    pub(super) fn before(&self) -> Peer {
        match usize::from(self.open.stage) {
            0 => self.open.entry,
            stage => self.open.route.hops[stage - 1].daemon,
        }
    }

    /// The [`Open`] for the next stage, unless this is the last.
    pub(super) fn open_for_next(&self) -> Option<Outgoing> {
        let to = self.next_hop()?.daemon;
        let open = Open { stage: self.open.stage + 1, ..self.open.clone() };
        Some(Outgoing { to, message: PipelineMessage::Open(open) })
    }

    /// Whether the next stage starts from nothing with the attempt in force.
    pub(super) fn next_is_fresh(&self) -> bool {
        let next = self.open.stage + 1;
        let handed = self.open.handover.get(usize::from(next)).is_some_and(Option::is_some);
        next <= self.open.route.last() && self.open.since(next) == self.open.attempt && !handed
    }

    /// The indices of the stages, other than this one, whose hop `matches` picks.
    pub(super) fn stages_at(&self, matches: impl Fn(&Hop) -> bool) -> Vec<StageIndex> {
        let hops = self.open.route.hops.iter().enumerate();
        let others = hops.filter(|(index, _)| *index != usize::from(self.open.stage));
        others.filter(|(_, hop)| matches(hop)).map(|(index, _)| index as StageIndex).collect()
    }

    /// Hands what waits to the engine.
    pub(super) fn start(&mut self) -> Option<EngineWork> {
        if self.state != RunState::Live {
            return None;
        }
        let turn = self.session.start()?;
        Some(EngineWork {
            session: self.engine_session.clone(),
            truncate: turn.truncate,
            sample: self.is_last() && turn.step.end() >= self.floor,
            step: turn.step,
            layers: self.hop().layers,
            priority: self.open.priority,
        })
    }

    /// Whether a step has another token than the one that this last stage chose.
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

    /// Notes a token that was chosen after `position`.
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

    /// The tokens chosen after `position` or later, under the attempt in force.
    pub(super) fn chosen_from(&self, position: Position) -> Vec<TokenOut> {
        let later = self.chosen.iter().filter(|out| out.position >= position);
        later.map(|out| TokenOut { attempt: self.open.attempt, ..out.clone() }).collect()
    }

    /// The next step for the first stage after a token, unless the answer is complete with it.
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

    /// What is handed over with the KV cache `kv`.
    pub(super) fn handover(&self, kv: Vec<u8>) -> Handover {
        Handover {
            attempt: self.open.attempt,
            positions: self.session.done(),
            kv,
            kept: self.session.kept().steps(),
            chosen: self.chosen.clone(),
        }
    }

    /// Goes on from what another stage handed over.
    pub(super) fn take_over(&mut self, handover: Handover) {
        self.session.take_over(handover.positions, handover.kept);
        self.session.raise(self.open.attempt, self.open.cut_after(handover.attempt));
        self.chosen = handover.chosen;
        self.state = RunState::Live;
    }

    pub(super) fn trouble(&self, stage: StageIndex, trouble: StageTrouble, why: &str) -> Outgoing {
        trouble_of(&self.open, stage, trouble, why)
    }
}

/// Tells the entry of a trouble.
pub(super) fn trouble_of(
    open: &Open,
    stage: StageIndex,
    trouble: StageTrouble,
    why: &str,
) -> Outgoing {
    let (request, attempt) = (open.request, open.attempt);
    let teller = &open.route.hops[usize::from(open.stage)].endpoint;
    let detail = format!("stage {stage}: {why} (told by {teller})");
    let message = PipelineMessage::Trouble { request, attempt, stage, trouble, detail };
    Outgoing { to: open.entry, message }
}

/// A request that starts over in an engine takes a new KV cache there: the attempt is part of the name.
fn engine_session(open: &Open) -> String {
    format!("{}-{}-{}", open.request, open.attempt, open.stage)
}
