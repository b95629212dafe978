//! A workspace: who may call, and what.

use crate::id::{ServiceId, WorkspaceId};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// A customer of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name.
    pub id: WorkspaceId,
    /// SHA-256 of the key that its callers send, in hex; the key itself is kept nowhere.
    pub key_hash: String,
    /// The pipelines and services that it may call.
    pub may_call: Vec<ServiceId>,
}

impl Workspace {
    /// A workspace whose callers send `key`.
    pub fn new(id: impl Into<WorkspaceId>, key: &str, may_call: Vec<ServiceId>) -> Workspace {
        Workspace { id: id.into(), key_hash: key_hash(key), may_call }
    }
}

/// SHA-256 of a key, in hex.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().map(|byte| format!("{byte:02x}")).collect()
}
