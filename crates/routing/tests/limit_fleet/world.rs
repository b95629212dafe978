//! The fleet and its engines, on simulated time.

use super::gateway::{Gateway, Message};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::limits::{Permit, RateLimit};
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(25);
/// Within this time of an engine's first naming of a limit, the gateways keep to it.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// A gateway that passed on an answer with the limit keeps to it after this time.
const TOLD_WITHIN: Duration = Duration::from_millis(500);
/// Factor and number of requests by which a window may exceed the limit.
const FACTOR: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time between two messages of a gateway.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time from a send until the head of its answer.
const ANSWER_MS: std::ops::Range<u64> = 50..600;
/// Time until a gateway asks again that got no answer to its request for a permit.
const KEEPER_RETRY: Duration = Duration::from_millis(300);

/// Sizes and loads of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    pub engines: usize,
    /// Requests a second of all callers.
    pub per_s: f64,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Disturbances of gateways a second.
    pub disturbances_per_s: f64,
}

/// An engine's limit from a moment on.
struct Naming {
    from: Instant,
    limit: Option<RateLimit>,
}

struct Engine {
    endpoint: Incarnation,
    /// In the order of time.
    namings: Vec<Naming>,
    /// Requests of gateways that are bound by the limit.
    bound: Vec<Instant>,
    /// All requests.
    all: Vec<Instant>,
}

impl Engine {
    fn limit_at(&self, at: Instant) -> Option<RateLimit> {
        self.namings.iter().rev().find(|naming| naming.from <= at)?.limit
    }

    /// Returns when the engine began to name limits, if it has named one ever since.
    fn named_since(&self, at: Instant) -> Option<Instant> {
        let until = self.namings.iter().rposition(|naming| naming.from <= at)?;
        let named = self.namings[..=until].iter().rev().take_while(|naming| naming.limit.is_some());
        named.last().map(|naming| naming.from)
    }

    /// Returns the windows with too many requests: how many, and how many are allowed.
    fn exceeded(&self) -> Vec<(usize, f64)> {
        let windows = self.bound.iter().filter_map(|first| {
            let end = *first + WINDOW;
            let since = self.named_since(*first)?;
            let is_bound = *first >= since + STABLE_WINDOW && self.named_since(end) == Some(since);
            let requests = self.bound.iter().filter(|at| *at >= first && **at < end).count();
            let allowed = FACTOR * self.allowed_between(*first, end) + SLACK;
            (is_bound && requests as f64 > allowed).then_some((requests, allowed))
        });
        windows.collect()
    }

    /// Returns the limit that binds gateways, in requests a second: a lower one binds each once it has passed on an answer
    /// that names it.
    fn binding_limit(&self, at: Instant) -> f64 {
        let known_by = at - TOLD_WITHIN - Duration::from_millis(ANSWER_MS.end);
        let since =
            self.namings.iter().filter(|naming| naming.from > known_by && naming.from <= at);
        let limits = since.map(|naming| naming.limit).chain([self.limit_at(known_by)]);
        limits.flatten().map(RateLimit::per_s).fold(0.0, f64::max)
    }

    /// Returns how many requests the limits allow between two moments.
    fn allowed_between(&self, from: Instant, to: Instant) -> f64 {
        let mut allowed = 0.0;
        let mut at = from;
        while at < to {
            allowed += self.binding_limit(at) * STEP.as_secs_f64();
            at += STEP;
        }
        allowed
    }
}

struct Answer {
    at: Instant,
    gateway: usize,
    incarnation: u64,
    engine: usize,
    sent_at: Instant,
}

pub struct World {
    pub size: Size,
    pub rng: StdRng,
    pub now: Instant,
    began: Instant,
    gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    sent: Vec<Message>,
    answers: Vec<Answer>,
    incarnations: u64,
    pub refused: usize,
    /// Requests for permits that gateways answered for others.
    pub asked: usize,
}

