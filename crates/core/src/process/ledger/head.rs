//! The objects of a shard in the store: its head and its archives.

use super::{Batch, Record, Shard, UnixMs, short_key};
use crate::id::{Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// Prefix of all objects of the ledger in the store.
pub const LEDGER_PREFIX: &str = "ledger/";

/// Key in the store of a shard's head.
pub fn head_key(shard: Shard) -> String {
    format!("{LEDGER_PREFIX}{shard:03}/head")
}

/// Prefix in the store of a shard's archives.
pub fn archive_prefix(shard: Shard) -> String {
    format!("{LEDGER_PREFIX}{shard:03}/archive/")
}

/// Names an archive: no two writers, and no writer twice, make the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ArchiveId {
    /// The daemon that wrote it.
    pub writer: Incarnation,
    /// Its number among the archives of the writer.
    pub number: u32,
}

impl ArchiveId {
    /// Its key in the store.
    pub fn key(&self, shard: Shard) -> String {
        format!("{}{:016x}-{}", archive_prefix(shard), self.writer, self.number)
    }

    /// Key in the store of the short keys of a merged archive.
    pub fn index_key(&self, shard: Shard) -> String {
        format!("{}.index", self.key(shard))
    }
}

/// An archive as the head refers to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchiveRef {
    /// Its name.
    pub id: ArchiveId,
    /// How many records it holds.
    pub records: u32,
    /// When its last record was put.
    pub last_ms: UnixMs,
}

/// The head of a shard: the last records, and the archives of those before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Merged archives, oldest first; each has an object of short keys beside it.
    pub merged: Vec<ArchiveRef>,
    /// Archives that are not merged yet, oldest first.
    pub recent: Vec<ArchiveRef>,
    /// The batches since the last archive.
    pub batches: Vec<Batch>,
}

impl Head {
    /// How many records it holds itself.
    pub fn records(&self) -> usize {
        self.batches.iter().map(|batch| batch.records.len()).sum()
    }

    /// How many records lie in archives that are not merged yet.
    pub fn recent_records(&self) -> usize {
        self.recent.iter().map(|archive| archive.records as usize).sum()
    }

    /// Whether it refers to the object of this key.
    pub fn refers_to(&self, shard: Shard, key: &str) -> bool {
        let merged = self.merged.iter();
        merged
            .flat_map(|archive| [archive.id.key(shard), archive.id.index_key(shard)])
            .chain(self.recent.iter().map(|archive| archive.id.key(shard)))
            .any(|referred| referred == key)
    }

    /// Its value in the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a head can be encoded")
    }

    /// Reads its value.
    pub fn decode(value: &[u8]) -> Option<Head> {
        postcard::from_bytes(value).ok()
    }
}

/// A reference to an archive of `batches` under `id`.
pub(super) fn archive_ref(id: ArchiveId, batches: &[Batch]) -> ArchiveRef {
    let records = batches.iter().map(|batch| batch.records.len() as u32).sum();
    let last_ms = batches.iter().map(|batch| batch.at_ms).max().unwrap_or_default();
    ArchiveRef { id, records, last_ms }
}

/// The value of an archive.
pub(super) fn encode_batches(batches: &[Batch]) -> Vec<u8> {
    postcard::to_stdvec(batches).expect("an archive can be encoded")
}

/// Reads the value of an archive.
pub(super) fn decode_batches(value: &[u8]) -> Option<Vec<Batch>> {
    postcard::from_bytes(value).ok()
}

/// The short keys of the records of an archive, in order.
pub(super) fn short_keys(batches: &[Batch]) -> Vec<u64> {
    let records = batches.iter().flat_map(|batch| &batch.records);
    let mut keys: Vec<u64> = records.map(|record| short_key(&record.key)).collect();
    keys.sort_unstable();
    keys
}

/// The value of an object of short keys: eight bytes each.
pub(super) fn encode_keys(keys: &[u64]) -> Vec<u8> {
    keys.iter().flat_map(|key| key.to_le_bytes()).collect()
}

/// Reads an object of short keys.
pub(super) fn decode_keys(value: &[u8]) -> Option<Vec<u64>> {
    let chunks = value.chunks_exact(size_of::<u64>());
    let whole = chunks.remainder().is_empty();
    whole
        .then(|| chunks.map(|key| u64::from_le_bytes(key.try_into().unwrap_or_default())).collect())
}

/// A record with what its batch tells of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Known {
    pub(super) record: Record,
    pub(super) base: Revision,
    pub(super) at_ms: UnixMs,
}
