//! Where a gateway gets its first configuration and endpoints from: the store, or relays that have them already.

use crate::process::Gateway;
use sorrellock_platform::Kind;
use sorrellock_routing::process::Revision;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long a gateway waits at its start for the list of the gateways, which shows whether there are relays. The list grows with the
/// fleet, and comes late where all start at once.
const LIST_WAIT: Duration = Duration::from_secs(2);
/// Time within which this gateway's own object is written, unless the store is slow: then the list isn't waited for.
const REGISTER_WAIT: Duration = Duration::from_millis(300);
/// How long it waits for the relays before it lists by itself, in its turn.
const RELAY_WAIT: Duration = Duration::from_millis(1_000);
/// Interval at which it checks whether they have answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A gateway's wait for its first data.
pub(crate) struct FirstData {
    gateway: Rc<Gateway>,
    listed: Instant,
}

impl FirstData {
    /// Waits for the list of the gateways, or until the store proves slow or fails a call.
    pub(crate) async fn new(gateway: &Rc<Gateway>) -> FirstData {
        let began = Instant::now();
        let is_listed = || gateway.fleet_state.borrow().sharers.listed() > 0;
        let is_slow = || began.elapsed() >= REGISTER_WAIT && !gateway.is_registered.get();
        let may_come = || gateway.store_failed.get().is_none() && began.elapsed() < LIST_WAIT;
        while !is_listed() && may_come() && !is_slow() {
            // Both the list and the time are reasons to go on.
            let _ = timeout(CHECK_INTERVAL, gateway.gateways_listed.notified()).await;
        }
        FirstData { gateway: Rc::clone(gateway), listed: Instant::now() }
    }

    /// Returns whether data of a kind, or of any, is still expected from relays.
    pub(crate) fn is_awaited(&self, kind: Option<Kind>) -> bool {
        let now = Instant::now();
        let lacks = match kind {
            Some(kind) => !self.gateway.has_data(kind),
            None => [Kind::Configuration, Kind::Endpoints]
                .iter()
                .any(|kind| !self.gateway.has_data(*kind)),
        };
        lacks
            && now - self.listed < RELAY_WAIT
            && self.gateway.fleet_state.borrow().starts_from_relays(now)
    }

    /// Waits until the records of held requests are there, or this gateway has to list them.
    pub(crate) async fn wait_for_held(self) {
        while !self.gateway.held_sync.borrow().has_listed() && self.is_awaited(None) {
            sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until a kind of data is there, or this gateway has to list it.
    pub(crate) async fn wait(self, kind: Kind) {
        let starts_from_relays =
            self.gateway.fleet_state.borrow().starts_from_relays(Instant::now());
        if !starts_from_relays {
            return;
        }
        while self.is_awaited(Some(kind)) {
            sleep(CHECK_INTERVAL).await;
        }
        if !self.gateway.has_data(kind) {
            sleep(self.gateway.list_turn()).await;
        }
    }
}

impl Gateway {
    /// Returns whether this gateway knows anything of a kind yet.
    pub(crate) fn has_data(&self, kind: Kind) -> bool {
        let known = self.knowledge.borrow().known();
        match kind {
            Kind::Endpoints => known.endpoints_at > Revision::default(),
            _ => known.config > 0,
        }
    }
}
