//! How often a holder may write: within its share of the budget, less while the store struggles.

use crate::clock::Clock;
use std::time::{Duration, Instant};

/// A write that takes longer than this counts as a sign of overload.
const SLOW_WRITE: Duration = Duration::from_millis(250);
/// Part of the rate that is left after a sign of overload.
const DECREASE: f64 = 0.5;
/// Part of the highest rate that each good write adds.
const INCREASE: f64 = 0.02;
/// Part of the highest rate below which it never falls.
const FLOOR: f64 = 0.02;
/// Part of the highest rate with which it begins again after an outage.
const RESTART: f64 = 0.25;

/// Additive increase, multiplicative decrease of the rate of writes.
#[derive(Clone, Debug)]
pub struct Pacer<C> {
    clock: C,
    most: f64,
    rate: f64,
    last: Option<Instant>,
}

impl<C: Clock> Pacer<C> {
    /// Begins with the highest rate, `most` writes a second.
    pub fn new(most: f64, clock: C) -> Pacer<C> {
        Pacer { clock, most, rate: most, last: None }
    }

    /// When the next write may start; none if there was no write before it.
    pub fn next(&self) -> Option<Instant> {
        let interval = Duration::from_secs_f64(1.0 / self.rate);
        self.last.map(|last| last + interval)
    }

    /// A write starts.
    pub fn started(&mut self) {
        self.last = Some(self.clock.now());
    }

    /// The write that started last took effect, or clashed: the store is well.
    pub fn went_well(&mut self) {
        if self.last.is_some_and(|last| self.clock.now() - last > SLOW_WRITE) {
            return self.overloaded();
        }
        self.rate = (self.rate + self.most * INCREASE).min(self.most);
    }

    /// The store refused for its rate, was slow, or gave no answer.
    pub fn overloaded(&mut self) {
        self.rate = (self.rate * DECREASE).max(self.most * FLOOR);
    }

    /// The store was down: begin gently, so that its return brings no burst.
    pub fn went_down(&mut self) {
        self.rate = self.rate.min(self.most * RESTART);
    }

    /// Writes a second at present.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}
