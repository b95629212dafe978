//! Objects of a shard in the store: its head and its archives.

use super::{Batch, Record, Shard, UnixMs, short_key};
use crate::id::{Incarnation, Revision};
use serde::{Deserialize, Serialize};

/// Prefix of all objects of the ledger in the store.
pub const LEDGER_PREFIX: &str = "ledger/";

/// Returns the store key of a shard's head.
pub fn head_key(shard: Shard) -> String {
    format!("{LEDGER_PREFIX}{shard:03}/head")
}

/// Returns the key prefix of a shard's archives in the store.
pub fn archive_prefix(shard: Shard) -> String {
    format!("{LEDGER_PREFIX}{shard:03}/archive/")
}

/// Identifies an archive; unique over all writers and all archives of a writer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ArchiveId {
    /// Incarnation of the daemon that wrote it.
    pub writer: Incarnation,
    /// Sequence number among the archives of the writer.
    pub number: u32,
}

impl ArchiveId {
    /// Returns the store key of the archive.
    pub fn key(&self, shard: Shard) -> String {
        format!("{}{:016x}-{}", archive_prefix(shard), self.writer, self.number)
    }

    /// Returns the store key of the object that holds the short keys of a merged archive.
    pub fn index_key(&self, shard: Shard) -> String {
        format!("{}.index", self.key(shard))
    }
}

/// Reference from a head to an archive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ArchiveRef {
    /// Identifier of the archive.
    pub id: ArchiveId,
    /// Number of records in the archive.
    pub records: u32,
    /// When its last record was written.
    pub last_ms: UnixMs,
}

/// The head of a shard: its latest records, and references to the archives of earlier ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Merged archives, oldest first; each has a second object with its short keys.
    pub merged: Vec<ArchiveRef>,
    /// Archives that are not merged yet, oldest first.
    pub recent: Vec<ArchiveRef>,
    /// Batches committed since the last archive was written.
    pub batches: Vec<Batch>,
}

impl Head {
    /// Returns the number of records in the head itself.
    pub fn records(&self) -> usize {
        self.batches.iter().map(|batch| batch.records.len()).sum()
    }

    /// Returns the number of records in archives that are not merged yet.
    pub fn recent_records(&self) -> usize {
        self.recent.iter().map(|archive| archive.records as usize).sum()
    }

    /// Whether the head refers to the object with this store key.
    pub fn refers_to(&self, shard: Shard, key: &str) -> bool {
        let merged = self.merged.iter();
        merged
            .flat_map(|archive| [archive.id.key(shard), archive.id.index_key(shard)])
            .chain(self.recent.iter().map(|archive| archive.id.key(shard)))
            .any(|referred| referred == key)
    }

    /// Encodes the head as its value in the store.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a head can be encoded")
    }

    /// Decodes a head from its value in the store.
    pub fn decode(value: &[u8]) -> Option<Head> {
        postcard::from_bytes(value).ok()
    }
}

/// Returns a reference to an archive of `batches` with the identifier `id`.
pub(super) fn archive_ref(id: ArchiveId, batches: &[Batch]) -> ArchiveRef {
    let records = batches.iter().map(|batch| batch.records.len() as u32).sum();
    let last_ms = batches.iter().map(|batch| batch.at_ms).max().unwrap_or_default();
    ArchiveRef { id, records, last_ms }
}

/// Encodes an archive as its value in the store.
pub(super) fn encode_batches(batches: &[Batch]) -> Vec<u8> {
    postcard::to_stdvec(batches).expect("an archive can be encoded")
}

/// Decodes an archive from its value in the store.
pub(super) fn decode_batches(value: &[u8]) -> Option<Vec<Batch>> {
    postcard::from_bytes(value).ok()
}

/// Returns the short keys of the records of an archive, sorted.
pub(super) fn short_keys(batches: &[Batch]) -> Vec<u64> {
    let records = batches.iter().flat_map(|batch| &batch.records);
    let mut keys: Vec<u64> = records.map(|record| short_key(&record.key)).collect();
    keys.sort_unstable();
    keys
}

/// Encodes short keys as an object of eight little-endian bytes each.
pub(super) fn encode_keys(keys: &[u64]) -> Vec<u8> {
    keys.iter().flat_map(|key| key.to_le_bytes()).collect()
}

/// Decodes an object of short keys.
pub(super) fn decode_keys(value: &[u8]) -> Option<Vec<u64>> {
    let chunks = value.chunks_exact(size_of::<u64>());
    let whole = chunks.remainder().is_empty();
    whole
        .then(|| chunks.map(|key| u64::from_le_bytes(key.try_into().unwrap_or_default())).collect())
}

/// A record with the version and time of its batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CommittedRecord {
    pub(super) record: Record,
    pub(super) base: Revision,
    pub(super) at_ms: UnixMs,
}
