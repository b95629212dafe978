//! The entry's state of a pipeline request: everything needed to rebuild the request on other stages.

use crate::id::{Attempt, Position, StageIndex, TokenId};
use crate::request::{
    Cut, HandoverFrom, Hop, Open, Outgoing, Peer, PipelineMessage, RequestKey, Route, Step,
    TokenOut,
};

/// How the driver handles a received token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriverVerdict {
    /// The next token of the answer; it goes to the caller.
    Emit,
    /// The next and last token of the answer.
    EmitLast,
    /// A token of a position that was already emitted.
    Repeated,
    /// A token of an abandoned attempt.
    Stale,
    /// Earlier tokens are missing; see [`Driver::ask_missing`].
    Gap,
}

/// Parameters of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriverConfig {
    /// The request.
    pub request: RequestKey,
    /// The entry that drives it.
    pub entry: Peer,
    /// At least one token.
    pub prompt: Vec<TokenId>,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Priority at the engines; higher values run first.
    pub priority: u8,
    /// Maximum number of consecutive attempts without a token.
    pub max_attempts: u32,
}

/// Drives one request; holds the prompt, the tokens so far, the attempt and the route.
#[derive(Clone, Debug)]
pub struct Driver {
    pub(super) cfg: DriverConfig,
    pub(super) attempt: Attempt,
    pub(super) route: Route,
    /// For each stage, the attempt in which it started.
    pub(super) since: Vec<Attempt>,
    pub(super) handover: Vec<Option<HandoverFrom>>,
    pub(super) cuts: Vec<Cut>,
    /// Stages of abandoned routes.
    pub(super) dropped_hops: Vec<Hop>,
    /// Stages that hand their KV cache over. Their replacement closes them after the handover, and
    /// [`Driver::close`] closes them too.
    pub(super) leaving: Vec<Hop>,
    /// Stages that failed this request.
    pub(super) avoid: Vec<Hop>,
    pub(super) attempts_without_token: u32,
    pub(super) tokens: Vec<TokenId>,
    prompt_len: usize,
    finished: bool,
}

impl Driver {
    /// Creates a driver at attempt 1.
    pub fn new(mut cfg: DriverConfig, route: Route) -> Driver {
        let stages = route.hops.len();
        let tokens = std::mem::take(&mut cfg.prompt);
        Driver {
            cfg,
            attempt: 1,
            route,
            since: vec![1; stages],
            handover: vec![None; stages],
            cuts: Vec::new(),
            dropped_hops: Vec::new(),
            leaving: Vec::new(),
            avoid: Vec::new(),
            attempts_without_token: 0,
            prompt_len: tokens.len(),
            tokens,
            finished: false,
        }
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the current route.
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// Returns the number of answer tokens emitted so far.
    pub fn emitted(&self) -> u32 {
        (self.tokens.len() - self.prompt_len) as u32
    }

    /// Returns the prompt and the tokens so far.
    pub fn tokens(&self) -> &[TokenId] {
        &self.tokens
    }

    /// Returns whether the complete answer was emitted or the request was closed.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Opens the current attempt at the first stage and sends it the positions to run: all of them if
    /// it starts without state, otherwise only the last token, in case that one was lost.
    pub fn open(&self) -> Vec<Outgoing> {
        let whole = self.since[0] == self.attempt && self.handover[0].is_none();
        let from = if whole { 0 } else { self.have() - 1 };
        vec![self.to_first(PipelineMessage::Open(self.open_message())), self.step_from(from)]
    }

    /// Reopens the current attempt and resends the last token. Each stage forwards both, so that a
    /// stage that missed a message requests it again.
    pub fn nudge(&self) -> Vec<Outgoing> {
        let open = self.to_first(PipelineMessage::Open(self.open_message()));
        vec![open, self.step_from(self.have() - 1)]
    }

    /// Returns a progress probe for each stage.
    pub fn probes(&self) -> Vec<Outgoing> {
        let probe = PipelineMessage::Probe { request: self.cfg.request, attempt: self.attempt };
        let hops = self.route.hops.iter();
        hops.map(|hop| Outgoing { to: hop.daemon, message: probe.clone() }).collect()
    }

    /// Handles a token from the last stage.
    pub fn on_token(&mut self, out: &TokenOut) -> DriverVerdict {
        if out.attempt != self.attempt || out.request != self.cfg.request {
            return DriverVerdict::Stale;
        }
        let next = self.have() - 1;
        if out.position < next || self.finished {
            return DriverVerdict::Repeated;
        }
        if out.position > next {
            return DriverVerdict::Gap;
        }
        self.tokens.push(out.token);
        self.attempts_without_token = 0;
        self.finished = out.end_of_text || self.emitted() >= self.cfg.max_tokens;
        if self.finished { DriverVerdict::EmitLast } else { DriverVerdict::Emit }
    }

    /// Requests the missing tokens from the last stage, starting with the next one.
    pub fn ask_missing(&self) -> Outgoing {
        let from = self.have() - 1;
        let stage: StageIndex = self.route.last();
        let (request, attempt) = (self.cfg.request, self.attempt);
        let message = PipelineMessage::Resend { request, attempt, stage, from };
        Outgoing { to: self.route.hops[usize::from(stage)].daemon, message }
    }

    /// Handles a resend request of the first stage, which misses positions.
    pub fn on_resend(&self, attempt: Attempt, from: Position) -> Option<Outgoing> {
        let wanted = attempt == self.attempt && from < self.have() && !self.finished;
        wanted.then(|| self.step_from(from))
    }

    /// Closes the request at all stages. Later messages have no effect: an attempt started after the
    /// close would allocate KV caches that are never closed.
    pub fn close(&mut self) -> Vec<Outgoing> {
        self.finished = true;
        let leaving = &self.leaving;
        let hops = self.route.hops.iter().chain(&self.dropped_hops).chain(leaving);
        hops.map(|hop| self.close_hop(hop, self.attempt)).collect()
    }

    /// Returns the number of tokens that the entry holds, prompt included.
    pub(super) fn have(&self) -> Position {
        self.tokens.len() as Position
    }

    pub(super) fn close_hop(&self, hop: &Hop, attempt: Attempt) -> Outgoing {
        let (request, endpoint) = (self.cfg.request, hop.endpoint.clone());
        let message = PipelineMessage::Close { request, endpoint, attempt };
        Outgoing { to: hop.daemon, message }
    }

    fn open_message(&self) -> Open {
        Open {
            request: self.cfg.request,
            attempt: self.attempt,
            entry: self.cfg.entry,
            route: self.route.clone(),
            stage: 0,
            since: self.since.clone(),
            handover: self.handover.clone(),
            cuts: self.cuts.clone(),
            have: self.have(),
            prompt_len: self.prompt_len as Position,
            max_tokens: self.cfg.max_tokens,
            priority: self.cfg.priority,
        }
    }

    fn step_from(&self, first: Position) -> Outgoing {
        let step = Step {
            request: self.cfg.request,
            attempt: self.attempt,
            stage: 0,
            first,
            tokens: self.tokens[first as usize..].to_vec(),
            activations: Default::default(),
        };
        self.to_first(PipelineMessage::Step(step))
    }

    fn to_first(&self, message: PipelineMessage) -> Outgoing {
        Outgoing { to: self.route.hops[0].daemon, message }
    }
}
