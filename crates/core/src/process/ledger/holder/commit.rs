//! Commits of claims by one conditional put of the head, preceded by that of an archive if the head is full.

use super::holder::{Loaded, PendingCall};
use super::{Holder, HolderStep, PutCondition, StoreCall};
use crate::clock::Clock;
use crate::id::Revision;
use crate::process::ledger::{
    ArchiveId, Batch, Claim, ClaimAnswer, Head, Record, RecordKey, Stamp, UnixMs, archive_ref,
    encode_batches, encode_keys, short_keys,
};
use std::collections::HashSet;
use std::time::Duration;

/// A head that refers to an archive just written. It must be the next head that is put, conditional on
/// the version that was loaded before the archive was written: the deletion of unreferenced objects
/// relies on this.
#[derive(Clone, Debug)]
pub(super) struct Prepared {
    pub(super) head: Head,
    id: ArchiveId,
    /// The batches that were moved to the archive.
    moved: Vec<Batch>,
    /// Whether the archive is a merged one, with the batches of the head and of all recent archives.
    merged: bool,
}

impl<C: Clock> Holder<C> {
    /// Returns the next write: an archive if the head is full, else the head with the waiting claims.
    pub(super) fn next_commit(&mut self, now_ms: UnixMs) -> HolderStep {
        let Some(loaded) = &self.loaded else { return HolderStep::Idle };
        if self.waiting.is_empty() {
            return self.next_upkeep();
        }
        if loaded.head.records() < self.cfg.head_records || self.prepared.is_some() {
            return self.put_head(now_ms);
        }
        let all = loaded.head.records() + loaded.head.recent_records();
        if all < self.cfg.merge_records {
            return self.put_archive();
        }
        if self.unexpired_merged(now_ms) < self.cfg.max_archives {
            return self.put_merged();
        }
        self.refuse_full();
        HolderStep::Idle
    }

    fn next_archive_id(&mut self) -> ArchiveId {
        self.last_archive_number += 1;
        ArchiveId { writer: self.incarnation, number: self.last_archive_number }
    }

    fn put_archive(&mut self) -> HolderStep {
        let id = self.next_archive_id();
        let Some(loaded) = &self.loaded else { return HolderStep::Idle };
        let moved = loaded.head.batches.clone();
        let mut head = Head { batches: Vec::new(), ..loaded.head.clone() };
        head.recent.push(archive_ref(id, &moved));
        self.put_prepared(Prepared { head, id, moved, merged: false })
    }

    fn put_merged(&mut self) -> HolderStep {
        let id = self.next_archive_id();
        let Some(loaded) = &self.loaded else { return HolderStep::Idle };
        let moved: Vec<Batch> = loaded.recent.iter().chain(&loaded.head.batches).cloned().collect();
        let mut merged = loaded.head.merged.clone();
        merged.push(archive_ref(id, &moved));
        let head = Head { merged, recent: Vec::new(), batches: Vec::new() };
        self.put_prepared(Prepared { head, id, moved, merged: true })
    }

    fn put_prepared(&mut self, prepared: Prepared) -> HolderStep {
        let key = prepared.id.key(self.shard);
        let value = encode_batches(&prepared.moved);
        let call = StoreCall::Put { key, value, when: PutCondition::Absent };
        self.call(PendingCall::PutArchive(prepared), call)
    }

    pub(super) fn on_archive_put(&mut self, prepared: Prepared) {
        if !prepared.merged {
            self.counts.archives += 1;
            self.prepared = Some(prepared);
            return;
        }
        self.counts.merges += 1;
        self.upkeep.put_keys = Some(prepared);
    }

    /// Writes the object with the short keys of a merged archive.
    pub(super) fn put_keys(&mut self, prepared: Prepared) -> HolderStep {
        let key = prepared.id.index_key(self.shard);
        let value = encode_keys(&short_keys(&prepared.moved));
        let call = StoreCall::Put { key, value, when: PutCondition::Absent };
        self.call(PendingCall::PutKeys(prepared), call)
    }

