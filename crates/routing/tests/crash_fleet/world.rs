//! The fleet and its engines, on simulated time.

use super::gateway::{Gateway, Message, Run};
use super::store::Store;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::{
    Admission, CrashEvent, HeldSource, PromptPart, RunEnd, RunRequest, Turn, UnixMillis,
};
use sorrellock_routing::request::ContentId;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Length of a step.
pub const STEP: Duration = Duration::from_millis(25);
/// Within this time of the third crash, all gateways in touch hold the request back.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Time between two messages of a gateway.
const SEND_INTERVAL: Duration = Duration::from_millis(250);
/// Time from a send until the first token.
const START_MS: std::ops::Range<u64> = 20..250;
/// Time from the first token of a request that crashes engines until the end of its engine.
const CRASH_MS: std::ops::Range<u64> = 25..125;
/// Time between two events of a run.
const EVENT_INTERVAL: Duration = Duration::from_millis(55);
/// How long a run takes.
const RUN_MS: std::ops::Range<u64> = 1_500..6_000;
/// How long an engine is down after a crash.
const DOWN_MS: std::ops::Range<u64> = 2_000..6_000;
/// Sends of one attempt of a caller.
const MAX_SENDS: u32 = 4;
const UNIX: UnixMillis = 1_790_000_000_000;

/// Sizes and loads of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    /// Engines that begin a path.
    pub engines: usize,
    /// New innocent requests a second, at all gateways together.
    pub per_s: f64,
    /// Requests that crash engines.
    pub crashing: usize,
    /// Repeats a second of each of them.
    pub repeats_per_s: f64,
    /// Share of the messages that are lost.
    pub loss: f64,
    /// Disturbances of gateways a second.
    pub disturbances_per_s: f64,
    /// Engines a second that end by themselves.
    pub other_crashes_per_s: f64,
    /// Requests a second, no two alike, with a part of its own that crashes engines.
    pub bad_part_per_s: f64,
}

struct Engine {
    incarnation: u64,
    down_until: Instant,
    /// When a request that runs there crashes it.
    crashes_at: Option<(Instant, Option<ContentId>)>,
}

/// What happened to a request that crashes engines.
#[derive(Default)]
pub struct Course {
    /// Number of crashes after which it is held back.
    pub max_crashes: usize,
    pub crashes: Vec<Instant>,
    /// Sends by gateways that were in touch.
    pub sends: Vec<Instant>,
    /// Trials among them.
    pub trials: Vec<Instant>,
}

impl Course {
    /// Returns the sends later than the window after the crash that is one too many.
    pub fn later_sends(&self) -> usize {
        self.later(&self.sends)
    }

    /// Returns those of them that weren't trials.
    pub fn later_sends_untried(&self) -> usize {
        self.later(&self.sends) - self.later(&self.trials)
    }

    fn later(&self, sends: &[Instant]) -> usize {
        let last = self.crashes.get(self.max_crashes - 1).map(|last| *last + STABLE_WINDOW);
        last.map_or(0, |from| sends.iter().filter(|at| **at > from).count())
    }
}

pub struct World {
    pub size: Size,
    pub rng: StdRng,
    pub now: Instant,
    began: Instant,
    pub gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    pub store: Store,
    sent: Vec<Message>,
    next_body: u64,
    crashing: Vec<Rc<RunRequest>>,
    pub courses: HashMap<ContentId, Course>,
    /// Innocent requests that were held back at any gateway.
    pub innocents_held: HashSet<ContentId>,
    pub innocents: u64,
    pub innocents_refused: u64,
    /// Innocent requests that were refused as they are held back, each time.
    pub innocents_held_refused: u64,
    /// The parts that crash engines now.
    pub bad_parts: HashSet<ContentId>,
    pub answered: u64,
}

/// Crashes of a content and of a part after which each is held back.
const MAX_CONTENT_CRASHES: usize = 3;
const MAX_PART_CRASHES: usize = 5;
/// Number of routes, each with a first part that all of its prompts have, and of further parts on each.
const ROUTES: u64 = 3;
const PARTS: f64 = 60.0;

