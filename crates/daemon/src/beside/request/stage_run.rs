//! One pipeline request at one stage: its place in the route, and what it keeps.

use sorrellock_core::id::{Position, StageIndex, TokenId};
use sorrellock_core::request::{Hop, StageSession, Step, TokenOut};
use sorrellock_platform::api::{EngineStep, Sampled, SessionId};
use sorrellock_wire::message::Open;

/// One pipeline request at one stage.
#[derive(Debug)]
pub struct StageRun {
    /// Attempt, positions and kept output.
    pub session: StageSession,
    /// Name of the KV cache in the engine.
    pub engine_session: SessionId,
    open: Open,
    chosen: Vec<TokenOut>,
}

impl StageRun {
    /// A run that starts from nothing and keeps at most `budget` bytes.
    pub fn new(open: Open, budget: usize) -> StageRun {
        let engine_session = engine_session(&open);
        let session = StageSession::new(open.attempt, budget);
        StageRun { session, engine_session, open, chosen: Vec::new() }
    }

    /// Goes on under a higher attempt and perhaps another route.
    pub fn raise(&mut self, open: Open) {
        self.session.raise(open.attempt);
        self.open = open;
    }

    /// The message that began the attempt in force.
    pub fn open(&self) -> &Open {
        &self.open
    }

    /// This stage's place in the route.
    pub fn hop(&self) -> &Hop {
        &self.open.route.hops[usize::from(self.open.stage)]
    }

    /// The stage after this one, unless this is the last.
    pub fn next_hop(&self) -> Option<&Hop> {
        self.open.route.hops.get(usize::from(self.open.stage) + 1)
    }

    /// The first stage of the route.
    pub fn first_hop(&self) -> &Hop {
        &self.open.route.hops[0]
    }

    /// Whether this is the last stage.
    pub fn is_last(&self) -> bool {
        self.open.stage == self.open.route.last()
    }

    /// The [`Open`] for the next stage, unless this is the last.
    pub fn open_for_next(&self) -> Option<Open> {
        self.next_hop()?;
        Some(Open { stage: self.open.stage + 1, ..self.open.clone() })
    }

    /// Whether the next stage starts from nothing while this one doesn't.
    pub fn must_replay(&self) -> bool {
        let fresh = |stage: StageIndex| self.open.fresh.get(usize::from(stage)) == Some(&true);
        !fresh(self.open.stage) && fresh(self.open.stage + 1)
    }

    /// The indices of the stages whose daemons `matches` picks, other than this one.
    pub fn stages_at(&self, matches: impl Fn(&Hop) -> bool) -> Vec<StageIndex> {
        let others = self.open.route.hops.iter().enumerate();
        let others = others.map(|(index, hop)| (index as StageIndex, hop));
        others
            .filter(|(index, hop)| *index != self.open.stage && matches(hop))
            .map(|(i, _)| i)
            .collect()
    }

    /// The step as the engine takes it.
    pub fn engine_step(&self, step: &Step) -> EngineStep {
        EngineStep {
            session: self.engine_session.clone(),
            first: step.first,
            tokens: step.tokens.clone(),
            activations: step.activations.clone(),
            layers: self.hop().layers,
            sample: self.is_last(),
            priority: self.open.priority,
        }
    }

    /// Whether the token at `position` differs from the one that this last stage chose for it.
    pub fn diverges(&self, position: Position, token: TokenId) -> bool {
        let chosen = self.chosen.iter().rev().find(|out| out.position + 1 == position);
        chosen.is_some_and(|out| out.token != token)
    }

    /// Notes a token that was chosen after `position`.
    pub fn choose(&mut self, position: Position, sampled: Sampled) -> TokenOut {
        let out = TokenOut {
            request: self.open.request,
            attempt: self.open.attempt,
            position,
            token: sampled.token,
            text: sampled.text,
            end_of_text: sampled.end_of_text,
        };
        self.chosen.push(out.clone());
        out
    }

    /// The tokens chosen after `position` or later, under the attempt in force.
    pub fn chosen_from(&self, position: Position) -> Vec<TokenOut> {
        let later = self.chosen.iter().filter(|out| out.position >= position);
        later.map(|out| TokenOut { attempt: self.open.attempt, ..out.clone() }).collect()
    }

    /// Whether the answer is complete with this token.
    pub fn is_final(&self, out: &TokenOut) -> bool {
        out.end_of_text || out.position + 2 >= self.open.prompt_len + self.open.max_tokens
    }
}

/// A request that starts over in an engine takes a new KV cache there: the attempt is part of the name.
fn engine_session(open: &Open) -> SessionId {
    format!("{}-{}-{}", open.request, open.attempt, open.stage)
}
