//! Pages whose content in force differs from that in the store, for reports to operators.

use crate::id::Revision;
use crate::version::{PageAt, PageId, Source};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Pages whose content in the store isn't in force; their last valid revision is in force instead.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Troubles {
    /// Keys of pages refused as invalid, with the highest refused revision.
    pub refused: BTreeMap<String, Revision>,
    /// Keys of pages deleted from the store.
    pub deleted: BTreeSet<String>,
}

/// The refused revisions of one page.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    /// The highest revision refused by this daemon, or reported as refused by a peer.
    highest: Revision,
    /// The highest revision from the store that this daemon refused.
    from_store: Revision,
    /// The highest revision from a peer that this daemon refused.
    from_peers: Revision,
}

/// Tracks the pages whose content in the store isn't in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct TroubleList {
    refused: BTreeMap<PageId, Refused>,
    deleted: BTreeSet<PageId>,
}

impl TroubleList {
    /// Records that this daemon refused a page.
    pub(crate) fn refuse(&mut self, source: Source, page: PageId, revision: Revision) {
        let refused = self.refused.entry(page).or_default();
        refused.highest = refused.highest.max(revision);
        let of_source = match source {
            Source::Store => &mut refused.from_store,
            Source::Peer(_) => &mut refused.from_peers,
        };
        *of_source = revision.max(*of_source);
    }

    /// Records that a peer reported a page as refused.
    pub(crate) fn refused_by_peer(&mut self, page: PageId, revision: Revision) {
        let refused = self.refused.entry(page).or_default();
        refused.highest = refused.highest.max(revision);
    }

    /// Whether this daemon refused the page from this type of source, at this revision or a later one.
    pub(crate) fn is_refused(&self, source: Source, page: PageId, revision: Revision) -> bool {
        let Some(refused) = self.refused.get(&page) else { return false };
        match source {
            Source::Store => refused.from_store >= revision,
            Source::Peer(_) => refused.from_peers >= revision,
        }
    }

    /// Records a deleted page; returns whether it wasn't recorded before.
    pub(crate) fn delete(&mut self, page: PageId) -> bool {
        self.deleted.insert(page)
    }

    /// Clears the deletion of a page that came into force, and its refusals up to this revision.
    pub(crate) fn clear(&mut self, page: PageId, revision: Revision) {
        self.deleted.remove(&page);
        if self.refused.get(&page).is_some_and(|refused| refused.highest <= revision) {
            self.refused.remove(&page);
        }
    }

    /// Returns the refused pages with the highest refused revision of each.
    pub(crate) fn refused(&self) -> Vec<PageAt> {
        self.refused.iter().map(|(page, refused)| (*page, refused.highest)).collect()
    }

    pub(crate) fn snapshot(&self) -> Troubles {
        Troubles {
            refused: self.refused.iter().map(|(page, at)| (page.key(), at.highest)).collect(),
            deleted: self.deleted.iter().map(|page| page.key()).collect(),
        }
    }
}
