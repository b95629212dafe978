//! How the gateways share the watches of the store: who asks often, who leaves it to others, and how soon one that had news asks again.

use super::watcher::Watcher;
use sorrellock_core::process::store_watch::Rank;
use sorrellock_platform::Kind;
use sorrellock_routing::process::Revision;
use spdlog::info;
use std::time::Duration;
use tokio::time::Instant;

/// Changes that come within this time are fetched together: a call each would cost more than
/// their delay.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// The same for changes of endpoints, per gateway: all watch, and the lead tells the others what
/// matters of engines at once.
const WATCH_PAUSE_PER_GATEWAY: Duration = Duration::from_millis(30);
/// The longest such pause.
const WATCH_PAUSE_MOST: Duration = Duration::from_millis(900);
/// Share of the time within which an endpoint that leaves may get requests that a pause may take.
const WATCH_PAUSE_SHARE: f64 = 0.45;
/// From so many gateways on, most of them learn of endpoints from others: each change would cost a
/// call of each.
const MANY_GATEWAYS: usize = 12;
/// Gateways, first in order of name, that watch the store themselves; the lead does besides.
const WATCHERS: Rank = 4;
/// The fewest of them that must have heard the store of late for others to rely on them.
const WATCHERS_LEAST: usize = 2;
/// How late they may have heard it: a watch without news in turn, and a retry.
const WATCHER_FRESH: Duration = Duration::from_secs(10);

impl Watcher {
    /// This gateway's rank among those that are heard and watch the same.
    pub(super) fn rank(&self) -> Rank {
        let now = Instant::now();
        let fleet_state = self.gateway.fleet_state.borrow();
        let rank = fleet_state.rank(&self.gateway.settings.instance, now);
        let count = fleet_state.live_peers(now).count() + 1;
        let is_shared = self.kind == Kind::Endpoints && count >= MANY_GATEWAYS;
        if is_shared { rank.min(WATCHERS) } else { rank }
    }

    /// Whether other gateways tell of the endpoints, and this one needs no watch of its own. A
    /// later watch goes on from what they told.
    pub(super) fn leaves_it_to_others(&mut self) -> bool {
        let at = self.gateway.knowledge.borrow().endpoints_at();
        let (is_left, watchers) = self.may_leave_it(at);
        if is_left != std::mem::replace(&mut self.is_left_to_others, is_left) {
            let Revision { era, count } = at;
            info!("watch of endpoints", kv: {
                left_to_others = is_left, watchers, era, at = count
            });
        }
        if is_left {
            self.at = Some(at);
            self.lost_since = None;
        }
        is_left
    }

    /// Whether others watch in its place, and how many do.
    fn may_leave_it(&self, at: Revision) -> (bool, usize) {
        let now = Instant::now();
        let gateway = &self.gateway;
        let fleet_state = gateway.fleet_state.borrow();
        let watchers = fleet_state.watchers(WATCHER_FRESH, now);
        let may_leave = at > Revision::default()
            && !gateway.leads.get()
            && fleet_state.gateways(now) >= MANY_GATEWAYS
            && fleet_state.rank(&gateway.settings.instance, now) >= WATCHERS
            && watchers >= WATCHERS_LEAST
            && !self.is_too_old();
        (may_leave, watchers)
    }

    pub(super) fn pause(&self) -> Duration {
        if self.kind != Kind::Endpoints || self.gateway.leads.get() {
            return WATCH_PAUSE;
        }
        let gateways = self.gateway.fleet_state.borrow().gateways(Instant::now());
        let most = self.gateway.bounds.get().leave_within.mul_f64(WATCH_PAUSE_SHARE);
        let most = most.clamp(WATCH_PAUSE, WATCH_PAUSE_MOST);
        (WATCH_PAUSE_PER_GATEWAY * gateways as u32).clamp(WATCH_PAUSE, most)
    }
}
