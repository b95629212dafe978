//! The requests that are held back. Each gateway has all of them.

use super::crash_guard::MAX_CRASHES;
use super::held_request::{HeldRequest, MAX_ENDPOINTS, UnixMillis};
use crate::process::Incarnation;
use crate::request::ContentId;
use std::cell::Cell;
use std::collections::hash_map::Entry;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of records; beyond it the oldest ones are dropped.
const MAX_HELD: usize = 1_024;

/// Whether a request may be sent. The later ones are the stricter ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Admission {
    /// It may.
    Free,
    /// It is held back, and one gateway may send it once, to see whether it does no more harm.
    TrialDue,
    /// It is held back; whether it may be sent is decided anew after `retry_in`.
    Held {
        /// Time until then.
        retry_in: Duration,
    },
}

/// The requests that are held back, by their content.
#[derive(Debug, Default)]
pub struct HeldRequests {
    all: HashMap<ContentId, HeldRequest>,
    /// Records that this gateway has to write to the store.
    unsaved: BTreeSet<ContentId>,
    evicted: u64,
    /// The hash over all, until something changes: it is part of each message.
    hash: Cell<Option<u64>>,
}

impl HeldRequests {
    /// Returns whether a request with these identities may be sent.
    pub fn admission(
        &self,
        identities: impl Iterator<Item = ContentId>,
        now: UnixMillis,
    ) -> Admission {
        let active = self.active(identities, now);
        // What is held back together with others is tried alone first, by requests without these.
        let is_alone = active.len() == 1;
        let all = active.iter().filter_map(|identity| self.all.get(identity));
        all.map(|held| self.admission_of(held, is_alone, now)).max().unwrap_or(Admission::Free)
    }

    /// Returns the identities that are held back now.
    pub fn active(
        &self,
        identities: impl Iterator<Item = ContentId>,
        now: UnixMillis,
    ) -> Vec<ContentId> {
        if self.all.is_empty() {
            return Vec::new();
        }
        let is_active = |identity: &ContentId| {
            self.all.get(identity).is_some_and(|held| held.is_held() && !held.is_expired(now))
        };
        identities.filter(is_active).collect()
    }

    fn admission_of(&self, held: &HeldRequest, is_alone: bool, now: UnixMillis) -> Admission {
        let has_crashed_again = held.endpoints.len() > held.crashes.max(MAX_CRASHES);
        if held.trial_by.is_some() || has_crashed_again {
            return Admission::Held { retry_in: held.time_left(now) };
        }
        let is_soon = is_alone && (held.is_doubtful || self.is_ambiguous(held));
        match held.trial_in(is_soon, now) {
            Duration::ZERO => Admission::TrialDue,
            retry_in => Admission::Held { retry_in },
        }
    }

    fn is_ambiguous(&self, held: &HeldRequest) -> bool {
        let mut others = self.all.values().filter(|other| other.content != held.content);
        others.any(|other| other.is_held() && other.shares_crashes(held))
    }

    /// Holds a request back. `is_saved_here` tells whether this gateway writes the record to the store. Returns the
    /// record if it is new.
    pub fn hold(
        &mut self,
        found: HeldRequest,
        is_saved_here: bool,
        now: UnixMillis,
    ) -> Option<&HeldRequest> {
        let before = self.all.get(&found.content).filter(|before| !before.is_expired(now));
        if before.is_some_and(HeldRequest::is_held) {
            return None;
        }
        let content = found.content;
        let generation = before.map_or(0, |before| before.generation) + 1;
        let mut held = HeldRequest { generation, ..found };
        held.normalize(now);
        self.all.insert(content, held);
        self.hash.set(None);
        if is_saved_here {
            self.unsaved.insert(content);
        }
        self.evict();
        self.all.get(&content)
    }

    /// Adds an endpoint that ended under a held request, which was sent there before it was held back.
    pub fn add_endpoint(&mut self, content: ContentId, endpoint: &Incarnation) {
        let Some(held) = self.all.get_mut(&content) else { return };
        if !held.endpoints.contains(endpoint) && held.endpoints.len() < MAX_ENDPOINTS {
            held.endpoints.push(endpoint.clone());
        }
    }

    /// Releases a request. Returns whether it was held back.
    pub fn release(&mut self, content: ContentId) -> bool {
        let Some(held) = self.all.get_mut(&content).filter(|held| held.is_held()) else {
            return false;
        };
        held.generation += 1;
        self.hash.set(None);
        held.trial_by = None;
        self.unsaved.insert(content);
        true
    }

    /// Merges a record of another gateway or the store. Returns the record if that changed whether the request is held.
    pub fn merge(&mut self, other: HeldRequest, now: UnixMillis) -> Option<&HeldRequest> {
        if other.is_expired(now) {
            return None;
        }
        let content = other.content;
        self.hash.set(None);
        let is_changed = match self.all.entry(content) {
            Entry::Occupied(mut entry) => {
                let was_held = entry.get().is_held();
                entry.get_mut().merge(other, now);
                entry.get().is_held() != was_held
            }
            Entry::Vacant(entry) => {
                let mut other = other;
                other.normalize(now);
                entry.insert(other).is_held()
            }
        };
        self.evict();
        self.all.get(&content).filter(|_| is_changed)
    }

    /// Returns the record of a request.
    pub fn get(&self, content: ContentId) -> Option<&HeldRequest> {
        self.all.get(&content)
    }

    /// Returns all records, released ones included.
    pub fn iter(&self) -> impl Iterator<Item = &HeldRequest> {
        self.all.values()
    }

    /// Returns the number of requests that are held back.
    pub fn held(&self) -> usize {
        self.all.values().filter(|held| held.is_held()).count()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns a hash over the records, which doesn't depend on their order. It covers the names of parts, as a gateway
    /// that finds a part by reports alone has to read its name.
    pub fn hash(&self) -> u64 {
        if let Some(hash) = self.hash.get() {
            return hash;
        }
        let hash_of = |held: &HeldRequest| {
            let part = held.part.as_deref().unwrap_or_default();
            xxh3_64(format!("{}/{}/{part}", held.content, held.generation).as_bytes())
        };
        let hash = self.all.values().fold(0, |hash, held| hash ^ hash_of(held));
        self.hash.set(Some(hash));
        hash
    }

    /// Returns a record that this gateway has to write to the store.
    pub fn next_unsaved(&self) -> Option<&HeldRequest> {
        self.unsaved.iter().find_map(|content| self.all.get(content))
    }

    /// Records that the store has a record.
    pub fn on_saved(&mut self, content: ContentId) {
        self.unsaved.remove(&content);
    }

    /// Records that the store lacks a record, or has an older one.
    pub fn on_missing_in_store(&mut self, content: ContentId) {
        self.unsaved.insert(content);
    }

    /// Returns how many records were dropped for want of space.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Drops the records whose term is over.
    pub fn drop_expired(&mut self, now: UnixMillis) {
        self.all.retain(|_, held| !held.is_expired(now));
        self.hash.set(None);
        self.unsaved.retain(|content| self.all.contains_key(content));
    }

    fn evict(&mut self) {
        while self.all.len() > MAX_HELD {
            let oldest = self.all.values().min_by_key(|held| (held.held_at, held.content));
            let Some(content) = oldest.map(|held| held.content) else { return };
            self.all.remove(&content);
            self.unsaved.remove(&content);
            self.evicted += 1;
        }
    }
}
