//! A bucket that fills at a rate up to a burst.

use super::Amount;
use std::time::{Duration, Instant};

/// A bucket holds what its rate brings in this time.
pub const BURST: Duration = Duration::from_secs(1);
/// The longest time told until there is something.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// A bucket of requests and tokens. It may go below nothing, where what was spent came to more
/// than was known beforehand.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: Amount,
    level: Amount,
    at: Instant,
}

impl Bucket {
    /// A bucket that holds the share `filled` of its burst.
    pub fn new(now: Instant, rate: Amount, filled: f64) -> Bucket {
        let mut bucket = Bucket { rate, level: Amount::ZERO, at: now };
        bucket.level = bucket.burst() * filled;
        bucket
    }

    /// The most that it holds; at least one request and one token.
    pub fn burst(&self) -> Amount {
        (self.rate * BURST.as_secs_f64()).max(Amount::new(1.0, 1.0))
    }

    /// What it fills at, a second.
    pub fn rate(&self) -> Amount {
        self.rate
    }

    /// What it holds.
    pub fn level(&self) -> Amount {
        self.level
    }

    /// Fills up to now; from now on at `rate`.
    pub fn refill(&mut self, now: Instant, rate: Amount) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let filled = self.level + self.rate * passed;
        self.rate = rate;
        self.level = filled.min(self.burst());
    }

    /// Takes an amount out, also below nothing.
    pub fn take(&mut self, amount: Amount) {
        self.level -= amount;
    }

    /// Takes an amount out as far as there is something.
    pub fn drain(&mut self, amount: Amount) {
        let drained = (self.level - amount).max(Amount::ZERO);
        self.level = drained.min(self.level);
    }

    /// Puts an amount back.
    pub fn put_back(&mut self, amount: Amount) {
        self.level = (self.level + amount).min(self.burst());
    }

    /// Whether it is as full as it gets.
    pub fn is_full(&self) -> bool {
        let (level, burst) = (self.level, self.burst());
        level.requests >= burst.requests && level.tokens >= burst.tokens
    }

    /// When it will hold one request, and some token.
    pub fn time_until_some(&self) -> Duration {
        let wait = |missing: f64, rate: f64| if missing > 0.0 { missing / rate } else { 0.0 };
        let requests = wait(1.0 - self.level.requests, self.rate.requests);
        let tokens = wait(1.0 - self.level.tokens, self.rate.tokens);
        Duration::try_from_secs_f64(requests.max(tokens)).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}
