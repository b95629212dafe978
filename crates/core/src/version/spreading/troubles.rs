//! Pages that are not in force as the store holds them, to be told to people.

use crate::id::Revision;
use crate::version::{PageAt, PageId, Source};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// Pages that are not in force as the store holds them: the last good ones are.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Troubles {
    /// Pages refused as bad, with the highest revision refused.
    pub refused: BTreeMap<String, Revision>,
    /// Pages deleted from the store.
    pub deleted: BTreeSet<String>,
}

/// The revisions of one page that were refused.
#[derive(Clone, Copy, Debug, Default)]
struct Refused {
    /// The highest, by this daemon or by one that told of it.
    told: Revision,
    /// The highest that came from the store.
    from_store: Revision,
    /// The highest that came from a peer.
    from_peers: Revision,
}

/// Keeps track of pages that are not in force as the store holds them.
#[derive(Clone, Debug, Default)]
pub(crate) struct TroubleList {
    refused: BTreeMap<PageId, Refused>,
    deleted: BTreeSet<PageId>,
}

impl TroubleList {
    /// Notes a page refused here.
    pub(crate) fn refuse(&mut self, source: Source, page: PageId, revision: Revision) {
        let refused = self.refused.entry(page).or_default();
        refused.told = refused.told.max(revision);
        let of_source = match source {
            Source::Store => &mut refused.from_store,
            Source::Peer(_) => &mut refused.from_peers,
        };
        *of_source = revision.max(*of_source);
    }

    /// Notes a page refused elsewhere.
    pub(crate) fn heard(&mut self, page: PageId, revision: Revision) {
        let refused = self.refused.entry(page).or_default();
        refused.told = refused.told.max(revision);
    }

    /// Whether a page as this source gives it was refused here, at this revision or a later one.
    pub(crate) fn is_refused(&self, source: Source, page: PageId, revision: Revision) -> bool {
        let Some(refused) = self.refused.get(&page) else { return false };
        match source {
            Source::Store => refused.from_store >= revision,
            Source::Peer(_) => refused.from_peers >= revision,
        }
    }

    /// Notes a deleted page; tells whether that is new.
    pub(crate) fn delete(&mut self, page: PageId) -> bool {
        self.deleted.insert(page)
    }

    /// A page came into force: what was wrong with earlier ones is past.
    pub(crate) fn mended(&mut self, page: PageId, revision: Revision) {
        self.deleted.remove(&page);
        if self.refused.get(&page).is_some_and(|refused| refused.told <= revision) {
            self.refused.remove(&page);
        }
    }

    /// The pages refused.
    pub(crate) fn refused(&self) -> Vec<PageAt> {
        self.refused.iter().map(|(page, refused)| (*page, refused.told)).collect()
    }

    pub(crate) fn told(&self) -> Troubles {
        Troubles {
            refused: self.refused.iter().map(|(page, at)| (page.key(), at.told)).collect(),
            deleted: self.deleted.iter().map(|page| page.key()).collect(),
        }
    }
}
