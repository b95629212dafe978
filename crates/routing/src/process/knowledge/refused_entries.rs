//! The entries of the list that name no endpoint to use.

use crate::process::{Endpoint, EndpointId, EntryFault, MAX_FOUND_CHARS, Revision, cut};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most refused entries that are remembered: more than a list of all endpoints holds.
const MOST_REFUSED: usize = 1_024;
/// The longest id that is remembered as it is, in bytes; longer ones are cut.
const ID_MOST: usize = 253;
/// An entry that names no endpoint to use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RefusedEntry {
    /// Revision of the entry.
    pub revision: Revision,
    /// What is wrong with it.
    pub fault: EntryFault,
    /// What it tells, where it only lacks its start.
    pub endpoint: Option<Endpoint>,
    /// Its endpoint told its start before.
    pub told_start: bool,
}

impl RefusedEntry {
    /// An entry of `revision` with a fault.
    pub fn new(revision: Revision, fault: EntryFault) -> RefusedEntry {
        RefusedEntry { revision, fault, endpoint: None, told_start: false }
    }

    /// What the entry tells besides.
    pub fn with_endpoint(self, endpoint: Endpoint) -> RefusedEntry {
        RefusedEntry { endpoint: Some(endpoint), ..self }
    }
}

/// The entries that name no endpoint to use, by id. Bounded: what doesn't fit is not remembered.
#[derive(Default)]
pub struct RefusedEntries {
    entries: BTreeMap<EndpointId, RefusedEntry>,
}

impl RefusedEntries {
    /// Takes an entry, in place of the one before.
    pub fn insert(&mut self, id: &str, entry: RefusedEntry) {
        let key = key(id);
        if self.entries.len() < MOST_REFUSED || self.entries.contains_key(&key) {
            self.entries.insert(key, entry);
        }
    }

    /// The refused entry of an endpoint.
    pub fn get(&self, id: &str) -> Option<&RefusedEntry> {
        self.entries.get(&key(id))
    }

    /// Forgets the entry of an endpoint.
    pub fn remove(&mut self, id: &str) {
        self.entries.remove(&key(id));
    }

    /// Keeps those whose id is `listed`.
    pub fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|id, _| listed(id));
    }

    /// All of them, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&EndpointId, &RefusedEntry)> {
        self.entries.iter()
    }

    /// What entries tell that only lack their start.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().filter_map(|entry| entry.endpoint.as_ref())
    }
}

fn key(id: &str) -> EndpointId {
    if id.len() <= ID_MOST { id.to_owned() } else { cut(id, MAX_FOUND_CHARS) }
}
