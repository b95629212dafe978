//! Takes the entries of the list: those that name an endpoint, and those that name none to use.
//!
//! An entry that can't be used may be another writer's. Its endpoint's health is not asked, and does
//! not speak for it: an endpoint is used by what its entry says of it (service, address, data centre),
//! and this one says nothing that holds. It gets nothing new at once; its streams move as from one that
//! leaves. For a while its layers are planned for, as an engine that lives writes its entry again with
//! the next heartbeat or the one after.

use crate::process::{Count, Gateway, check_address};
use sorrellock_platform::StoredObject;
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::knowledge::{EndpointNews, Refusal, RefusalTold, RefusedEntry};
use sorrellock_routing::process::{Endpoint, EntryFault, FOUND_MOST, FaultKind, cut};
use spdlog::{info, warn};
use std::rc::Rc;
use tokio::time::Instant;

/// An entry as it was read.
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

/// Works out whether entries must tell a start, with those that were just read.
pub(crate) fn note_starts<'a>(
    gateway: &Gateway,
    read: impl Iterator<Item = &'a ReadEntry> + Clone,
) {
    let endpoints = read.filter_map(|entry| entry.endpoint.as_ref().ok());
    gateway.knowledge.borrow_mut().note_starts(endpoints);
}

impl Gateway {
    /// Takes an entry as it was read.
    pub(crate) fn apply_entry(self: &Rc<Self>, entry: ReadEntry, source: &str) {
        match entry.endpoint {
            Ok(endpoint) => self.apply_endpoint(endpoint, entry.revision, source),
            Err(fault) => {
                let refused = RefusedEntry::new(entry.revision, fault);
                self.refuse_entry(&entry.name, refused, Instant::now(), source);
            }
        }
    }

    /// Takes an endpoint's entry, unless it is late news.
    pub(crate) fn apply_endpoint(
        self: &Rc<Self>,
        endpoint: Endpoint,
        revision: Revision,
        source: &str,
    ) {
        if !self.knowledge.borrow().is_news(&endpoint.id, revision) {
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
        self.take_entry(endpoint, revision, source);
        if !is_known_there {
            check_address(self, addr);
        }
        if let Some(ended) = ended {
            self.on_life_ended(&ended, &incarnation, source);
        }
    }

    /// Takes an entry of an endpoint's present incarnation.
    pub(crate) fn take_entry(&self, endpoint: Endpoint, revision: Revision, source: &str) {
        let id = endpoint.id.clone();
        let addr = endpoint.addr.to_string();
        let (data_centre, layers) = (endpoint.data_centre.clone(), endpoint.layers);
        let service = endpoint.service.clone();
        let news = self.knowledge.borrow_mut().apply_endpoint(endpoint, revision);
        let what = match news {
            EndpointNews::Nothing => return,
            EndpointNews::Joined => "endpoint joined",
            EndpointNews::Leaving => "endpoint leaving",
            EndpointNews::Back => "entry of an endpoint is back",
            EndpointNews::Changed => "endpoint changed",
        };
        let (from, to) = (layers.from, layers.to);
        info!("{}", what, kv: {
            endpoint = id.as_str(), service = service.as_str(), addr = addr.as_str(),
            data_centre = data_centre.as_str(), from, to, era = revision.era,
            revision = revision.count, source
        });
        self.engines_changed.notify_waiters();
    }

    fn refuse_startless(&self, endpoint: Endpoint, revision: Revision, source: &str) {
        let id = endpoint.id.clone();
        let refused = RefusedEntry::new(revision, EntryFault::StartUntold).with_endpoint(endpoint);
        self.refuse_entry(&id, refused, Instant::now(), source);
    }

    /// Takes an entry that names no endpoint to use, which has been so since `since`.
    pub(crate) fn refuse_entry(&self, id: &str, entry: RefusedEntry, since: Instant, source: &str) {
        let (revision, fault) = (entry.revision, entry.fault.clone());
        let refusal = self.knowledge.borrow_mut().refuse_endpoint(id, entry, since.into_std());
        if refusal == Refusal::Outdated {
            return;
        }
        self.counters.add(Count::from(fault.kind()));
        if self.logged_faults.borrow_mut().is_news(id, &fault) {
            let (endpoint, why) = (cut(id, FOUND_MOST), fault.to_string());
            let known = refusal != Refusal::OfUnknown;
            warn!("entry of an endpoint can't be used", kv: {
                endpoint = endpoint.as_str(), why = why.as_str(), known, era = revision.era,
                revision = revision.count, source
            });
        }
        if refusal == Refusal::OfKnown {
            self.engines_changed.notify_waiters();
        }
    }

    /// Tells of entries of which not even the name can be read.
    pub(crate) fn refuse_nameless(&self, faults: &[EntryFault], kind: &str) {
        for fault in faults {
            self.counters.add(Count::NamelessObjects);
            if self.logged_faults.borrow_mut().is_news(kind, fault) {
                let why = fault.to_string();
                warn!("object without a name that can be read", kv: { kind, why = why.as_str() });
            }
        }
    }

    /// Takes entries that another gateway couldn't use.
    pub(crate) fn hear_refused(&self, told: Vec<RefusalTold>, from: &str) {
        let now = Instant::now();
        for one in told {
            let since = now.checked_sub(one.lasts).unwrap_or(now);
            self.refuse_entry(&one.id, one.entry, since, from);
        }
    }

    /// Counts an object of ours in the store that can't be used, and tells of it once.
    pub(crate) fn refuse_own_object(
        &self,
        count: Count,
        what: &str,
        name: &str,
        fault: &EntryFault,
    ) {
        self.counters.add(count);
        if self.logged_faults.borrow_mut().is_news(&format!("{what}/{name}"), fault) {
            let (name, why) = (cut(name, FOUND_MOST), fault.to_string());
            warn!("{}", what, kv: { name = name.as_str(), why = why.as_str() });
        }
    }

    /// Judges all entries by what is known of starts by now.
    pub(crate) fn judge_starts(self: &Rc<Self>, source: &str) {
        let verdicts = self.knowledge.borrow_mut().start_verdicts();
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
