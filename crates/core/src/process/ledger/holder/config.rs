//! Settings and counters of a holder.

use std::time::Duration;

/// Maximum number of writes to the store per second, for the whole ledger.
pub const WRITE_BUDGET_PER_S: f64 = 200.0;
/// Number of shards: few enough that each commits often within the write budget, and enough that the
/// keys of a day fit into the memory of one holder.
pub const SHARDS: u16 = 16;

/// Settings of a holder.
#[derive(Clone, Copy, Debug)]
pub struct HolderConfig {
    /// Maximum number of writes per second.
    pub writes_per_s: f64,
    /// Number of records in a head from which they are moved to an archive.
    pub head_records: usize,
    /// Number of records in the head and the recent archives from which they are merged into one archive.
    pub merge_records: usize,
    /// Maximum number of merged archives; at this number new keys are refused until old ones expire.
    pub max_archives: usize,
    /// Maximum number of claims committed by one put.
    pub max_batch: usize,
    /// Maximum number of waiting claims.
    pub max_waiting: usize,
    /// Maximum time that a claim waits for its record.
    pub max_wait: Duration,
    /// How long a key is kept.
    pub retention: Duration,
}

impl HolderConfig {
    /// Default of `retention`: 24 hours.
    pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

    /// Returns the defaults: an even share of [`WRITE_BUDGET_PER_S`] for each of [`SHARDS`].
    pub fn new() -> HolderConfig {
        HolderConfig {
            writes_per_s: WRITE_BUDGET_PER_S / f64::from(SHARDS),
            head_records: 512,
            merge_records: 8_192,
            max_archives: 400,
            max_batch: 256,
            max_waiting: 4_096,
            max_wait: Duration::from_secs(2),
            retention: HolderConfig::RETENTION,
        }
    }

    /// Sets how long keys are kept.
    pub fn with_retention(mut self, retention: Duration) -> HolderConfig {
        self.retention = retention;
        self
    }

    /// Sets the maximum number of writes per second.
    pub fn with_writes_per_s(mut self, writes_per_s: f64) -> HolderConfig {
        self.writes_per_s = writes_per_s;
        self
    }

    /// Sets the sizes: records of a head, records of a merge, and the maximum number of merged archives.
    pub fn with_sizes(mut self, head: usize, merge: usize, archives: usize) -> HolderConfig {
        self.head_records = head;
        self.merge_records = merge;
        self.max_archives = archives;
        self
    }
}

impl Default for HolderConfig {
    fn default() -> Self {
        HolderConfig::new()
    }
}

/// Counters of a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderCounts {
    /// Attempted writes of any kind, deletes included.
    pub writes: u64,
    /// Puts of the head with new records.
    pub batches: u64,
    /// Records committed.
    pub granted: u64,
    /// Claims answered with another record.
    pub existing: u64,
    /// Claims whose key was used for a different request.
    pub mismatches: u64,
    /// Claims refused.
    pub refused: u64,
    /// Puts of the head that failed because their condition on its version did not hold.
    pub conflicts: u64,
    /// Puts whose answer was lost.
    pub answers_lost: u64,
    /// Claims whose record was found to be committed already, for example after the answer to its put was lost.
    pub settled: u64,
    /// Times that the shard was loaded, the first load included.
    pub loads: u64,
    /// Reads that returned an older head than one seen before, or lacked an archive that a head refers to.
    pub stale_reads: u64,
    /// Reads of archives for a claim.
    pub lookups: u64,
    /// Archives written.
    pub archives: u64,
    /// Merged archives written.
    pub merges: u64,
    /// Deleted objects that no head refers to.
    pub swept: u64,
    /// Times that the store was found down.
    pub downs: u64,
}
