//! The daemon's guard before an engine that may not check who gives it an order.

use crate::id::Fence;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Why an order was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceError {
    /// The lead's object was not read since the daemon started.
    NotRead,
    /// A higher number was seen.
    Old {
        /// The number of the order.
        fence: Fence,
        /// The highest seen.
        highest: Fence,
    },
}

impl fmt::Display for FenceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FenceError::NotRead => {
                write!(f, "who leads was not read from the store since the start")
            }
            FenceError::Old { fence, highest } => {
                write!(f, "the order's fencing number {fence} is below {highest}")
            }
        }
    }
}

impl std::error::Error for FenceError {}

/// The highest fencing number seen for one model. It only rises.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FenceGuard {
    highest: Option<Fence>,
}

impl FenceGuard {
    /// A guard that has read nothing, and so refuses all orders.
    pub fn new() -> FenceGuard {
        FenceGuard::default()
    }

    /// Whether the lead's object was read since the start.
    pub fn has_read(&self) -> bool {
        self.highest.is_some()
    }

    /// Takes what was read of the lead's object: its version, or 0 if there is none. A read that
    /// came late changes nothing.
    pub fn on_read(&mut self, version: Fence) {
        self.highest = Some(self.highest.map_or(version, |highest| highest.max(version)));
    }

    /// Admits an order, or refuses it for good.
    pub fn admit(&mut self, fence: Fence) -> Result<(), FenceError> {
        let highest = self.highest.ok_or(FenceError::NotRead)?;
        if fence < highest {
            return Err(FenceError::Old { fence, highest });
        }
        self.highest = Some(fence);
        Ok(())
    }
}
