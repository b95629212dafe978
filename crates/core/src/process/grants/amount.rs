//! Amount that a limit counts: requests and tokens.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// A number of requests and a number of tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Number of requests.
    pub requests: f64,
    /// Number of tokens, of prompts and answers.
    pub tokens: f64,
}

impl Amount {
    /// No requests and no tokens.
    pub const ZERO: Amount = Amount { requests: 0.0, tokens: 0.0 };

    /// Creates an amount.
    pub fn new(requests: f64, tokens: f64) -> Amount {
        Amount { requests, tokens }
    }

    /// Returns the smaller number of requests and of tokens.
    pub fn min(self, other: Amount) -> Amount {
        Amount::new(self.requests.min(other.requests), self.tokens.min(other.tokens))
    }

    /// Returns the larger number of requests and of tokens.
    pub fn max(self, other: Amount) -> Amount {
        Amount::new(self.requests.max(other.requests), self.tokens.max(other.tokens))
    }

    /// Returns whether either number is positive.
    pub fn is_some(self) -> bool {
        self.requests > 0.0 || self.tokens > 0.0
    }
}

impl Add for Amount {
    type Output = Amount;

    fn add(self, other: Amount) -> Amount {
        Amount::new(self.requests + other.requests, self.tokens + other.tokens)
    }
}

impl Sub for Amount {
    type Output = Amount;

    fn sub(self, other: Amount) -> Amount {
        Amount::new(self.requests - other.requests, self.tokens - other.tokens)
    }
}

impl Mul<f64> for Amount {
    type Output = Amount;

    fn mul(self, by: f64) -> Amount {
        Amount::new(self.requests * by, self.tokens * by)
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Amount) {
        *self = *self + other;
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Amount) {
        *self = *self - other;
    }
}
