//! The store came back from an older copy of itself: what it had acknowledged since is gone, and a new era begins.
//!
//! Any answer of the store tells of it, and so does any other gateway. What is known stays in use; each watch lists anew, and what
//! this process had written is written again. What the list then means is decided in [`Knowledge`].
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

/// Tells of each new era, for ever.
pub(crate) async fn follow_eras(gateway: Rc<Gateway>) {
    let mut eras = gateway.eras.subscribe();
    let mut before = 0;
    // The sender lives as long as the gateway.
    while eras.changed().await.is_ok() {
        let KnownEra { era, told_by } = eras.borrow_and_update().clone();
        let known = gateway.knowledge.borrow().endpoints_at();
        // A list of the endpoints may be the first answer of an era, and is applied before this task runs: endpoints
        // that are known in `era` don't make it the first one.
        let is_first = before == 0 && (known == Revision::default() || known.era >= era);
        if is_first {
            info!("era of the store is known", kv: { era, told_by = told_by.as_str() });
        } else {
            gateway.on_era(era, before, &told_by);
        }
        before = era;
    }
}

impl Gateway {
    fn on_era(&self, era: StoreEra, before: StoreEra, told_by: &str) {
        let now = Instant::now();
        let ages = [Kind::Configuration, Kind::Endpoints];
        let [configuration_ms, endpoints_ms] =
            ages.map(|kind| self.store_contact.age_ms(kind, now));
        self.store_contact.forget_before(era);
        self.era_began.set(Some(now));
        self.counters.add(Count::StoreEras);
        warn!("era of the store began", kv: {
            era, before, told_by, configuration_ms:?, endpoints_ms:?
        });
    }

    /// Another gateway, which knows the endpoints in `era`, knew these to have left before it. Returns whether that is news.
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

    /// An object of this gateway's own was written again, as the copy that an era began with may lack it.
    pub(crate) fn note_rewritten(&self, kind: Kind, name: &str) {
        self.counters.add(Count::ObjectsRewritten);
        let (kind, era) = (kind.name(), self.eras.known());
        info!("object written again", kv: { kind, name, era });
    }

    /// Whether the store came back from a copy within the last `time`.
    pub(crate) fn is_era_new(&self, time: Duration) -> bool {
        self.era_began.get().is_some_and(|began| began.elapsed() < time)
    }

    /// How long this gateway leaves it to those before it to list anew in a new era.
    pub(crate) fn list_turn(&self) -> Duration {
        let now = Instant::now();
        let beliefs = self.beliefs.borrow();
        let rank = beliefs.rank(&self.settings.instance, now);
        let count = beliefs.live_peers(now).count() as u32 + 1;
        list_turn(rank, count)
    }

    /// Ends once an era after `era` is known.
    pub(crate) async fn newer_era(&self, era: StoreEra) {
        let mut eras = self.eras.subscribe();
        // The sender lives as long as the gateway.
        let _ = eras.wait_for(|known| known.era > era).await;
    }
}
