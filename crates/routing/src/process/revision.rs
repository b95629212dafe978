//! Moments in the history of the platform's store.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Counts how often the store came back from an older copy of itself; 0 where it doesn't tell.
pub type StoreEra = u64;
/// Counts the changes of the store within an era.
pub type ChangeCount = u64;

/// A moment in the history of the store. In a new era the count goes back, and is given out again: the era goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
    /// The era.
    pub era: StoreEra,
    /// The changes in it, those of the copy that it began with included.
    pub count: ChangeCount,
}

impl Revision {
    /// The moment after so many changes in an era.
    pub fn new(era: StoreEra, count: ChangeCount) -> Revision {
        Revision { era, count }
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.count)
    }
}
