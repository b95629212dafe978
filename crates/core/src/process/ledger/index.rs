//! In-memory index of the keys of a shard.

use super::head::CommittedRecord;
use super::{ArchiveId, Batch, Claim, RecordKey, Stamp, UnixMs, short_key};
use std::collections::HashMap;
use std::time::Duration;

/// The short keys of one merged archive.
#[derive(Clone, Debug)]
struct OldKeys {
    id: ArchiveId,
    keys: Vec<u64>,
}

/// The keys of a shard: recent records in full, and of each record in a merged archive the eight
/// bytes of its short key.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    recent: HashMap<RecordKey, CommittedRecord>,
    old: Vec<OldKeys>,
}

/// Where the index has a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Lookup<'a> {
    /// The key is new.
    NotFound,
    /// The key has a recent record.
    Recent(&'a CommittedRecord),
    /// The key may be in these archives, newest first. They must be read, as short keys may collide.
    Archives(Vec<ArchiveId>),
}

impl Index {
    /// Adds the records of a batch. A later record of a key supersedes an earlier one.
    pub(super) fn add(&mut self, batch: &Batch) {
        for record in &batch.records {
            let known =
                CommittedRecord { record: record.clone(), base: batch.base, at_ms: batch.at_ms };
            let entry = self.recent.entry(record.key).or_insert_with(|| known.clone());
            if entry.base <= known.base {
                *entry = known;
            }
        }
    }

    /// Adds the short keys of a merged archive.
    pub(super) fn add_old(&mut self, id: ArchiveId, keys: Vec<u64>) {
        self.old.push(OldKeys { id, keys });
    }

    /// Removes recent records that are in a merged archive now.
    pub(super) fn forget_recent(&mut self, batches: &[Batch]) {
        for batch in batches {
            for record in &batch.records {
                if self.recent.get(&record.key).is_some_and(|known| known.base == batch.base) {
                    self.recent.remove(&record.key);
                }
            }
        }
    }

    /// Removes the short keys of a merged archive.
    pub(super) fn forget_old(&mut self, id: ArchiveId) {
        self.old.retain(|old| old.id != id);
    }

    /// Looks up a key.
    pub(super) fn find(&self, key: &RecordKey) -> Lookup<'_> {
        if let Some(known) = self.recent.get(key) {
            return Lookup::Recent(known);
        }
        let short = short_key(key);
        let holds = |old: &&OldKeys| old.keys.binary_search(&short).is_ok();
        let archives: Vec<ArchiveId> =
            self.old.iter().rev().filter(holds).map(|old| old.id).collect();
        if archives.is_empty() { Lookup::NotFound } else { Lookup::Archives(archives) }
    }

    /// Returns the number of keys: recent records, and short keys of merged archives.
    pub(super) fn len(&self) -> (usize, usize) {
        (self.recent.len(), self.old.iter().map(|old| old.keys.len()).sum())
    }
}

/// Result of checking a claim against the latest record of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum ClaimCheck {
    /// The claim may be committed.
    Commit,
    /// The claim is committed already, with this stamp.
    Own(Stamp),
    /// Another record of the key is in force.
    Other(Stamp),
    /// The key was used for another request.
    Mismatch,
    /// The claim follows an attempt that isn't in the index, so the index is out of date.
    UnknownAttempt,
}

impl CommittedRecord {
    /// Checks a claim against this record, the latest one of its key.
    pub(super) fn check_claim(&self, claim: &Claim, shard: u16) -> ClaimCheck {
        let attempt = self.record.attempt;
        let stamp = Stamp { shard, key: claim.key, attempt, base: self.base };
        if self.record.fingerprint != claim.fingerprint {
            return ClaimCheck::Mismatch;
        }
        if attempt == claim.after {
            return ClaimCheck::Commit;
        }
        if attempt < claim.after {
            return ClaimCheck::UnknownAttempt;
        }
        if self.record.owner == claim.owner && attempt == claim.after + 1 {
            return ClaimCheck::Own(stamp);
        }
        ClaimCheck::Other(stamp)
    }

    /// Whether the retention of the key has ended.
    pub(super) fn expired(&self, now_ms: UnixMs, retention: Duration) -> bool {
        self.at_ms.saturating_add(retention.as_millis() as u64) < now_ms
    }
}
