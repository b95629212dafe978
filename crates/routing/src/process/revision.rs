//! Moments in the history of the platform's store.

/// Counts the changes of the store.
pub type Revision = u64;