impl World {
    pub fn new(size: Size, seed: u64) -> World {
        let now = Instant::now();
        let engine = |index| Engine {
            endpoint: Incarnation::new(format!("engine-{index}"), None),
            namings: Vec::new(),
            bound: Vec::new(),
            all: Vec::new(),
        };
        let gateway = |index| Gateway::new(index, index as u64, size.gateways, now);
        let gateways = (0..size.gateways).map(gateway).collect();
        World {
            size,
            rng: StdRng::seed_from_u64(seed),
            now,
            began: now,
            gateways,
            engines: (0..size.engines).map(engine).collect(),
            sent: Vec::new(),
            answers: Vec::new(),
            incarnations: size.gateways as u64,
            refused: 0,
            asked: 0,
        }
    }

    /// Has an engine name a limit from now on, or none.
    pub fn name(&mut self, index: usize, limit: Option<&str>) {
        let limit = limit.map(|limit| limit.parse().expect("a limit"));
        let engine = &mut self.engines[index];
        if limit.is_none() {
            for gateway in &mut self.gateways {
                gateway.told.remove(&index);
            }
        }
        engine.namings.push(Naming { from: self.now, limit });
    }

    /// Returns the worst window of all engines, if one has too many requests.
    pub fn worst(&self) -> Option<(usize, f64)> {
        let all = self.engines.iter().flat_map(Engine::exceeded);
        all.max_by(|a, b| (a.0 as f64 - a.1).total_cmp(&(b.0 as f64 - b.1)))
    }

    /// Returns how many requests an engine got from gateways that its limit binds.
    pub fn bound_requests(&self, engine: usize) -> usize {
        self.engines[engine].bound.len()
    }

    /// Returns how many requests an engine got since `since`, at all.
    pub fn requests_since(&self, engine: usize, since: Instant) -> usize {
        self.engines[engine].all.iter().filter(|at| **at >= since).count()
    }

