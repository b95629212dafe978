//! What a gateway knows of the configuration and of the endpoints. It only ever gets newer.

use super::{EntryState, KnownEndpoint, RefusedEntries, RefusedEntry};
use crate::process::{
    Endpoint, EndpointId, Incarnation, LayerRange, Revision, do_most_tell_start, is_start_untold,
};
use crate::version::{ConfigVersion, Configuration, RouteTable};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For how long an endpoint whose entry is missing, after an outage of the store or as the endpoint
/// doesn't reach it, still gets work, at most: entries that lapsed in an outage are back within two
/// seconds.
const MISSING_GETS_WORK_MOST: Duration = Duration::from_secs(2);
/// The way of a request goes off the time within which a leaving endpoint may get its last one.
const LEAVE_MARGIN: Duration = Duration::from_millis(200);
/// For how long its layers are planned for: entries come back at two seconds, not before. An engine
/// writes over an entry that can't be used with its next heartbeat or the one after.
const ENTRY_GRACE: Duration = Duration::from_millis(3_500);
/// The most removed endpoints that are remembered, so that an older page doesn't bring them back.
const MAX_REMOVED: usize = 4_096;

/// Entries whose start is judged otherwise than before.
#[derive(Debug, Default)]
pub struct StartVerdicts {
    /// They must tell a start, and don't.
    pub refused: Vec<(Endpoint, Revision)>,
    /// They needn't any more.
    pub accepted: Vec<(Endpoint, Revision)>,
}

/// What a refused entry means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A newer entry is known.
    Outdated,
    /// No endpoint is known by it.
    OfUnknown,
    /// A known endpoint has had no usable entry before.
    Again,
    /// A known endpoint had a usable entry before.
    OfKnown,
}

/// What changed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointNews {
    /// It is new.
    Joined,
    /// Its entry says that it leaves.
    Leaving,
    /// Its entry was missing or couldn't be used, and is whole again.
    Back,
    /// Its entry changed otherwise.
    Changed,
    /// Nothing that is newer.
    Nothing,
}

/// The configuration in force and the endpoints.
pub struct Knowledge {
    pub(super) routes: Option<Rc<RouteTable>>,
    pub(super) endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    removed: HashSet<EndpointId>,
    pub(super) refused: RefusedEntries,
    /// Most endpoints tell their start: an entry without one is refused.
    is_start_required: bool,
    pub(super) endpoints_at: Revision,
    missing_gets_work: Duration,
}

impl Knowledge {
    /// Nothing is known yet. An endpoint that leaves may get its last request within
    /// `leave_within`.
    pub fn new(leave_within: Duration) -> Knowledge {
        Knowledge {
            routes: None,
            endpoints: BTreeMap::new(),
            removed: HashSet::new(),
            refused: RefusedEntries::default(),
            is_start_required: false,
            endpoints_at: 0,
            missing_gets_work: missing_gets_work(leave_within),
        }
    }

    /// An endpoint that leaves may get its last request within `leave_within` from here on.
    pub fn set_leave_within(&mut self, leave_within: Duration) {
        self.missing_gets_work = missing_gets_work(leave_within);
    }

    /// The configuration in force.
    pub fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Number of the configuration in force, 0 for none.
    pub fn config_version(&self) -> ConfigVersion {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// The store's revision up to which the endpoints are known, 0 before the first list.
    pub fn endpoints_at(&self) -> Revision {
        self.endpoints_at
    }

    /// The endpoints that their list holds, those that leave included.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|known| &known.endpoint)
    }

    /// The endpoints that are known, with what became of their entries.
    pub fn known_endpoints(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// The endpoints whose entry was whole when it was read last.
    pub fn usable_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let usable = self.endpoints.values().filter(|known| !known.entry.is_unusable());
        usable.map(|known| &known.endpoint)
    }

    /// The entries that can't be used.
    pub fn refused(&self) -> &RefusedEntries {
        &self.refused
    }

    /// The endpoints that may get new work, as far as their list tells.
    pub fn open_endpoints(&self, now: Instant) -> impl Iterator<Item = &Endpoint> {
        let is_here = move |known: &&KnownEndpoint| match known.entry {
            EntryState::Listed => true,
            EntryState::MissingSince(since) => now - since < self.missing_gets_work,
            EntryState::UnusableSince(..) => false,
        };
        let open = self.endpoints.values().filter(is_here).map(|known| &known.endpoint);
        open.filter(|endpoint| !endpoint.is_leaving)
    }

