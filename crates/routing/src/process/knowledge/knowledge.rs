//! What a gateway knows of the configuration and of the endpoints. It only ever gets newer.

use super::dropped_services::DroppedServices;
use super::left_endpoints::LeftEndpoints;
use super::{EntryState, KnownEndpoint, RefusedEntries, RefusedEntry};
use crate::process::{
    ChangeCount, Endpoint, EndpointId, Incarnation, Known, LayerRange, Revision, StoreEra,
};
use crate::version::{ConfigVersion, Configuration, RouteTable, Service};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// For how long an endpoint whose entry is missing, after an outage of the store or as the endpoint
/// doesn't reach it, still gets work, at most: entries that lapsed in an outage are back within two
/// seconds.
const MISSING_GETS_WORK_MOST: Duration = Duration::from_secs(2);
/// The way of a request goes off the time within which a leaving endpoint may get its last one.
const LEAVE_MARGIN: Duration = Duration::from_millis(200);
/// The most removed endpoints that are remembered, so that an older page, or a store that comes back from an older copy, doesn't bring
/// them back.
const MAX_REMOVED: usize = 4_096;

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
pub(super) struct Removed {
    pub(super) incarnation: Incarnation,
    pub(super) at: Instant,
}

/// The configuration in force and the endpoints.
pub struct Knowledge {
    pub(super) routes: Option<Rc<RouteTable>>,
    dropped: DroppedServices,
    pub(super) endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    pub(super) removed: HashMap<EndpointId, Removed>,
    pub(super) left: LeftEndpoints,
    pub(super) refused: RefusedEntries,
    /// Most endpoints tell their start: an entry without one is refused.
    pub(super) is_start_required: bool,
    pub(super) endpoints_at: Revision,
    /// The era of the store in which the endpoints are known.
    pub(super) era: StoreEra,
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
            dropped: DroppedServices::default(),
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

    /// Whether the list tells of an endpoint in this incarnation.
    pub fn is_current(&self, incarnation: &Incarnation) -> bool {
        self.endpoint(&incarnation.id)
            .is_some_and(|endpoint| endpoint.started == incarnation.started)
    }

    /// Whether the list tells of an endpoint in this incarnation at an address.
    pub fn is_known_at(&self, incarnation: &Incarnation, addr: SocketAddr) -> bool {
        self.is_current(incarnation)
            && self.endpoint(&incarnation.id).is_some_and(|one| one.addr == addr)
    }

    /// One endpoint.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|known| &known.endpoint)
    }

    /// The services that the configuration in force names, and those that it dropped while requests of theirs may be under way.
    pub fn services(&self, now: Instant) -> impl Iterator<Item = &Service> {
        let named = self.routes.iter().flat_map(|routes| &routes.cfg().services);
        named.chain(self.dropped.current(now))
    }

    /// The path that an endpoint's health is asked for at; nothing without a service of its name.
    pub fn health_path(&self, endpoint: &Endpoint, now: Instant) -> Option<&str> {
        let service = self.services(now).find(|service| service.name == endpoint.service)?;
        Some(&service.health_path)
    }

    /// Puts a configuration in force if it is newer.
    pub fn apply_configuration(&mut self, cfg: Configuration, now: Instant) -> bool {
        if cfg.version <= self.config_version() {
            return false;
        }
        if let Some(before) = &self.routes {
            self.dropped.on_change(before.cfg(), &cfg, now);
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
            None => {
                revision.era >= self.era
                    && (!self.removed.contains_key(id) || revision > self.endpoints_at)
            }
        }
    }

    /// An endpoint itself told that it started again: its entry still tells of the incarnation before.
    pub fn begin_incarnation(&mut self, incarnation: &Incarnation) {
        if let Some(known) = self.endpoints.get_mut(&incarnation.id) {
            known.endpoint.started = incarnation.started;
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

    /// Takes the revision that changes were read up to.
    pub fn advance(&mut self, at: Revision) {
        self.endpoints_at = self.endpoints_at.max(at);
    }

    /// Forgets an endpoint, but for its removal. Whether it was known.
    pub(super) fn forget_endpoint(&mut self, id: &str, now: Instant) -> bool {
        let known = self.endpoints.remove(id);
        let incarnation = known.as_ref().map(|known| known.endpoint.incarnation());
        if self.removed.len() < MAX_REMOVED {
            let incarnation = incarnation.unwrap_or_else(|| Incarnation::new(id, None));
            self.removed.insert(id.to_owned(), Removed { incarnation, at: now });
        }
        known.is_some()
    }
}

/// How long an endpoint that its list no longer holds gets work.
fn missing_gets_work(leave_within: Duration) -> Duration {
    leave_within.min(MISSING_GETS_WORK_MOST).saturating_sub(LEAVE_MARGIN)
}
