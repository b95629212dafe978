//! Endpoints whose entry is missing and may be written again.

use super::knowledge::Knowledge;
use super::{EntryState, KnownEndpoint};
use crate::process::EndpointId;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// How long an endpoint whose entry is missing or unusable is kept, and its layers stay in the plan:
/// entries are written again after two seconds, not earlier. An engine overwrites an unusable entry
/// with one of its next two heartbeats.
const ENTRY_GRACE: Duration = Duration::from_millis(3_500);

impl Knowledge {
    /// Marks an entry as missing that may merely have expired. Returns whether its endpoint is kept for a
    /// while, as it is known and not leaving.
    pub fn mark_missing(&mut self, id: &str, now: Instant) -> bool {
        match self.endpoints.get_mut(id) {
            Some(known) if !known.endpoint.is_leaving => {
                known.note_missing(now);
                true
            }
            _ => false,
        }
    }

    /// Returns the known endpoints that are absent from a list of all entries.
    pub fn unlisted(&self, listed: &HashSet<EndpointId>) -> Vec<EndpointId> {
        self.endpoints.keys().filter(|id| !listed.contains(*id)).cloned().collect()
    }

    /// Marks the endpoints as missing that are absent from a list of all entries after an outage. They are
    /// kept for a while, as their entry may merely have expired. Returns those whose entry wasn't missing
    /// or unusable before.
    pub fn mark_unlisted(&mut self, listed: &HashSet<EndpointId>, now: Instant) -> Vec<EndpointId> {
        let unlisted = self.endpoints.iter_mut().filter(|(id, _)| !listed.contains(*id));
        let missing = unlisted.filter(|(_, known)| known.entry == EntryState::Listed);
        let mut newly_missing = Vec::new();
        for (id, known) in missing {
            known.note_missing(now);
            newly_missing.push(id.clone());
        }
        self.refused.retain(|id| listed.contains(id));
        newly_missing
    }

    /// Returns whether an endpoint's entry is missing and may be written again.
    pub fn is_missing(&self, id: &str) -> bool {
        let entry = self.endpoints.get(id).map(|known| &known.entry);
        matches!(entry, Some(EntryState::MissingSince(_)))
    }

    /// Removes the endpoints whose entry has been missing or unusable for too long. Returns them with the
    /// state of their entry.
    pub fn expire(&mut self, now: Instant) -> Vec<(EndpointId, EntryState)> {
        let is_over =
            |known: &&KnownEndpoint| known.entry.since().is_some_and(|at| now - at >= ENTRY_GRACE);
        let over = self.endpoints.values().filter(is_over);
        let over: Vec<_> =
            over.map(|known| (known.endpoint.id.clone(), known.entry.clone())).collect();
        for (id, _) in &over {
            self.forget_endpoint(id, now);
        }
        over
    }
}
