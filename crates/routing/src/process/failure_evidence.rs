//! Evidence of a reported engine failure, and how far another gateway may trust it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Evidence that an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureEvidence {
    /// Its host refused a connection, as nothing listens there any more, or its connection was reset.
    Refused,
    /// It did not answer in time: it may be dead or unreachable, or the gateway that probed it may be delayed
    /// itself.
    NoAnswer,
}

impl FailureEvidence {
    /// Returns how long a path through the engine must have had no event before a report of the failure breaks
    /// it.
    ///
    /// Each pass of the engines brings an event, every 60 to 110 ms. A gateway that finds an engine silent has
    /// had no event for two passes by then, and neither has any other gateway if the engine is dead: a shorter
    /// pause refutes the report.
    pub fn min_idle(self) -> Duration {
        match self {
            FailureEvidence::Refused => Duration::from_millis(65),
            FailureEvidence::NoAnswer => Duration::from_millis(140),
        }
    }
}
