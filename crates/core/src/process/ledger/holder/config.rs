//! Settings and counters of a holder.

use std::time::Duration;

/// Writes to the store that the whole ledger may make in a second.
pub const WRITE_BUDGET_PER_S: f64 = 200.0;
/// Shards of the ledger: few, so that each commits often within the budget, and enough that one
/// holder's memory bears the keys of a day.
pub const SHARDS: u16 = 16;

/// Settings of a holder.
#[derive(Clone, Copy, Debug)]
pub struct HolderConfig {
    /// Writes a second, at most.
    pub writes_per_s: f64,
    /// Records that a head holds before they go to an archive.
    pub head_records: usize,
    /// Records of recent archives that are merged into one.
    pub merge_records: usize,
    /// The most merged archives; past it new keys are refused until old ones expire.
    pub max_archives: usize,
    /// The most claims of one put.
    pub max_batch: usize,
    /// The most claims that wait.
    pub max_waiting: usize,
    /// How long a claim may wait for its record.
    pub max_wait: Duration,
    /// How long a key is remembered.
    pub retention: Duration,
}

impl HolderConfig {
    /// Default of `retention`: 24 hours.
    pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

    /// The defaults: an even share of [`WRITE_BUDGET_PER_S`] for each of [`SHARDS`].
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

    /// Remembers keys for `retention`.
    pub fn with_retention(mut self, retention: Duration) -> HolderConfig {
        self.retention = retention;
        self
    }

    /// Writes at most this often.
    pub fn with_writes_per_s(mut self, writes_per_s: f64) -> HolderConfig {
        self.writes_per_s = writes_per_s;
        self
    }

    /// Sets the sizes: records of a head, of a merge, and the most merged archives.
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

/// What a holder has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HolderCounts {
    /// Writes that were tried, of any kind.
    pub writes: u64,
    /// Heads put with new records.
    pub batches: u64,
    /// Records committed.
    pub granted: u64,
    /// Claims answered with another record.
    pub existing: u64,
    /// Claims whose key was used for another request.
    pub mismatches: u64,
    /// Claims refused.
    pub refused: u64,
    /// Puts that clashed with another holder.
    pub conflicts: u64,
    /// Puts whose answer was lost.
    pub answers_lost: u64,
    /// Claims found committed though the answer was lost.
    pub settled: u64,
    /// Times that the shard was read anew.
    pub loads: u64,
    /// Reads that showed an older head than one known.
    pub stale_reads: u64,
    /// Reads of archives for a claim.
    pub lookups: u64,
    /// Archives written.
    pub archives: u64,
    /// Merged archives written.
    pub merges: u64,
    /// Objects deleted that no head refers to.
    pub swept: u64,
    /// Times that the store was found down.
    pub downs: u64,
}