    /// Whether the list tells of an endpoint in this life.
    pub fn is_current(&self, life: &Incarnation) -> bool {
        self.endpoint(&life.id).is_some_and(|endpoint| endpoint.started == life.started)
    }

    /// Whether the list tells of an endpoint in this life at an address.
    pub fn is_known_at(&self, life: &Incarnation, addr: SocketAddr) -> bool {
        self.is_current(life) && self.endpoint(&life.id).is_some_and(|one| one.addr == addr)
    }

    /// One endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|known| &known.endpoint)
    }

    /// The path that an endpoint's health is asked for at; nothing without a configuration that has
    /// its service.
    pub fn health_path(&self, endpoint: &Endpoint) -> Option<&str> {
        let service = self.routes.as_ref()?.service(&endpoint.service)?;
        Some(&service.health_path)
    }

    /// Puts a configuration in force if it is newer.
    pub fn apply_configuration(&mut self, cfg: Configuration) -> bool {
        if cfg.version <= self.config_version() {
            return false;
        }
        self.routes = Some(Rc::new(RouteTable::new(cfg)));
        true
    }

    /// Whether an entry of `revision` is newer than what is known of the endpoint.
    pub fn is_news(&self, id: &str, revision: Revision) -> bool {
        if self.refused.get(id).is_some_and(|refused| refused.revision > revision) {
            return false;
        }
        match self.endpoints.get(id) {
            Some(known) => known.revision <= revision,
            // A lapsed entry that came back is written anew.
            None => !self.removed.contains(id) || revision > self.endpoints_at,
        }
    }

    /// An endpoint itself told that it started again: its entry still tells of the life before.
    pub fn begin_life(&mut self, life: &Incarnation) {
        if let Some(known) = self.endpoints.get_mut(&life.id) {
            known.endpoint.started = life.started;
            known.endpoint.layers = LayerRange::default();
        }
    }

    /// Takes an entry that was written at `revision`.
    pub fn apply_endpoint(&mut self, endpoint: Endpoint, revision: Revision) -> EndpointNews {
        if !self.is_news(&endpoint.id, revision) {
            return EndpointNews::Nothing;
        }
        self.removed.remove(&endpoint.id);
        let before = self.endpoints.get(&endpoint.id);
        let news = match before {
            None if endpoint.is_leaving => EndpointNews::Leaving,
            None => EndpointNews::Joined,
            Some(known) if known.entry != EntryState::Listed && !endpoint.is_leaving => {
                EndpointNews::Back
            }
            Some(known) if known.endpoint == endpoint => EndpointNews::Nothing,
            Some(known) if !known.endpoint.is_leaving && endpoint.is_leaving => {
                EndpointNews::Leaving
            }
            Some(_) => EndpointNews::Changed,
        };
        self.refused.remove(&endpoint.id);
        let known = KnownEndpoint { endpoint, revision, entry: EntryState::Listed };
        self.endpoints.insert(known.endpoint.id.clone(), known);
        news
    }

    /// An entry is gone for good.
    pub fn remove_endpoint(&mut self, id: &str) -> bool {
        self.remember_removed(id);
        self.refused.remove(id);
        self.endpoints.remove(id).is_some()
    }

    /// Takes an entry that names no endpoint to use, which has been so since `since`. A known endpoint
    /// stays for a while, and gets nothing new.
    pub fn refuse_endpoint(&mut self, id: &str, entry: RefusedEntry, since: Instant) -> Refusal {
        let (revision, fault) = (entry.revision, entry.fault.clone());
        let told_start = entry.told_start || self.told_start(id);
        let known = self.endpoints.get_mut(id);
        let is_older = known.as_ref().is_some_and(|known| known.revision > revision);
        if is_older || self.refused.get(id).is_some_and(|before| before.revision > revision) {
            return Refusal::Outdated;
        }
        self.refused.insert(id, RefusedEntry { told_start, ..entry });
        let Some(known) = known else { return Refusal::OfUnknown };
        known.revision = revision;
        let was_unusable = known.entry.is_unusable();
        let since = known.entry.since().map_or(since, |before| before.min(since));
        known.entry = EntryState::UnusableSince(since, fault);
        if was_unusable { Refusal::Again } else { Refusal::OfKnown }
    }

    /// Whether a known endpoint's entry can't be used.
    pub fn is_unusable(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.entry.is_unusable())
    }

    /// An entry that couldn't be used is gone. What is known of its endpoint goes in its time.
    pub fn forget_refused(&mut self, id: &str) {
        self.refused.remove(id);
    }

    /// Works out whether entries must tell a start, with those that were just read.
    pub fn note_starts<'a>(&mut self, read: impl Iterator<Item = &'a Endpoint> + Clone) {
        let new: HashSet<&EndpointId> = read.clone().map(|endpoint| &endpoint.id).collect();
        let refused = self.refused.endpoints();
        let refused = refused.filter(|endpoint| !self.endpoints.contains_key(&endpoint.id));
        let before = self.endpoints().chain(refused).filter(|one| !new.contains(&one.id));
        let mut all: Vec<&Endpoint> = before.collect();
        for endpoint in read {
            all.push(endpoint);
        }
        self.is_start_required = do_most_tell_start(all);
    }

    /// Whether an entry lacks a start that it must tell.
    pub fn lacks_start(&self, endpoint: &Endpoint) -> bool {
        is_start_untold(endpoint, self.told_start(&endpoint.id), self.is_start_required)
    }

    /// Whether an endpoint told its start before.
    fn told_start(&self, id: &str) -> bool {
        self.endpoint(id).is_some_and(|endpoint| endpoint.started.is_some())
            || self.refused.get(id).is_some_and(|entry| entry.told_start)
    }

    /// Entries that are judged otherwise by what is known of starts by now.
    pub fn start_verdicts(&mut self) -> StartVerdicts {
        let usable = self.endpoints.values().filter(|known| !known.entry.is_unusable());
        let refused = usable.filter(|known| self.lacks_start(&known.endpoint));
        let refused = refused.map(|known| (known.endpoint.clone(), known.revision)).collect();
        let accepted = self.refused.iter().filter_map(|(_, entry)| {
            let endpoint = entry.endpoint.as_ref().filter(|one| !self.lacks_start(one))?;
            Some((endpoint.clone(), entry.revision))
        });
        let accepted: Vec<(Endpoint, Revision)> = accepted.collect();
        for (endpoint, _) in &accepted {
            // Its entry is as old as before, and counts.
            self.removed.remove(&endpoint.id);
        }
        StartVerdicts { refused, accepted }
    }

    /// An entry is gone that may have lapsed: its endpoint stays for a while, if it wasn't leaving.
    pub fn mark_missing(&mut self, id: &str, now: Instant) -> bool {
        match self.endpoints.get_mut(id) {
            Some(known) if !known.endpoint.is_leaving => {
                known.note_missing(now);
                true
            }
            _ => false,
        }
    }

    /// Takes the revision that changes were read up to.
    pub fn advance(&mut self, at: Revision) {
        self.endpoints_at = self.endpoints_at.max(at);
    }

    /// The endpoints that a list of all entries doesn't hold.
    pub fn unlisted(&self, listed: &HashSet<EndpointId>) -> Vec<EndpointId> {
        self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

    /// Takes a list of all entries after an outage. What is missing stays for a while, as its
    /// entry may only have lapsed. Tells which are.
    pub fn mark_unlisted(&mut self, listed: &HashSet<EndpointId>, now: Instant) -> Vec<EndpointId> {
        let missing = self.unlisted(listed);
        for id in &missing {
            if let Some(known) = self.endpoints.get_mut(id) {
                known.note_missing(now);
            }
        }
        self.refused.retain(|id| listed.contains(id));
        missing
    }

    /// Whether an endpoint's entry is missing, and may come back.
    pub fn is_missing(&self, id: &str) -> bool {
        let entry = self.endpoints.get(id).map(|known| &known.entry);
        matches!(entry, Some(EntryState::MissingSince(_)))
    }

    /// Gives up endpoints whose entry has been missing or unusable for too long. Tells which, and
    /// what became of the entry.
    pub fn expire(&mut self, now: Instant) -> Vec<(EndpointId, EntryState)> {
        let is_over =
            |known: &&KnownEndpoint| known.entry.since().is_some_and(|at| now - at >= ENTRY_GRACE);
        let over = self.endpoints.values().filter(is_over);
        let over: Vec<_> =
            over.map(|known| (known.endpoint.id.clone(), known.entry.clone())).collect();
        for (id, _) in &over {
            self.remember_removed(id);
            self.endpoints.remove(id);
        }
        over
    }

    fn remember_removed(&mut self, id: &str) {
        if self.removed.len() < MAX_REMOVED {
            self.removed.insert(id.to_owned());
        }
    }
}

/// How long an endpoint that its list no longer holds gets work.
fn missing_gets_work(leave_within: Duration) -> Duration {
    leave_within.min(MISSING_GETS_WORK_MOST).saturating_sub(LEAVE_MARGIN)
}
