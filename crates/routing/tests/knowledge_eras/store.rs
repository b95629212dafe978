//! A simulated store with a change history that can be restored from a copy. Times are in ms.

use sorrellock_routing::process::{ChangeCount, Endpoint, Revision, StoreEra};
use std::collections::BTreeMap;

/// How long after its last write an entry expires.
const LEASE: u64 = 3_600;

/// An entry with the count of its last change.
#[derive(Clone)]
pub struct Entry {
    pub endpoint: Endpoint,
    pub count: ChangeCount,
    /// Time of the last write, whether or not it changed the entry.
    renewed: u64,
}

/// A change of an entry; `None` is a removal.
#[derive(Clone)]
pub struct Change {
    pub id: String,
    pub entry: Option<Endpoint>,
    pub count: ChangeCount,
}

#[derive(Clone, Default)]
struct Contents {
    count: ChangeCount,
    entries: BTreeMap<String, Entry>,
    changes: Vec<Change>,
}

#[derive(Default)]
pub struct Store {
    pub era: StoreEra,
    contents: Contents,
    /// Copies with their times.
    copies: Vec<(u64, Contents)>,
}

/// An answer to a gateway.
#[derive(Clone)]
pub enum Answer {
    /// All entries.
    List(Vec<(Endpoint, ChangeCount)>),
    /// The changes since a count.
    Changes(Vec<Change>),
    /// The requested history is no longer available.
    Gone,
}

impl Store {
    /// Creates an empty store in its first era.
    pub fn new() -> Store {
        Store { era: 1, ..Store::default() }
    }

    /// Saves a copy of the contents.
    pub fn keep_copy(&mut self, now: u64) {
        self.copies.push((now, self.contents.clone()));
    }

    /// Restores the copy of `copy_age` ago, or else the oldest one, and renews all leases.
    pub fn restore(&mut self, copy_age: u64, now: u64) {
        let found = self.copies.iter().rev().find(|(at, _)| *at + copy_age <= now);
        let Some((_, copy)) = found.or(self.copies.first()) else { return };
        self.era += 1;
        self.contents = copy.clone();
        self.contents.entries.values_mut().for_each(|entry| entry.renewed = now);
    }

    /// Writes an endpoint's entry. An identical entry is only renewed.
    pub fn write(&mut self, endpoint: &Endpoint, now: u64) {
        if let Some(entry) = self.contents.entries.get_mut(&endpoint.id)
            && entry.endpoint == *endpoint
        {
            entry.renewed = now;
            return;
        }
        self.contents.count += 1;
        let count = self.contents.count;
        let entry = Entry { endpoint: endpoint.clone(), count, renewed: now };
        self.contents.entries.insert(endpoint.id.clone(), entry);
        self.record_change(&endpoint.id, Some(endpoint.clone()));
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &str) {
        if self.contents.entries.remove(id).is_some() {
            self.contents.count += 1;
            self.record_change(id, None);
        }
    }

    /// Removes the expired entries.
    pub fn expire(&mut self, now: u64) {
        let silent = self.contents.entries.iter().filter(|(_, entry)| now - entry.renewed >= LEASE);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.remove(id));
    }

    /// Writes an unrelated object.
    pub fn write_other(&mut self) {
        self.contents.count += 1;
    }

    /// Returns the current revision.
    pub fn at(&self) -> Revision {
        Revision::new(self.era, self.contents.count)
    }

    /// Answers a list, or a watch from `after`. Returns the answer with its revision.
    pub fn answer(&self, after: Option<Revision>) -> (Revision, Answer) {
        let at = self.at();
        let Some(after) = after else {
            let entries = self.contents.entries.values();
            let entries = entries.map(|entry| (entry.endpoint.clone(), entry.count)).collect();
            return (at, Answer::List(entries));
        };
        if after.count > self.contents.count {
            return (at, Answer::Gone);
        }
        let later = self.contents.changes.iter().filter(|change| change.count > after.count);
        (at, Answer::Changes(later.cloned().collect()))
    }

    fn record_change(&mut self, id: &str, entry: Option<Endpoint>) {
        let count = self.contents.count;
        self.contents.changes.push(Change { id: id.to_owned(), entry, count });
    }
}
