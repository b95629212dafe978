//! Applies the state that another gateway hands over.

use crate::process::{Gateway, UpdateCount, check_expired};
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::knowledge::{Handover, KnownEndpoint};
use sorrellock_routing::process::relays::StoreAges;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Gateway {
    /// Applies the state that another gateway handed over on a request of `requested`. `parsing` is the time that parsing took.
    /// Returns how many endpoints were updated without a line of their own.
    pub(crate) fn apply_handover(
        self: &Rc<Self>,
        handover: Handover,
        from: &str,
        requested: Instant,
        parsing: Duration,
    ) -> UpdateCount {
        let (ages, era) = (handover.ages, handover.endpoints_at.era);
        let version = handover.configuration.as_ref().map_or(0, |cfg| cfg.version);
        let updated = self.apply_handed_over(handover, from, parsing);
        let is_taken = self.knowledge.borrow().known().config >= version;
        let configuration_ms = ages.configuration_ms.filter(|_| is_taken);
        self.confirm_ages(StoreAges { configuration_ms, ..ages }, era, requested);
        updated
    }

    fn apply_handed_over(
        self: &Rc<Self>,
        handover: Handover,
        from: &str,
        parsing: Duration,
    ) -> UpdateCount {
        if let Some(cfg) = handover.configuration {
            self.apply_configuration(cfg, from, parsing);
        }
        if handover.endpoints_at <= self.knowledge.borrow().endpoints_at() {
            return UpdateCount::default();
        }
        let now = Instant::now();
        let floor = Revision::new(handover.endpoints_at.era, handover.era_floor);
        self.knowledge.borrow_mut().begin_era(floor, now.into_std());
        let listed = handover.listed.into_iter().collect();
        let endpoints = handover.endpoints.iter().map(|known| &known.endpoint);
        self.knowledge.borrow_mut().note_starts(endpoints);
        let updated = self.apply_endpoints(handover.endpoints, from);
        self.receive_left(&handover.left, handover.endpoints_at.era, from);
        self.receive_refused(handover.refused, from);
        for (id, missing_for) in &handover.missing {
            if self.knowledge.borrow_mut().receive_missing(id, *missing_for, now.into_std()) {
                let ms = missing_for.as_millis() as u64;
                info!("entry of an endpoint missing after an outage", kv: {
                    endpoint = id.as_str(), ms, source = from
                });
                // The gateways that check on behalf of all may be ones that the store refuses, and learn of it only here.
                check_expired(self, id);
            }
        }
        let gone = self.knowledge.borrow().unlisted(&listed);
        for id in gone {
            self.remove_endpoint(&id, from);
        }
        self.evaluate_starts(from);
        self.knowledge.borrow_mut().advance(handover.endpoints_at);
        self.refresh_paths();
        self.first_data.notify_waiters();
        updated
    }

    /// Applies endpoints that another gateway handed over. In a large fleet the relays have a line for each, and the others have one
    /// for all.
    fn apply_endpoints(self: &Rc<Self>, endpoints: Vec<KnownEndpoint>, from: &str) -> UpdateCount {
        let entries = endpoints.len();
        let apply = || {
            for known in endpoints {
                if !self.knowledge.borrow().is_missing_at(&known.endpoint.id, known.revision) {
                    self.apply_endpoint(known.endpoint, known.revision, from);
                }
            }
        };
        if self.fleet_state.borrow().is_member() {
            return self.apply_counted(apply);
        }
        self.apply_together(entries, from, apply);
        UpdateCount::default()
    }
}
