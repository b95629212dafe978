//! A store with history that can come back from a copy, on simulated time in ms.

use sorrellock_routing::process::{ChangeCount, Endpoint, Revision, StoreEra};
use std::collections::BTreeMap;

/// An entry is removed as its endpoint was silent for so long.
const LEASE: u64 = 3_600;

/// An entry, and the count of its last change.
#[derive(Clone)]
pub struct Entry {
    pub endpoint: Endpoint,
    pub count: ChangeCount,
    /// When its endpoint wrote last, whether that changed it or not.
    renewed: u64,
}

/// A change: an entry, or its end.
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

/// The store.
#[derive(Default)]
pub struct Store {
    pub era: StoreEra,
    now: Contents,
    /// Copies, and when they were made.
    copies: Vec<(u64, Contents)>,
}

/// What a gateway is told.
#[derive(Clone)]
pub enum Answer {
    /// All entries.
    List(Vec<(Endpoint, ChangeCount)>),
    /// The changes since a count.
    Changes(Vec<Change>),
    /// The history asked for is gone.
    Gone,
}

impl Store {
    /// An empty store in its first era.
    pub fn new() -> Store {
        Store { era: 1, ..Store::default() }
    }

    /// Keeps a copy from time to time.
    pub fn keep_copy(&mut self, now: u64) {
        self.copies.push((now, self.now.clone()));
    }

    /// Comes back from its copy of so many ms ago, or the oldest one; leases begin anew.
    pub fn retry_delay(&mut self, ago: u64, now: u64) {
        let found = self.copies.iter().rev().find(|(at, _)| *at + ago <= now);
        let Some((_, copy)) = found.or(self.copies.first()) else { return };
        self.era += 1;
        self.now = copy.clone();
        self.now.entries.values_mut().for_each(|entry| entry.renewed = now);
    }

    /// An endpoint writes its entry, which changes only if it tells something else.
    pub fn write(&mut self, endpoint: &Endpoint, now: u64) {
        if let Some(entry) = self.now.entries.get_mut(&endpoint.id)
            && entry.endpoint == *endpoint
        {
            entry.renewed = now;
            return;
        }
        self.now.count += 1;
        let count = self.now.count;
        let entry = Entry { endpoint: endpoint.clone(), count, renewed: now };
        self.now.entries.insert(endpoint.id.clone(), entry);
        self.note(&endpoint.id, Some(endpoint.clone()));
    }

    /// An entry is removed.
    pub fn remove(&mut self, id: &str) {
        if self.now.entries.remove(id).is_some() {
            self.now.count += 1;
            self.note(id, None);
        }
    }

    /// Removes the entries of those that are silent.
    pub fn expire(&mut self, now: u64) {
        let silent = self.now.entries.iter().filter(|(_, entry)| now - entry.renewed >= LEASE);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        silent.iter().for_each(|id| self.remove(id));
    }

    /// Something else is written.
    pub fn write_other(&mut self) {
        self.now.count += 1;
    }

    /// Its revision.
    pub fn at(&self) -> Revision {
        Revision::new(self.era, self.now.count)
    }

    /// Answers a list, or a watch from `after`; with the revision that it is of.
    pub fn answer(&self, after: Option<Revision>) -> (Revision, Answer) {
        let at = self.at();
        let Some(after) = after else {
            let entries = self.now.entries.values();
            let entries = entries.map(|entry| (entry.endpoint.clone(), entry.count)).collect();
            return (at, Answer::List(entries));
        };
        if after.count > self.now.count {
            return (at, Answer::Gone);
        }
        let later = self.now.changes.iter().filter(|change| change.count > after.count);
        (at, Answer::Changes(later.cloned().collect()))
    }

    fn note(&mut self, id: &str, entry: Option<Endpoint>) {
        let count = self.now.count;
        self.now.changes.push(Change { id: id.to_owned(), entry, count });
    }
}
