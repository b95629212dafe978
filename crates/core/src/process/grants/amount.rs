//! What a limit counts: requests and tokens.

use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Mul, Sub, SubAssign};

/// So many requests and so many tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Amount {
    /// Requests.
    pub requests: f64,
    /// Tokens, of prompts and answers.
    pub tokens: f64,
}

impl Amount {
    /// Nothing.
    pub const ZERO: Amount = Amount { requests: 0.0, tokens: 0.0 };

    /// So many requests and so many tokens.
    pub fn new(requests: f64, tokens: f64) -> Amount {
        Amount { requests, tokens }
    }

    /// The lesser of each.
    pub fn min(self, other: Amount) -> Amount {
        Amount::new(self.requests.min(other.requests), self.tokens.min(other.tokens))
    }

    /// The greater of each.
    pub fn max(self, other: Amount) -> Amount {
        Amount::new(self.requests.max(other.requests), self.tokens.max(other.tokens))
    }

    /// Whether there is any of either.
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
