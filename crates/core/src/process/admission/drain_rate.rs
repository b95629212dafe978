//! How fast a queue drains: measured on the requests that ended.

use crate::process::admission::Mean;
use std::time::{Duration, Instant};

/// Nothing ended for this many times as long as a request takes: the endpoints got slower.
const STALLED: f64 = 2.0;

/// How fast a queue drains, by what requests took and how many of them run.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    work: Mean,
    seconds: Mean,
    ended: Instant,
}

impl DrainRate {
    /// Nothing measured yet.
    pub fn new(now: Instant) -> DrainRate {
        DrainRate { work: Mean::default(), seconds: Mean::default(), ended: now }
    }

    /// Work begins after an idle time, of which nothing is to be concluded.
    pub fn begin(&mut self, now: Instant) {
        self.ended = now;
    }

    /// A request ended that took `work` and `time`.
    pub fn ended(&mut self, now: Instant, work: f64, time: Duration) {
        self.work.add(work);
        self.seconds.add(time.as_secs_f64());
        self.ended = now;
    }

    /// The work of a request in the mean, once one ended.
    pub fn mean_work(&self) -> Option<f64> {
        self.work.get()
    }

    /// Work a second while `running` requests run, once one ended.
    pub fn get(&self, now: Instant, running: usize) -> Option<f64> {
        let silent = now.saturating_duration_since(self.ended).as_secs_f64();
        let seconds = self.seconds.get()?.max(silent / STALLED).max(f64::MIN_POSITIVE);
        Some(running.max(1) as f64 * self.work.get()? / seconds)
    }
}
