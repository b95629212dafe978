//! Token bucket that fills at a rate up to a burst.

use super::Amount;
use std::time::{Duration, Instant};

/// Capacity of a bucket, as the time in which its rate fills it.
pub const BURST: Duration = Duration::from_secs(1);
/// Longest wait that is reported.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Token bucket of requests and tokens. Its level may be negative, where a request took more than
/// was expected.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: Amount,
    level: Amount,
    at: Instant,
}

impl Bucket {
    /// Creates a bucket that holds the share `filled` of its burst.
    pub fn new(now: Instant, rate: Amount, filled: f64) -> Bucket {
        let mut bucket = Bucket { rate, level: Amount::ZERO, at: now };
        bucket.level = bucket.burst() * filled;
        bucket
    }

    /// Returns its capacity: at least one request and one token.
    pub fn burst(&self) -> Amount {
        (self.rate * BURST.as_secs_f64()).max(Amount::new(1.0, 1.0))
    }

    /// Returns the fill rate per second.
    pub fn rate(&self) -> Amount {
        self.rate
    }

    /// Returns the amount that it holds.
    pub fn level(&self) -> Amount {
        self.level
    }

    /// Fills it up to `now`, and sets the rate from then on.
    pub fn refill(&mut self, now: Instant, rate: Amount) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = now;
        let filled = self.level + self.rate * passed;
        self.rate = rate;
        self.level = filled.min(self.burst());
    }

    /// Takes an amount; the level may become negative.
    pub fn take(&mut self, amount: Amount) {
        self.level -= amount;
    }

    /// Takes an amount, but doesn't take the level below zero.
    pub fn drain(&mut self, amount: Amount) {
        let drained = (self.level - amount).max(Amount::ZERO);
        self.level = drained.min(self.level);
    }

    /// Puts an amount back, up to the burst.
    pub fn put_back(&mut self, amount: Amount) {
        self.level = (self.level + amount).min(self.burst());
    }

    /// Returns whether it is full.
    pub fn is_full(&self) -> bool {
        let (level, burst) = (self.level, self.burst());
        level.requests >= burst.requests && level.tokens >= burst.tokens
    }

    /// Returns the time until it holds one request and one token.
    pub fn time_until_available(&self) -> Duration {
        let wait = |missing: f64, rate: f64| if missing > 0.0 { missing / rate } else { 0.0 };
        let requests = wait(1.0 - self.level.requests, self.rate.requests);
        let tokens = wait(1.0 - self.level.tokens, self.rate.tokens);
        Duration::try_from_secs_f64(requests.max(tokens)).unwrap_or(MAX_WAIT).min(MAX_WAIT)
    }
}
