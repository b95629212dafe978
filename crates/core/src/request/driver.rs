//! The entry's part of a pipeline request: it holds all that is needed to rebuild it.

use crate::id::{Attempt, Position, TokenId};
use crate::request::{RequestKey, Route, Step, TokenOut};

/// What the driver does with a token that arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DriverVerdict {
    /// The next token of the answer: hand it to the caller.
    Emit,
    /// The next and last token of the answer.
    EmitLast,
    /// It was emitted before.
    Repeated,
    /// It belongs to an attempt that was given up.
    Stale,
    /// Tokens before it are missing.
    Gap,
}

/// Drives one request: prompt, tokens so far, attempt and route.
#[derive(Clone, Debug)]
pub struct Driver {
    request: RequestKey,
    attempt: Attempt,
    route: Route,
    tokens: Vec<TokenId>,
    prompt_len: usize,
    max_tokens: u32,
    finished: bool,
}

impl Driver {
    /// A driver at its first attempt. The prompt holds at least one token.
    pub fn new(request: RequestKey, route: Route, prompt: Vec<TokenId>, max_tokens: u32) -> Driver {
        let prompt_len = prompt.len();
        Driver {
            request,
            attempt: 1,
            route,
            tokens: prompt,
            prompt_len,
            max_tokens,
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

    /// Whether the whole answer was emitted.
    pub fn finished(&self) -> bool {
        self.finished
    }

    /// The whole sequence so far as a step for the first stage.
    pub fn prefill(&self) -> Step {
        Step {
            request: self.request,
            attempt: self.attempt,
            first: 0,
            tokens: self.tokens.clone(),
            activations: Default::default(),
        }
    }

    /// Takes a token from the last stage.
    pub fn on_token(&mut self, out: &TokenOut) -> DriverVerdict {
        if out.attempt != self.attempt || out.request != self.request {
            return DriverVerdict::Stale;
        }
        let next = self.tokens.len() as Position - 1;
        if out.position < next || self.finished {
            return DriverVerdict::Repeated;
        }
        if out.position > next {
            return DriverVerdict::Gap;
        }
        self.tokens.push(out.token);
        self.finished = out.end_of_text || self.emitted() >= self.max_tokens;
        if self.finished { DriverVerdict::EmitLast } else { DriverVerdict::Emit }
    }

    /// Takes another route under the next attempt.
    pub fn reroute(&mut self, route: Route) -> Attempt {
        self.attempt += 1;
        self.route = route;
        self.attempt
    }
}
