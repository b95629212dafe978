//! The store came back from an older copy of itself: what it had acknowledged since is gone, and a new era begins.
//!
//! Any answer of the store tells of it, and so does any other gateway. What is known stays in use; each watch lists anew, and what
//! this process had written is written again. What the list then means is decided in [`Knowledge`].
//!
//! [`Knowledge`]: sorrellock_routing::process::knowledge::Knowledge

use crate::process::{Count, Gateway};
use sorrellock_platform::Kind;
use spdlog::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Within this time of an era's begin all gateways list anew, one after the other by rank: at once they would use up what
/// the store answers in a second.
const LIST_SPREAD: Duration = Duration::from_secs(1);

/// Tells of each new era, for ever.
pub(crate) async fn follow_eras(gateway: Rc<Gateway>) {
    let mut eras = gateway.eras.subscribe();
    // The sender lives as long as the gateway.
    while eras.changed().await.is_ok() {
        let known = eras.borrow_and_update().clone();
        gateway.on_era(known.era, &known.told_by);
    }
}

impl Gateway {
    fn on_era(&self, era: u64, told_by: &str) {
        let now = Instant::now();
        let before = self.knowledge.borrow().endpoints_at().era;
        let ages = [Kind::Configuration, Kind::Endpoints];
        let [configuration_ms, endpoints_ms] = ages.map(|kind| self.store_heard.age_ms(kind, now));
        self.store_heard.forget();
        self.counters.add(Count::StoreEras);
        warn!("era of the store began", kv: {
            era, before, told_by, configuration_ms:?, endpoints_ms:?
        });
    }

    /// How long this gateway leaves it to those before it to list anew in a new era.
    pub(crate) fn list_turn(&self) -> Duration {
        let now = Instant::now();
        let beliefs = self.beliefs.borrow();
        let rank = beliefs.rank(&self.settings.instance, now);
        let count = beliefs.live_peers(now).count() as u32 + 1;
        LIST_SPREAD * rank / count
    }

    /// Ends once an era after `era` is known.
    pub(crate) async fn newer_era(&self, era: u64) {
        let mut eras = self.eras.subscribe();
        // The sender lives as long as the gateway.
        let _ = eras.wait_for(|known| known.era > era).await;
    }
}
