//! How the gateways share the watches of the store: which of them watch, which rely on others, and how soon a watch that brought changes
//! is repeated. The watches of a fleet don't grow with it.

use super::watcher::Watcher;
use crate::process::FleetState;
use sorrellock_core::process::store_watch::Rank;
use sorrellock_platform::Kind;
use sorrellock_routing::process::Revision;
use spdlog::debug;
use std::time::Duration;
use tokio::time::Instant;

/// Pause after a watch that brought changes: further changes within it are fetched together, as a call
/// for each would cost more than the delay.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// The same for changes of endpoints, per gateway: all gateways watch them, and the lead sends the others
/// the important changes of engines at once.
const WATCH_PAUSE_PER_GATEWAY: Duration = Duration::from_millis(30);
/// The longest such pause.
const MAX_WATCH_PAUSE: Duration = Duration::from_millis(900);
/// Largest share of the time within which a leaving endpoint may still get requests (`leave_within`) that a pause may take.
const WATCH_PAUSE_SHARE: f64 = 0.45;
/// Number of gateways from which most of them learn of endpoints and configurations from others: otherwise each change
/// would cost a store call from every gateway.
const MANY_GATEWAYS: usize = 12;
/// Number of gateways that watch the store themselves: the first in order of name, or of the relays in a large fleet, where they
/// are of different data centres. The lead always watches the endpoints, too.
const WATCHERS: Rank = 4;
/// Gateways that must have had recent contact with the store for others to rely on them.
const MIN_WATCHERS: usize = 2;
/// Age up to which contact with the store counts as recent: one watch without changes, and a retry.
const WATCHER_MAX_AGE: Duration = Duration::from_secs(10);

impl Watcher {
    /// Returns this gateway's rank among the live gateways that watch the same objects.
    pub(super) fn rank(&self) -> Rank {
        let now = Instant::now();
        let fleet_state = self.gateway.fleet_state.borrow();
        let rank = fleet_state.rank(&self.gateway.settings.instance, now);
        let count = fleet_state.live(now);
        if count >= MANY_GATEWAYS { rank.min(WATCHERS) } else { rank }
    }

    /// Returns whether the store lists so many gateways that most of them rely on others.
    pub(super) fn has_many_listed(&self) -> bool {
        self.gateway.fleet_state.borrow().sharers.listed() >= MANY_GATEWAYS
    }

    /// Returns whether other gateways report changes, so that this one needs no watch.
    pub(super) fn relies_on_others(&mut self) -> bool {
        let (relies, watchers) = self.may_rely_on_others();
        if relies != self.gateway.store_contact.set_left_to_others(self.kind, relies) {
            let kind = format!("{:?}", self.kind);
            debug!("watch of the store", kv: {
                kind = kind.as_str(), left_to_others = relies, watchers
            });
        }
        if relies {
            self.at = self.revision_reported();
            self.lost_since = None;
        }
        relies
    }

    /// Returns the revision from which a later watch continues, after the changes that other gateways reported; `None` lists
    /// again, as a configuration that another gateway handed over names no revision.
    pub(super) fn revision_reported(&self) -> Option<Revision> {
        let is_endpoints = self.kind == Kind::Endpoints;
        is_endpoints.then(|| self.gateway.knowledge.borrow().endpoints_at())
    }

    /// Returns whether this gateway may rely on others, and how many gateways had recent contact with the store.
    fn may_rely_on_others(&self) -> (bool, usize) {
        let now = Instant::now();
        let gateway = &self.gateway;
        let fleet_state = gateway.fleet_state.borrow();
        let watchers = fleet_state.watchers(self.kind, WATCHER_MAX_AGE, now);
        let is_leading = gateway.lead_term.get().is_some();
        let may_rely = gateway.has_data(self.kind)
            && !(self.kind == Kind::Endpoints && is_leading)
            && fleet_state.gateways(now) >= MANY_GATEWAYS
            && !is_watcher(&fleet_state, &gateway.settings.instance, now)
            && watchers >= MIN_WATCHERS
            && !self.is_too_old();
        (may_rely, watchers)
    }

    /// Returns the pause after a watch that brought changes.
    pub(super) fn pause(&self) -> Duration {
        if self.kind != Kind::Endpoints || self.gateway.lead_term.get().is_some() {
            return WATCH_PAUSE;
        }
        let gateways = self.gateway.fleet_state.borrow().gateways(Instant::now());
        let longest = self.gateway.bounds.get().leave_within.mul_f64(WATCH_PAUSE_SHARE);
        let longest = longest.clamp(WATCH_PAUSE, MAX_WATCH_PAUSE);
        (WATCH_PAUSE_PER_GATEWAY * gateways as u32).clamp(WATCH_PAUSE, longest)
    }
}

/// Returns whether this gateway, `instance`, is one of those that watch the store for others.
fn is_watcher(fleet_state: &FleetState, instance: &str, now: Instant) -> bool {
    fleet_state.is_coordinator() && fleet_state.rank(instance, now) < WATCHERS
}
