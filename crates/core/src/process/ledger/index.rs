//! What a holder remembers of the keys of its shard.

use super::head::Known;
use super::{ArchiveId, Batch, Claim, RecordKey, Stamp, UnixMs, short_key};
use std::collections::HashMap;
use std::time::Duration;

/// The short keys of one merged archive.
#[derive(Clone, Debug)]
struct OldKeys {
    id: ArchiveId,
    keys: Vec<u64>,
}

/// What a holder remembers of the keys of its shard: recent records whole, of older ones eight
/// bytes each.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    recent: HashMap<RecordKey, Known>,
    old: Vec<OldKeys>,
}

/// Where a key is found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Found<'a> {
    /// Nowhere: it is new.
    Nowhere,
    /// Among the recent ones.
    Recent(&'a Known),
    /// Perhaps in these archives, newest first; only reading them tells.
    Archives(Vec<ArchiveId>),
}

impl Index {
    /// Adds the records of a batch. A later record of a key supersedes an earlier one.
    pub(super) fn add(&mut self, batch: &Batch) {
        for record in &batch.records {
            let known = Known { record: record.clone(), base: batch.base, at_ms: batch.at_ms };
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

    /// Forgets recent records, as they lie in a merged archive now.
    pub(super) fn forget_recent(&mut self, batches: &[Batch]) {
        for batch in batches {
            for record in &batch.records {
                if self.recent.get(&record.key).is_some_and(|known| known.base == batch.base) {
                    self.recent.remove(&record.key);
                }
            }
        }
    }

    /// Forgets a merged archive.
    pub(super) fn forget_old(&mut self, id: ArchiveId) {
        self.old.retain(|old| old.id != id);
    }

    /// Where a key is found.
    pub(super) fn find(&self, key: &RecordKey) -> Found<'_> {
        if let Some(known) = self.recent.get(key) {
            return Found::Recent(known);
        }
        let short = short_key(key);
        let holds = |old: &&OldKeys| old.keys.binary_search(&short).is_ok();
        let archives: Vec<ArchiveId> =
            self.old.iter().rev().filter(holds).map(|old| old.id).collect();
        if archives.is_empty() { Found::Nowhere } else { Found::Archives(archives) }
    }

    /// How many keys are remembered, recent and old.
    pub(super) fn len(&self) -> (usize, usize) {
        (self.recent.len(), self.old.iter().map(|old| old.keys.len()).sum())
    }
}

/// What the index says to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// It may be committed.
    Commit,
    /// It is committed already, under this stamp.
    Own(Stamp),
    /// Another record is in force.
    Other(Stamp),
    /// The key was used for another request.
    Mismatch,
    /// It follows an attempt that isn't known here: what is known is out of date.
    Behind,
}

impl Known {
    /// Judges a claim against the latest record of its key.
    pub(super) fn judge(&self, claim: &Claim, shard: u16) -> Judgement {
        let attempt = self.record.attempt;
        let stamp = Stamp { shard, key: claim.key, attempt, base: self.base };
        if self.record.fingerprint != claim.fingerprint {
            return Judgement::Mismatch;
        }
        if attempt == claim.after {
            return Judgement::Commit;
        }
        if attempt < claim.after {
            return Judgement::Behind;
        }
        if self.record.owner == claim.owner && attempt == claim.after + 1 {
            return Judgement::Own(stamp);
        }
        Judgement::Other(stamp)
    }

    /// Whether the retention of the key is over.
    pub(super) fn expired(&self, now_ms: UnixMs, retention: Duration) -> bool {
        self.at_ms.saturating_add(retention.as_millis() as u64) < now_ms
    }
}
