//! How fast a queue drains, measured while requests wait in it.

use std::time::{Duration, Instant};

/// Time after which a measurement counts a third.
const MEMORY: Duration = Duration::from_secs(2);
/// The shortest time measured that gives a rate.
const LEAST: Duration = Duration::from_millis(50);

/// Work done a second while requests waited: what is idle tells nothing of what it can do.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    work: f64,
    seconds: f64,
    at: Instant,
}

impl DrainRate {
    /// Nothing measured yet.
    pub fn new(now: Instant) -> DrainRate {
        DrainRate { work: 0.0, seconds: 0.0, at: now }
    }

    /// Time passed, during which requests waited or not.
    pub fn pass(&mut self, now: Instant, waited: bool) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        if waited {
            let keep = (-passed / MEMORY.as_secs_f64()).exp();
            self.work *= keep;
            self.seconds = self.seconds * keep + passed;
        }
    }

    /// Work was done while requests waited.
    pub fn done(&mut self, work: f64) {
        self.work += work;
    }

    /// Work a second, once enough was measured.
    pub fn get(&self) -> Option<f64> {
        (self.seconds >= LEAST.as_secs_f64()).then(|| self.work / self.seconds)
    }
}
