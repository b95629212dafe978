//! Applies the entries of endpoints, usable or not.
//!
//! An unusable entry may come from another writer. The endpoint's health is not checked and doesn't make up
//! for it: an endpoint is used by what its entry says (service, address, data centre), and this one says
//! nothing valid. The endpoint gets no new requests at once, and its streams move as from one that leaves.
//! Its layers stay planned for a while, as a live engine rewrites its entry with the next heartbeat or the
//! one after.

use crate::process::{Count, Gateway, check_address};
use sorrellock_platform::StoredObject;
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::knowledge::{
    EndpointUpdate, Refusal, RefusalReport, RefusedEntry,
};
use sorrellock_routing::process::{Endpoint, EntryFault, FaultKind, MAX_FOUND_CHARS, cut};
use spdlog::{info, warn};
use std::rc::Rc;
use tokio::time::Instant;

/// Number of entries in a list up to which each endpoint has a line of its own.
const MAX_ENTRY_LINES: usize = 32;

/// How many endpoints were updated without a line of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct UpdateCount {
    /// Those that joined.
    pub(crate) joined: usize,
    /// Those whose entries changed.
    pub(crate) changed: usize,
}

/// Counts the updates of endpoints that are applied together; `None` while each has a line of its own.
#[derive(Debug, Default)]
pub(crate) struct UpdateCounter(Option<UpdateCount>);

impl UpdateCounter {
    /// Counts an update. Returns whether its line is left out.
    fn count(&mut self, update: EndpointUpdate) -> bool {
        let Some(count) = &mut self.0 else { return false };
        match update {
            EndpointUpdate::Joined => count.joined += 1,
            EndpointUpdate::Changed => count.changed += 1,
            EndpointUpdate::Unchanged | EndpointUpdate::Leaving | EndpointUpdate::Recovered => {
                return false;
            }
        }
        true
    }
}

/// An entry as read from the store.
pub(crate) struct ReadEntry {
    name: String,
    revision: Revision,
    endpoint: Result<Endpoint, EntryFault>,
}

impl From<StoredObject> for ReadEntry {
    fn from(object: StoredObject) -> ReadEntry {
        let endpoint = object.endpoint();
        ReadEntry { name: object.name, revision: object.revision, endpoint }
    }
}

/// Updates whether entries must have a start time, including those just read.
pub(crate) fn note_starts<'a>(
    gateway: &Gateway,
    read: impl Iterator<Item = &'a ReadEntry> + Clone,
) {
    let endpoints = read.filter_map(|entry| entry.endpoint.as_ref().ok());
    gateway.knowledge.borrow_mut().note_starts(endpoints);
}

impl Gateway {
    /// Applies an entry, or refuses it if it is unusable.
    pub(crate) fn apply_entry(self: &Rc<Self>, entry: ReadEntry, source: &str) {
        match entry.endpoint {
            Ok(endpoint) => self.apply_endpoint(endpoint, entry.revision, source),
            Err(fault) => {
                let refused = RefusedEntry::new(entry.revision, fault);
                self.refuse_entry(&entry.name, refused, Instant::now(), source);
            }
        }
    }

    /// Applies an endpoint's entry, unless it is outdated.
    pub(crate) fn apply_endpoint(
        self: &Rc<Self>,
        endpoint: Endpoint,
        revision: Revision,
        source: &str,
    ) {
        if !self.knowledge.borrow().is_new(&endpoint.id, revision) {
            return;
        }
        if self.knowledge.borrow().lacks_start(&endpoint) {
            return self.refuse_startless(endpoint, revision, source);
        }
        let Some((endpoint, ended)) = self.incarnation_of_entry(endpoint, revision, source) else {
            return;
        };
        let (incarnation, addr) = (endpoint.incarnation(), endpoint.addr);
        let is_known_there = self.knowledge.borrow().is_known_at(&incarnation, addr);
        self.apply_current_entry(endpoint, revision, source);
        if !is_known_there {
            check_address(self, addr);
        }
        if let Some(ended) = ended {
            self.on_incarnation_ended(&ended, &incarnation, source);
        }
    }

    /// Applies an entry of an endpoint's current incarnation.
    pub(crate) fn apply_current_entry(&self, endpoint: Endpoint, revision: Revision, source: &str) {
        let id = endpoint.id.clone();
        let addr = endpoint.addr.to_string();
        let (data_centre, layers) = (endpoint.data_centre.clone(), endpoint.layers);
        let service = endpoint.service.clone();
        let news = self.knowledge.borrow_mut().apply_endpoint(endpoint, revision);
        let message = match news {
            EndpointUpdate::Unchanged => return,
            EndpointUpdate::Joined => "endpoint joined",
            EndpointUpdate::Leaving => "endpoint leaving",
            EndpointUpdate::Recovered => "entry of an endpoint is back",
            EndpointUpdate::Changed => "endpoint changed",
        };
        if self.updates.borrow_mut().count(news) {
            return;
        }
        let (from, to) = (layers.from, layers.to);
        info!("{}", message, kv: {
            endpoint = id.as_str(), service = service.as_str(), addr = addr.as_str(),
            data_centre = data_centre.as_str(), from, to, era = revision.era,
            revision = revision.count, source
        });
        self.engines_changed.notify_waiters();
    }