/// The part of a route's prompts with this index; 0 is the first one of all of them.
pub fn part(route: u64, index: u64) -> PromptPart {
    PromptPart::new("model", &format!("{route:02x}{index:04x}"))
}

/// A part that only requests have that crash engines.
pub fn bad_part() -> PromptPart {
    part(0, 0xbad)
}

fn request(body: &str, parts: Vec<PromptPart>) -> Rc<RunRequest> {
    let content = ContentId::new(None, "/a", body.as_bytes());
    Rc::new(RunRequest { content, parts, workspace: None, path: "/a".to_owned() })
}

impl World {
    pub fn new(size: Size, seed: u64) -> World {
        let now = Instant::now();
        let engine = |_| Engine { incarnation: 0, down_until: now, crashes_at: None };
        let crashing: Vec<_> = (0..size.crashing)
            .map(|index| request(&format!("crash {index}"), Vec::new()))
            .collect();
        let course = |max_crashes| Course { max_crashes, ..Course::default() };
        let contents = crashing.iter().map(|one| (one.content, course(MAX_CONTENT_CRASHES)));
        let bad_part = bad_part().id;
        let courses = contents.chain([(bad_part, course(MAX_PART_CRASHES))]).collect();
        World {
            size,
            rng: StdRng::seed_from_u64(seed),
            now,
            began: now,
            gateways: (0..size.gateways).map(|index| Gateway::new(index, now)).collect(),
            engines: (0..size.engines).map(engine).collect(),
            store: Store::default(),
            sent: Vec::new(),
            next_body: 0,
            courses,
            bad_parts: HashSet::from([bad_part]),
            crashing,
            innocents_held: HashSet::new(),
            innocents: 0,
            innocents_refused: 0,
            innocents_held_refused: 0,
            answered: 0,
        }
    }

    pub fn unix(&self) -> UnixMillis {
        UNIX + (self.now - self.began).as_millis() as UnixMillis
    }

    fn incarnation(&self, engine: usize) -> Incarnation {
        Incarnation::new(format!("engine-{engine}"), Some(self.engines[engine].incarnation))
    }

