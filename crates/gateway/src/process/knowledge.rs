//! What a gateway knows of the configuration and of the endpoints. It only ever gets newer.

use serde::{Deserialize, Serialize};
use sorrellock_platform::Revision;
use sorrellock_routing::process::{Endpoint, EndpointId, Incarnation, LayerRange};
use sorrellock_routing::version::{ConfigVersion, Configuration, RouteTable};
use std::collections::{BTreeMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// For how long an endpoint whose entry is missing, after an outage of the store or as the endpoint
/// doesn't reach it, still gets work, at most: entries that lapsed in an outage are back within two
/// seconds.
const MISSING_GETS_WORK_MOST: Duration = Duration::from_secs(2);
/// The way of a request goes off the time within which a leaving endpoint may get its last one.
const LEAVE_MARGIN: Duration = Duration::from_millis(200);
/// For how long its layers are planned for: entries come back at two seconds, not before.
const MISSING_GRACE: Duration = Duration::from_millis(3_500);
/// The most removed endpoints that are remembered, so that an older page doesn't bring them back.
const MAX_REMOVED: usize = 4_096;

/// An endpoint with the revision of its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KnownEndpoint {
    /// What its entry tells.
    pub(crate) endpoint: Endpoint,
    /// Revision of the entry.
    pub(crate) revision: Revision,
    /// Since when the entry is missing, and may come back.
    #[serde(skip)]
    pub(crate) missing_since: Option<Instant>,
}

/// What one gateway hands to another that can't reach the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Handover {
    pub(crate) configuration: Option<Configuration>,
    /// Those that changed since the revision up to which the other knows them.
    pub(crate) endpoints: Vec<KnownEndpoint>,
    /// All that the list holds.
    pub(crate) listed: Vec<EndpointId>,
    /// Those of them whose entry is missing, and for how long.
    pub(crate) missing: Vec<(EndpointId, Duration)>,
    pub(crate) endpoints_at: Revision,
}

/// What changed of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointNews {
    /// It is new.
    Joined,
    /// Its entry says that it leaves.
    Leaving,
    /// Its entry was missing, and is there again.
    Back,
    /// Its entry changed otherwise.
    Changed,
    /// Nothing that is newer.
    Nothing,
}

/// The configuration in force and the endpoints.
pub(crate) struct Knowledge {
    routes: Option<Rc<RouteTable>>,
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    removed: HashSet<EndpointId>,
    endpoints_at: Revision,
    missing_gets_work: Duration,
}

impl Knowledge {
    /// Nothing is known yet. An endpoint that leaves may get its last request within
    /// `leave_within`.
    pub(crate) fn new(leave_within: Duration) -> Knowledge {
        Knowledge {
            routes: None,
            endpoints: BTreeMap::new(),
            removed: HashSet::new(),
            endpoints_at: 0,
            missing_gets_work: missing_gets_work(leave_within),
        }
    }

    /// An endpoint that leaves may get its last request within `leave_within` from here on.
    pub(crate) fn set_leave_within(&mut self, leave_within: Duration) {
        self.missing_gets_work = missing_gets_work(leave_within);
    }

    /// The configuration in force.
    pub(crate) fn routes(&self) -> Option<&Rc<RouteTable>> {
        self.routes.as_ref()
    }

    /// Number of the configuration in force, 0 for none.
    pub(crate) fn config_version(&self) -> ConfigVersion {
        self.routes.as_ref().map_or(0, |routes| routes.version())
    }

    /// The store's revision up to which the endpoints are known, 0 before the first list.
    pub(crate) fn endpoints_at(&self) -> Revision {
        self.endpoints_at
    }

