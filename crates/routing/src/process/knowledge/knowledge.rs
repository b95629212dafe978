//! What a gateway knows of the configuration and of the endpoints. It only ever gets newer.

use super::left_endpoints::LeftEndpoints;
use super::{EntryState, KnownEndpoint, RefusedEntries, RefusedEntry};
use crate::process::{
    ChangeCount, Endpoint, EndpointId, Incarnation, Known, LayerRange, Revision, StoreEra,
    do_most_tell_start, is_start_untold,
};
use crate::version::{ConfigVersion, Configuration, RouteTable};
use std::collections::{BTreeMap, HashMap, HashSet};
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
/// The most removed endpoints that are remembered, so that an older page, or a store that comes back from an older copy, doesn't bring
/// them back.
const MAX_REMOVED: usize = 4_096;
/// Endpoints that were removed so long ago, or longer, are in no copy that the store may come back from.
const REMOVED_IN_COPY: Duration = Duration::from_secs(60);

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

/// An endpoint that was removed.
#[derive(Clone, Debug)]
struct Removed {
    life: Incarnation,
    at: Instant,
}

/// The configuration in force and the endpoints.
pub struct Knowledge {
    pub(super) routes: Option<Rc<RouteTable>>,
    pub(super) endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    removed: HashMap<EndpointId, Removed>,
    pub(super) left: LeftEndpoints,
    pub(super) refused: RefusedEntries,
    /// Most endpoints tell their start: an entry without one is refused.
    is_start_required: bool,
    pub(super) endpoints_at: Revision,
    /// The era of the store in which the endpoints are known.
    era: StoreEra,
    /// What the store wrote in this era up to here may be the copy's; what has a higher count was written in the era.
    pub(super) era_floor: ChangeCount,
    missing_gets_work: Duration,
}

impl Knowledge {
    /// Nothing is known yet. An endpoint that leaves may get its last request within
    /// `leave_within`.
    pub fn new(leave_within: Duration) -> Knowledge {
        Knowledge {
            routes: None,
            endpoints: BTreeMap::new(),
            removed: HashMap::new(),
            left: LeftEndpoints::default(),
            refused: RefusedEntries::default(),
            is_start_required: false,
            endpoints_at: Revision::default(),
            era: 0,
            era_floor: 0,
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

    /// The store's revision up to which the endpoints are known; the default one before the first list.
    pub fn endpoints_at(&self) -> Revision {
        self.endpoints_at
    }

    /// How much is known.
    pub fn known(&self) -> Known {
        Known { config: self.config_version(), endpoints_at: self.endpoints_at }
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

    /// The store is heard of in the era of `at` for the first time, and comes with its copy up to there; nothing changes if that is known.
    /// What has left before stays so, though the copy may have it ready, until it tells otherwise by itself.
    pub fn begin_era(&mut self, at: Revision, now: Instant) {
        if at.era == self.era {
            // All that was written after either of two lists was written in the era.
            self.era_floor = self.era_floor.min(at.count);
        }
        if at.era <= self.era {
            return;
        }
        self.era = at.era;
        self.era_floor = at.count;
        let leaving = self.endpoints().filter(|endpoint| endpoint.is_leaving);
        let leaving: Vec<Incarnation> = leaving.map(Endpoint::incarnation).collect();
        let removed = std::mem::take(&mut self.removed).into_values();
        let removed = removed.filter(|removed| now - removed.at < REMOVED_IN_COPY);
        let left = leaving.into_iter().chain(removed.map(|removed| removed.life));
        left.for_each(|life| self.left.insert(life, now));
    }

    /// Whether the store wrote `revision` in the era in which the endpoints are known, rather than with the copy that the era
    /// began with.
    fn is_of_era(&self, revision: Revision) -> bool {
        revision.era == self.era && revision.count > self.era_floor
    }

    /// The endpoint as its entry is to be taken: one that had left before this era stays so, unless the entry was written in
    /// it.
    fn bind(&mut self, endpoint: Endpoint, revision: Revision) -> Endpoint {
        if !self.left.holds(&endpoint) {
            return endpoint;
        }
        if endpoint.is_leaving || self.is_of_era(revision) {
            self.left.remove(&endpoint.id);
            return endpoint;
        }
        Endpoint { is_leaving: true, ..endpoint }
    }

    /// The endpoints that had left before this era, are listed as ready, and are to be asked now whether they are well.
    pub fn left_to_ask(&mut self, now: Instant) -> Vec<EndpointId> {
        let endpoints = &self.endpoints;
        let is_listed =
            |id: &EndpointId| endpoints.get(id).is_some_and(|e| e.entry == EntryState::Listed);
        self.left.due(is_listed, now)
    }

    /// An endpoint that had left before this era tells that it is well. Whether that is news.
    pub fn note_well(&mut self, life: &Incarnation) -> bool {
        let known = self.endpoints.get_mut(&life.id);
        let Some(known) = known.filter(|known| self.left.holds(&known.endpoint)) else {
            return false;
        };
        if known.endpoint.started != life.started {
            return false;
        }
        known.endpoint.is_leaving = false;
        self.left.remove(&life.id);
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
            None => {
                revision.era >= self.era
                    && (!self.removed.contains_key(id) || revision > self.endpoints_at)
            }
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
        let endpoint = self.bind(endpoint, revision);
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
    pub fn remove_endpoint(&mut self, id: &str, now: Instant) -> bool {
        self.refused.remove(id);
        self.forget_endpoint(id, now)
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
            self.forget_endpoint(id, now);
        }
        over
    }

    /// Forgets an endpoint, but for its removal. Whether it was known.
    fn forget_endpoint(&mut self, id: &str, now: Instant) -> bool {
        let known = self.endpoints.remove(id);
        let life = known.as_ref().map(|known| known.endpoint.incarnation());
        if self.removed.len() < MAX_REMOVED {
            let life = life.unwrap_or_else(|| Incarnation::new(id, None));
            self.removed.insert(id.to_owned(), Removed { life, at: now });
        }
        known.is_some()
    }
}

/// How long an endpoint that its list no longer holds gets work.
fn missing_gets_work(leave_within: Duration) -> Duration {
    leave_within.min(MISSING_GETS_WORK_MOST).saturating_sub(LEAVE_MARGIN)
}