    /// Returns whether something that happens so often a second happens in this step.
    fn happens(&mut self, per_s: f64) -> bool {
        self.rng.random_bool((per_s * STEP.as_secs_f64()).min(1.0))
    }

    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.rng.random_range(range))
    }

    pub fn run(&mut self, lasts: Duration) {
        let until = self.now + lasts;
        while self.now < until {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.end_engines();
        self.notice_broken();
        self.advance_runs();
        self.send_waiting();
        self.new_requests();
        self.disturb();
        self.exchange();
        self.observe_events();
    }

    /// Ends the engines whose time has come, with all runs there.
    fn end_engines(&mut self) {
        for index in 0..self.engines.len() {
            let now = self.now;
            let due = self.engines[index].crashes_at.filter(|(at, _)| *at <= now);
            let rate = self.size.other_crashes_per_s / self.engines.len() as f64;
            let is_other = self.engines[index].down_until <= now && self.happens(rate);
            if due.is_none() && !is_other {
                continue;
            }
            if let Some((_, Some(content))) = due
                && let Some(course) = self.courses.get_mut(&content)
            {
                course.crashes.push(now);
            }
            self.end_engine(index);
        }
    }

    fn end_engine(&mut self, index: usize) {
        let (now, ended) = (self.now, self.incarnation(index));
        let down = self.millis(DOWN_MS);
        let engine = &mut self.engines[index];
        engine.down_until = now + down;
        engine.crashes_at = None;
        engine.incarnation += 1;
        for gateway in &mut self.gateways {
            let runs = gateway.runs.values_mut().filter(|run| run.engine == index);
            runs.for_each(|run| run.broken = Some(ended.clone()));
        }
    }

    /// Has gateways that run notice which of their runs broke, and send the requests again.
    fn notice_broken(&mut self) {
        let (now, unix) = (self.now, self.unix());
        for at in 0..self.gateways.len() {
            let gateway = &mut self.gateways[at];
            if gateway.is_frozen(now) {
                continue;
            }
            let ids = gateway.runs.iter().filter(|(_, run)| run.broken.is_some());
            let ids: Vec<_> = ids.map(|(id, _)| *id).collect();
            let mut broken = Vec::new();
            for id in ids {
                gateway.guard.end_run(id, RunEnd::Broke, now, unix);
                broken.extend(gateway.runs.remove(&id));
            }
            let ended: BTreeSet<Incarnation> =
                broken.iter().filter_map(|run| run.broken.clone()).collect();
            ended.iter().for_each(|ended| gateway.guard.on_endpoint_ended(ended, now, unix));
            gateway.is_urgent |= !ended.is_empty();
            broken.retain(|run| run.sends < MAX_SENDS);
            for run in broken {
                self.send(at, run.request, run.sends + 1);
            }
        }
    }

    fn advance_runs(&mut self) {
        let (now, unix) = (self.now, self.unix());
        for gateway in self.gateways.iter_mut().filter(|gateway| !gateway.is_frozen(now)) {
            let mut done = Vec::new();
            for (id, run) in &mut gateway.runs {
                while run.broken.is_none() && run.next_event <= now {
                    run.next_event += EVENT_INTERVAL;
                    gateway.guard.on_events(*id, 1, now);
                }
                if run.ends <= now && run.broken.is_none() {
                    done.push(*id);
                }
            }
            for id in done {
                gateway.runs.remove(&id);
                gateway.guard.end_run(id, RunEnd::Answered, now, unix);
                self.answered += 1;
            }
        }
    }

    fn new_requests(&mut self) {
        let mut due = self.size.per_s * STEP.as_secs_f64();
        while due > 0.0 && self.rng.random_bool(due.min(1.0)) {
            due -= 1.0;
            self.next_body += 1;
            self.innocents += 1;
            let route = self.rng.random_range(0..ROUTES);
            let parts = self.draw_parts(route);
            let innocent = request(&format!("innocent {}", self.next_body), parts);
            let at = self.rng.random_range(0..self.gateways.len());
            self.arrive(at, innocent);
        }
        if self.happens(self.size.bad_part_per_s) {
            self.next_body += 1;
            let mut parts = self.draw_parts(0);
            parts.push(bad_part());
            let at = self.rng.random_range(0..self.gateways.len());
            self.arrive(at, request(&format!("bad {}", self.next_body), parts));
        }
        for index in 0..self.crashing.len() {
            if self.happens(self.size.repeats_per_s) {
                let at = self.rng.random_range(0..self.gateways.len());
                self.arrive(at, Rc::clone(&self.crashing[index]));
            }
        }
    }

    /// Draws the shared parts of a prompt: the route's first one, and one of its further ones, of which some are in far more
    /// prompts than others.
    fn draw_parts(&mut self, route: u64) -> Vec<PromptPart> {
        let drawn: f64 = self.rng.random();
        let further = (drawn * drawn * PARTS) as u64 + 1;
        vec![part(route, 0), part(route, further)]
    }

    /// Has a part crash engines from now on.
    pub fn turn_bad(&mut self, part: &PromptPart) {
        self.bad_parts.insert(part.id);
        let course = Course { max_crashes: MAX_PART_CRASHES, ..Course::default() };
        self.courses.insert(part.id, course);
    }

    /// Returns by what a request crashes engines, if it does.
    fn culprit(&self, request: &RunRequest) -> Option<ContentId> {
        let bad_part = request.parts.iter().find(|part| self.bad_parts.contains(&part.id));
        let content = Some(request.content).filter(|content| self.courses.contains_key(content));
        content.or(bad_part.map(|part| part.id))
    }

    fn is_culprit(&self, request: &RunRequest) -> bool {
        self.culprit(request).is_some()
    }

    fn arrive(&mut self, at: usize, request: Rc<RunRequest>) {
        if self.gateways[at].is_frozen(self.now) {
            return;
        }
        let unix = self.unix();
        let is_due = self.gateways[at].guard.admission(&request, unix) == Admission::TrialDue;
        if is_due && self.claim_trial(at, &request) {
            if let Some(course) = self.culprit(&request).and_then(|id| self.courses.get_mut(&id)) {
                course.trials.push(self.now);
            }
            self.send_admitted(at, request, MAX_SENDS);
            return;
        }
        self.send(at, request, 1);
    }

    fn claim_trial(&mut self, at: usize, request: &RunRequest) -> bool {
        let unix = self.unix();
        let is_cut = self.gateways[at].is_cut(self.now);
        let gateway = &mut self.gateways[at];
        let due = gateway.guard.trials_due(request, unix);
        let claims = due.iter().filter(|_| !is_cut);
        let claims = claims.filter_map(|id| self.store.claim_trial(*id, &gateway.name));
        let claimed: Vec<_> = claims.collect();
        let is_claimed = claimed.len() == due.len();
        gateway.guard.merge(claimed, HeldSource::Store, unix);
        is_claimed
    }

    /// Sends a request to an engine, unless it is held back.
    fn send(&mut self, at: usize, request: Rc<RunRequest>, sends: u32) {
        let (now, unix, content) = (self.now, self.unix(), request.content);
        let up = self.engines.iter().filter(|engine| engine.down_until <= now).count();
        let guard = &self.gateways[at].guard;
        if let Turn::Wait(wait) = guard.turn(content, up, now) {
            self.gateways[at].waiting.push((now + wait, request, sends));
            return;
        }
        let is_held = guard.admission(&request, unix) != Admission::Free;
        if is_held || guard.is_suspect_running(content, now) {
            let is_innocent = !self.is_culprit(&request);
            self.innocents_refused += u64::from(is_innocent);
            self.innocents_held_refused += u64::from(is_innocent && is_held);
            return;
        }
        self.send_admitted(at, request, sends);
    }

    fn send_admitted(&mut self, at: usize, request: Rc<RunRequest>, sends: u32) {
        let (now, content) = (self.now, request.content);
        let up: Vec<usize> = (0..self.engines.len())
            .filter(|index| self.engines[*index].down_until <= now)
            .collect();
        let guard = &self.gateways[at].guard;
        let is_apart = |index: &&usize| !guard.has_suspect(&self.incarnation(**index), now);
        let apart: Vec<usize> = match guard.is_suspect(content) {
            true => up.iter().filter(is_apart).copied().collect(),
            false => Vec::new(),
        };
        let choices = if apart.is_empty() { &up } else { &apart };
        let engine = match guard.turn(content, up.len(), now) {
            Turn::At(index) => Some(up[index]),
            Turn::Any | Turn::Wait(_) => choices.choose(&mut self.rng).copied(),
        };
        let Some(engine) = engine else {
            self.innocents_refused += u64::from(!self.is_culprit(&request));
            return;
        };
        let began = now + self.millis(START_MS);
        let ends = began + self.millis(RUN_MS);
        let incarnation = self.incarnation(engine);
        let crash_after = self.millis(CRASH_MS);
        let culprit = self.culprit(&request);
        let gateway = &mut self.gateways[at];
        let is_in_touch = now - gateway.calm_since.min(now) >= STABLE_WINDOW;
        if let Some(culprit) = culprit
            && let Some(course) = self.courses.get_mut(&culprit)
        {
            if is_in_touch {
                course.sends.push(now);
            }
            let crashes_at = (began + crash_after, Some(culprit));
            let engine = &mut self.engines[engine];
            let earlier = engine.crashes_at.filter(|(at, _)| *at <= crashes_at.0);
            engine.crashes_at = earlier.or(Some(crashes_at));
        }
        gateway.is_urgent |= gateway.guard.is_last_chance(content);
        let id = gateway.guard.begin_run(Rc::clone(&request), vec![incarnation]);
        let run =
            Run { request, engine, ends, next_event: began + EVENT_INTERVAL, broken: None, sends };
        gateway.runs.insert(id, run);
    }

    /// Sends what has waited long enough.
    fn send_waiting(&mut self) {
        for at in 0..self.gateways.len() {
            if self.gateways[at].is_frozen(self.now) {
                continue;
            }
            let waiting = std::mem::take(&mut self.gateways[at].waiting);
            let (due, rest) = waiting.into_iter().partition(|(due, ..)| *due <= self.now);
            self.gateways[at].waiting = rest;
            let due: Vec<(Instant, Rc<RunRequest>, u32)> = due;
            due.into_iter().for_each(|(_, request, sends)| self.send(at, request, sends));
        }
    }

    /// Gateways freeze, are cut off or parted from the others, or end and start again.
    fn disturb(&mut self) {
        if !self.happens(self.size.disturbances_per_s) {
            return;
        }
        let at = self.rng.random_range(0..self.gateways.len());
        let until = self.now + self.millis(500..6_000);
        match self.rng.random_range(0..4) {
            0 => self.gateways[at].frozen_until = until,
            1 => self.gateways[at].cut_until = until,
            2 => self.restart(at),
            // It stays in touch with the platform.
            _ => {
                self.gateways[at].parted_until = until;
                return;
            }
        }
        self.gateways[at].disturb_until(until);
    }

    /// Ends a gateway and starts its successor, which knows nothing.
    pub fn restart(&mut self, at: usize) {
        self.gateways[at] = Gateway::new(at, self.now);
    }

    /// Exchanges messages and records.
    fn exchange(&mut self) {
        let (now, unix) = (self.now, self.unix());
        self.deliver();
        let steps = ((now - self.began).as_millis() / STEP.as_millis()) as usize;
        let period = (SEND_INTERVAL.as_millis() / STEP.as_millis()) as usize;
        for at in 0..self.gateways.len() {
            if self.gateways[at].is_frozen(now) {
                continue;
            }
            let is_due = (steps + at).is_multiple_of(period) || self.gateways[at].is_urgent;
            if is_due && self.gateways[at].hears_others(now) {
                let gateway = &mut self.gateways[at];
                gateway.is_urgent = false;
                let reports = gateway.guard.reports(now);
                let digest = gateway.guard.digest();
                self.sent.push(Message { from: at, reports, digest });
            }
            self.gateways[at].guard.hold_convicted(now, unix);
            let source = self.gateways[at].fetch_from(now).filter(|from| self.reach(at, *from));
            if let Some(from) = source {
                let records = self.gateways[from].guard.records(now);
                self.gateways[at].guard.merge_records(records, now, unix);
            }
            let fleet = self.gateways.len();
            self.gateways[at].sync_store(at, fleet, &mut self.store, now, unix);
        }
    }

    fn reach(&self, at: usize, other: usize) -> bool {
        [at, other].iter().all(|index| self.gateways[*index].hears_others(self.now))
    }

    fn deliver(&mut self) {
        let (now, unix) = (self.now, self.unix());
        for message in std::mem::take(&mut self.sent) {
            for at in 0..self.gateways.len() {
                let is_lost = self.rng.random_bool(self.size.loss);
                let gateway = &mut self.gateways[at];
                if at != message.from && !is_lost && gateway.hears_others(now) {
                    gateway.receive(&message, now, unix);
                }
            }
        }
    }

    fn observe_events(&mut self) {
        for gateway in &mut self.gateways {
            for event in gateway.guard.take_events() {
                if let CrashEvent::Held { held, .. } = event
                    && !self.courses.contains_key(&held.content)
                {
                    self.innocents_held.insert(held.content);
                }
            }
        }
    }
}
