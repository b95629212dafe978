//! The fleet, its engines and callers.

use super::engines::{ENGINES, SLOTS, TOKENS, best, fitting, share_of};
use super::gateway::{Gateway, Heard, Loads};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::admission::{CapacityDecision, CapacityDemand, Placement};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::capacity::UnseenTakes;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(5);
/// Mean tokens and duration of a request.
const MEAN_TOKENS: f64 = 900.0;
const MEAN_SECONDS: f64 = 2.5;
/// Share of an engine's capacity below which a gateway doesn't ask, and above which it sends nothing by itself.
const SCARCE_FROM: f64 = 0.6;
const FULL_FROM: f64 = 0.92;
const MAX_WAIT: Duration = Duration::from_millis(125);
/// Time after which a gateway gives up an unanswered request for capacity.
const ASK_TIMEOUT: Duration = Duration::from_millis(600);
const KEEPER_RETRY: Duration = Duration::from_millis(300);
const TRAVEL: Duration = Duration::from_millis(5);
const TERM_INTERVAL: Duration = Duration::from_millis(50);
const REPORT_DELAY: Duration = Duration::from_millis(10);

/// Requests per second that the engines' tokens serve.
pub fn capacity() -> f64 {
    ENGINES as f64 * TOKENS / MEAN_TOKENS / MEAN_SECONDS
}

struct Stream {
    gateway: u64,
    engine: usize,
    tokens: f64,
    ends: Instant,
}

#[derive(Clone, Copy)]
struct Request {
    tokens: f64,
    gateway: usize,
    /// Its gateway's incarnation.
    from: u64,
    sent: Instant,
}

enum Event {
    Message {
        to: usize,
        from: usize,
        incarnation: u64,
        loads: Loads,
        taken: HashMap<u64, u64>,
    },
    Ask {
        to: u64,
        request: u64,
    },
    /// The gateway that granted it, the number of the grant and the engine, or a refusal.
    Answer {
        request: u64,
        grant: Option<(u64, u64, usize)>,
    },
}

pub struct World {
    pub rng: StdRng,
    clock: ManualClock,
    began: Instant,
    pub gateways: Vec<Gateway>,
    streams: Vec<Stream>,
    requests: BTreeMap<u64, Request>,
    events: Vec<(Instant, Event)>,
    silent_keepers: HashMap<(usize, u64), Instant>,
    last_request: u64,
    incarnations: u64,
    /// Share of the messages between gateways that are lost.
    pub loss: f64,
    /// Gateways that are cut off from all others.
    pub cut_off: Vec<usize>,
    /// Share of the requests that come to the first gateway.
    pub crowd: f64,
    /// Fullest engine so far, by its tokens and by its streams.
    pub fullest: (f64, f64),
    pub started: usize,
    pub refused: usize,
    busy: f64,
    steps: f64,
}

impl World {
    pub fn new(gateways: usize, seed: u64) -> World {
        let clock = ManualClock::new();
        let gateway = |index| Gateway::new(index, &clock, gateways);
        World {
            gateways: (0..gateways as u64).map(gateway).collect(),
            rng: StdRng::seed_from_u64(seed),
            began: clock.now(),
            clock,
            streams: Vec::new(),
            requests: BTreeMap::new(),
            events: Vec::new(),
            silent_keepers: HashMap::new(),
            last_request: 0,
            incarnations: gateways as u64,
            loss: 0.0,
            cut_off: Vec::new(),
            crowd: 0.0,
            fullest: (0.0, 0.0),
            started: 0,
            refused: 0,
            busy: 0.0,
            steps: 0.0,
        }
    }

    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Share of the engines' tokens or streams that were used, whichever is scarcer.
    pub fn used(&self) -> f64 {
        self.busy / self.steps
    }

    pub fn reset(&mut self) {
        (self.busy, self.steps, self.started, self.refused) = (0.0, 0.0, 0, 0);
        self.fullest = (0.0, 0.0);
    }

    /// The gateway that gives out the capacity, as the second last one sees it.
    pub fn keeper(&self) -> usize {
        let now = self.now();
        let observer = self.gateways.iter().rev().find(|one| one.runs(now)).expect("a gateway");
        let keeper = observer.keeper(now);
        self.gateways.iter().position(|one| one.incarnation == keeper).expect("one of them")
    }

