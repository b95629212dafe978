//! A limit over four entries, against one central bucket, with a keeper killed or asleep in the run.

use crate::figure;
use sorrellock_core::process::grants::{Amount, BURST, Limits, StartLevel};
use sorrellock_local::{Dice, LimitSim};
use std::time::Duration;

const RATE: f64 = 400.0;
const SECONDS: u64 = 30;
const STEP: Duration = Duration::from_millis(1);
/// Of a hundred requests, how many come to each entry.
const SKEW: [u64; 4] = [55, 25, 15, 5];
const ENTRIES: usize = SKEW.len();
const SEEDS: u64 = 5;

/// What happens to the keeper.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Killed,
    Sleeps,
    Flaps,
}

/// Requests allowed, those of them that one bucket would not have allowed after the others, and what
/// one bucket would have allowed.
#[derive(Clone, Copy, Default)]
struct Tally {
    allowed: f64,
    beyond: f64,
    central: f64,
}

impl Tally {
    fn over(&self) -> f64 {
        self.beyond / self.central * 100.0
    }

    fn under(&self) -> f64 {
        (1.0 - (self.allowed - self.beyond) / self.central).max(0.0) * 100.0
    }

    fn add(&mut self, other: Tally) {
        self.allowed += other.allowed;
        self.beyond += other.beyond;
        self.central += other.central;
    }
}

/// One bucket of the limit.
struct Bucket {
    level: f64,
    rate: f64,
}

impl Bucket {
    fn full(rate: f64) -> Bucket {
        Bucket { level: rate * BURST.as_secs_f64(), rate }
    }

    fn pass(&mut self) {
        let burst = self.rate * BURST.as_secs_f64();
        self.level = (self.level + self.rate * STEP.as_secs_f64()).min(burst);
    }

    fn take(&mut self) -> bool {
        let has = self.level >= 1.0;
        self.level -= if has { 1.0 } else { 0.0 };
        has
    }
}

/// Allows requests at entries.
trait Limiter {
    fn fault(&mut self, fault: Fault, at_ms: u64);
    fn is_up(&self, entry: usize) -> bool;
    fn arrive(&mut self, entry: usize);
    fn pass(&mut self);
    fn allowed(&self) -> u64;
}

struct Shared {
    sim: LimitSim,
    keeper: usize,
}

impl Limiter for Shared {
    fn fault(&mut self, fault: Fault, at_ms: u64) {
        let keeper = self.keeper;
        match (fault, at_ms) {
            (Fault::Killed, 15_000) => self.sim.kill(keeper),
            (Fault::Sleeps, 15_000) => self.sim.pause(keeper, Duration::from_secs(5)),
            (Fault::Killed | Fault::Sleeps, 16_300) => self.sim.forget(keeper),
            (Fault::Sleeps, 20_300) => self.sim.remember(keeper),
            (Fault::Flaps, at) if at >= 10_000 && at % 6_000 == 0 => self.sim.forget(keeper),
            (Fault::Flaps, at) if at >= 10_000 && at % 6_000 == 3_000 => self.sim.remember(keeper),
            _ => {}
        }
    }

    fn is_up(&self, entry: usize) -> bool {
        self.sim.is_awake(entry)
    }

    fn arrive(&mut self, entry: usize) {
        self.sim.arrive(entry, 10.0);
    }

    fn pass(&mut self) {
        self.sim.advance(STEP);
    }

    fn allowed(&self) -> u64 {
        self.sim.tally.allowed
    }
}

/// Each entry has a fourth of the limit for itself.
struct Split {
    buckets: Vec<Bucket>,
    down: Option<usize>,
    allowed: u64,
}

impl Limiter for Split {
    fn fault(&mut self, fault: Fault, at_ms: u64) {
        if fault == Fault::Killed && at_ms == 15_000 {
            self.down = Some(0);
        }
    }

    fn is_up(&self, entry: usize) -> bool {
        self.down != Some(entry)
    }

    fn arrive(&mut self, entry: usize) {
        self.allowed += u64::from(self.buckets[entry].take());
    }

    fn pass(&mut self) {
        self.buckets.iter_mut().for_each(Bucket::pass);
    }

    fn allowed(&self) -> u64 {
        self.allowed
    }
}

/// Offers `factor` times the limit; callers of an entry that is down go to the others.
fn run(limiter: &mut impl Limiter, fault: Fault, factor: f64, seed: u64) -> Tally {
    let mut dice = Dice::new(seed);
    let (mut central, mut spent) = (Bucket::full(RATE), Bucket::full(RATE));
    let (mut tally, mut due) = (Tally::default(), 0.0);
    for at_ms in 0..SECONDS * 1000 {
        limiter.fault(fault, at_ms);
        central.pass();
        spent.pass();
        let before = limiter.allowed();
        due += RATE * factor * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            tally.central += f64::from(u8::from(central.take()));
            limiter.arrive(pick(&mut dice, limiter));
        }
        limiter.pass();
        let allowed = (limiter.allowed() - before) as f64;
        tally.allowed += allowed;
        spent.level -= allowed;
        tally.beyond += (-spent.level).max(0.0);
        spent.level = spent.level.max(0.0);
    }
    tally
}

fn pick(dice: &mut Dice, limiter: &impl Limiter) -> usize {
    loop {
        let mut roll = dice.below(100);
        let entry = SKEW.iter().position(|share| {
            let hit = roll < *share;
            roll = roll.saturating_sub(*share);
            hit
        });
        let entry = entry.unwrap_or_default();
        if limiter.is_up(entry) {
            return entry;
        }
    }
}

fn shared(fault: Fault, factor: f64, start: StartLevel) -> Tally {
    let mut all = Tally::default();
    for seed in 1..=SEEDS {
        let limits = Limits { rate: Amount::new(RATE, 1e9), in_flight: 1_000_000 };
        let sim = LimitSim::new(ENTRIES, limits, start, seed);
        let keeper = sim.keeper();
        all.add(run(&mut Shared { sim, keeper }, fault, factor, seed));
    }
    all
}

fn split(fault: Fault, factor: f64) -> Tally {
    let mut all = Tally::default();
    for seed in 1..=SEEDS {
        let buckets = (0..ENTRIES).map(|_| Bucket::full(RATE / ENTRIES as f64)).collect();
        all.add(run(&mut Split { buckets, down: None, allowed: 0 }, fault, factor, seed));
    }
    all
}

/// Measures; whether over-admission and under-use are as promised.
pub fn measure() -> bool {
    let ours = shared(Fault::Killed, 2.0, StartLevel::Full);
    figure("share.limit_over_percent", ours.over(), "%");
    figure("share.limit_under_percent", ours.under(), "%");
    let naive = split(Fault::Killed, 2.0);
    figure("share.limit_over_percent.naive", naive.over(), "%");
    figure("share.limit_under_percent.naive", naive.under(), "%");
    for (name, start) in
        [("empty", StartLevel::Empty), ("half", StartLevel::Half), ("full", StartLevel::Full)]
    {
        for (what, fault, factor) in [
            ("killed", Fault::Killed, 2.0),
            ("sleeps", Fault::Sleeps, 2.0),
            ("flaps", Fault::Flaps, 2.0),
            ("killed_light", Fault::Killed, 0.9),
        ] {
            let tally = shared(fault, factor, start);
            figure(&format!("share.start.{name}.{what}.over_percent"), tally.over(), "%");
            figure(&format!("share.start.{name}.{what}.under_percent"), tally.under(), "%");
        }
    }
    ours.over() < 2.0 && ours.under() < 5.0
}
