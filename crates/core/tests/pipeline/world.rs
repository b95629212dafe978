//! Simulation of the whole fleet: time, network and faults.

use super::choices::Choices;
use super::daemon::SimDaemon;
use super::engine::LAYERS;
use super::entry::{SimRequest, SimRoutes};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::Liveness;
use sorrellock_core::request::{
    Hop, LayerRange, Outgoing, Peer, PipelineMessage, RequestKey, RouteSource, SESSION_IDLE,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum number of messages in flight; beyond it the oldest are lost, as in a full queue.
const MAX_IN_FLIGHT: usize = 2_000;
/// Number of steps without faults within which all requests must end.
const MAX_SETTLE_STEPS: usize = 60_000;

/// A message or a link closure to deliver.
enum Event {
    Message { from: SocketAddr, out: Outgoing },
    Closed { at: SocketAddr, peer: SocketAddr },
}

/// Counters of one schedule, summed over all schedules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub requests: u64,
    pub tokens: u64,
    pub attempts: u64,
    pub kills: u64,
    pub freezes: u64,
    pub drains: u64,
    pub lost: u64,
    pub repeated: u64,
    pub closed: u64,
    pub pauses: u64,
}

/// State of the simulated fleet.
pub struct World {
    choices: Choices,
    clock: ManualClock,
    entry: Peer,
    daemons: Vec<SimDaemon>,
    requests: BTreeMap<u64, SimRequest>,
    net: Vec<Event>,
    known: Vec<Hop>,
    fixed: bool,
    to_start: u64,
    fault_odds: usize,
    pub tally: Tally,
}

impl World {
    pub fn new(seed: u64) -> World {
        let mut choices = Choices::new(seed);
        let stages = 1 + choices.below(4);
        let replicas = 2 + choices.below(2);
        let bound = |stage: usize| (usize::from(LAYERS) * stage / stages) as u16;
        let daemons: Vec<SimDaemon> = (0..stages * replicas)
            .map(|index| {
                let stage = index / replicas;
                SimDaemon::new(addr(index + 1), LayerRange::new(bound(stage), bound(stage + 1)))
            })
            .collect();
        let known = daemons.iter().map(SimDaemon::hop).collect();
        let entry = Peer { addr: addr(0), incarnation: 1 };
        let to_start = 1 + choices.below(4) as u64;
        let fixed = choices.one_in(3);
        let fault_odds = [12, 50, 200][choices.below(3)];
        let (clock, requests, net) = (ManualClock::new(), BTreeMap::new(), Vec::new());
        let tally = Tally::default();
        World {
            choices,
            clock,
            entry,
            daemons,
            requests,
            net,
            known,
            fixed,
            to_start,
            fault_odds,
            tally,
        }
    }

    /// Runs `steps` steps with faults, then steps without faults until all requests have ended.
    pub fn run(&mut self, steps: usize) {
        for _ in 0..steps {
            self.step(true);
        }
        self.clear_faults();
        for _ in 0..MAX_SETTLE_STEPS {
            if self.to_start == 0 && self.requests.values().all(|run| run.driver.finished()) {
                break;
            }
            self.step(false);
        }
        for (sequence, run) in &self.requests {
            assert!(run.driver.finished(), "request {sequence} ends: {run:?}");
            self.tally.tokens += u64::from(run.driver.emitted());
            self.tally.attempts += u64::from(run.driver.attempt());
        }
        self.check_freed();
    }

    fn step(&mut self, faults: bool) {
        self.clock.advance(Duration::from_micros(200 + self.choices.below(800) as u64));
        if faults && self.choices.one_in(self.fault_odds) {
            self.inject_fault();
        }
        match self.choices.below(10) {
            0 => self.start_request(),
            1 => self.update_known(),
            2..5 => self.engine_turn(faults),
            _ => self.deliver(faults),
        }
        self.check_requests();
    }

    fn start_request(&mut self) {
        if self.to_start == 0 {
            return;
        }
        let prompt = (0..1 + self.choices.below(5)).map(|_| self.choices.below(5) as u32).collect();
        let max_tokens = 2 + self.choices.below(40) as u32;
        let routes = SimRoutes { known: &self.known, choices: RefCell::new(&mut self.choices) };
        let Some(route) = routes.route(&[]) else { return };
        let request = RequestKey { entry: 1, sequence: self.to_start };
        let now = self.clock.now();
        let run = SimRequest::new(request, self.entry, route, prompt, max_tokens, self.fixed, now);
        let messages = run.driver.open();
        self.requests.insert(self.to_start, run);
        self.to_start -= 1;
        self.tally.requests += 1;
        self.send(self.entry.addr, messages);
    }

