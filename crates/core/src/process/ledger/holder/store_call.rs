//! Calls of a holder to the store and their replies, as values.

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
    /// Reads objects; they may be read in parallel.
    Read {
        /// Keys of the objects.
        keys: Vec<String>,
    },
    /// Writes an object.
    Put {
        /// Key of the object.
        key: String,
        /// The new value.
        value: Vec<u8>,
        /// The condition of the write.
        when: PutCondition,
    },
    /// Lists objects.
    List {
        /// Prefix of their keys.
        prefix: String,
    },
    /// Deletes an object.
    Delete {
        /// Key of the object.
        key: String,
        /// The version that the object must be at.
        version: Revision,
    },
}

/// The version and value of an object that was read; `None` if there is no such object.
pub type ReadObject = Option<(Revision, Vec<u8>)>;

/// The store's answer to a [`StoreCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The objects, in the order of the keys.
    Objects(Vec<ReadObject>),
    /// The put took effect, and this is the object's version.
    Written(Revision),
    /// Keys and versions of the listed objects.
    Listed(Vec<(String, Revision)>),
    /// The delete took effect.
    Deleted,
    /// The condition did not hold; nothing was written.
    Conflict {
        /// The version found, 0 for none.
        found: Revision,
    },
    /// The store refused the call because of its rate limit; nothing was written.
    RateLimited {
        /// When to retry.
        retry_after: Duration,
    },
    /// The store is down; nothing was written.
    Down {
        /// The step that failed, and the peer.
        detail: String,
    },
    /// No answer arrived: a write may have taken effect, or may still do so.
    NoAnswer {
        /// The step that failed, and the peer.
        detail: String,
    },
}

/// What the driver of a holder must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderStep {
    /// Make this call, and pass its reply to the holder.
    Call(StoreCall),
    /// Get the next step at this instant, or after a new claim.
    WaitUntil(Instant),
    /// Get the next step after a new claim.
    Idle,
}
