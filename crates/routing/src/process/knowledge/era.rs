//! What holds on where the store comes back from an older copy of itself.

use super::knowledge::Knowledge;
use super::{EntryState, KnownEndpoint};
use crate::process::{Endpoint, EndpointId, Incarnation, Revision, StoreEra};
use std::time::{Duration, Instant};

/// Endpoints that were removed so long ago, or longer, are in no copy that the store may come back from.
const REMOVED_IN_COPY: Duration = Duration::from_secs(60);

impl Knowledge {
    /// The store is heard of in the era of `at` for the first time, and comes with its copy up to there; nothing changes if that is known.
    /// What has left before stays so, though the copy may have it ready, until it tells otherwise by itself.
    pub fn begin_era(&mut self, at: Revision, now: Instant) {
        if at.era == self.era {
            // All that was written after either of two lists was written in the era.
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
        let removed = removed.filter(|removed| now - removed.at < REMOVED_IN_COPY);
        let left = leaving.into_iter().chain(removed.map(|removed| removed.incarnation));
        self.left.begin_era();
        left.for_each(|incarnation| self.left.insert(incarnation, now));
    }

    /// Whether the store wrote `revision` in the era in which the endpoints are known, rather than with the copy that the era
    /// began with.
    fn is_of_era(&self, revision: Revision) -> bool {
        revision.era == self.era && revision.count > self.era_floor
    }

    /// The endpoint as its entry is to be taken: one that had left before this era stays so, unless the entry was written in
    /// it.
    pub(super) fn bind(&mut self, endpoint: Endpoint, revision: Revision) -> Endpoint {
        if !self.left.holds(&endpoint) {
            return endpoint;
        }
        if endpoint.is_leaving || self.is_of_era(revision) {
            self.left.remove(&endpoint.id);
            return endpoint;
        }
        Endpoint { is_leaving: true, ..endpoint }
    }

    /// The endpoints that had left before this era, are listed as ready, and are to be asked now whether they are well.
    pub fn left_to_ask(&mut self, now: Instant) -> Vec<EndpointId> {
        let endpoints = &self.endpoints;
        let is_listed =
            |id: &EndpointId| endpoints.get(id).is_some_and(|e| e.entry == EntryState::Listed);
        self.left.due(is_listed, now)
    }

    /// An endpoint that had left before this era tells that it is well. Whether that is news.
    pub fn note_well(&mut self, incarnation: &Incarnation) -> bool {
        let known = self.endpoints.get_mut(&incarnation.id);
        let Some(known) = known.filter(|known| self.left.holds(&known.endpoint)) else {
            return false;
        };
        if known.endpoint.started != incarnation.started {
            return false;
        }
        known.endpoint.is_leaving = false;
        self.left.note_returned(incarnation);
        true
    }

    /// The endpoints that had left before this era, to be reported to other processes while their copied entries may be used.
    pub fn left_before_era(&self, now: Instant) -> Vec<Incarnation> {
        self.left.to_report(|id| self.is_listed(id), now)
    }

    fn is_listed(&self, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|known| known.entry == EntryState::Listed)
    }

    /// Another process, which knows the endpoints in `era`, knew these to have left before it. Endpoints that wrote an entry in this era,
    /// or said in it that they are well, are skipped. Returns those that are taken to be leaving from now on.
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
            if self.left.has_returned(incarnation) || self.knows_better(incarnation) {
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

    /// Whether an endpoint is known to leave, is in another incarnation, or wrote its entry in this era.
    fn knows_better(&self, incarnation: &Incarnation) -> bool {
        self.endpoints.get(&incarnation.id).is_some_and(
            |KnownEndpoint { endpoint, revision, .. }| {
                endpoint.is_leaving
                    || endpoint.started != incarnation.started
                    || self.is_of_era(*revision)
            },
        )
    }

    /// An endpoint as its entry describes it, also where it is taken to be leaving because it had left before this era: the other process
    /// decides that in [`Knowledge::receive_left`], as it may know that the entry was written in this era.
    pub(super) fn as_listed(&self, known: &KnownEndpoint) -> KnownEndpoint {
        let mut listed = known.clone();
        if self.left.holds(&listed.endpoint) {
            listed.endpoint.is_leaving = false;
        }
        listed
    }
}