    /// Ends a gateway's process; a new one begins at once.
    pub fn restart(&mut self, index: usize) {
        let old = self.gateways[index].incarnation;
        self.streams.retain(|stream| stream.gateway != old);
        self.incarnations += 1;
        self.gateways[index] = Gateway::new(self.incarnations, &self.clock, self.gateways.len());
    }

    /// Lets callers send a number of requests a second.
    pub fn run(&mut self, per_second: f64, lasts: Duration) {
        let until = self.now() + lasts;
        let mut due = 0.0;
        while self.now() < until {
            self.clock.advance(STEP);
            let now = self.now();
            self.end_streams(now);
            self.deliver(now);
            let running = self.gateways.iter_mut().filter(|one| one.runs(now));
            running.for_each(|one| one.check_term(now));
            self.record_shares(now);
            due += per_second * STEP.as_secs_f64();
            while due >= 1.0 {
                due -= 1.0;
                self.send_request(now);
            }
            self.give_up_asking(now);
            self.dispatch(now);
            self.send_messages(now);
            self.measure();
        }
    }

    fn end_streams(&mut self, now: Instant) {
        let ended: Vec<u64> =
            self.streams.iter().filter(|one| one.ends <= now).map(|one| one.gateway).collect();
        self.streams.retain(|stream| stream.ends > now);
        for gateway in self.gateways.iter_mut().filter(|one| ended.contains(&one.incarnation)) {
            gateway.freed_at.get_or_insert(now);
        }
    }

    fn loads(&self, incarnation: u64) -> Vec<(f64, u32)> {
        let mut loads = vec![(0.0, 0); ENGINES];
        for stream in self.streams.iter().filter(|stream| stream.gateway == incarnation) {
            let load = &mut loads[stream.engine];
            *load = (load.0 + stream.tokens, load.1 + 1);
        }
        loads
    }

    /// Records the shares that a keeper sees, at the interval of its terms.
    fn record_shares(&mut self, now: Instant) {
        if !(now - self.began).as_millis().is_multiple_of(TERM_INTERVAL.as_millis()) {
            return;
        }
        for index in 0..self.gateways.len() {
            if !self.gateways[index].runs(now) {
                continue;
            }
            let shares: Vec<f64> = self.seen_loads(index, now).iter().map(share_of).collect();
            for (unseen, share) in self.gateways[index].unseen.iter_mut().zip(shares) {
                unseen.on_share(share, now);
            }
        }
    }

    /// The load of each engine as a gateway sees it.
    fn seen_loads(&mut self, index: usize, now: Instant) -> Vec<(f64, u32)> {
        let own = self.loads(self.gateways[index].incarnation);
        let others = self.gateways[index].other_loads(ENGINES, now);
        own.iter().zip(&others).map(|(a, b)| (a.0 + b.0, a.1 + b.1)).collect()
    }

    fn deliver(&mut self, now: Instant) {
        let mut due: Vec<(Instant, Event)> =
            self.events.extract_if(.., |(at, _)| *at <= now).collect();
        due.sort_by_key(|(at, _)| *at);
        for (_, event) in due {
            match event {
                Event::Message { to, from, incarnation, loads, taken }
                    if self.gateways[to].runs(now) =>
                {
                    let heard = Heard { incarnation, at: now, loads, taken };
                    self.gateways[to].heard.insert(from, heard);
                    self.gateways[to].sharers.on_message(&from.to_string(), now);
                }
                Event::Message { .. } => {}
                Event::Ask { to, request } => self.on_ask(to, request, now),
                Event::Answer { request, grant } => {
                    if let (Some((keeper, number, _)), Some(sent)) =
                        (grant, self.requests.get(&request))
                    {
                        self.gateways[sent.gateway].taken.insert(keeper, number);
                    }
                    self.on_answer(request, grant.map(|(_, _, engine)| engine), now);
                }
            }
        }
    }

