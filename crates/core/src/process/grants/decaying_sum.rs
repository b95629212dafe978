//! Exponentially decaying sum of amounts.

use super::Amount;
use std::time::{Duration, Instant};

/// Sum that decays to 1/e, about a third, within `time_constant`. At a steady rate it equals the
/// amount added within one `time_constant`.
#[derive(Clone, Copy, Debug)]
pub struct DecayingSum {
    sum: Amount,
    at: Instant,
    time_constant: Duration,
}

impl DecayingSum {
    /// Creates an empty sum.
    pub fn new(now: Instant, time_constant: Duration) -> DecayingSum {
        DecayingSum { sum: Amount::ZERO, at: now, time_constant }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Instant, amount: Amount) {
        self.sum = self.get(now) + amount;
        self.at = now;
    }

    /// Returns the sum at `now`.
    pub fn get(&self, now: Instant) -> Amount {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.sum * (-passed / self.time_constant.as_secs_f64()).exp()
    }

    /// Returns the average rate per second.
    pub fn per_second(&self, now: Instant) -> Amount {
        self.get(now) * (1.0 / self.time_constant.as_secs_f64())
    }
}
