//! What a gateway knows about the configuration and the endpoints. It never goes back to an older
//! state.

use super::dropped_services::DroppedServices;
use super::left_endpoints::LeftEndpoints;
use super::recent_changes::RecentChanges;
use super::{EntryState, KnownEndpoint, RefusedEntries, RefusedEntry};
use crate::process::{
    ChangeCount, Endpoint, EndpointId, Incarnation, Known, LayerRange, Revision, StoreEra,
};
use crate::version::{ConfigVersion, Configuration, RouteTable, Service};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long an endpoint whose entry is missing, because of a store outage or because the endpoint can't
/// reach the store, gets new work at most: entries that expired in an outage are written again within
/// two seconds.
const MAX_WORK_WHILE_MISSING: Duration = Duration::from_secs(2);
/// Transit time of a request, subtracted from the time within which a leaving endpoint may get its last
/// one.
const TRANSIT_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of removed endpoints that are kept, so that neither an older page nor a store restored
/// from an older copy adds them again.
const MAX_REMOVED: usize = 4_096;

/// The effect of a refused entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// A newer entry is known; nothing changes.
    Outdated,
    /// The endpoint is not known.
    UnknownEndpoint,
    /// The known endpoint's entry was already unusable.
    StillUnusable,
    /// The known endpoint's entry was not unusable before.
    NewlyUnusable,
}

/// What an entry changed about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdate {
    /// The endpoint is new.
    Joined,
    /// The endpoint is now leaving.
    Leaving,
    /// The entry was missing or unusable, and is usable again.
    Recovered,
    /// The entry changed in another way.
    Changed,
    /// The entry is outdated or identical.
    Unchanged,
}

/// A removed endpoint and the time of its removal.
#[derive(Clone, Debug)]
pub(super) struct Removed {
    pub(super) incarnation: Incarnation,
    pub(super) at: Instant,
}

/// The current configuration and the known endpoints.
pub struct Knowledge {
    pub(super) routes: Option<Rc<RouteTable>>,
    pub(super) changes: RecentChanges,
    dropped: DroppedServices,
    pub(super) endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    pub(super) removed: HashMap<EndpointId, Removed>,
    pub(super) left: LeftEndpoints,
    pub(super) refused: RefusedEntries,
    /// Whether entries without a start are refused, as most entries contain one.
    pub(super) is_start_required: bool,
    pub(super) endpoints_at: Revision,
    /// The store era that the known endpoints were read in.
    pub(super) era: StoreEra,
    /// Changes up to this count may stem from the copy that the era began with; later ones were written in
    /// the era.
    pub(super) era_floor: ChangeCount,
    work_while_missing: Duration,
}

impl Knowledge {
    /// Creates empty knowledge. A leaving endpoint may get its last request within `leave_within`.
    pub fn new(leave_within: Duration) -> Knowledge {
        Knowledge {
            routes: None,
            changes: RecentChanges::default(),
            dropped: DroppedServices::default(),
            endpoints: BTreeMap::new(),
            removed: HashMap::new(),
            left: LeftEndpoints::default(),
            refused: RefusedEntries::default(),
            is_start_required: false,
            endpoints_at: Revision::default(),
            era: 0,
            era_floor: 0,
            work_while_missing: work_while_missing(leave_within),
        }
    }

    /// Sets the time within which a leaving endpoint may get its last request.
    pub fn set_leave_within(&mut self, leave_within: Duration) {
        self.work_while_missing = work_while_missing(leave_within);
    }

    /// Returns the current configuration.
    pub fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Returns the version of the current configuration, 0 for none.
    pub fn config_version(&self) -> ConfigVersion {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// Returns the store revision up to which the endpoints are known; the default before the first list.
    pub fn endpoints_at(&self) -> Revision {
        self.endpoints_at
    }

    /// Returns the versions of the configuration and of the endpoints.
    pub fn known(&self) -> Known {
        Known { config: self.config_version(), endpoints_at: self.endpoints_at }
    }

    /// Returns the known endpoints, including leaving ones.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|known| &known.endpoint)
    }

