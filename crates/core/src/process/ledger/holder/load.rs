//! Reading a shard: the head, then the archives that it refers to.

use super::holder::{Doing, Loaded};
use super::{Holder, HolderStep, ReadObject, StoreCall};
use crate::clock::Clock;
use crate::id::Revision;
use crate::process::ledger::{ArchiveId, Batch, Head, Index, decode_batches, decode_keys};
use std::collections::VecDeque;

/// Archives that are read side by side.
const READ_AT_ONCE: usize = 16;

/// A shard of which some archives are still to be read.
#[derive(Clone, Debug)]
pub(super) struct Loading {
    loaded: Loaded,
    /// Archives to read, with whether they are merged ones.
    todo: VecDeque<(ArchiveId, bool)>,
    reading: Vec<(ArchiveId, bool)>,
}

impl<C: Clock> Holder<C> {
    pub(super) fn next_load(&mut self) -> HolderStep {
        let shard = self.shard;
        let Some(loading) = &mut self.loading else {
            self.counts.loads += 1;
            let keys = vec![self.head_key()];
            return self.call(Doing::ReadHead, StoreCall::Read { keys });
        };
        // What was under way when a read failed is still to be read.
        let again = std::mem::take(&mut loading.reading);
        again.into_iter().rev().for_each(|archive| loading.todo.push_front(archive));
        let count = loading.todo.len().min(READ_AT_ONCE);
        loading.reading = loading.todo.drain(..count).collect();
        let key = |(id, merged): &(ArchiveId, bool)| match merged {
            true => id.index_key(shard),
            false => id.key(shard),
        };
        let keys = loading.reading.iter().map(key).collect();
        self.call(Doing::ReadArchives, StoreCall::Read { keys })
    }

    pub(super) fn on_head(&mut self, objects: Vec<ReadObject>) {
        let object = objects.into_iter().next().flatten();
        let (version, head) = match object {
            None => (0, Some(Head::default())),
            Some((version, value)) => (version, Head::decode(&value)),
        };
        if version < self.floor {
            return self.on_stale_read();
        }
        let Some(head) = head else {
            return self.go_down("the head of the shard can't be read");
        };
        self.floor = version;
        self.begin_loading(version, head);
    }

    fn begin_loading(&mut self, version: Revision, head: Head) {
        let merged = head.merged.iter().map(|archive| (archive.id, true));
        let todo = merged.chain(head.recent.iter().map(|archive| (archive.id, false))).collect();
        let loaded = Loaded { version, head, index: Index::default(), recent: Vec::new() };
        self.loading = Some(Loading { loaded, todo, reading: Vec::new() });
        self.end_loading();
    }

    pub(super) fn on_archives(&mut self, objects: Vec<ReadObject>) {
        let Some(loading) = &mut self.loading else { return };
        let reading = std::mem::take(&mut loading.reading);
        for ((id, merged), object) in reading.into_iter().zip(objects) {
            let taken = object.is_some_and(|(_, value)| loading.take(id, merged, &value));
            if !taken {
                // A head that refers to it was superseded, or the read was stale: never "no records".
                self.loading = None;
                return self.on_stale_read();
            }
        }
        self.end_loading();
    }

    /// Once all archives are read, the batches of the head go on top, and the shard is loaded.
    fn end_loading(&mut self) {
        let Some(mut loading) = self.loading.take_if(|loading| loading.todo.is_empty()) else {
            return;
        };
        let loaded = &mut loading.loaded;
        loaded.recent.iter().for_each(|batch| loaded.index.add(batch));
        loaded.head.batches.iter().for_each(|batch| loaded.index.add(batch));
        self.loaded = Some(loading.loaded);
        self.upkeep.begin();
    }
}

impl Loading {
    fn take(&mut self, id: ArchiveId, merged: bool, value: &[u8]) -> bool {
        if merged {
            let keys = decode_keys(value);
            let known = keys.is_some();
            keys.into_iter().for_each(|keys| self.loaded.index.add_old(id, keys));
            return known;
        }
        let batches: Option<Vec<Batch>> = decode_batches(value);
        let known = batches.is_some();
        self.loaded.recent.extend(batches.into_iter().flatten());
        known
    }
}