    /// Applies entries, with a single line for all that join or change if there are many.
    pub(crate) fn apply_together(&self, entries: usize, source: &str, apply: impl FnOnce()) {
        if entries <= MAX_ENTRY_LINES {
            return apply();
        }
        let UpdateCount { joined, changed } = self.apply_counted(apply);
        if joined + changed > 0 {
            info!("endpoints updated", kv: { joined, changed, entries, source });
        }
    }

    /// Applies entries without a line for each that joins or changes. Returns how many do.
    pub(crate) fn apply_counted(&self, apply: impl FnOnce()) -> UpdateCount {
        self.updates.borrow_mut().0 = Some(UpdateCount::default());
        apply();
        let updated = self.updates.borrow_mut().0.take().unwrap_or_default();
        if updated != UpdateCount::default() {
            self.engines_changed.notify_waiters();
        }
        updated
    }

    fn refuse_startless(&self, endpoint: Endpoint, revision: Revision, source: &str) {
        let id = endpoint.id.clone();
        let refused = RefusedEntry::new(revision, EntryFault::StartUntold).with_endpoint(endpoint);
        self.refuse_entry(&id, refused, Instant::now(), source);
    }

    /// Records that an endpoint's entry is unusable, and has been since `since`.
    pub(crate) fn refuse_entry(&self, id: &str, entry: RefusedEntry, since: Instant, source: &str) {
        let (revision, fault) = (entry.revision, entry.fault.clone());
        let refusal = self.knowledge.borrow_mut().refuse_endpoint(id, entry, since.into_std());
        if refusal == Refusal::Outdated {
            return;
        }
        self.counters.add(Count::from(fault.kind()));
        if self.logged_faults.borrow_mut().is_new(id, &fault) {
            let (endpoint, why) = (cut(id, MAX_FOUND_CHARS), fault.to_string());
            let known = refusal != Refusal::UnknownEndpoint;
            warn!("entry of an endpoint can't be used", kv: {
                endpoint = endpoint.as_str(), why = why.as_str(), known, era = revision.era,
                revision = revision.count, source
            });
        }
        if refusal == Refusal::NewlyUnusable {
            self.engines_changed.notify_waiters();
        }
    }

    /// Counts and logs objects whose name is unreadable.
    pub(crate) fn refuse_nameless(&self, faults: &[EntryFault], kind: &str) {
        for fault in faults {
            self.counters.add(Count::NamelessObjects);
            if self.logged_faults.borrow_mut().is_new(kind, fault) {
                let why = fault.to_string();
                warn!("object with an unreadable name", kv: { kind, why = why.as_str() });
            }
        }
    }

    /// Applies refusals of unusable entries that another gateway reported.
    pub(crate) fn receive_refused(&self, refusals: Vec<RefusalReport>, from: &str) {
        let now = Instant::now();
        for refusal in refusals {
            let since = now.checked_sub(refusal.lasts).unwrap_or(now);
            self.refuse_entry(&refusal.id, refusal.entry, since, from);
        }
    }

    /// Counts an unusable object of the gateways' own in the store, and logs each of its faults once.
    pub(crate) fn refuse_own_object(
        &self,
        count: Count,
        message: &str,
        name: &str,
        fault: &EntryFault,
    ) {
        self.counters.add(count);
        if self.logged_faults.borrow_mut().is_new(&format!("{message}/{name}"), fault) {
            let (name, why) = (cut(name, MAX_FOUND_CHARS), fault.to_string());
            warn!("{}", message, kv: { name = name.as_str(), why = why.as_str() });
        }
    }

    /// Evaluates all entries again by the start times known now.
    pub(crate) fn evaluate_starts(self: &Rc<Self>, source: &str) {
        let verdicts = self.knowledge.borrow_mut().review_starts();
        for (endpoint, revision) in verdicts.refused {
            self.refuse_startless(endpoint, revision, source);
        }
        for (endpoint, revision) in verdicts.accepted {
            self.apply_endpoint(endpoint, revision, source);
        }
    }
}

impl From<FaultKind> for Count {
    fn from(kind: FaultKind) -> Count {
        match kind {
            FaultKind::Unreadable => Count::EntriesUnreadable,
            FaultKind::Missing => Count::EntriesIncomplete,
            FaultKind::Malformed => Count::EntriesMalformed,
            FaultKind::StartUntold => Count::EntriesWithoutStart,
        }
    }
}