    pub fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.now < until {
            self.now += STEP;
            self.deliver();
            self.answer();
            self.new_requests();
            self.disturb();
            self.send_messages();
        }
    }

    fn new_requests(&mut self) {
        let mut due = self.size.per_s * STEP.as_secs_f64();
        while due > 0.0 && self.rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            // Some gateways have far more callers than others.
            let share: f64 = self.rng.random();
            let at = (share * share * self.gateways.len() as f64) as usize;
            if !self.gateways[at].is_frozen(self.now) {
                self.request(at);
            }
        }
    }

    fn request(&mut self, at: usize) {
        let now = self.now;
        loop {
            let gateway = &self.gateways[at];
            let is_open = |index: &usize| {
                let endpoint = &self.engines[*index].endpoint;
                gateway.limits.limit(endpoint).is_none()
                    || gateway.denied.get(endpoint).is_none_or(|until| *until <= now)
            };
            let open: Vec<usize> = (0..self.engines.len()).filter(is_open).collect();
            let Some(&engine) = open.choose(&mut self.rng) else {
                self.refused += 1;
                return;
            };
            if self.take_permit(at, engine) {
                return self.send(at, engine);
            }
        }
    }

    fn take_permit(&mut self, at: usize, engine: usize) -> bool {
        let now = self.now;
        let endpoint = self.engines[engine].endpoint.clone();
        let gateway = &mut self.gateways[at];
        let Some(limit) = gateway.limits.limit(&endpoint) else { return true };
        let asker = gateway.incarnation;
        let permit = match gateway.keeper(&endpoint, now) {
            None => gateway.grant(&endpoint, limit, asker, now),
            Some(keeper) => self.ask(at, keeper, &endpoint, limit),
        };
        match permit {
            Permit::Granted => true,
            Permit::Denied { retry_in } => {
                self.gateways[at].denied.insert(endpoint, now + retry_in);
                false
            }
        }
    }

    fn ask(
        &mut self,
        at: usize,
        keeper: usize,
        endpoint: &Incarnation,
        limit: RateLimit,
    ) -> Permit {
        let now = self.now;
        let is_reached = [at, keeper].iter().all(|one| self.gateways[*one].hears_others(now));
        if !is_reached || self.rng.random_bool(self.size.loss) {
            return Permit::Denied { retry_in: KEEPER_RETRY };
        }
        self.asked += 1;
        let asker = self.gateways[at].incarnation;
        self.gateways[keeper].grant(endpoint, limit, asker, now)
    }

    fn send(&mut self, at: usize, engine: usize) {
        let now = self.now;
        let gateway = &self.gateways[at];
        let is_told = gateway.told.get(&engine).is_some_and(|since| now - *since >= TOLD_WITHIN);
        let is_calm = now - gateway.calm_since.min(now) >= STABLE_WINDOW;
        self.engines[engine].all.push(now);
        if is_told && is_calm {
            self.engines[engine].bound.push(now);
        }
        let answer_at = now + Duration::from_millis(self.rng.random_range(ANSWER_MS));
        let incarnation = gateway.incarnation;
        let answer = Answer { at: answer_at, gateway: at, incarnation, engine, sent_at: now };
        self.answers.push(answer);
    }

    fn answer(&mut self) {
        let now = self.now;
        let (due, rest) =
            std::mem::take(&mut self.answers).into_iter().partition(|answer| answer.at <= now);
        self.answers = rest;
        let due: Vec<Answer> = due;
        for answer in due {
            let engine = &self.engines[answer.engine];
            let gateway = &mut self.gateways[answer.gateway];
            if gateway.incarnation != answer.incarnation {
                continue;
            }
            let limit = engine.limit_at(answer.at);
            gateway.limits.on_answer(&engine.endpoint, limit, answer.sent_at, now);
            if limit.is_some() {
                gateway.told.entry(answer.engine).or_insert(now);
            }
        }
    }

    /// Gateways freeze, are parted from the others, or end and start again.
    fn disturb(&mut self) {
        let chance = self.size.disturbances_per_s * STEP.as_secs_f64();
        if !self.rng.random_bool(chance.min(1.0)) {
            return;
        }
        let at = self.rng.random_range(0..self.gateways.len());
        let lasts = Duration::from_millis(self.rng.random_range(500..6_000));
        match self.rng.random_range(0..3) {
            0 => {
                self.gateways[at].frozen_until = self.now + lasts;
                self.gateways[at].calm_since = self.now + lasts;
            }
            1 => self.part(at, lasts),
            _ => {
                self.restart(at);
                self.gateways[at].calm_since = self.now + lasts;
            }
        }
    }

    /// Parts the gateway that most others ask for an engine's permits from all others, or has it start again.
    pub fn disturb_keeper(&mut self, engine: usize) {
        let endpoint = self.engines[engine].endpoint.clone();
        let mut votes = vec![0; self.gateways.len()];
        for (at, gateway) in self.gateways.iter().enumerate() {
            votes[gateway.keeper(&endpoint, self.now).unwrap_or(at)] += 1;
        }
        let keeper = (0..votes.len()).max_by_key(|at| votes[*at]).expect("there are gateways");
        match self.rng.random_range(0..4) {
            0 => self.restart(keeper),
            _ => {
                let lasts = Duration::from_millis(self.rng.random_range(500..4_000));
                self.part(keeper, lasts);
            }
        }
    }

    /// Nothing passes between a gateway and the others for a while. It stays in touch with the platform, and is bound.
    fn part(&mut self, at: usize, lasts: Duration) {
        self.gateways[at].parted_until = self.now + lasts;
    }

    /// Starts all gateways again, each without the others in reach for a while.
    pub fn restart_all_apart(&mut self, lasts: Duration) {
        for at in 0..self.gateways.len() {
            self.restart(at);
            self.part(at, lasts);
        }
    }

    fn restart(&mut self, at: usize) {
        self.incarnations += 1;
        let listed = self.gateways.len();
        self.gateways[at] = Gateway::new(at, self.incarnations, listed, self.now);
    }

    fn send_messages(&mut self) {
        let now = self.now;
        let steps = ((now - self.began).as_millis() / STEP.as_millis()) as usize;
        let period = (SEND_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        for (from, gateway) in self.gateways.iter().enumerate() {
            if gateway.hears_others(now) && (steps + from).is_multiple_of(period) {
                let limits = gateway.limits.reports(now);
                let incarnation = gateway.incarnation;
                self.sent.push(Message { from, incarnation, limits });
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for message in std::mem::take(&mut self.sent) {
            for (at, gateway) in self.gateways.iter_mut().enumerate() {
                let is_lost = self.rng.random_bool(self.size.loss);
                if at != message.from && !is_lost && gateway.hears_others(now) {
                    gateway.receive(&message, now);
                }
            }
        }
    }
}
