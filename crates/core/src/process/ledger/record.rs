//! Records of the ledger: who may run which key, and where.

use crate::id::{Attempt, Revision};
use crate::request::{Peer, RequestKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Names a key within its workspace: half of a SHA-256 of both.
pub type RecordKey = [u8; 16];
/// Tells one request from another with the same key: half of a SHA-256 of all that matters.
pub type Fingerprint = [u8; 16];
/// Index of a shard of the ledger.
pub type Shard = u16;
/// Milliseconds since the Unix epoch; only the retention of keys reads it.
pub type UnixMs = u64;

/// The key under which a caller's `Idempotency-Key` is recorded.
pub fn record_key(workspace: &str, idempotency_key: &str) -> RecordKey {
    half_digest(&[workspace.as_bytes(), idempotency_key.as_bytes()])
}

/// The fingerprint of a request: method, path, model, body, whatever tells it from another.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    half_digest(parts)
}

/// The shard that keeps a key.
pub fn shard_of(key: &RecordKey, shards: Shard) -> Shard {
    let tail = u64::from_le_bytes(key[8..].try_into().expect("a key has 16 bytes"));
    (tail % u64::from(shards)) as Shard
}

/// The first half of a key, which the index of old archives keeps.
pub(super) fn short_key(key: &RecordKey) -> u64 {
    u64::from_le_bytes(key[..8].try_into().expect("a key has 16 bytes"))
}

fn half_digest(parts: &[&[u8]]) -> [u8; 16] {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    digest.finalize()[..16].try_into().expect("a digest has 32 bytes")
}

/// Asks the holder of a shard for the right to run a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The request that asks, and that alone may send the run.
    pub owner: RequestKey,
    /// The key.
    pub key: RecordKey,
    /// What is to be run under it.
    pub fingerprint: Fingerprint,
    /// The last attempt that is proven not to have run; 0 if none was ever recorded.
    pub after: Attempt,
    /// The daemon that is to run it.
    pub target: Peer,
}

/// One committed right to run a key once, at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: RecordKey,
    /// What is to be run under it.
    pub fingerprint: Fingerprint,
    /// Its number among the attempts at the key.
    pub attempt: Attempt,
    /// The daemon that is to run it, at its incarnation.
    pub target: Peer,
    /// The request that alone may send the run.
    pub owner: RequestKey,
}

/// Records that were committed by one conditional put.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The version of the head on which the put was conditional: known before the put, so that a
    /// lost answer leaves no doubt, and growing from batch to batch.
    pub base: Revision,
    /// When it was put.
    pub at_ms: UnixMs,
    /// The records.
    pub records: Vec<Record>,
}

/// Goes with a run to its daemon, which judges by it whether the run may still start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The shard that keeps the key.
    pub shard: Shard,
    /// The key.
    pub key: RecordKey,
    /// The attempt.
    pub attempt: Attempt,
    /// [`Batch::base`] of its record.
    pub base: Revision,
}

/// The holder's answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is recorded: its owner may send the run, with this stamp.
    Granted(Stamp),
    /// Another record of the key is in force: ask its daemon.
    Existing {
        /// The record's stamp.
        stamp: Stamp,
        /// The daemon that it names.
        target: Peer,
    },
    /// The key was used for another request.
    Mismatch,
    /// Nothing is granted: the store can't be written, or there is no room.
    Refused {
        /// Whether the store is the cause; else it is room.
        store_down: bool,
        /// In a plain sentence.
        detail: String,
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}
