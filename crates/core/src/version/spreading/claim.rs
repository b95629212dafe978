//! Claims: the pages that bring a daemon from one complete revision of the configuration to a later one.

use crate::id::Revision;
use crate::version::{PageAt, PageId, Source};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of open claims; a further one replaces the oldest claim of a peer.
const MAX_CLAIMS: usize = 8;
/// Maximum number of requests for the pages of a claim to the peer that made it, without an answer.
const MAX_REQUESTS: u32 = 4;

/// The pages that changed between two revisions: a daemon that has everything written up to `since` and applies `needs`
/// has everything up to `upto`.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) source: Source,
    pub(crate) since: Revision,
    pub(crate) upto: Revision,
    /// All pages that changed between `since` and `upto`.
    pub(crate) pages: Vec<PageAt>,
    /// Pages of the claim that aren't in force yet, neither at the claimed revision nor at a later one.
    pub(crate) needs: BTreeMap<PageId, Revision>,
    pub(crate) requests: u32,
}

impl Claim {
    /// Removes a page from the needs if `revision` of it, in force or refused, is at least the needed one.
    pub(crate) fn settle(&mut self, page: PageId, revision: Revision) {
        if self.needs.get(&page).is_some_and(|needed| *needed <= revision) {
            self.needs.remove(&page);
        }
    }
}

/// The unfulfilled claims of one daemon.
#[derive(Clone, Debug, Default)]
pub(crate) struct Claims {
    open: VecDeque<Claim>,
}

impl Claims {
    /// Adds a claim. It replaces claims of the same source that start at the same or a later revision.
    pub(crate) fn add(&mut self, claim: Claim) {
        self.open.retain(|other| other.source != claim.source || other.since < claim.since);
        if self.open.len() == MAX_CLAIMS {
            let oldest = self.open.iter().position(|other| other.source != Source::Store);
            oldest.and_then(|at| self.open.remove(at));
        }
        self.open.push_back(claim);
    }

    /// Removes and returns a fulfilled claim that leads beyond `applied` without a gap. Drops claims up to `applied`.
    pub(crate) fn take_fulfilled(&mut self, applied: Revision) -> Option<Claim> {
        self.open.retain(|claim| claim.upto > applied);
        let fulfilled = |claim: &Claim| claim.needs.is_empty() && claim.since <= applied;
        let at = self.open.iter().position(fulfilled)?;
        self.open.remove(at)
    }

    /// Returns the open claim of the store, if there is one.
    pub(crate) fn of_store(&self) -> Option<&Claim> {
        self.open.iter().find(|claim| claim.source == Source::Store)
    }

    /// Whether an open claim of this source leads up to `revision` or beyond.
    pub(crate) fn reaches(&self, source: Source, revision: Revision) -> bool {
        self.open.iter().any(|claim| claim.source == source && claim.upto >= revision)
    }

    /// Returns the number of open claims.
    pub(crate) fn len(&self) -> usize {
        self.open.len()
    }

    /// Removes a page that came into force from the needs of all claims.
    pub(crate) fn settle(&mut self, page: PageId, revision: Revision) {
        self.open.iter_mut().for_each(|claim| claim.settle(page, revision));
    }

    /// Removes a page that can't come into force from the needs of claims of this type of source: the store or peers.
    pub(crate) fn settle_from(&mut self, source: Source, page: PageId, revision: Revision) {
        let is_store = source == Source::Store;
        let of_source = |claim: &&mut Claim| (claim.source == Source::Store) == is_store;
        self.open.iter_mut().filter(of_source).for_each(|claim| claim.settle(page, revision));
    }

    /// Returns the pages to request now, for each claim of a peer. Drops a claim whose peer sent nothing after
    /// [`MAX_REQUESTS`] requests; the next comparison with a peer creates a new one.
    pub(crate) fn next_requests(
        &mut self,
        may_request: impl Fn(PageId) -> bool,
    ) -> Vec<(Source, Vec<PageAt>)> {
        let mut requests = Vec::new();
        self.open.retain_mut(|claim| {
            if claim.source == Source::Store {
                return true;
            }
            let needs = claim.needs.iter().map(|(page, revision)| (*page, *revision));
            let pages: Vec<_> = needs.filter(|(page, _)| may_request(*page)).collect();
            if pages.is_empty() {
                return true;
            }
            if claim.requests == MAX_REQUESTS {
                return false;
            }
            claim.requests += 1;
            requests.push((claim.source, pages));
            true
        });
        requests
    }

    /// Resets the count of requests of a peer's claims, after it sent pages.
    pub(crate) fn reset_requests(&mut self, source: Source) {
        let of_source = self.open.iter_mut().filter(|claim| claim.source == source);
        of_source.for_each(|claim| claim.requests = 0);
    }
}
