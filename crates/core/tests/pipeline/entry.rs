//! A simulated entry: a shell around drivers and stall detectors that checks every emitted token
//! against an oracle.

use super::choices::Choices;
use super::engine::{LAYERS, NaiveModel, token};
use sorrellock_core::id::TokenId;
use sorrellock_core::request::{
    Driver, DriverConfig, DriverVerdict, Hop, Outgoing, Peer, PipelineMessage, Repair, RequestKey,
    Route, RouteSource, StallAction, StallDetector, TokenOut,
};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Instant;

/// Routes chosen at random from the engines that the entry knows.
pub struct SimRoutes<'a> {
    pub known: &'a [Hop],
    pub choices: RefCell<&'a mut Choices>,
}

impl RouteSource for SimRoutes<'_> {
    fn replacement(&self, hop: &Hop, without: &[Hop]) -> Option<Hop> {
        let is_out = |known: &Hop| without.iter().any(|hop| hop.daemon.addr == known.daemon.addr);
        let fits = self.known.iter().filter(|known| known.layers == hop.layers && !is_out(known));
        let fits: Vec<&Hop> = fits.collect();
        if fits.is_empty() {
            return None;
        }
        let chosen = self.choices.borrow_mut().below(fits.len());
        Some(fits[chosen].clone())
    }

    fn route(&self, without: &[Hop]) -> Option<Route> {
        let mut hops: Vec<Hop> = Vec::new();
        while hops.last().is_none_or(|hop| hop.layers.end < LAYERS) {
            let first = hops.last().map_or(0, |hop| hop.layers.end);
            let begins = self.known.iter().find(|known| known.layers.first == first)?;
            hops.push(self.replacement(begins, without)?);
        }
        Some(Route { hops })
    }
}

/// One request at the entry.
#[derive(Debug)]
pub struct SimRequest {
    pub driver: Driver,
    stall: StallDetector,
    naive: NaiveModel,
    expected: (u64, String),
    fixed: bool,
    without_route: bool,
}

impl SimRequest {
    pub fn new(
        request: RequestKey,
        entry: Peer,
        route: Route,
        prompt: Vec<TokenId>,
        max_tokens: u32,
        fixed: bool,
        now: Instant,
    ) -> SimRequest {
        let mut naive = NaiveModel::default();
        let expected = prompt.iter().map(|token| naive.feed(*token)).last().expect("a prompt");
        let cfg = DriverConfig {
            request,
            entry,
            prompt,
            max_tokens,
            priority: 0,
            max_attempts: u32::MAX,
        };
        SimRequest {
            driver: Driver::new(cfg, route),
            stall: StallDetector::new(now),
            naive,
            expected,
            fixed,
            without_route: false,
        }
    }

    pub fn take(
        &mut self,
        message: &PipelineMessage,
        routes: &SimRoutes<'_>,
        now: Instant,
    ) -> Vec<Outgoing> {
        match message {
            PipelineMessage::Token(out) => self.on_token(out, now),
            PipelineMessage::Trouble { attempt, stage, trouble, .. } => {
                let repair = self.driver.on_trouble(*attempt, *stage, *trouble, routes);
                self.apply(repair, now)
            }
            PipelineMessage::Resend { attempt, from, .. } => {
                self.driver.on_resend(*attempt, *from).into_iter().collect()
            }
            PipelineMessage::Progress { attempt, progress, .. } => {
                if *attempt == self.driver.attempt() {
                    self.stall.on_progress(progress);
                }
                Vec::new()
            }
            _ => panic!("a message for a daemon came to the entry: {message:?}"),
        }
    }

    pub fn on_closed(
        &mut self,
        peer: SocketAddr,
        routes: &SimRoutes<'_>,
        now: Instant,
    ) -> Vec<Outgoing> {
        let repair = self.driver.on_closed(peer, routes);
        self.apply(repair, now)
    }

    pub fn check(&mut self, routes: &SimRoutes<'_>, now: Instant) -> Vec<Outgoing> {
        if self.driver.finished() {
            return Vec::new();
        }
        if self.without_route {
            let repair = self.driver.retry(routes);
            return self.apply(repair, now);
        }
        let stages = self.driver.route().hops.len() as u16;
        match self.stall.check(now, stages) {
            StallAction::Wait => Vec::new(),
            StallAction::Nudge => self.driver.nudge(),
            StallAction::Probe => self.driver.probes(),
            StallAction::Blame(stages) => {
                let repair = self.driver.on_stalled(&stages, routes);
                self.apply(repair, now)
            }
        }
    }

    /// Oracle: checks that each layer ran the next token once, in order, from the tokens so far.
    fn on_token(&mut self, out: &TokenOut, now: Instant) -> Vec<Outgoing> {
        let verdict = self.driver.on_token(out);
        match verdict {
            DriverVerdict::Gap => return vec![self.driver.ask_missing()],
            DriverVerdict::Repeated | DriverVerdict::Stale => return Vec::new(),
            DriverVerdict::Emit | DriverVerdict::EmitLast => {}
        }
        let position = self.driver.tokens().len() as u32 - 2;
        assert_eq!(out.position, position, "tokens are emitted in order");
        assert_eq!(out.text, self.expected.1, "token {position} of another lineage");
        if self.fixed {
            assert_eq!(out.token, token(self.expected.0, 0), "the naive model's token");
        }
        self.expected = self.naive.feed(out.token);
        self.stall.on_token(now);
        let mut messages = Vec::new();
        if verdict == DriverVerdict::EmitLast {
            messages.extend(self.driver.close());
        }
        messages
    }

    fn apply(&mut self, repair: Repair, now: Instant) -> Vec<Outgoing> {
        match repair {
            Repair::Ignored => Vec::new(),
            Repair::Sent(messages) => {
                self.without_route = false;
                self.stall.on_attempt(now);
                messages
            }
            Repair::NoRoute => {
                self.without_route = true;
                Vec::new()
            }
            Repair::Spent => panic!("the attempts are not bounded here"),
        }
    }
}
