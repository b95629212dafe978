//! The platform's object API: versions, conditional updates and watches.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::Revision;
use std::fmt;
use std::time::Duration;

/// Largest value that the platform takes, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// One object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// Its key, segments divided by `/`.
    pub key: String,
    /// The revision of the store at which it was last written.
    pub version: Revision,
    /// Its value.
    pub value: Vec<u8>,
}

/// Key and version of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ObjectMeta {
    /// Its key.
    pub key: String,
    /// Its version; in a [`Listing`] from a watch, 0 tells that it was deleted.
    pub version: Revision,
}

/// The objects under a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the store that this shows.
    pub revision: Revision,
    /// The objects, in order of key.
    pub objects: Vec<ObjectMeta>,
}

/// When a put may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// Only if there is no such object.
    Absent,
    /// Only if the object's version is this one.
    Version(Revision),
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The precondition did not hold; nothing was written.
    Conflict {
        /// The version found, 0 if there is no object.
        found: Revision,
    },
    /// The store refused for its rate; nothing was written.
    RateLimited {
        /// When to come back.
        retry_after: Duration,
    },
    /// The store could not be reached, or said that it is down; nothing was written.
    Unavailable {
        /// Step and peer.
        detail: String,
    },
    /// The call was sent and no answer came: a write may have taken effect.
    NoAnswer {
        /// Step and peer.
        detail: String,
    },
    /// The answer could not be read, or the call was malformed.
    Invalid {
        /// Step and peer.
        detail: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StoreError::Conflict { found } => write!(f, "the object is at version {found} by now"),
            StoreError::RateLimited { retry_after } => {
                write!(f, "the store refuses for its rate; come back in {retry_after:?}")
            }
            StoreError::Unavailable { detail } => write!(f, "the store is down: {detail}"),
            StoreError::NoAnswer { detail } => write!(f, "the store gave no answer: {detail}"),
            StoreError::Invalid { detail } => write!(f, "the store's answer is no good: {detail}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's object API. Calls block; each has a deadline of its own.
pub trait ObjectStore: Send + Sync + 'static {
    /// The same store, whose calls each have `limit`; a watch has it on top of its wait.
    fn with_call_limit(&self, limit: Duration) -> Self
    where
        Self: Sized;

    /// Reads an object.
    fn get(&self, key: &str) -> Result<Option<Object>, StoreError>;

    /// Lists the objects whose keys begin with `prefix`.
    fn list(&self, prefix: &str) -> Result<Listing, StoreError>;

    /// Writes an object under a condition, and returns its new version.
    fn put(&self, key: &str, value: &[u8], when: Precondition) -> Result<Revision, StoreError>;

    /// Deletes an object that is at `version`.
    fn delete(&self, key: &str, version: Revision) -> Result<(), StoreError>;

    /// Waits until something under `prefix` changes after revision `after`, or `wait` is over,
    /// and returns the objects changed since.
    fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Result<Listing, StoreError>;
}
