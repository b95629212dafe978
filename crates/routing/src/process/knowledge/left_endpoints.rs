//! Endpoints that were known to have left when the store was restored from an older copy, which may
//! still list them as ready.

use crate::process::{Endpoint, EndpointId, Incarnation, StartMillis};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between health checks of an endpoint that left and is still listed as ready, and delay of
/// the first one: by then the entry of an ended endpoint is gone, and a leaving one has written that
/// again.
const PROBE_INTERVAL: Duration = Duration::from_millis(3_500);
/// How long an endpoint that isn't listed is kept: far longer than the age of a copy.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of endpoints kept.
const MAX_LEFT: usize = 4_096;
/// How long an endpoint that isn't listed is reported: longer than the lease of its copied entry.
const REPORT_PERIOD: Duration = Duration::from_secs(5);
/// Maximum number of endpoints reported at once: more than leave within the seconds of a copy's age.
const MAX_REPORTED: usize = 64;

/// An incarnation that left.
#[derive(Clone, Copy, Debug)]
struct Left {
    started: Option<StartMillis>,
    since: Instant,
    /// When the next health check is due.
    probe_at: Instant,
}

/// The endpoints that left before the current era of the store, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftEndpoints {
    left: BTreeMap<EndpointId, Left>,
    /// Endpoints that reported in this era that they are healthy.
    returned: BTreeMap<EndpointId, Option<StartMillis>>,
}

impl LeftEndpoints {
    /// Begins a new era: reports from the previous one are no longer valid.
    pub(super) fn begin_era(&mut self) {
        self.returned.clear();
    }

    /// Records an incarnation that left before the current era. `now` starts its report and retention
    /// periods.
    pub(super) fn insert(&mut self, incarnation: Incarnation, now: Instant) {
        if self.left.len() < MAX_LEFT {
            let left =
                Left { started: incarnation.started, since: now, probe_at: now + PROBE_INTERVAL };
            self.left.entry(incarnation.id).or_insert(left);
        }
    }

    /// Returns whether an endpoint left in its current incarnation.
    pub(super) fn contains(&self, endpoint: &Endpoint) -> bool {
        self.left.get(&endpoint.id).is_some_and(|left| left.started == endpoint.started)
    }

    /// Removes an endpoint that reports its own state.
    pub(super) fn remove(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// Records that an endpoint reported that it is healthy.
    pub(super) fn mark_returned(&mut self, incarnation: &Incarnation) {
        self.remove(&incarnation.id);
        self.returned.insert(incarnation.id.clone(), incarnation.started);
    }

    /// Returns whether this incarnation reported in this era that it is healthy.
    pub(super) fn has_returned(&self, incarnation: &Incarnation) -> bool {
        self.returned.get(&incarnation.id).is_some_and(|started| *started == incarnation.started)
    }

    /// Returns the incarnations to report to other processes: the `listed` ones, and for a while the
    /// others, as another process may still have their copied entry.
    pub(super) fn to_report(
        &self,
        listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) -> Vec<Incarnation> {
        let reported =
            self.left.iter().filter(|(id, left)| now - left.since < REPORT_PERIOD || listed(id));
        reported
            .map(|(id, left)| Incarnation::new(id.clone(), left.started))
            .take(MAX_REPORTED)
            .collect()
    }

    /// Returns the `listed` endpoints that are due for a health check. Removes the others after a while.
    pub(super) fn due(
        &mut self,
        listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) -> Vec<EndpointId> {
        self.left.retain(|id, left| listed(id) || now - left.since < RETENTION);
        let mut found = Vec::new();
        for (id, left) in
            self.left.iter_mut().filter(|(id, left)| listed(id) && left.probe_at <= now)
        {
            left.probe_at = now + PROBE_INTERVAL;
            found.push(id.clone());
        }
        found
    }

    /// Returns all incarnations that left.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = Incarnation> {
        self.left.iter().map(|(id, left)| Incarnation::new(id.clone(), left.started))
    }
}
