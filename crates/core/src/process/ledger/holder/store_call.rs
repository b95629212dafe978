//! What a holder asks of the store, as values.

use crate::id::Revision;
use std::time::{Duration, Instant};

/// When a put may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutCondition {
    /// Only if there is no such object.
    Absent,
    /// Only if the object is at this version.
    Version(Revision),
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// Reads objects; they may be read side by side.
    Read {
        /// Their keys.
        keys: Vec<String>,
    },
    /// Writes an object.
    Put {
        /// Its key.
        key: String,
        /// Its value.
        value: Vec<u8>,
        /// The condition.
        when: PutCondition,
    },
    /// Lists objects.
    List {
        /// The prefix of their keys.
        prefix: String,
    },
    /// Deletes an object.
    Delete {
        /// Its key.
        key: String,
        /// Only if it is at this version.
        version: Revision,
    },
}

/// An object that was read: its version and value.
pub type ReadObject = Option<(Revision, Vec<u8>)>;

/// The store's answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The objects, in the order of the keys.
    Objects(Vec<ReadObject>),
    /// The put took effect, and this is the object's version.
    Written(Revision),
    /// Keys and versions.
    Listed(Vec<(String, Revision)>),
    /// The delete took effect.
    Deleted,
    /// The condition did not hold; nothing was written.
    Conflict {
        /// The version found, 0 for none.
        found: Revision,
    },
    /// The store refused for its rate; nothing was written.
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// The store is down; nothing was written.
    Down {
        /// Step and peer.
        detail: String,
    },
    /// No answer came: a write may have taken effect, or may yet.
    NoAnswer {
        /// Step and peer.
        detail: String,
    },
}

/// What the driver of a holder is to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderStep {
    /// Make this call, and tell the holder its reply.
    Call(StoreCall),
    /// Come back at this instant, or after a new claim.
    WaitUntil(Instant),
    /// Come back after a new claim.
    Idle,
}
