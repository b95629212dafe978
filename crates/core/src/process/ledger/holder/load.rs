//! Loading of a shard: its head, then the archives that the head refers to.

use super::holder::{Loaded, PendingCall};
use super::{Holder, HolderStep, ReadObject, StoreCall};
use crate::clock::Clock;
use crate::id::Revision;
use crate::process::ledger::{ArchiveId, Batch, Head, Index, decode_batches, decode_keys};
use std::collections::VecDeque;

/// Maximum number of archives that are read in parallel.
const MAX_PARALLEL_READS: usize = 16;

/// A shard that is being loaded, with the archives that are still to be read.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    loaded: Loaded,
    /// Archives to read, each with whether it is a merged one.
    unread: VecDeque<(ArchiveId, bool)>,
    reading: Vec<(ArchiveId, bool)>,
}

impl<C: Clock> Holder<C> {
    pub(super) fn next_load(&mut self) -> HolderStep {
        let shard = self.shard;
        let Some(loading) = &mut self.loading else {
            self.counts.loads += 1;
            let keys = vec![self.head_key()];
            return self.call(PendingCall::ReadHead, StoreCall::Read { keys });
        };
        // The archives of a read that failed must be read again.
        let interrupted = std::mem::take(&mut loading.reading);
        interrupted.into_iter().rev().for_each(|archive| loading.unread.push_front(archive));
        let count = loading.unread.len().min(MAX_PARALLEL_READS);
        loading.reading = loading.unread.drain(..count).collect();
        let key = |(id, merged): &(ArchiveId, bool)| match merged {
            true => id.index_key(shard),
            false => id.key(shard),
        };
        let keys = loading.reading.iter().map(key).collect();
        self.call(PendingCall::ReadArchives, StoreCall::Read { keys })
    }

    pub(super) fn on_head(&mut self, objects: Vec<ReadObject>) {
        let object = objects.into_iter().next().flatten();
        let (version, head) = match object {
            None => (0, Some(Head::default())),
            Some((version, value)) => (version, Head::decode(&value)),
        };
        if version < self.highest_version {
            return self.on_stale_read();
        }
        let Some(head) = head else {
            return self.mark_store_down("the head of the shard can't be read");
        };
        self.highest_version = version;
        self.begin_loading(version, head);
    }

    fn begin_loading(&mut self, version: Revision, head: Head) {
        let merged = head.merged.iter().map(|archive| (archive.id, true));
        let unread = merged.chain(head.recent.iter().map(|archive| (archive.id, false))).collect();
        let loaded = Loaded { version, head, index: Index::default(), recent: Vec::new() };
        self.loading = Some(Loading { loaded, unread, reading: Vec::new() });
        self.end_loading();
    }

    pub(super) fn on_archives(&mut self, objects: Vec<ReadObject>) {
        let Some(loading) = &mut self.loading else { return };
        let reading = std::mem::take(&mut loading.reading);
        for ((id, merged), object) in reading.into_iter().zip(objects) {
            let applied = object.is_some_and(|(_, value)| loading.apply(id, merged, &value));
            if !applied {
                // The head that refers to it was superseded, or the read was stale. It must not count
                // as an empty archive.
                self.loading = None;
                return self.on_stale_read();
            }
        }
        self.end_loading();
    }

    /// Completes the load once all archives are read: adds the batches of the head last.
    fn end_loading(&mut self) {
        let Some(mut loading) = self.loading.take_if(|loading| loading.unread.is_empty()) else {
            return;
        };
        let loaded = &mut loading.loaded;
        loaded.recent.iter().for_each(|batch| loaded.index.add(batch));
        loaded.head.batches.iter().for_each(|batch| loaded.index.add(batch));
        self.loaded = Some(loading.loaded);
        self.upkeep.schedule_listing();
    }
}

impl Loading {
    fn apply(&mut self, id: ArchiveId, merged: bool, value: &[u8]) -> bool {
        if merged {
            let keys = decode_keys(value);
            let decoded = keys.is_some();
            keys.into_iter().for_each(|keys| self.loaded.index.add_old(id, keys));
            return decoded;
        }
        let batches: Option<Vec<Batch>> = decode_batches(value);
        let decoded = batches.is_some();
        self.loaded.recent.extend(batches.into_iter().flatten());
        decoded
    }
}