    fn send_request(&mut self, now: Instant) {
        let crowded = self.rng.random_bool(self.crowd);
        let gateway = if crowded { 0 } else { self.rng.random_range(0..self.gateways.len()) };
        if !self.gateways[gateway].runs(now) {
            return;
        }
        let tokens = MEAN_TOKENS * self.rng.random_range(0.2..1.8);
        let from = self.gateways[gateway].incarnation;
        self.last_request += 1;
        let id = self.last_request;
        self.requests.insert(id, Request { tokens, gateway, from, sent: now });
        let loads = self.seen_loads(gateway, now);
        let keeper = self.gateways[gateway].keeper(now);
        let is_silent =
            self.silent_keepers.get(&(gateway, keeper)).is_some_and(|until| *until > now);
        let (engine, share) = best(&loads, tokens);
        let (reach, live) = self.gateways[gateway].reach(now);
        let (limit, draw) = (SCARCE_FROM * reach, self.rng.random());
        let size = share_of(&(tokens, 1));
        let plenty = &mut self.gateways[gateway].plenty[engine];
        if share <= limit && plenty.take(size, limit - share + size, live, draw, now) {
            return self.on_answer(id, Some(engine), now);
        }
        if is_silent {
            return self.decide_alone(id, now);
        }
        let keeper_at = self.gateways.iter().position(|one| one.incarnation == keeper);
        let is_cut = |index: usize| self.cut_off.contains(&index) && index != gateway;
        if keeper_at.is_some_and(|index| {
            !is_cut(index) && (!self.cut_off.contains(&gateway) || index == gateway)
        }) {
            self.events.push((now + TRAVEL, Event::Ask { to: keeper, request: id }));
        }
    }

    fn on_ask(&mut self, to: u64, id: u64, now: Instant) {
        let Some(request) = self.requests.get(&id).copied() else { return };
        let Some(keeper) = self.gateways.iter_mut().find(|one| one.incarnation == to) else {
            // Its process is gone: the connection is refused.
            return self.decide_alone(id, now);
        };
        if let Some(until) = keeper.frozen_until.filter(|until| *until > now) {
            self.events.push((until, Event::Ask { to, request: id }));
            return;
        }
        if !keeper.knows_loads(now) {
            return self.decide_alone(id, now);
        }
        let demand = CapacityDemand {
            ticket: id,
            workspace: String::new(),
            rank: 1,
            is_resumed: false,
            request: id,
            tokens: request.tokens,
            bytes: 0,
            max_wait: MAX_WAIT,
        };
        keeper.queue.offer(&demand).expect("within the bounds");
    }

    /// Decides as a gateway does whose keeper gives no answer.
    fn decide_alone(&mut self, id: u64, now: Instant) {
        let Some(request) = self.requests.get(&id).copied() else { return };
        let loads = self.seen_loads(request.gateway, now);
        let draw = self.rng.random();
        let gateway = &mut self.gateways[request.gateway];
        let (reach, live) = gateway.reach(now);
        let limit = FULL_FROM * reach;
        let (engine, share) = best(&loads, request.tokens);
        let size = share_of(&(request.tokens, 1));
        let alone = &mut gateway.alone[engine];
        let fits = share <= limit && alone.take(size, limit - share + size, live, draw, now);
        self.on_answer(id, fits.then_some(engine), now);
    }

    fn on_answer(&mut self, id: u64, engine: Option<usize>, now: Instant) {
        let Some(request) = self.requests.remove(&id) else { return };
        let is_there = self.gateways[request.gateway].incarnation == request.from;
        let Some(engine) = engine.filter(|_| is_there) else {
            self.refused += 1;
            return;
        };
        self.started += 1;
        let lasts = MEAN_SECONDS * -self.rng.random_range(1e-9_f64..1.0).ln();
        let ends = now + Duration::from_secs_f64(lasts);
        self.streams.push(Stream { gateway: request.from, engine, tokens: request.tokens, ends });
    }

    fn give_up_asking(&mut self, now: Instant) {
        let late = |(_, request): &(&u64, &Request)| now - request.sent >= ASK_TIMEOUT;
        let late: Vec<u64> = self.requests.iter().filter(late).map(|(id, _)| *id).collect();
        for id in late {
            let gateway = self.requests[&id].gateway;
            let keeper = self.gateways[gateway].keeper(now);
            self.silent_keepers.insert((gateway, keeper), now + KEEPER_RETRY);
            for one in &mut self.gateways {
                one.queue.cancel(id);
            }
            self.decide_alone(id, now);
        }
    }

