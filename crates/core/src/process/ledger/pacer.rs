//! Write rate of a holder: limited to its share of the budget, and lower while the store is overloaded.

use crate::clock::Clock;
use std::time::{Duration, Instant};

/// A write that takes longer than this counts as overload of the store.
const SLOW_WRITE: Duration = Duration::from_millis(250);
/// Factor by which overload multiplies the rate.
const DECREASE_FACTOR: f64 = 0.5;
/// Fraction of the maximum rate that each successful write adds.
const INCREASE_FRACTION: f64 = 0.02;
/// Lower bound of the rate, as a fraction of the maximum rate.
const MIN_FRACTION: f64 = 0.02;
/// Highest rate after an outage, as a fraction of the maximum rate.
const RESTART_FRACTION: f64 = 0.25;

/// Controls the rate of writes by additive increase and multiplicative decrease.
#[derive(Clone, Debug)]
pub struct Pacer<C> {
    clock: C,
    max_rate: f64,
    rate: f64,
    last: Option<Instant>,
}

impl<C: Clock> Pacer<C> {
    /// Creates a pacer that starts at its maximum rate of `max_rate` writes per second.
    pub fn new(max_rate: f64, clock: C) -> Pacer<C> {
        Pacer { clock, max_rate, rate: max_rate, last: None }
    }

    /// Returns when the next write may start; `None` if there was no write yet.
    pub fn next(&self) -> Option<Instant> {
        let interval = Duration::from_secs_f64(1.0 / self.rate);
        self.last.map(|last| last + interval)
    }

    /// Records the start of a write.
    pub fn on_start(&mut self) {
        self.last = Some(self.clock.now());
    }

    /// Raises the rate after a write took effect or met a version conflict, unless the write was slow.
    pub fn on_success(&mut self) {
        if self.last.is_some_and(|last| self.clock.now() - last > SLOW_WRITE) {
            return self.on_overload();
        }
        self.rate = (self.rate + self.max_rate * INCREASE_FRACTION).min(self.max_rate);
    }

    /// Lowers the rate after the store limited the rate, was slow, or gave no answer.
    pub fn on_overload(&mut self) {
        self.rate = (self.rate * DECREASE_FACTOR).max(self.max_rate * MIN_FRACTION);
    }

    /// Limits the rate after an outage, so that the recovered store gets no burst of writes.
    pub fn on_outage(&mut self) {
        self.rate = self.rate.min(self.max_rate * RESTART_FRACTION);
    }

    /// Returns the current rate in writes per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
