//! Records of the ledger: which request may run which key, and at which daemon.

use crate::id::{Attempt, Revision};
use crate::request::{Peer, RequestKey};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies an idempotency key within its workspace: the first half of a SHA-256 of both.
pub type RecordKey = [u8; 16];
/// Distinguishes requests with the same key: the first half of a SHA-256 of the parts that matter.
pub type Fingerprint = [u8; 16];
/// Index of a shard of the ledger.
pub type Shard = u16;
/// Milliseconds since the Unix epoch; used only for the retention of keys.
pub type UnixMs = u64;

/// Returns the key under which a caller's `Idempotency-Key` is recorded.
pub fn record_key(workspace: &str, idempotency_key: &str) -> RecordKey {
    half_digest(&[workspace.as_bytes(), idempotency_key.as_bytes()])
}

/// Returns the fingerprint of a request from its distinguishing parts: method, path, model, body and so on.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    half_digest(parts)
}

/// Returns the shard that stores a key.
pub fn shard_of(key: &RecordKey, shards: Shard) -> Shard {
    let tail = u64::from_le_bytes(key[8..].try_into().expect("a key has 16 bytes"));
    (tail % u64::from(shards)) as Shard
}

/// Returns the first half of a key, which the index keeps for merged archives.
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

/// Request to the holder of a shard for the right to run a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claiming request, the only one that may send the run.
    pub owner: RequestKey,
    /// The key.
    pub key: RecordKey,
    /// Fingerprint of the request to run under the key.
    pub fingerprint: Fingerprint,
    /// The last attempt that is proven not to have run; 0 if none was ever recorded.
    pub after: Attempt,
    /// The daemon that is to run it.
    pub target: Peer,
}

/// A committed right to run a key once, at one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The key.
    pub key: RecordKey,
    /// Fingerprint of the request to run under the key.
    pub fingerprint: Fingerprint,
    /// Number of this attempt at the key.
    pub attempt: Attempt,
    /// The daemon that is to run it, with its incarnation.
    pub target: Peer,
    /// The only request that may send the run.
    pub owner: RequestKey,
}

/// Records that were committed by one conditional put of the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The version of the head on which the put was conditional. It increases from batch to batch,
    /// and is known before the put, so that it does not depend on an answer that may be lost.
    pub base: Revision,
    /// When the batch was put.
    pub at_ms: UnixMs,
    /// The records.
    pub records: Vec<Record>,
}

/// Sent with a run to its daemon, which decides by it whether the run may still start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The shard that stores the key.
    pub shard: Shard,
    /// The key.
    pub key: RecordKey,
    /// The attempt at the key.
    pub attempt: Attempt,
    /// [`Batch::base`] of its record.
    pub base: Revision,
}

/// The holder's answer to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimAnswer {
    /// The claim is recorded: its owner may send the run, with this stamp.
    Granted(Stamp),
    /// Another record of the key is in force: its daemon is to be asked.
    Existing {
        /// The record's stamp.
        stamp: Stamp,
        /// The daemon that it names.
        target: Peer,
    },
    /// The key was used for another request.
    Mismatch,
    /// Nothing is granted: the store can't be written, or the shard has no free capacity.
    Refused {
        /// True if the store is the cause, false if capacity is.
        store_down: bool,
        /// The reason as a sentence.
        detail: String,
        /// When to retry, in milliseconds.
        retry_after_ms: u64,
    },
}
