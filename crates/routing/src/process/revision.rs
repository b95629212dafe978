//! Revisions of the platform's store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of times that the store was restored from an older copy of itself; 0 if it doesn't report it.
pub type StoreEra = u64;
/// Number of changes of the store within an era.
pub type ChangeCount = u64;

/// A moment in the history of the store. In a new era the count goes back and is assigned again, so the era is
/// compared first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era.
    pub era: StoreEra,
    /// The changes in it, including those of the copy that it began with.
    pub count: ChangeCount,
}

impl Revision {
    /// Creates the revision after `count` changes in an era.
    pub fn new(era: StoreEra, count: ChangeCount) -> Revision {
        Revision { era, count }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.count)
    }
}
