//! A sum in which older amounts count less and less.

use super::Amount;
use std::time::{Duration, Instant};

/// A sum in which an amount counts a third after `memory`. At a steady rate it comes to what
/// `memory` brings.
#[derive(Clone, Copy, Debug)]
pub struct Decayed {
    sum: Amount,
    at: Instant,
    memory: Duration,
}

impl Decayed {
    /// Nothing yet.
    pub fn new(now: Instant, memory: Duration) -> Decayed {
        Decayed { sum: Amount::ZERO, at: now, memory }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Instant, amount: Amount) {
        self.sum = self.get(now) + amount;
        self.at = now;
    }

    /// The sum as of now.
    pub fn get(&self, now: Instant) -> Amount {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.sum * (-passed / self.memory.as_secs_f64()).exp()
    }

    /// The rate a second.
    pub fn per_second(&self, now: Instant) -> Amount {
        self.get(now) * (1.0 / self.memory.as_secs_f64())
    }
}
