//! Whether entries must contain their endpoint's start, and the entries without one.

use super::knowledge::Knowledge;
use crate::process::{Endpoint, EndpointId, Revision, do_most_give_start, is_start_missing};
use std::collections::HashSet;

/// Entries that are evaluated differently after a change of the start rule.
#[derive(Debug, Default)]
pub struct StartReview {
    /// Entries accepted so far that lack a start which is now required.
    pub refused: Vec<(Endpoint, Revision)>,
    /// Entries refused so far whose start is no longer required.
    pub accepted: Vec<(Endpoint, Revision)>,
}

impl Knowledge {
    /// Determines whether entries must contain a start, from all known entries and those just `read`.
    pub fn note_starts<'a>(&mut self, read: impl Iterator<Item = &'a Endpoint> + Clone) {
        let new: HashSet<&EndpointId> = read.clone().map(|endpoint| &endpoint.id).collect();
        let refused = self.refused.endpoints();
        let refused = refused.filter(|endpoint| !self.endpoints.contains_key(&endpoint.id));
        let before = self.endpoints().chain(refused).filter(|one| !new.contains(&one.id));
        let mut all: Vec<&Endpoint> = before.collect();
        for endpoint in read {
            all.push(endpoint);
        }
        self.is_start_required = do_most_give_start(all);
    }

    /// Returns whether an entry lacks a start that is required.
    pub fn lacks_start(&self, endpoint: &Endpoint) -> bool {
        is_start_missing(endpoint, self.had_start(&endpoint.id), self.is_start_required)
    }

    /// Returns whether an earlier entry of an endpoint contained its start.
    pub(super) fn had_start(&self, id: &str) -> bool {
        self.endpoint(id).is_some_and(|endpoint| endpoint.started.is_some())
            || self.refused.get(id).is_some_and(|entry| entry.had_start)
    }

    /// Evaluates all entries against the current start rule. Returns those with a changed result.
    pub fn review_starts(&mut self) -> StartReview {
        let usable = self.endpoints.values().filter(|known| !known.entry.is_unusable());
        let refused = usable.filter(|known| self.lacks_start(&known.endpoint));
        let refused = refused.map(|known| (known.endpoint.clone(), known.revision)).collect();
        let accepted = self.refused.iter().filter_map(|(_, entry)| {
            let endpoint = entry.endpoint.as_ref().filter(|one| !self.lacks_start(one))?;
            Some((endpoint.clone(), entry.revision))
        });
        let accepted: Vec<(Endpoint, Revision)> = accepted.collect();
        for (endpoint, _) in &accepted {
            // The unchanged entry is accepted again, so its revision must not count as outdated.
            self.removed.remove(&endpoint.id);
        }
        StartReview { refused, accepted }
    }
}