    fn put_head(&mut self, now_ms: UnixMs) -> HolderStep {
        let prepared = self.prepared.take();
        let Some(loaded) = &self.loaded else { return HolderStep::Idle };
        let mut head = match &prepared {
            Some(prepared) => prepared.head.clone(),
            None => loaded.head.clone(),
        };
        head.merged.retain(|archive| !self.is_expired(archive.last_ms, now_ms));
        let base = loaded.version;
        head.batches.push(Batch { base, at_ms: now_ms, records: self.next_records() });
        let when = match base {
            0 => PutCondition::Absent,
            version => PutCondition::Version(version),
        };
        let call = StoreCall::Put { key: self.head_key(), value: head.encode(), when };
        self.call(PendingCall::PutHead(Box::new((head, prepared))), call)
    }

    /// Returns records for the waiting claims, at most one per key.
    fn next_records(&self) -> Vec<Record> {
        let mut keys: HashSet<RecordKey> = HashSet::new();
        let claims = self.waiting.iter().map(|waiting| &waiting.claim);
        claims
            .filter(|claim| keys.insert(claim.key))
            .take(self.cfg.max_batch)
            .map(record_of)
            .collect()
    }

    /// Handles a put of the head that took effect: grants the claims whose records it holds.
    pub(super) fn on_head_put(
        &mut self,
        version: Revision,
        (head, prepared): (Head, Option<Prepared>),
    ) {
        let Some(loaded) = &mut self.loaded else { return };
        self.highest_version = self.highest_version.max(version);
        let batch = head.batches.last().cloned();
        loaded.drop_expired(&head);
        loaded.version = version;
        loaded.head = head;
        if let Some(prepared) = prepared {
            loaded.apply_archive(prepared);
            self.upkeep.schedule_listing();
            self.waiting.iter_mut().for_each(super::WaitingClaim::forget_old);
        }
        let Some(batch) = batch else { return };
        loaded.index.add(&batch);
        self.counts.batches += 1;
        self.upkeep.puts_since_delete += 1;
        self.grant(&batch);
    }

    fn grant(&mut self, batch: &Batch) {
        for record in &batch.records {
            let matches_record = |waiting: &super::WaitingClaim| {
                waiting.claim.owner == record.owner && waiting.claim.after + 1 == record.attempt
            };
            let Some(at) = self.waiting.iter().position(matches_record) else { continue };
            let Some(waiting) = self.waiting.remove(at) else { continue };
            self.counts.granted += 1;
            let stamp = Stamp {
                shard: self.shard,
                key: record.key,
                attempt: record.attempt,
                base: batch.base,
            };
            self.answer(waiting.from, &waiting.claim, ClaimAnswer::Granted(stamp));
        }
    }

    fn unexpired_merged(&self, now_ms: UnixMs) -> usize {
        let Some(loaded) = &self.loaded else { return 0 };
        let merged = loaded.head.merged.iter();
        merged.filter(|archive| !self.is_expired(archive.last_ms, now_ms)).count()
    }

    fn is_expired(&self, last_ms: UnixMs, now_ms: UnixMs) -> bool {
        last_ms.saturating_add(self.cfg.retention.as_millis() as u64) < now_ms
    }

    /// Refuses the waiting claims because the shard has no capacity for more keys. Keys are not dropped
    /// early to free capacity, as a request with a dropped key could run twice.
    fn refuse_full(&mut self) {
        let (recent, old) = self.keys();
        for waiting in std::mem::take(&mut self.waiting) {
            let detail = format!("the shard remembers {} keys, its most", recent + old);
            self.refuse(waiting.from, &waiting.claim, false, detail, FULL_RETRY_AFTER);
        }
    }
}

/// Retry delay for claims to a shard that has no capacity for more keys.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(60);

fn record_of(claim: &Claim) -> Record {
    Record {
        key: claim.key,
        fingerprint: claim.fingerprint,
        attempt: claim.after + 1,
        target: claim.target,
        owner: claim.owner,
    }
}

impl Loaded {
    fn drop_expired(&mut self, next: &Head) {
        let kept: HashSet<ArchiveId> = next.merged.iter().map(|archive| archive.id).collect();
        let gone = self.head.merged.iter().filter(|archive| !kept.contains(&archive.id));
        let gone: Vec<ArchiveId> = gone.map(|archive| archive.id).collect();
        gone.into_iter().for_each(|id| self.index.forget_old(id));
    }

    fn apply_archive(&mut self, prepared: Prepared) {
        if !prepared.merged {
            self.recent.extend(prepared.moved);
            return;
        }
        self.index.forget_recent(&prepared.moved);
        self.index.add_old(prepared.id, short_keys(&prepared.moved));
        self.recent.clear();
    }
}