    /// Updates the entry's knowledge of a random daemon: forgets a leaving one, adds or refreshes a running one.
    fn update_known(&mut self) {
        let index = self.choices.below(self.daemons.len());
        let daemon = &self.daemons[index];
        if daemon.liveness == Liveness::Leaving {
            self.known.retain(|hop| hop.daemon.addr != daemon.peer.addr);
        } else if daemon.runs() && !self.known.contains(&daemon.hop()) {
            self.known.retain(|hop| hop.daemon.addr != daemon.peer.addr);
            self.known.push(daemon.hop());
        }
    }

    fn engine_turn(&mut self, faults: bool) {
        let index = self.choices.below(self.daemons.len());
        let daemon = &mut self.daemons[index];
        if !daemon.runs() {
            return;
        }
        let from = daemon.peer.addr;
        let mut messages = daemon.turn(&mut self.choices, faults, self.fixed, self.clock.now());
        if daemon.liveness == Liveness::Leaving && self.choices.one_in(8) {
            messages.extend(daemon.offer_handover());
        }
        self.send(from, messages);
    }

    fn deliver(&mut self, faults: bool) {
        if self.net.is_empty() {
            return;
        }
        let reorder = faults && self.choices.one_in(6);
        let index = if reorder { self.choices.below(self.net.len()) } else { 0 };
        match &self.net[index] {
            Event::Closed { .. } => {
                let Event::Closed { at, peer } = self.net.remove(index) else { unreachable!() };
                self.closed(at, peer);
            }
            Event::Message { out, .. } if self.is_frozen(out.to.addr) => {
                let event = self.net.remove(index);
                self.net.push(event);
            }
            Event::Message { .. } if faults && self.choices.one_in(60) => {
                self.tally.lost += 1;
                self.net.remove(index);
            }
            Event::Message { out, .. } if faults && self.choices.one_in(40) => {
                self.tally.repeated += 1;
                let out = out.clone();
                self.receive(&out);
            }
            Event::Message { .. } => {
                let Event::Message { out, .. } = self.net.remove(index) else { unreachable!() };
                self.receive(&out);
            }
        }
    }

