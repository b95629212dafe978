//! Claims: what takes a daemon from one complete configuration to a later one.

use crate::id::Revision;
use crate::version::{PageAt, PageId, Source};
use std::collections::{BTreeMap, VecDeque};

/// Claims that are open at once; the oldest is dropped for a further one.
const MAX_CLAIMS: usize = 8;
/// How often the pages of a claim are asked of the peer that made it.
const MAX_ASKS: u32 = 4;

/// Who has all that was written up to `since`, and takes `needs`, has all up to `upto`.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) source: Source,
    pub(crate) since: Revision,
    pub(crate) upto: Revision,
    /// All pages that changed in between.
    pub(crate) pages: Vec<PageAt>,
    /// Those of them that are not in force yet, or a later revision of them.
    pub(crate) needs: BTreeMap<PageId, Revision>,
    pub(crate) asks: u32,
}

impl Claim {
    /// Takes a page off the needs that is in force, or was settled otherwise.
    pub(crate) fn settle(&mut self, page: PageId, revision: Revision) {
        if self.needs.get(&page).is_some_and(|needed| *needed <= revision) {
            self.needs.remove(&page);
        }
    }
}

/// The claims of one daemon that are not fulfilled yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    open: VecDeque<Claim>,
}

impl Claims {
    /// Takes a claim in; it replaces those of the same source that begin no earlier.
    pub(crate) fn add(&mut self, claim: Claim) {
        self.open.retain(|other| other.source != claim.source || other.since < claim.since);
        if self.open.len() == MAX_CLAIMS {
            let oldest = self.open.iter().position(|other| other.source != Source::Store);
            oldest.and_then(|at| self.open.remove(at));
        }
        self.open.push_back(claim);
    }

    /// Takes out a claim that is fulfilled, if it leads beyond `applied` without a gap.
    pub(crate) fn take_fulfilled(&mut self, applied: Revision) -> Option<Claim> {
        self.open.retain(|claim| claim.upto > applied);
        let fulfilled = |claim: &Claim| claim.needs.is_empty() && claim.since <= applied;
        let at = self.open.iter().position(fulfilled)?;
        self.open.remove(at)
    }

    /// The claim of the store, if one is open.
    pub(crate) fn of_store(&self) -> Option<&Claim> {
        self.open.iter().find(|claim| claim.source == Source::Store)
    }

    /// Whether a claim of this source leads up to `revision` or beyond.
    pub(crate) fn leads_to(&self, source: Source, revision: Revision) -> bool {
        self.open.iter().any(|claim| claim.source == source && claim.upto >= revision)
    }

    /// How many are open.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// A page came into force.
    pub(crate) fn settle(&mut self, page: PageId, revision: Revision) {
        self.open.iter_mut().for_each(|claim| claim.settle(page, revision));
    }

    /// A page that came from `source` can't come into force.
    pub(crate) fn settle_of(&mut self, source: Source, page: PageId, revision: Revision) {
        let is_store = source == Source::Store;
        let of_source = |claim: &&mut Claim| (claim.source == Source::Store) == is_store;
        self.open.iter_mut().filter(of_source).for_each(|claim| claim.settle(page, revision));
    }

    /// What may be asked of whom now. A claim whose peer gave nothing though it was asked
    /// [`MAX_ASKS`] times is dropped; the next comparison with a peer makes another.
    pub(crate) fn asks(&mut self, may_ask: impl Fn(PageId) -> bool) -> Vec<(Source, Vec<PageAt>)> {
        let mut asks = Vec::new();
        self.open.retain_mut(|claim| {
            if claim.source == Source::Store {
                return true;
            }
            let needs = claim.needs.iter().map(|(page, revision)| (*page, *revision));
            let pages: Vec<_> = needs.filter(|(page, _)| may_ask(*page)).collect();
            if pages.is_empty() {
                return true;
            }
            if claim.asks == MAX_ASKS {
                return false;
            }
            claim.asks += 1;
            asks.push((claim.source, pages));
            true
        });
        asks
    }

    /// A peer gave something: it may be asked as often again.
    pub(crate) fn made_progress(&mut self, source: Source) {
        let of_source = self.open.iter_mut().filter(|claim| claim.source == source);
        of_source.for_each(|claim| claim.asks = 0);
    }
}
