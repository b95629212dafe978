//! Fencing check in the daemon, for engines that may not check who sends an order.

use crate::id::Fence;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceError {
    /// The lead's object has not been read since the daemon started.
    NotRead,
    /// A higher fencing number has been seen.
    Old {
        /// The fencing number of the order.
        fence: Fence,
        /// The highest fencing number seen.
        highest: Fence,
    },
}

impl fmt::Display for FenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FenceError::NotRead => {
                write!(f, "the lead has not been read from the store since the daemon started")
            }
            FenceError::Old { fence, highest } => {
                write!(f, "the order's fencing number {fence} is below {highest}")
            }
        }
    }
}

impl std::error::Error for FenceError {}

/// Fencing check for one model. Holds the highest fencing number seen, which never decreases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGuard {
    highest: Option<Fence>,
}

impl FenceGuard {
    /// Creates a guard that has read nothing and therefore refuses all orders.
    pub fn new() -> FenceGuard {
        FenceGuard::default()
    }

    /// Returns whether the lead's object has been read since the start.
    pub fn has_read(&self) -> bool {
        self.highest.is_some()
    }

    /// Handles a read of the lead's object: its version, or 0 if there is none. A late read that finds
    /// a version below the highest seen changes nothing.
    pub fn on_read(&mut self, version: Fence) {
        self.highest = Some(self.highest.map_or(version, |highest| highest.max(version)));
    }

    /// Admits an order, or refuses it. A number that is refused as old is never admitted later.
    pub fn admit(&mut self, fence: Fence) -> Result<(), FenceError> {
        let highest = self.highest.ok_or(FenceError::NotRead)?;
        if fence < highest {
            return Err(FenceError::Old { fence, highest });
        }
        self.highest = Some(fence);
        Ok(())
    }
}
