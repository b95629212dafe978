//! Globally unique identity of a request.

use crate::id::{Incarnation, Sequence};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Identifies one request by the incarnation of its entry and its sequence number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestKey {
    /// The entry that drives the request.
    pub entry: Incarnation,
    /// The request's number at that entry.
    pub sequence: Sequence,
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{}", self.entry, self.sequence)
    }
}