    /// The endpoints that their list holds, those that leave included.
    pub(crate) fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().map(|known| &known.endpoint)
    }

    /// The endpoints that may get new work, as far as their list tells.
    pub(crate) fn open_endpoints(&self, now: Instant) -> impl Iterator<Item = &Endpoint> {
        let is_here = move |known: &&KnownEndpoint| {
            known.missing_since.is_none_or(|since| now - since < self.missing_gets_work)
        };
        let open = self.endpoints.values().filter(is_here).map(|known| &known.endpoint);
        open.filter(|endpoint| !endpoint.is_leaving)
    }

    /// Whether the list tells of an endpoint in this life.
    pub(crate) fn is_current(&self, life: &Incarnation) -> bool {
        self.endpoint(&life.id).is_some_and(|endpoint| endpoint.started == life.started)
    }

    /// One endpoint.
    pub(crate) fn endpoint(&self, id: &str) -> Option<&Endpoint> {
        self.endpoints.get(id).map(|known| &known.endpoint)
    }

    /// The path that an endpoint's health is asked for at; nothing without a configuration that has
    /// its service.
    pub(crate) fn health_path(&self, endpoint: &Endpoint) -> Option<&str> {
        let service = self.routes.as_ref()?.service(&endpoint.service)?;
        Some(&service.health_path)
    }

    /// Puts a configuration in force if it is newer.
    pub(crate) fn apply_configuration(&mut self, cfg: Configuration) -> bool {
        if cfg.version <= self.config_version() {
            return false;
        }
        self.routes = Some(Rc::new(RouteTable::new(cfg)));
        true
    }

    /// Whether an entry of `revision` is newer than what is known of the endpoint.
    pub(crate) fn is_news(&self, id: &str, revision: Revision) -> bool {
        match self.endpoints.get(id) {
            Some(known) => known.revision <= revision,
            // A lapsed entry that came back is written anew.
            None => !self.removed.contains(id) || revision > self.endpoints_at,
        }
    }

    /// An endpoint itself told that it started again: its entry still tells of the life before.
    pub(crate) fn begin_life(&mut self, life: &Incarnation) {
        if let Some(known) = self.endpoints.get_mut(&life.id) {
            known.endpoint.started = life.started;
            known.endpoint.layers = LayerRange::default();
        }
    }

    /// Takes an entry that was written at `revision`.
    pub(crate) fn apply_endpoint(
        &mut self,
        endpoint: Endpoint,
        revision: Revision,
    ) -> EndpointNews {
        if !self.is_news(&endpoint.id, revision) {
            return EndpointNews::Nothing;
        }
        self.removed.remove(&endpoint.id);
        let before = self.endpoints.get(&endpoint.id);
        let news = match before {
            None if endpoint.is_leaving => EndpointNews::Leaving,
            None => EndpointNews::Joined,
            Some(known) if known.missing_since.is_some() && !endpoint.is_leaving => {
                EndpointNews::Back
            }
            Some(known) if known.endpoint == endpoint => EndpointNews::Nothing,
            Some(known) if !known.endpoint.is_leaving && endpoint.is_leaving => {
                EndpointNews::Leaving
            }
            Some(_) => EndpointNews::Changed,
        };
        let known = KnownEndpoint { endpoint, revision, missing_since: None };
        self.endpoints.insert(known.endpoint.id.clone(), known);
        news
    }

    /// An entry is gone for good.
    pub(crate) fn remove_endpoint(&mut self, id: &str) -> bool {
        if self.removed.len() < MAX_REMOVED {
            self.removed.insert(id.to_owned());
        }
        self.endpoints.remove(id).is_some()
    }

    /// An entry is gone that may have lapsed: its endpoint stays for a while, if it wasn't leaving.
    pub(crate) fn mark_missing(&mut self, id: &str, now: Instant) -> bool {
        match self.endpoints.get_mut(id) {
            Some(known) if !known.endpoint.is_leaving => {
                known.missing_since.get_or_insert(now);
                true
            }
            _ => false,
        }
    }

    /// Takes the revision that changes were read up to.
    pub(crate) fn advance(&mut self, at: Revision) {
        self.endpoints_at = self.endpoints_at.max(at);
    }

    /// The endpoints that a list of all entries doesn't hold.
    pub(crate) fn unlisted(&self, listed: &HashSet<EndpointId>) -> Vec<EndpointId> {
        self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

    /// Takes a list of all entries after an outage. What is missing stays for a while, as its
    /// entry may only have lapsed.
    pub(crate) fn mark_unlisted(&mut self, listed: &HashSet<EndpointId>, now: Instant) {
        for (_, known) in self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(*id)) {
            known.missing_since.get_or_insert(now);
        }
    }

    /// Whether an endpoint's entry is missing, and may come back.
    pub(crate) fn is_missing(&self, id: &str) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.missing_since.is_some())
    }

    /// Whether the entry of `revision`, or a newer one, is known to be missing: another gateway that
    /// still has it has not read that far.
    pub(crate) fn is_missing_at(&self, id: &str, revision: Revision) -> bool {
        self.is_missing(id) && self.endpoints[id].revision >= revision
    }

    /// Gives up entries that have been missing for too long. Tells which.
    pub(crate) fn expire_missing(&mut self, now: Instant) -> Vec<EndpointId> {
        let is_over = |known: &&KnownEndpoint| {
            known.missing_since.is_some_and(|since| now - since >= MISSING_GRACE)
        };
        let over = self.endpoints.values().filter(is_over);
        let over: Vec<EndpointId> = over.map(|known| known.endpoint.id.clone()).collect();
        for id in &over {
            self.remove_endpoint(id);
        }
        over
    }

    /// Another gateway has missed an entry for `missing_for`, if that is longer than this one has.
    pub(crate) fn hear_missing(&mut self, id: &str, missing_for: Duration, now: Instant) -> bool {
        let Some(known) = self.endpoints.get_mut(id) else { return false };
        let since = now.checked_sub(missing_for).unwrap_or(now);
        let is_news = known.missing_since.is_none();
        known.missing_since = Some(known.missing_since.map_or(since, |own| own.min(since)));
        is_news
    }

    /// What another gateway is handed that has configuration `known` and knows the endpoints up to
    /// revision `known_at`.
    pub(crate) fn handover(
        &self,
        known: ConfigVersion,
        known_at: Revision,
        now: Instant,
    ) -> Handover {
        let changed = self.endpoints.values().filter(|endpoint| endpoint.revision > known_at);
        let missing_for =
            |known: &KnownEndpoint| Some((known.endpoint.id.clone(), now - known.missing_since?));
        let newer = self.routes.as_ref().filter(|routes| routes.version() > known);
        Handover {
            configuration: newer.map(|routes| Configuration::clone(routes.cfg())),
            endpoints: changed.cloned().collect(),
            listed: self.endpoints.keys().cloned().collect(),
            missing: self.endpoints.values().filter_map(missing_for).collect(),
            endpoints_at: self.endpoints_at,
        }
    }
}

/// How long an endpoint that its list no longer holds gets work.
fn missing_gets_work(leave_within: Duration) -> Duration {
    leave_within.min(MISSING_GETS_WORK_MOST).saturating_sub(LEAVE_MARGIN)
}