    fn receive(&mut self, out: &Outgoing) {
        let now = self.clock.now();
        if out.to == self.entry {
            let Some(run) = self.requests.get_mut(&out.message.request().sequence) else { return };
            let routes = SimRoutes { known: &self.known, choices: RefCell::new(&mut self.choices) };
            let messages = run.take(&out.message, &routes, now);
            return self.send(self.entry.addr, messages);
        }
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.peer == out.to);
        let Some(daemon) = daemon.filter(|daemon| daemon.alive) else { return };
        let endpoint = daemon.peer.addr.to_string();
        if let PipelineMessage::Close { endpoint: meant, .. } = &out.message {
            assert_eq!(*meant, endpoint, "closed at the engine that held it");
        }
        let from = daemon.peer.addr;
        let messages = daemon.take(&out.message, now);
        self.send(from, messages);
    }

    fn closed(&mut self, at: SocketAddr, peer: SocketAddr) {
        if at == self.entry.addr {
            self.known.retain(|hop| hop.daemon.addr != peer);
            for run in self.requests.values_mut() {
                let routes =
                    SimRoutes { known: &self.known, choices: RefCell::new(&mut self.choices) };
                let messages = run.on_closed(peer, &routes, self.clock.now());
                self.net.extend(messages.into_iter().map(|out| Event::Message { from: at, out }));
            }
            return;
        }
        let daemon = self.daemons.iter_mut().find(|daemon| daemon.peer.addr == at);
        let Some(daemon) = daemon.filter(|daemon| daemon.runs()) else { return };
        let messages = daemon.on_closed(peer);
        self.send(at, messages);
    }

    fn check_requests(&mut self) {
        let now = self.clock.now();
        let mut messages = Vec::new();
        for run in self.requests.values_mut() {
            let routes = SimRoutes { known: &self.known, choices: RefCell::new(&mut self.choices) };
            messages.extend(run.check(&routes, now));
        }
        self.send(self.entry.addr, messages);
    }

    fn inject_fault(&mut self) {
        let index = self.choices.below(self.daemons.len());
        match self.choices.below(10) {
            0 => self.kill(index),
            1 if !self.daemons[index].alive => self.daemons[index].restart(),
            2 => {
                self.tally.freezes += 1;
                self.daemons[index].frozen = true;
            }
            3..6 => self.daemons[index].frozen = false,
            6 if self.daemons[index].runs() => {
                self.tally.drains += 1;
                self.daemons[index].liveness = Liveness::Leaving;
            }
            7 => self.close_link(index),
            8 if self.daemons[index].table.is_empty() => self.daemons[index].restart(),
            9 if self.choices.one_in(20) => self.pause_all(),
            _ => {}
        }
    }

    /// Kills a daemon, and drops about half of its messages in flight. Its peers see their links close at
    /// different times.
    fn kill(&mut self, index: usize) {
        if !self.daemons[index].alive {
            return;
        }
        self.tally.kills += 1;
        self.daemons[index].alive = false;
        let dead = self.daemons[index].peer.addr;
        let choices = &mut self.choices;
        self.net.retain(|event| !is_from(event, dead) || choices.one_in(2));
        let others = self.daemons.iter().map(|daemon| daemon.peer.addr).chain([self.entry.addr]);
        let closed = others.filter(|at| *at != dead).map(|at| Event::Closed { at, peer: dead });
        self.net.extend(closed);
    }

    /// Closes a link between two processes, and drops the messages on it in one direction.
    fn close_link(&mut self, index: usize) {
        self.tally.closed += 1;
        let other = self.choices.below(self.daemons.len() + 1);
        let others = self.daemons.get(other).map_or(self.entry.addr, |daemon| daemon.peer.addr);
        let (mut at, mut peer) = (self.daemons[index].peer.addr, others);
        if self.choices.one_in(2) {
            std::mem::swap(&mut at, &mut peer);
        }
        if at != peer {
            self.net.retain(|event| !(is_from(event, at) && is_to(event, peer)));
            self.net.push(Event::Closed { at, peer });
        }
    }

    /// Advances the clock by [`SESSION_IDLE`] without messages, so that sessions expire.
    fn pause_all(&mut self) {
        self.tally.pauses += 1;
        self.clock.advance(SESSION_IDLE);
        let now = self.clock.now();
        let running = self.daemons.iter_mut().filter(|daemon| daemon.runs());
        running.for_each(|daemon| daemon.expire(now));
    }

    fn clear_faults(&mut self) {
        for daemon in &mut self.daemons {
            daemon.frozen = false;
            if !daemon.alive || daemon.liveness == Liveness::Leaving {
                daemon.restart();
            }
        }
    }

    /// Checks that everything is freed in the end, even if `Close` messages were lost.
    fn check_freed(&mut self) {
        for _ in 0..MAX_SETTLE_STEPS {
            if self.net.is_empty() {
                break;
            }
            self.step(false);
        }
        self.clock.advance(SESSION_IDLE);
        let now = self.clock.now();
        self.daemons.iter_mut().for_each(|daemon| daemon.expire(now));
        for _ in 0..2_000 {
            self.engine_turn(false);
        }
        for daemon in &self.daemons {
            assert!(daemon.table.is_empty(), "sessions are freed");
            assert_eq!(daemon.budget.used(), 0, "kept output is freed");
            assert!(daemon.engine.sessions.is_empty(), "KV caches are freed");
            assert_eq!(daemon.diverged, 0, "no stage is given two tokens for a position");
        }
    }

    fn is_frozen(&self, addr: SocketAddr) -> bool {
        self.daemons.iter().any(|daemon| daemon.peer.addr == addr && daemon.frozen && daemon.alive)
    }

    fn send(&mut self, from: SocketAddr, messages: Vec<Outgoing>) {
        self.net.extend(messages.into_iter().map(|out| Event::Message { from, out }));
        let excess = self.net.len().saturating_sub(MAX_IN_FLIGHT);
        self.net.drain(..excess);
    }
}

fn is_from(event: &Event, addr: SocketAddr) -> bool {
    matches!(event, Event::Message { from, .. } if *from == addr)
}

fn is_to(event: &Event, addr: SocketAddr) -> bool {
    matches!(event, Event::Message { out, .. } if out.to.addr == addr)
}

fn addr(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + number as u16))
}
