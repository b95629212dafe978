//! Whether entries must tell a start, and those that don't.

use super::knowledge::Knowledge;
use crate::process::{Endpoint, EndpointId, Revision, do_most_give_start, is_start_missing};
use std::collections::HashSet;

/// Entries whose start is judged otherwise than before.
#[derive(Debug, Default)]
pub struct StartVerdicts {
    /// They must tell a start, and don't.
    pub refused: Vec<(Endpoint, Revision)>,
    /// They needn't any more.
    pub accepted: Vec<(Endpoint, Revision)>,
}

impl Knowledge {
    /// Works out whether entries must tell a start, with those that were just read.
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

    /// Whether an entry lacks a start that it must tell.
    pub fn lacks_start(&self, endpoint: &Endpoint) -> bool {
        is_start_missing(endpoint, self.told_start(&endpoint.id), self.is_start_required)
    }

    /// Whether an endpoint told its start before.
    pub(super) fn told_start(&self, id: &str) -> bool {
        self.endpoint(id).is_some_and(|endpoint| endpoint.started.is_some())
            || self.refused.get(id).is_some_and(|entry| entry.told_start)
    }

    /// Entries that are judged otherwise by what is known of starts by now.
    pub fn start_verdicts(&mut self) -> StartVerdicts {
        let usable = self.endpoints.values().filter(|known| !known.entry.is_unusable());
        let refused = usable.filter(|known| self.lacks_start(&known.endpoint));
        let refused = refused.map(|known| (known.endpoint.clone(), known.revision)).collect();
        let accepted = self.refused.iter().filter_map(|(_, entry)| {
            let endpoint = entry.endpoint.as_ref().filter(|one| !self.lacks_start(one))?;
            Some((endpoint.clone(), entry.revision))
        });
        let accepted: Vec<(Endpoint, Revision)> = accepted.collect();
        for (endpoint, _) in &accepted {
            // Its entry is as old as before, and counts.
            self.removed.remove(&endpoint.id);
        }
        StartVerdicts { refused, accepted }
    }
}
