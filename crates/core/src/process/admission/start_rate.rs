//! Measures how fast work starts while capacity is full.

use crate::process::grants::{Amount, DecayingSum};
use std::time::{Duration, Instant};

/// Time constant of the measurement, over which the expectation is replaced by it.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Time without a full moment after which what starts says nothing about the capacity.
const FULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Work that starts per second while capacity is full, which is the rate at which it is freed. It begins with an
/// expectation, as what started before is the demand of that time.
#[derive(Debug)]
pub struct StartRate {
    expected: f64,
    started: DecayingSum,
    last_full: Option<Instant>,
}

impl StartRate {
    /// Creates an estimate that expects nothing yet.
    pub fn new(now: Instant) -> StartRate {
        let started = DecayingSum::new(now, TIME_CONSTANT);
        StartRate { expected: 0.0, started, last_full: None }
    }

    /// Sets the work per second to expect: the work that runs over the usual duration of a request.
    pub fn set_expected(&mut self, per_second: f64) {
        self.expected = per_second;
    }

    /// Records that a request didn't fit.
    pub fn on_full(&mut self, now: Instant) {
        if !self.is_measured(now) {
            self.started = DecayingSum::new(now, TIME_CONSTANT);
            let expected = self.expected * TIME_CONSTANT.as_secs_f64();
            self.started.add(now, Amount::new(0.0, expected));
        }
        self.last_full = Some(now);
    }

    /// Records work that started.
    pub fn on_started(&mut self, work: f64, now: Instant) {
        self.started.add(now, Amount::new(1.0, work));
    }

    /// Returns the work per second; 0 if nothing is known.
    pub fn get(&self, now: Instant) -> f64 {
        match self.is_measured(now) {
            true => self.started.per_second(now).tokens,
            false => self.expected,
        }
    }

    fn is_measured(&self, now: Instant) -> bool {
        self.last_full.is_some_and(|at| now.saturating_duration_since(at) < FULL_TIMEOUT)
    }
}
