//! A token that is lost with the last stage.
//!
//! The last stage sends a chosen token both to the first stage, which runs it, and to the entry. If the
//! last stage dies before the entry receives the token, a surviving stage has run a position that the
//! entry does not know; this was found when two stages died at once. The entry's tokens are
//! authoritative, so the position counts as never run: it is truncated and runs again, once.

use super::choices::Choices;
use super::daemon::SimDaemon;
use super::engine::LAYERS;
use super::entry::{SimRequest, SimRoutes};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::request::{
    Hop, LayerRange, Outgoing, Peer, PipelineMessage, RequestKey, Route,
};
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;

const HALF: u16 = LAYERS / 2;
const TOKENS: u32 = 6;

fn addr(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 2_000 + number))
}

/// Two stages and a spare for the last one.
struct Pipeline {
    entry: Peer,
    daemons: Vec<SimDaemon>,
    request: SimRequest,
    choices: Choices,
    clock: ManualClock,
    net: VecDeque<Outgoing>,
}

impl Pipeline {
    fn start() -> Pipeline {
        let clock = ManualClock::new();
        let layers = [(0, HALF), (HALF, LAYERS), (HALF, LAYERS)];
        let daemon = |(number, (first, end)): (usize, (u16, u16))| {
            SimDaemon::new(addr(number as u16 + 1), LayerRange::new(first, end))
        };
        let daemons: Vec<SimDaemon> = layers.into_iter().enumerate().map(daemon).collect();
        let entry = Peer { addr: addr(0), incarnation: 1 };
        let route = Route { hops: daemons[..2].iter().map(SimDaemon::hop).collect() };
        let key = RequestKey { entry: 1, sequence: 1 };
        let request = SimRequest::new(key, entry, route, vec![1, 2], TOKENS, true, clock.now());
        let net = request.driver.open().into();
        Pipeline { entry, daemons, request, choices: Choices::new(1), clock, net }
    }

    /// Delivers messages in flight and runs engines, until `stop` holds or nothing is left to do.
    fn run_until(&mut self, stop: impl Fn(&Pipeline, Option<&Outgoing>) -> bool) {
        loop {
            if stop(self, self.net.front()) {
                return;
            }
            match self.net.pop_front() {
                Some(out) => self.deliver(&out),
                None if self.turn() => {}
                None => return,
            }
        }
    }

    /// Makes four transitions at each engine that is alive. Returns whether any message was sent.
    fn turn(&mut self) -> bool {
        for _ in 0..4 {
            let now = self.clock.now();
            for daemon in self.daemons.iter_mut().filter(|daemon| daemon.alive) {
                self.net.extend(daemon.turn(&mut self.choices, false, true, now));
            }
        }
        !self.net.is_empty()
    }

    fn deliver(&mut self, out: &Outgoing) {
        let now = self.clock.now();
        if out.to == self.entry {
            let known: Vec<Hop> = self.live();
            let routes = SimRoutes { known: &known, choices: RefCell::new(&mut self.choices) };
            return self.net.extend(self.request.take(&out.message, &routes, now));
        }
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.peer == out.to && daemon.alive);
        if let Some(daemon) = daemon {
            self.net.extend(daemon.take(&out.message, now));
        }
    }

    fn live(&self) -> Vec<Hop> {
        self.daemons.iter().filter(|daemon| daemon.alive).map(SimDaemon::hop).collect()
    }

    /// Kills the last stage; its messages to the entry that are in flight are lost.
    fn kill_last(&mut self) {
        let dead = self.daemons[1].peer.addr;
        self.daemons[1].alive = false;
        let entry = self.entry;
        self.net.retain(|out| out.to != entry);
        let known = self.live();
        let routes = SimRoutes { known: &known, choices: RefCell::new(&mut self.choices) };
        self.net.extend(self.request.on_closed(dead, &routes, self.clock.now()));
    }
}

#[test]
fn a_token_that_died_with_the_last_stage_is_cut_back_and_its_position_runs_again_once() {
    let mut pipeline = Pipeline::start();
    let is_token = |out: Option<&Outgoing>| {
        out.is_some_and(|out| matches!(out.message, PipelineMessage::Token(_)))
    };
    pipeline.run_until(|now, next| now.request.driver.emitted() == 2 && is_token(next));
    // The token to the entry is held back while the first stage runs it as its next step.
    let token = pipeline.net.pop_front().expect("the token");
    pipeline.run_until(|_, next| next.is_some_and(|out| out.to == token.to));
    pipeline.net.push_back(token);

    pipeline.kill_last();
    pipeline.run_until(|now, _| now.request.driver.finished());

    assert!(pipeline.request.driver.finished(), "the answer is whole");
    assert_eq!(pipeline.daemons[0].engine.reruns, 1, "one position, and only this one");
    assert_eq!(pipeline.daemons[2].engine.reruns, 0);
}
