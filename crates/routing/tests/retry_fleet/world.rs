//! The fleet, the store's list and the callers, on simulated time.

use super::process::Process;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_routing::process::retries::RetryBounds;
use std::time::{Duration, Instant};

pub const STEP: Duration = Duration::from_millis(20);
pub const BOUNDS: RetryBounds =
    RetryBounds { window: Duration::from_secs(10), ratio: 0.2, slack: 248.0 };
/// Interval at which a gateway lists the registered ones, and the one after the first list of a process.
const LIST_INTERVAL: Duration = Duration::from_secs(10);
const SECOND_LIST_DELAY: Duration = Duration::from_secs(3);

/// Size and load of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub gateways: usize,
    /// Requests a second at each gateway.
    pub per_s: f64,
    /// Interval at which each gateway sends messages to the others.
    pub send_interval: Duration,
    /// Share of the messages that are lost.
    pub loss: f64,
}

/// A place for a gateway, with the process that runs there.
struct Place {
    process: Option<Process>,
    starts_at: Instant,
    next_list: Instant,
    is_registered: bool,
    /// Gateways of different groups don't reach each other.
    group: usize,
    reaches_store: bool,
}

pub struct World {
    pub size: Size,
    pub rng: StdRng,
    pub now: Instant,
    began: Instant,
    places: Vec<Place>,
    /// Callers' requests fail, so that each gateway sends as many repeats as it may.
    pub are_failing: bool,
    pub load: f64,
    requests: Vec<Instant>,
    repeats: Vec<Instant>,
}

impl World {
    pub fn new(size: Size, seed: u64) -> World {
        let now = Instant::now();
        let place = |_| Place {
            process: None,
            starts_at: now,
            next_list: now,
            is_registered: false,
            group: 0,
            reaches_store: true,
        };
        World {
            size,
            rng: StdRng::seed_from_u64(seed),
            now,
            began: now,
            places: (0..size.gateways).map(place).collect(),
            are_failing: false,
            load: 1.0,
            requests: Vec::new(),
            repeats: Vec::new(),
        }
    }

    /// Ends the process of a gateway, if one runs. Another one begins after `down`.
    pub fn restart(&mut self, gateway: usize, down: Duration) {
        let place = &mut self.places[gateway];
        place.process = None;
        place.starts_at = self.now + down;
    }

    pub fn restart_all(&mut self, down: Duration) {
        (0..self.size.gateways).for_each(|gateway| self.restart(gateway, down));
    }

    /// Sets which gateways a gateway reaches: those of the same group.
    pub fn set_group(&mut self, gateway: usize, group: usize) {
        self.places[gateway].group = group;
    }

    pub fn set_reaches_store(&mut self, gateway: usize, reaches_store: bool) {
        self.places[gateway].reaches_store = reaches_store;
    }

    /// Cuts gateways off from the others and from the store, or heals all cuts.
    pub fn cut_off(&mut self, gateways: std::ops::Range<usize>) {
        for gateway in gateways {
            self.set_group(gateway, gateway + 1);
            self.set_reaches_store(gateway, false);
        }
    }

    pub fn heal(&mut self) {
        for gateway in 0..self.size.gateways {
            self.set_group(gateway, 0);
            self.set_reaches_store(gateway, true);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += STEP;
            self.begin_processes();
            self.send_messages();
            self.list_gateways();
            self.serve();
        }
    }

    fn begin_processes(&mut self) {
        for (gateway, place) in self.places.iter_mut().enumerate() {
            if place.process.is_none() && place.starts_at <= self.now {
                place.process = Some(Process::new(gateway, BOUNDS, self.now));
                place.starts_at = self.now;
                place.next_list = self.now;
            }
        }
    }

    fn is_due(&self, gateway: usize, interval: Duration) -> bool {
        let step = (self.now - self.began).as_millis() / STEP.as_millis();
        let steps = (interval.as_millis() / STEP.as_millis()).max(1);
        step % steps == gateway as u128 % steps
    }

    fn send_messages(&mut self) {
        for from in 0..self.places.len() {
            if self.places[from].process.is_none() || !self.is_due(from, self.size.send_interval) {
                continue;
            }
            let group = self.places[from].group;
            for to in 0..self.places.len() {
                let is_lost = self.rng.random_bool(self.size.loss);
                let place = &mut self.places[to];
                if to == from || place.group != group || is_lost {
                    continue;
                }
                if let Some(process) = &mut place.process {
                    process.on_message(from, self.now);
                }
            }
        }
    }

    fn list_gateways(&mut self) {
        for gateway in 0..self.places.len() {
            let place = &self.places[gateway];
            if place.process.is_none() || !place.reaches_store || place.next_list > self.now {
                continue;
            }
            let interval = match place.next_list == place.starts_at {
                true => SECOND_LIST_DELAY,
                false => LIST_INTERVAL,
            };
            self.places[gateway].next_list = self.now + interval;
            self.places[gateway].is_registered = true;
            let listed = self.places.iter().filter(|place| place.is_registered).count();
            if let Some(process) = &mut self.places[gateway].process {
                process.on_list(listed, self.now);
            }
        }
    }

    fn serve(&mut self) {
        let per_step = self.size.per_s * self.load * STEP.as_secs_f64();
        for gateway in 0..self.places.len() {
            let is_request = self.rng.random_bool(per_step.min(1.0));
            let Some(process) = &mut self.places[gateway].process else { continue };
            if is_request {
                process.on_request(self.now);
                self.requests.push(self.now);
            }
            while self.are_failing && process.try_repeat(self.now) {
                self.repeats.push(self.now);
            }
        }
    }

    /// Returns the number of repeats since a moment.
    pub fn repeats_since(&self, from: Instant) -> usize {
        self.repeats.iter().filter(|at| **at >= from).count()
    }

    /// Returns the largest share of the allowed repeats that any window has.
    pub fn worst(&self) -> f64 {
        let shares = self.repeats.iter().map(|from| {
            let allowed = self.allowed(*from);
            count(&self.repeats, *from, *from + BOUNDS.window) as f64 / allowed
        });
        shares.fold(0.0, f64::max)
    }

    /// Returns how many repeats are allowed in the window that begins at a moment.
    pub fn allowed(&self, from: Instant) -> f64 {
        let requests_since = |from: Instant| count(&self.requests, from, from + BOUNDS.window);
        let half = BOUNDS.window / 2;
        let earlier = [Duration::ZERO, half, BOUNDS.window];
        let requests = earlier.map(|earlier| from.checked_sub(earlier).map_or(0, requests_since));
        let most = requests.into_iter().max().unwrap_or_default();
        BOUNDS.ratio * most as f64 + BOUNDS.slack
    }
}

/// Returns how many of the moments, which are in order, lie between two.
fn count(all: &[Instant], from: Instant, to: Instant) -> usize {
    all.partition_point(|at| *at < to) - all.partition_point(|at| *at < from)
}
