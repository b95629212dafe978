//! Estimates how fast a queue drains from the requests that ended.

use crate::process::admission::Mean;
use std::time::{Duration, Instant};

/// The endpoints count as slower once no request has ended for this many mean durations.
const STALL_FACTOR: f64 = 2.0;

/// Drain rate of a queue, by the mean work and duration of requests and the number running.
#[derive(Clone, Copy, Debug)]
pub struct DrainRate {
    work: Mean,
    seconds: Mean,
    last_end: Instant,
}

impl DrainRate {
    /// Creates an estimate without measurements.
    pub fn new(now: Instant) -> DrainRate {
        DrainRate { work: Mean::default(), seconds: Mean::default(), last_end: now }
    }

    /// Restarts the stall timer after an idle time, which says nothing about the endpoints.
    pub fn resume(&mut self, now: Instant) {
        self.last_end = now;
    }

    /// Records an ended request by its work and duration.
    pub fn record(&mut self, now: Instant, work: f64, time: Duration) {
        self.work.add(work);
        self.seconds.add(time.as_secs_f64());
        self.last_end = now;
    }

    /// Returns the mean work of a request; `None` before the first ends.
    pub fn mean_work(&self) -> Option<f64> {
        self.work.get()
    }

    /// Returns the work per second while `running` requests run; `None` before the first ends.
    pub fn get(&self, now: Instant, running: usize) -> Option<f64> {
        let since_last_end = now.saturating_duration_since(self.last_end).as_secs_f64();
        let seconds = self.seconds.get()?.max(since_last_end / STALL_FACTOR).max(f64::MIN_POSITIVE);
        Some(running.max(1) as f64 * self.work.get()? / seconds)
    }
}
