//! Eras of the store. A new era begins when the store is restored from an older copy of itself: writes that it acknowledged after
//! that copy are lost.
//!
//! Any answer of the store or message of another gateway can reveal a new era. In it, what is known stays in use, each
//! watch lists again, and this process writes its own objects again. [`Knowledge`] decides how to apply the list.
//!
//! [`Knowledge`]: sorrellock_routing::process::knowledge::Knowledge

use crate::process::{Count, Gateway};
use sorrellock_core::process::store_watch::list_turn;
use sorrellock_platform::{Kind, KnownEra};
use sorrellock_routing::process::{Incarnation, Revision, StoreEra};
use spdlog::{info, warn};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Handles each new era of the store. Never returns.
pub(crate) async fn follow_eras(gateway: Rc<Gateway>) {
    let mut eras = gateway.eras.subscribe();
    let mut before = 0;
    // `gateway` owns the sender, so this loop doesn't end.
    while eras.changed().await.is_ok() {
        let KnownEra { era, reported_by } = eras.borrow_and_update().clone();
        let known = gateway.knowledge.borrow().endpoints_at();
        // The first answer in an era may be a list of the endpoints, which is applied before this task runs. So it is the first
        // era of this process even if endpoints are known, as long as they are known in `era`.
        let is_first = before == 0 && (known == Revision::default() || known.era >= era);
        if is_first {
            info!("era of the store is known", kv: { era, told_by = reported_by.as_str() });
        } else {
            gateway.on_era(era, before, &reported_by);
        }
        before = era;
    }
}

impl Gateway {
    fn on_era(&self, era: StoreEra, before: StoreEra, reported_by: &str) {
        let now = Instant::now();
        let ages = [Kind::Configuration, Kind::Endpoints];
        let [configuration_ms, endpoints_ms] =
            ages.map(|kind| self.store_contact.age_ms(kind, now));
        self.store_contact.forget_before(era);
        self.era_began.set(Some(now));
        self.counters.add(Count::StoreEras);
        warn!("era of the store began", kv: {
            era, before, told_by = reported_by, configuration_ms:?, endpoints_ms:?
        });
    }

    /// Applies endpoints that another gateway, whose list is of `era`, knows to have left before that era. Returns whether any of
    /// them is newly leaving.
    pub(crate) fn receive_left(&self, left: &[Incarnation], era: StoreEra, from: &str) -> bool {
        let now = Instant::now().into_std();
        let newly_leaving = self.knowledge.borrow_mut().receive_left(left, era, now);
        for incarnation in &newly_leaving {
            info!("endpoint leaving", kv: { endpoint = incarnation.id.as_str(), era, source = from });
        }
        if !newly_leaving.is_empty() {
            self.engines_changed.notify_waiters();
        }
        !newly_leaving.is_empty()
    }

    /// Records that this gateway has rewritten one of its own objects, which the copy that an era began with may lack.
    pub(crate) fn note_rewritten(&self, kind: Kind, name: &str) {
        self.counters.add(Count::ObjectsRewritten);
        let (kind, era) = (kind.name(), self.eras.known());
        info!("object written again", kv: { kind, name, era });
    }

    /// Returns whether the store was restored from a copy within the last `time`.
    pub(crate) fn is_era_new(&self, time: Duration) -> bool {
        self.era_began.get().is_some_and(|began| began.elapsed() < time)
    }

    /// Returns how long this gateway waits in a new era, so that the gateways before it list first.
    pub(crate) fn list_turn(&self) -> Duration {
        let now = Instant::now();
        let fleet_state = self.fleet_state.borrow();
        let rank = fleet_state.rank(&self.settings.instance, now);
        let count = fleet_state.live(now) as u32;
        list_turn(rank, count)
    }

    /// Waits until an era after `era` is known.
    pub(crate) async fn newer_era(&self, era: StoreEra) {
        let mut eras = self.eras.subscribe();
        // The gateway owns the sender, so the wait doesn't fail.
        let _ = eras.wait_for(|known| known.era > era).await;
    }
}
