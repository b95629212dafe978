//! How often each rank is served, compared with all.

use crate::process::admission::Rank;
use crate::process::grants::{Amount, DecayingSum};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A rank that is served less than this fraction as often as all goes first. Callers bear a quarter; the rest is margin
/// for the noise of small numbers.
const FLOOR: f64 = 0.3;
/// Time constant of the sums: longer than a burst's first second, so that a rank isn't taken for starved by two requests
/// that were unlucky.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Served {
    offered: DecayingSum,
    started: DecayingSum,
}

impl Served {
    fn new(now: Instant) -> Served {
        let sum = || DecayingSum::new(now, TIME_CONSTANT);
        Served { offered: sum(), started: sum() }
    }
}

/// Requests offered and started recently, by rank.
#[derive(Debug, Default)]
pub struct RankShares {
    ranks: BTreeMap<Rank, Served>,
}

impl RankShares {
    /// Records an offered request with its work.
    pub fn on_offered(&mut self, rank: Rank, work: f64, now: Instant) {
        let served = self.ranks.entry(rank).or_insert_with(|| Served::new(now));
        served.offered.add(now, Amount::new(1.0, work));
    }

    /// Records a started request with its work.
    pub fn on_started(&mut self, rank: Rank, work: f64, now: Instant) {
        let served = self.ranks.entry(rank).or_insert_with(|| Served::new(now));
        served.started.add(now, Amount::new(1.0, work));
    }

    /// Returns the work offered per second by ranks more urgent than `rank`.
    pub fn offered_above(&self, rank: Rank, now: Instant) -> f64 {
        let above = self.ranks.range(..rank);
        above.map(|(_, served)| served.offered.per_second(now).tokens).sum()
    }

    /// Returns the share of what starts that a rank gets in any case.
    pub fn floor_share(&self, rank: Rank, now: Instant) -> f64 {
        let offered = |served: &Served| served.offered.get(now).tokens;
        let all: f64 = self.ranks.values().map(offered).sum();
        let own = self.ranks.get(&rank).map_or(0.0, offered);
        if all > 0.0 { FLOOR * own / all } else { FLOOR }
    }

    /// Returns whether a rank is served so rarely that it goes first.
    pub fn is_behind(&self, rank: Rank, now: Instant) -> bool {
        let Some(served) = self.ranks.get(&rank) else { return false };
        served_fraction([served].into_iter(), now)
            < FLOOR * served_fraction(self.ranks.values(), now)
    }

    /// Returns the one of `ranks` that is served the least often, if that is so rarely that it goes first.
    pub fn most_behind(&self, ranks: impl Iterator<Item = Rank>, now: Instant) -> Option<Rank> {
        let fraction = |rank: Rank| {
            let served = self.ranks.get(&rank)?;
            Some((served_fraction([served].into_iter(), now), rank))
        };
        let lowest = ranks.filter_map(fraction).min_by(|a, b| a.0.total_cmp(&b.0))?;
        let all = served_fraction(self.ranks.values(), now);
        (lowest.0 < FLOOR * all).then_some(lowest.1)
    }
}

/// Returns the fraction of the offered requests that started.
fn served_fraction<'a>(all: impl Iterator<Item = &'a Served>, now: Instant) -> f64 {
    let (mut offered, mut started) = (0.0, 0.0);
    for served in all {
        offered += served.offered.get(now).requests;
        started += served.started.get(now).requests;
    }
    if offered > 0.0 { started / offered } else { 1.0 }
}
