//! What stays valid when the store is restored from an older copy of itself.

use super::knowledge::Knowledge;
use super::{EntryState, KnownEndpoint};
use crate::process::{Endpoint, EndpointId, Incarnation, Revision, StoreEra};
use std::time::{Duration, Instant};

/// Maximum age of a copy that the store may be restored from: endpoints removed earlier are in none.
const MAX_COPY_AGE: Duration = Duration::from_secs(60);

impl Knowledge {
    /// Enters the era of `at`, in which the store was restored from a copy that reaches up to `at` at most.
    /// Only lowers the floor if that is the current era; does nothing if it is an older one.
    ///
    /// Endpoints that were leaving or removed stay marked as leaving, even if the copy lists them as
    /// ready, until they report their state themselves.
    pub fn begin_era(&mut self, at: Revision, now: Instant) {
        if at.era == self.era {
            // Anything written after either of two lists was written in the era, so the lower floor holds.
            self.era_floor = self.era_floor.min(at.count);
        }
        if at.era <= self.era {
            return;
        }
        self.era = at.era;
        self.era_floor = at.count;
        let leaving = self.endpoints().filter(|endpoint| endpoint.is_leaving);
        let leaving: Vec<Incarnation> = leaving.map(Endpoint::incarnation).collect();
        let removed = std::mem::take(&mut self.removed).into_values();
        let removed = removed.filter(|removed| now - removed.at < MAX_COPY_AGE);
        let left = leaving.into_iter().chain(removed.map(|removed| removed.incarnation));
        self.left.begin_era();
        left.for_each(|incarnation| self.left.insert(incarnation, now));
    }

    /// Returns whether `revision` was written in the current era, not taken over from the copy that the
    /// era began with.
    fn is_written_in_era(&self, revision: Revision) -> bool {
        revision.era == self.era && revision.count > self.era_floor
    }

    /// Marks an endpoint that left before this era as leaving, unless its entry was written in this era.
    pub(super) fn mark_if_left(&mut self, endpoint: Endpoint, revision: Revision) -> Endpoint {
        if !self.left.contains(&endpoint) {
            return endpoint;
        }
        if endpoint.is_leaving || self.is_written_in_era(revision) {
            self.left.remove(&endpoint.id);
            return endpoint;
        }
        Endpoint { is_leaving: true, ..endpoint }
    }

    /// Returns the endpoints that left before this era, are listed as ready, and are due for a health
    /// check.
    pub fn left_to_probe(&mut self, now: Instant) -> Vec<EndpointId> {
        let endpoints = &self.endpoints;
        let is_listed =
            |id: &EndpointId| endpoints.get(id).is_some_and(|e| e.entry == EntryState::Listed);
        self.left.due(is_listed, now)
    }

    /// Marks an endpoint that left before this era as ready after it reported that it is healthy. Returns
    /// whether that is new.
    pub fn mark_healthy(&mut self, incarnation: &Incarnation) -> bool {
        let known = self.endpoints.get_mut(&incarnation.id);
        let Some(known) = known.filter(|known| self.left.contains(&known.endpoint)) else {
            return false;
        };
        if known.endpoint.started != incarnation.started {
            return false;
        }
        known.endpoint.is_leaving = false;
        self.left.mark_returned(incarnation);
        true
    }

    /// Returns the endpoints that left before this era, to be reported to other processes as long as their
    /// copied entries may be used.
    pub fn left_before_era(&self, now: Instant) -> Vec<Incarnation> {
        self.left.to_report(|id| self.is_listed(id), now)
    }

    fn is_listed(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.entry == EntryState::Listed)
    }

    /// Marks endpoints as leaving that, as reported by another process in `era`, left before it. Skips
    /// endpoints that wrote an entry or reported that they are healthy in this era. Returns those that are
    /// newly marked.
    pub fn receive_left(
        &mut self,
        left: &[Incarnation],
        era: StoreEra,
        now: Instant,
    ) -> Vec<Incarnation> {
        if era != self.era {
            return Vec::new();
        }
        let mut newly_leaving = Vec::new();
        for incarnation in left {
            if self.left.has_returned(incarnation) || self.has_newer_state(incarnation) {
                continue;
            }
            self.left.insert(incarnation.clone(), now);
            if let Some(known) = self.endpoints.get_mut(&incarnation.id) {
                known.endpoint.is_leaving = true;
                newly_leaving.push(incarnation.clone());
            }
        }
        newly_leaving
    }

    /// Returns whether an endpoint is already leaving, is in another incarnation, or wrote its entry in
    /// this era.
    fn has_newer_state(&self, incarnation: &Incarnation) -> bool {
        self.endpoints.get(&incarnation.id).is_some_and(
            |KnownEndpoint { endpoint, revision, .. }| {
                endpoint.is_leaving
                    || endpoint.started != incarnation.started
                    || self.is_written_in_era(*revision)
            },
        )
    }

    /// Returns an endpoint as its entry describes it, without the mark that it left before this era. The
    /// receiver of a handover sets that mark in [`Knowledge::receive_left`], as it may know that the entry
    /// was written in this era.
    pub(super) fn as_listed(&self, known: &KnownEndpoint) -> KnownEndpoint {
        let mut listed = known.clone();
        if self.left.contains(&listed.endpoint) {
            listed.endpoint.is_leaving = false;
        }
        listed
    }
}
