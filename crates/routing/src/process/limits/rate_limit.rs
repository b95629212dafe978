//! A number of requests a second.

use crate::process::parse_thousandths;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Number of requests a second that an endpoint takes, in thousandths.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RateLimit(u64);

impl RateLimit {
    /// Returns the limit in requests a second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1e3
    }
}

impl fmt::Display for RateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.per_s())
    }
}

/// The text is not a decimal number of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidRateLimit;

impl fmt::Display for InvalidRateLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a decimal number of requests a second, such as 4.3")
    }
}

impl std::error::Error for InvalidRateLimit {}

impl FromStr for RateLimit {
    type Err = InvalidRateLimit;

    /// Parses digits with at most one decimal point. A number that is too large is the largest one.
    fn from_str(text: &str) -> Result<RateLimit, InvalidRateLimit> {
        parse_thousandths(text).map(RateLimit).ok_or(InvalidRateLimit)
    }
}
