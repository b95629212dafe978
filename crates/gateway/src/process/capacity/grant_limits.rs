//! How much of each path one gateway may give out, beside what others take without asking.

use crate::process::PathTable;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::capacity::UnseenTakes;
use sorrellock_routing::version::ServiceName;
use std::collections::HashMap;
use std::time::Instant;

/// What others may have taken that this gateway doesn't see yet, by the first engine of each path.
#[derive(Debug, Default)]
pub(super) struct PathShares(HashMap<Incarnation, UnseenTakes>);

impl PathShares {
    /// Records the share of each path's capacity that is used now, and drops paths that are gone.
    pub(super) fn record(&mut self, paths: &PathTable, services: &[ServiceName], now: Instant) {
        let mut before = std::mem::take(&mut self.0);
        for (head, share) in services.iter().flat_map(|service| paths.shares(service)) {
            let known = before.remove(&head).unwrap_or_default();
            self.0.entry(head).or_insert(known).on_share(share, now);
        }
    }

    /// Returns the limits where others took capacity up to the share `taken_below` of each path. `reach` is the share of the
    /// capacity that the gateways in reach may use, and their number.
    pub(super) fn limits(&self, taken_below: f64, reach: (f64, usize)) -> GrantLimits<'_> {
        GrantLimits { shares: self, taken_below, reach }
    }
}

/// How much of each path may be given out.
pub(super) struct GrantLimits<'a> {
    shares: &'a PathShares,
    taken_below: f64,
    reach: (f64, usize),
}

impl GrantLimits<'_> {
    /// Returns the share of a path's capacity up to which it may be given out now.
    pub(super) fn limit(&self, head: &Incarnation) -> f64 {
        let (share, gateways) = self.reach;
        let new = UnseenTakes::default();
        let unseen = self.shares.0.get(head).unwrap_or(&new);
        share - unseen.reserve(self.taken_below * share, gateways)
    }
}
