//! What the reported failure of an engine rests on, and how far another gateway may trust it.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a finding that an engine failed rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FailureEvidence {
    /// Its host answered that nothing listens there any more, or its connection was reset.
    Refused,
    /// It gave no answer in time: it may be gone or cut off, or the gateway that asked may be late itself.
    NoAnswer,
}

impl FailureEvidence {
    /// For how long a path through the engine must have had no event before a report of the failure breaks it.
    ///
    /// Events come with each pass of the engines, every 60 to 110 ms. Who finds an engine silent has had no event for two
    /// passes by then, and neither has anyone else if the engine is gone: a shorter pause refutes the finding.
    pub fn min_idle(self) -> Duration {
        match self {
            FailureEvidence::Refused => Duration::from_millis(65),
            FailureEvidence::NoAnswer => Duration::from_millis(140),
        }
    }
}
