//! Listed entries that can't be used.

use crate::process::{Endpoint, EndpointId, EntryFault, MAX_FOUND_CHARS, Revision, cut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of refused entries kept: more than a list of all endpoints contains.
const MAX_REFUSED: usize = 1_024;
/// Maximum length of an id in bytes; longer ones are truncated.
const MAX_ID_BYTES: usize = 253;

/// An entry that can't be used.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedEntry {
    /// Revision of the entry.
    pub revision: Revision,
    /// Why the entry can't be used.
    pub fault: EntryFault,
    /// The endpoint that the entry describes, if only its start is absent.
    pub endpoint: Option<Endpoint>,
    /// Whether an earlier entry of the endpoint contained its start.
    #[serde(rename = "told_start")]
    pub had_start: bool,
}

impl RefusedEntry {
    /// Creates a refused entry without an endpoint.
    pub fn new(revision: Revision, fault: EntryFault) -> RefusedEntry {
        RefusedEntry { revision, fault, endpoint: None, had_start: false }
    }

    /// Adds the endpoint that the entry describes.
    pub fn with_endpoint(self, endpoint: Endpoint) -> RefusedEntry {
        RefusedEntry { endpoint: Some(endpoint), ..self }
    }
}

/// The entries that can't be used, by id. Bounded: entries beyond the limit are dropped.
#[derive(Default)]
pub struct RefusedEntries {
    entries: BTreeMap<EndpointId, RefusedEntry>,
}

impl RefusedEntries {
    /// Inserts an entry, or replaces the previous one of the same id.
    pub fn insert(&mut self, id: &str, entry: RefusedEntry) {
        let key = key(id);
        if self.entries.len() < MAX_REFUSED || self.entries.contains_key(&key) {
            self.entries.insert(key, entry);
        }
    }

    /// Returns the refused entry of an endpoint.
    pub fn get(&self, id: &str) -> Option<&RefusedEntry> {
        self.entries.get(&key(id))
    }

    /// Removes the entry of an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(&key(id));
    }

    /// Keeps only the entries whose id is `listed`.
    pub fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|id, _| listed(id));
    }

    /// Returns all entries, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &RefusedEntry)> {
        self.entries.iter()
    }

    /// Returns the endpoints of the entries in which only the start is absent.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().filter_map(|entry| entry.endpoint.as_ref())
    }
}

fn key(id: &str) -> EndpointId {
    if id.len() <= MAX_ID_BYTES { id.to_owned() } else { cut(id, MAX_FOUND_CHARS) }
}