    fn dispatch(&mut self, now: Instant) {
        for index in 0..self.gateways.len() {
            if self.gateways[index].queue.is_empty() || !self.gateways[index].runs(now) {
                continue;
            }
            let mut loads = self.seen_loads(index, now);
            let reserved: f64 = loads.iter().map(|load| load.0).sum();
            let own = self.gateways[index].incarnation;
            let (reach, live) = self.gateways[index].reach(now);
            let Gateway { queue, grants, unseen, term, .. } = &mut self.gateways[index];
            let taken_below = if term.is_seen(now) { SCARCE_FROM } else { FULL_FROM };
            let taken = |unseen: &UnseenTakes| unseen.reserve(taken_below * reach, live);
            let limits: Vec<f64> = unseen.iter().map(|unseen| reach - taken(unseen)).collect();
            queue.set_expected_rate(reserved / MEAN_SECONDS);
            let mut granted = HashMap::new();
            let requests = &self.requests;
            let decisions = queue.dispatch(|id, reserve| {
                let Some(request) = requests.get(&id) else { return Placement::Placed };
                let Some(engine) = fitting(&loads, request.tokens + reserve, &limits) else {
                    return Placement::Full;
                };
                loads[engine] = (loads[engine].0 + request.tokens, loads[engine].1 + 1);
                let number = if request.from != own {
                    let head = Incarnation::new(engine.to_string(), None);
                    grants.add(request.from, &head, request.tokens, now)
                } else {
                    0
                };
                granted.insert(id, (own, number, engine));
                Placement::Placed
            });
            for (id, decision) in decisions {
                let grant = match decision {
                    CapacityDecision::Start => granted.get(&id).copied(),
                    CapacityDecision::Refuse(_) => None,
                };
                if self.requests.get(&id).is_some_and(|one| one.from == own) {
                    self.on_answer(id, grant.map(|(_, _, engine)| engine), now);
                } else {
                    self.events.push((now + TRAVEL, Event::Answer { request: id, grant }));
                }
            }
        }
    }

    fn send_messages(&mut self, now: Instant) {
        let interval = (100 * self.gateways.len() as u64 / 12).clamp(100, 250);
        for from in 0..self.gateways.len() {
            if !self.gateways[from].runs(now) || self.cut_off.contains(&from) {
                continue;
            }
            let phase = (now - self.gateways[from].began).as_millis() as u64 + 37 * from as u64;
            let is_turn = phase % interval < STEP.as_millis() as u64;
            let is_due = self.gateways[from].freed_at.is_some_and(|at| now - at >= REPORT_DELAY);
            if !is_turn && !is_due {
                continue;
            }
            self.gateways[from].freed_at = None;
            let incarnation = self.gateways[from].incarnation;
            let loads: Loads = Rc::new(self.loads(incarnation));
            let keeper = self.gateways[from].keeper(now);
            for to in 0..self.gateways.len() {
                let is_target = is_turn || self.gateways[to].incarnation == keeper;
                let is_lost = self.cut_off.contains(&to) || self.rng.random_bool(self.loss);
                if to != from && is_target && !is_lost {
                    let (loads, taken) = (Rc::clone(&loads), self.gateways[from].taken.clone());
                    let message = Event::Message { to, from, incarnation, loads, taken };
                    self.events.push((now + TRAVEL, message));
                }
            }
        }
    }

    fn measure(&mut self) {
        let mut sums = [(0.0, 0_u32); ENGINES];
        for stream in &self.streams {
            let sum = &mut sums[stream.engine];
            *sum = (sum.0 + stream.tokens, sum.1 + 1);
        }
        for (tokens, streams) in sums {
            let shares = (tokens / TOKENS, f64::from(streams) / f64::from(SLOTS));
            self.fullest = (self.fullest.0.max(shares.0), self.fullest.1.max(shares.1));
            self.busy += shares.0.max(shares.1) / ENGINES as f64;
        }
        self.steps += 1.0;
    }
}