    /// Returns the known endpoints with the state of their entries.
    pub fn known_endpoints(&self) -> impl Iterator<Item = &KnownEndpoint> {
        self.endpoints.values()
    }

    /// Returns the endpoints whose entry is not marked as unusable.
    pub fn usable_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        let usable = self.endpoints.values().filter(|known| !known.entry.is_unusable());
        usable.map(|known| &known.endpoint)
    }

    /// Returns the entries that can't be used.
    pub fn refused(&self) -> &RefusedEntries {
        &self.refused
    }

    /// Returns the endpoints that may get new work according to their entries.
    pub fn open_endpoints(&self, now: Instant) -> impl Iterator<Item = &Endpoint> {
        let open = self.endpoints.values().filter(move |known| self.is_open(known, now));
        open.map(|known| &known.endpoint)
    }

    /// Returns whether an endpoint may get new work in this incarnation, according to its entry.
    pub fn may_get_work(&self, incarnation: &Incarnation, now: Instant) -> bool {
        let known = self.endpoints.get(&incarnation.id);
        known.is_some_and(|known| {
            known.endpoint.started == incarnation.started && self.is_open(known, now)
        })
    }

    /// Returns when the next endpoint may get no new work any more, as its entry is missing.
    pub fn next_work_limit(&self, now: Instant) -> Option<Instant> {
        let open = self.endpoints.values().filter(|known| self.is_open(known, now));
        open.filter_map(|known| Some(known.entry.since()? + self.work_while_missing)).min()
    }

    fn is_open(&self, known: &KnownEndpoint, now: Instant) -> bool {
        let may_get_work = match known.entry {
            EntryState::Listed => true,
            EntryState::MissingSince(since) => now - since < self.work_while_missing,
            EntryState::UnusableSince(..) => false,
        };
        may_get_work && !known.endpoint.is_leaving
    }

    /// Returns whether the entry of this incarnation says that it is leaving.
    pub fn is_leaving(&self, incarnation: &Incarnation) -> bool {
        let endpoint = self.endpoint(&incarnation.id);
        endpoint
            .is_some_and(|endpoint| endpoint.is_leaving && endpoint.started == incarnation.started)
    }

    /// Returns whether an endpoint is known in this incarnation.
    pub fn is_current(&self, incarnation: &Incarnation) -> bool {
        self.endpoint(&incarnation.id)
            .is_some_and(|endpoint| endpoint.started == incarnation.started)
    }

    /// Returns whether an endpoint is known in this incarnation and at this address.
    pub fn is_known_at(&self, incarnation: &Incarnation, addr: SocketAddr) -> bool {
        self.is_current(incarnation)
            && self.endpoint(&incarnation.id).is_some_and(|one| one.addr == addr)
    }

    /// Returns the endpoint with this id.
    pub fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|known| &known.endpoint)
    }

    /// Returns the services of the current configuration, and dropped ones that may still have requests in
    /// progress.
    pub fn services(&self, now: Instant) -> impl Iterator<Item = &Service> {
        let named = self.routes.iter().flat_map(|routes| &routes.cfg().services);
        named.chain(self.dropped.current(now))
    }

    /// Returns the path of an endpoint's health check, if its service is known.
    pub fn health_path(&self, endpoint: &Endpoint, now: Instant) -> Option<&str> {
        let service = self.services(now).find(|service| service.name == endpoint.service)?;
        Some(&service.health_path)
    }

    /// Applies a configuration if it is newer. Returns whether it is.
    pub fn apply_configuration(&mut self, cfg: Configuration, now: Instant) -> bool {
        if cfg.version <= self.config_version() {
            return false;
        }
        let after = Rc::new(RouteTable::new(cfg));
        if let Some(before) = &self.routes {
            self.dropped.on_change(before.cfg(), after.cfg(), now);
            self.changes.on_change(before, &after);
        }
        self.routes = Some(after);
        true
    }

    /// Returns whether an entry of `revision` is not older than what is known about the endpoint.
    pub fn is_new(&self, id: &str, revision: Revision) -> bool {
        if self.refused.get(id).is_some_and(|refused| refused.revision > revision) {
            return false;
        }
        match self.endpoints.get(id) {
            Some(known) => known.revision <= revision,
            // An expired entry that is written again has a new revision.
            None => {
                revision.era >= self.era
                    && (!self.removed.contains_key(id) || revision > self.endpoints_at)
            }
        }
    }

    /// Records that an endpoint reported a restart while its entry still describes the previous
    /// incarnation.
    pub fn begin_incarnation(&mut self, incarnation: &Incarnation) {
        if let Some(known) = self.endpoints.get_mut(&incarnation.id) {
            known.endpoint.started = incarnation.started;
            known.endpoint.layers = LayerRange::default();
        }
    }

    /// Applies an entry that was written at `revision`.
    pub fn apply_endpoint(&mut self, endpoint: Endpoint, revision: Revision) -> EndpointUpdate {
        if !self.is_new(&endpoint.id, revision) {
            return EndpointUpdate::Unchanged;
        }
        let endpoint = self.mark_if_left(endpoint, revision);
        self.removed.remove(&endpoint.id);
        let before = self.endpoints.get(&endpoint.id);
        let update = match before {
            None if endpoint.is_leaving => EndpointUpdate::Leaving,
            None => EndpointUpdate::Joined,
            Some(known) if known.entry != EntryState::Listed && !endpoint.is_leaving => {
                EndpointUpdate::Recovered
            }
            Some(known) if known.endpoint == endpoint => EndpointUpdate::Unchanged,
            Some(known) if !known.endpoint.is_leaving && endpoint.is_leaving => {
                EndpointUpdate::Leaving
            }
            Some(_) => EndpointUpdate::Changed,
        };
        self.refused.remove(&endpoint.id);
        let known = KnownEndpoint { endpoint, revision, entry: EntryState::Listed };
        self.endpoints.insert(known.endpoint.id.clone(), known);
        update
    }

    /// Removes an endpoint whose entry is gone for good. Returns whether it was known.
    pub fn remove_endpoint(&mut self, id: &str, now: Instant) -> bool {
        self.refused.remove(id);
        self.forget_endpoint(id, now)
    }

    /// Records an entry that has been unusable since `since`. A known endpoint is kept for a while, but gets
    /// no new work.
    pub fn refuse_endpoint(&mut self, id: &str, entry: RefusedEntry, since: Instant) -> Refusal {
        let (revision, fault) = (entry.revision, entry.fault.clone());
        let had_start = entry.had_start || self.had_start(id);
        let known = self.endpoints.get_mut(id);
        let is_older = known.as_ref().is_some_and(|known| known.revision > revision);
        if is_older || self.refused.get(id).is_some_and(|before| before.revision > revision) {
            return Refusal::Outdated;
        }
        self.refused.insert(id, RefusedEntry { had_start, ..entry });
        let Some(known) = known else { return Refusal::UnknownEndpoint };
        known.revision = revision;
        let was_unusable = known.entry.is_unusable();
        let since = known.entry.since().map_or(since, |before| before.min(since));
        known.entry = EntryState::UnusableSince(since, fault);
        if was_unusable { Refusal::StillUnusable } else { Refusal::NewlyUnusable }
    }

    /// Returns whether a known endpoint's entry is unusable.
    pub fn is_unusable(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.entry.is_unusable())
    }

    /// Removes an unusable entry that is gone from the store. Its endpoint, if known, expires later.
    pub fn forget_refused(&mut self, id: &str) {
        self.refused.remove(id);
    }

    /// Records that changes were read up to a revision.
    pub fn advance(&mut self, at: Revision) {
        self.endpoints_at = self.endpoints_at.max(at);
    }

    /// Drops an endpoint and records its removal. Returns whether it was known.
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

/// Returns how long an endpoint whose entry is missing gets new work.
fn work_while_missing(leave_within: Duration) -> Duration {
    leave_within.min(MAX_WORK_WHILE_MISSING).saturating_sub(TRANSIT_MARGIN)
}
