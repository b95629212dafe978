//! Counters of the stand-in platform.

use std::sync::atomic::AtomicU64;

/// Calls to the stand-in platform, by sort. They count calls let through; those refused are
/// counted apart.
#[derive(Debug, Default)]
pub struct PlatformCounters {
    /// Reads of one object.
    pub gets: AtomicU64,
    /// Lists by prefix.
    pub lists: AtomicU64,
    /// Puts, whether or not their precondition held.
    pub puts: AtomicU64,
    /// Deletes, whether or not their precondition held.
    pub deletes: AtomicU64,
    /// Watches.
    pub watches: AtomicU64,
    /// Reads of the list of instances.
    pub instance_lists: AtomicU64,
    /// Writes whose precondition did not hold.
    pub conflicts: AtomicU64,
    /// Calls refused for their rate.
    pub rate_limited: AtomicU64,
    /// Calls that an outage refused or swallowed.
    pub out: AtomicU64,
    /// Writes that took effect and whose answer was lost.
    pub answers_lost: AtomicU64,
    /// Reads from the old copy.
    pub stale_reads: AtomicU64,
    /// Calls cut off, as an outage held too many.
    pub cut: AtomicU64,
    /// Watches answered at once, as too many waited.
    pub watches_full: AtomicU64,
    /// Lists of instances dropped unseen, as too many waited for their lag.
    pub lists_dropped: AtomicU64,
    /// Calls that could not be read.
    pub malformed: AtomicU64,
}
