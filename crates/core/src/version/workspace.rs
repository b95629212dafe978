//! A workspace: its API key and the services that it may call.

use crate::id::{ServiceId, WorkspaceId};
use crate::version::check::{check_name, refuse};
use crate::version::{FieldError, Item, PageId, page_of};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum number of pipelines and services that one workspace may call.
pub const MAX_MAY_CALL: usize = 256;
/// Number of hex digits of a key's hash.
const KEY_HASH_DIGITS: usize = 64;

/// A customer of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// The name of the workspace.
    pub id: WorkspaceId,
    /// SHA-256 of the API key that its callers send, in hex; the key itself isn't stored.
    pub key_hash: String,
    /// The pipelines and services that it may call.
    pub may_call: Vec<ServiceId>,
}

impl Workspace {
    /// Creates a workspace whose callers send `key`.
    pub fn new(id: impl Into<WorkspaceId>, key: &str, may_call: Vec<ServiceId>) -> Workspace {
        Workspace { id: id.into(), key_hash: key_hash(key), may_call }
    }
}

impl Item for Workspace {
    fn name(&self) -> String {
        self.id.clone()
    }

    fn page(&self) -> PageId {
        PageId::Workspaces(page_of(&self.id))
    }

    fn check(&self) -> Result<(), FieldError> {
        let subject = format!("workspace {}", self.id);
        check_name(&subject, "name", &self.id)?;
        let is_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if self.key_hash.len() != KEY_HASH_DIGITS || !self.key_hash.chars().all(is_digit) {
            let fix = "give the SHA-256 of the key, 64 lower-case hex digits";
            return Err(refuse(&subject, "key_hash", &self.key_hash, fix));
        }
        if self.may_call.len() > MAX_MAY_CALL {
            let fix = format!("name {MAX_MAY_CALL} pipelines and services at most");
            return Err(refuse(&subject, "may_call", self.may_call.len(), fix));
        }
        self.may_call.iter().try_for_each(|name| check_name(&subject, "may_call", name))
    }
}

/// Returns the SHA-256 of a key, in hex.
pub fn key_hash(key: &str) -> String {
    let digest = Sha256::digest(key.as_bytes());
    let digit = |value: u8| char::from_digit(value.into(), 16).expect("half a byte is a digit");
    digest.iter().flat_map(|byte| [digit(byte >> 4), digit(byte & 0xf)]).collect()
}
