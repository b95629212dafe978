//! Pages that were requested from peers and haven't been received yet.

use crate::id::Incarnation;
use crate::version::PageId;
use std::collections::BTreeMap;
use std::time::Instant;

/// Pages that were requested from peers, with the peer and the time from which they may be requested again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetches {
    requested: BTreeMap<PageId, (Incarnation, Instant)>,
}

impl Fetches {
    /// Whether a page may be requested now.
    pub(crate) fn may_request(&self, page: PageId, now: Instant) -> bool {
        self.requested.get(&page).is_none_or(|(_, until)| *until <= now)
    }

    /// Records that a page was requested from a peer and may not be requested again before `until`.
    pub(crate) fn mark_requested(&mut self, page: PageId, peer: Incarnation, until: Instant) {
        self.requested.insert(page, (peer, until));
    }

    /// Clears the requests to a peer that sent pages, so that pages that didn't fit into its answer may be requested
    /// again at once.
    pub(crate) fn answered_by(&mut self, peer: Incarnation) {
        self.requested.retain(|_, (of, _)| *of != peer);
    }
}
