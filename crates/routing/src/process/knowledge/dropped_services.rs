//! Services that the current configuration no longer names, but for which requests admitted under an
//! earlier one may still be in progress.

use crate::version::{Configuration, Service, ServiceName};
use std::collections::{HashMap, HashSet};
use std::time::Instant;

/// Holds each dropped service until its last request has ended.
#[derive(Default)]
pub(super) struct DroppedServices {
    /// When the last request admitted under an earlier configuration has ended, by service.
    admitted_until: HashMap<ServiceName, Instant>,
    dropped: Vec<Service>,
}

impl DroppedServices {
    /// Records the services that are dropped as one configuration replaces another.
    pub(super) fn on_change(
        &mut self,
        before: &Configuration,
        after: &Configuration,
        now: Instant,
    ) {
        self.admitted_until.retain(|_, until| *until > now);
        for route in &before.routes {
            for (service, _) in &route.targets {
                let until = self.admitted_until.entry(service.clone()).or_insert(now);
                *until = (*until).max(now + route.timeout);
            }
        }
        let named: HashSet<&ServiceName> =
            after.services.iter().map(|service| &service.name).collect();
        self.dropped.extend(before.services.iter().cloned());
        let admitted = &self.admitted_until;
        self.dropped.retain(|service| {
            !named.contains(&service.name) && admitted.contains_key(&service.name)
        });
    }

    /// Returns the dropped services that may still have requests in progress.
    pub(super) fn current(&self, now: Instant) -> impl Iterator<Item = &Service> {
        let may_run = move |service: &&Service| {
            self.admitted_until.get(&service.name).is_some_and(|until| *until > now)
        };
        self.dropped.iter().filter(may_run)
    }
}
