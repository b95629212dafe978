//! The entries of the list that name no endpoint to use, and what the log has told.

use serde::{Deserialize, Serialize};
use sorrellock_platform::Revision;
use sorrellock_routing::process::{Endpoint, EndpointId, EntryFault, FOUND_MOST, cut};
use std::collections::{BTreeMap, HashSet};

/// The most refused entries that are remembered: more than a list of all endpoints holds.
const MOST_REFUSED: usize = 1_024;
/// The longest id that is remembered as it is, in bytes; longer ones are cut.
const ID_MOST: usize = 253;
/// The most faults of which it is remembered that the log told them; then all may be told again.
const MOST_TOLD: usize = 1_024;

/// An entry that names no endpoint to use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct RefusedEntry {
    /// Revision of the entry.
    pub(crate) revision: Revision,
    /// What is wrong with it.
    pub(crate) fault: EntryFault,
    /// What it tells, where it only lacks its start.
    pub(crate) endpoint: Option<Endpoint>,
    /// Its endpoint told its start before.
    pub(crate) told_start: bool,
}

impl RefusedEntry {
    pub(crate) fn new(revision: Revision, fault: EntryFault) -> RefusedEntry {
        RefusedEntry { revision, fault, endpoint: None, told_start: false }
    }

    /// What the entry tells besides.
    pub(crate) fn with_endpoint(self, endpoint: Endpoint) -> RefusedEntry {
        RefusedEntry { endpoint: Some(endpoint), ..self }
    }
}

/// The entries that name no endpoint to use, by id. Bounded: what doesn't fit is not remembered.
#[derive(Default)]
pub(crate) struct RefusedEntries {
    entries: BTreeMap<EndpointId, RefusedEntry>,
}

impl RefusedEntries {
    /// Takes an entry, in place of the one before.
    pub(crate) fn insert(&mut self, id: &str, entry: RefusedEntry) {
        let key = key(id);
        if self.entries.len() < MOST_REFUSED || self.entries.contains_key(&key) {
            self.entries.insert(key, entry);
        }
    }

    pub(crate) fn get(&self, id: &str) -> Option<&RefusedEntry> {
        self.entries.get(&key(id))
    }

    pub(crate) fn remove(&mut self, id: &str) {
        self.entries.remove(&key(id));
    }

    /// Keeps those whose id is `listed`.
    pub(crate) fn retain(&mut self, listed: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|id, _| listed(id));
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&EndpointId, &RefusedEntry)> {
        self.entries.iter()
    }

    /// What entries tell that only lack their start.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().filter_map(|entry| entry.endpoint.as_ref())
    }
}

fn key(id: &str) -> EndpointId {
    if id.len() <= ID_MOST { id.to_owned() } else { cut(id, FOUND_MOST) }
}

/// What the log has told of objects in the store that can't be used: each fault once.
#[derive(Default)]
pub(crate) struct ToldFaults {
    told: HashSet<String>,
}

impl ToldFaults {
    /// Whether an object's fault wasn't told yet. A value that changes with each write is no news.
    pub(crate) fn is_news(&mut self, name: &str, fault: &EntryFault) -> bool {
        if self.told.len() >= MOST_TOLD {
            self.told.clear();
        }
        let field = fault.field().unwrap_or_default();
        self.told.insert(format!("{}/{:?}/{field}", key(name), fault.kind()))
    }
}
