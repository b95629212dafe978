//! Pages that were asked of peers and have not come yet.

use crate::id::Incarnation;
use crate::version::PageId;
use std::collections::BTreeMap;
use std::time::Instant;

/// Pages that were asked of peers: of whom, and when they may be asked for again.
#[derive(Clone, Debug, Default)]
pub(crate) struct Fetches {
    asked: BTreeMap<PageId, (Incarnation, Instant)>,
}

impl Fetches {
    /// Whether a page may be asked for now.
    pub(crate) fn may_ask(&self, page: PageId, now: Instant) -> bool {
        self.asked.get(&page).is_none_or(|(_, until)| *until <= now)
    }

    /// A page was asked of a peer.
    pub(crate) fn asked(&mut self, page: PageId, peer: Incarnation, until: Instant) {
        self.asked.insert(page, (peer, until));
    }

    /// A peer gave pages; what it had no room for may be asked for at once.
    pub(crate) fn answered_by(&mut self, peer: Incarnation) {
        self.asked.retain(|_, (of, _)| *of != peer);
    }
}
