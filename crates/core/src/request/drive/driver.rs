//! The entry's part of a pipeline request: it holds all that is needed to rebuild it.

use crate::id::{Attempt, Position, StageIndex, TokenId};
use crate::request::{
    Cut, HandoverFrom, Hop, Open, Outgoing, Peer, PipelineMessage, RequestKey, Route, Step,
    TokenOut,
};

/// What the driver does with a token that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DriverVerdict {
    /// The next token of the answer: hand it to the caller.
    Emit,
    /// The next and last token of the answer.
    EmitLast,
    /// It was emitted before.
    Repeated,
    /// It belongs to an attempt that was given up.
    Stale,
    /// Tokens before it are missing: see [`Driver::ask_missing`].
    Gap,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriverConfig {
    /// The request.
    pub request: RequestKey,
    /// The entry that drives it.
    pub entry: Peer,
    /// At least one token.
    pub prompt: Vec<TokenId>,
    /// The most tokens to make.
    pub max_tokens: u32,
    /// Higher goes first at the engines.
    pub priority: u8,
    /// The most attempts in a row that bring no token.
    pub max_attempts: u32,
}

/// Drives one request: prompt, tokens so far, attempt and route.
#[derive(Clone, Debug)]
pub struct Driver {
    pub(super) cfg: DriverConfig,
    pub(super) attempt: Attempt,
    pub(super) route: Route,
    /// For each stage, the attempt with which it began.
    pub(super) since: Vec<Attempt>,
    pub(super) handover: Vec<Option<HandoverFrom>>,
    pub(super) cuts: Vec<Cut>,
    /// Stages of given up routes.
    pub(super) left: Vec<Hop>,
    /// Stages that hand over; whoever takes over closes them, and so does the end.
    pub(super) leaving: Vec<Hop>,
    /// Stages lost to this request.
    pub(super) avoid: Vec<Hop>,
    pub(super) fruitless: u32,
    pub(super) tokens: Vec<TokenId>,
    prompt_len: usize,
    finished: bool,
}

impl Driver {
    /// A driver at its first attempt.
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
            left: Vec::new(),
            leaving: Vec::new(),
            avoid: Vec::new(),
            fruitless: 0,
            prompt_len: tokens.len(),
            tokens,
            finished: false,
        }
    }

    /// The attempt in force.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// The route in force.
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// How many tokens of the answer were emitted.
    pub fn emitted(&self) -> u32 {
        (self.tokens.len() - self.prompt_len) as u32
    }

    /// Prompt and tokens so far.
    pub fn tokens(&self) -> &[TokenId] {
        &self.tokens
    }

    /// Whether the whole answer was emitted, or the request was closed.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// Opens the attempt in force at the first stage, and gives it what it must run: all if it
    /// starts from nothing, else the last token, in case that one was lost.
    pub fn open(&self) -> Vec<Outgoing> {
        let whole = self.since[0] == self.attempt && self.handover[0].is_none();
        let from = if whole { 0 } else { self.have() - 1 };
        vec![self.to_first(PipelineMessage::Open(self.open_message())), self.step_from(from)]
    }

    /// Opens the attempt in force again, and sends the last token again: each stage passes both
    /// on, so that whatever was lost on the way is asked for.
    pub fn nudge(&self) -> Vec<Outgoing> {
        let open = self.to_first(PipelineMessage::Open(self.open_message()));
        vec![open, self.step_from(self.have() - 1)]
    }

    /// Asks each stage how far it is.
    pub fn probes(&self) -> Vec<Outgoing> {
        let probe = PipelineMessage::Probe { request: self.cfg.request, attempt: self.attempt };
        let hops = self.route.hops.iter();
        hops.map(|hop| Outgoing { to: hop.daemon, message: probe.clone() }).collect()
    }

    /// Takes a token from the last stage.
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
        self.fruitless = 0;
        self.finished = out.end_of_text || self.emitted() >= self.cfg.max_tokens;
        if self.finished { DriverVerdict::EmitLast } else { DriverVerdict::Emit }
    }

    /// Asks the last stage for the tokens from the next one on.
    pub fn ask_missing(&self) -> Outgoing {
        let from = self.have() - 1;
        let stage: StageIndex = self.route.last();
        let (request, attempt) = (self.cfg.request, self.attempt);
        let message = PipelineMessage::Resend { request, attempt, stage, from };
        Outgoing { to: self.route.hops[usize::from(stage)].daemon, message }
    }

    /// The first stage misses positions.
    pub fn on_resend(&self, attempt: Attempt, from: Position) -> Option<Outgoing> {
        let wanted = attempt == self.attempt && from < self.have() && !self.finished;
        wanted.then(|| self.step_from(from))
    }

    /// Frees what all stages hold. What comes later changes nothing: an attempt begun after the
    /// close would hold KV caches that nobody closes.
    pub fn close(&mut self) -> Vec<Outgoing> {
        self.finished = true;
        let leaving = &self.leaving;
        let hops = self.route.hops.iter().chain(&self.left).chain(leaving);
        hops.map(|hop| self.close_hop(hop, self.attempt)).collect()
    }

    /// How many tokens the entry holds, prompt included.
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
