//! Why a stream suspects the run that serves it.

use crate::request::EventError;
use std::fmt;

/// Why a stream suspects the run that serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunFault {
    /// The engine's connection broke, for this reason.
    ConnectionBroke(String),
    /// The engine ended its answer within an event.
    EndedWithinEvent,
    /// The engine sent an event that can't follow the last one, or is too large.
    InvalidEvent(EventError),
    /// An engine of the path is considered dead.
    PathBroken,
    /// An engine of the path is considered dead, and the run can't continue over another path.
    MoveFailed,
    /// No event arrived for too long.
    Silent,
}

/// Evidence of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultEvidence {
    /// Data or the end of the run's own connection: the run is over.
    Connection,
    /// A suspicion of an engine that came from elsewhere: the run may continue.
    Suspicion,
    /// Silence on the run's own connection: the run may continue.
    Silence,
}

impl RunFault {
    /// Returns the evidence of the fault.
    pub fn evidence(&self) -> FaultEvidence {
        match self {
            RunFault::ConnectionBroke(_)
            | RunFault::EndedWithinEvent
            | RunFault::InvalidEvent(_) => FaultEvidence::Connection,
            RunFault::PathBroken | RunFault::MoveFailed => FaultEvidence::Suspicion,
            RunFault::Silent => FaultEvidence::Silence,
        }
    }
}

impl fmt::Display for RunFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunFault::ConnectionBroke(why) => write!(f, "the engine's connection broke: {why}"),
            RunFault::EndedWithinEvent => f.write_str("the engine ended within an event"),
            RunFault::InvalidEvent(err) => err.fmt(f),
            RunFault::PathBroken => f.write_str("an engine of the path is gone"),
            RunFault::MoveFailed => {
                f.write_str("an engine of the path is gone, and no other took its part")
            }
            RunFault::Silent => f.write_str("no event for too long"),
        }
    }
}
