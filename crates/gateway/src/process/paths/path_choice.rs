//! Selects the path for a request.

use super::{LivePath, PathTable};
use rand::RngExt;
use sorrellock_routing::process::notices::SendBlock;
use sorrellock_routing::process::{Incarnation, PathPart};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Maximum share of a path's capacity that is reserved: estimates of answer lengths are often off, and a full
/// engine preempts streams.
pub(crate) const MAX_UTILIZATION: f64 = 0.92;
/// Bonus for paths in the gateway's own data centre, as a share of capacity.
const OWN_DATA_CENTRE_BONUS: f64 = 0.03;
/// Penalty for a path whose layers no other engine holds, as a share of capacity: the death of one of its engines
/// breaks all its streams, while streams of other paths continue over another chain.
const NO_REDUNDANCY_PENALTY: f64 = 0.15;
/// Random part of the score, as a share of capacity: gateways that don't see each other's newest streams
/// shouldn't all choose the same path.
const CHOICE_NOISE: f64 = 0.04;

/// A path that a request may take.
pub(crate) struct PathChoice {
    pub(crate) live: Rc<LivePath>,
    /// Share of its capacity that is taken with the request.
    pub(crate) share: f64,
}

impl PathChoice {
    /// Returns whether the request doesn't fit.
    pub(crate) fn is_full(&self) -> bool {
        self.share > MAX_UTILIZATION
    }
}

/// Why no path can take a request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoPlace {
    /// The available engines don't hold all layers.
    NoPath,
    /// All paths are full.
    Full,
    /// The gateway that gives out the capacity has none in time.
    Refused {
        /// Time after which the caller may return.
        retry_after: Duration,
    },
    /// The first engines of all paths that could take it get no requests now.
    Blocked(SendBlock),
    /// It may not be sent to further engines, and ran at none.
    AttemptsSpent,
    /// It may crash the last engine that serves others.
    LastPath,
}

impl PathTable {
    /// Returns the share of the capacity that is used of each path of a service, by its first engine.
    pub(crate) fn shares(&self, service: &str) -> Vec<(Incarnation, f64)> {
        let used = self.kv_used(service);
        let share = |live: &Rc<LivePath>| {
            let first = &live.path.first().incarnation;
            let of_slots = f64::from(self.head_streams(service, first)) / f64::from(live.slots);
            (first.clone(), self.utilization(live, &used, 0.0).max(of_slots))
        };
        self.paths(service).iter().map(share).collect()
    }

    /// Chooses the path with the highest share of free capacity among those that the request may take.
    pub(crate) fn choose(
        &self,
        service: &str,
        tokens: f64,
        own_data_centre: &str,
        may_take: impl Fn(&Rc<LivePath>) -> bool,
        now: Instant,
    ) -> Result<Rc<LivePath>, NoPlace> {
        match self.best(service, tokens, own_data_centre, may_take, now) {
            Some(best) if best.is_full() => Err(NoPlace::Full),
            Some(best) => Ok(best.live),
            None => Err(NoPlace::NoPath),
        }
    }

    /// Returns the best path among those that the request may take, which is full only if all are.
    pub(crate) fn best(
        &self,
        service: &str,
        tokens: f64,
        own_data_centre: &str,
        may_take: impl Fn(&Rc<LivePath>) -> bool,
        now: Instant,
    ) -> Option<PathChoice> {
        let limit = |_: &LivePath| MAX_UTILIZATION;
        self.best_within(service, tokens, own_data_centre, may_take, limit, now)
    }

    /// Returns the best path among those that the request may take. It exceeds its `limit`, a share of its capacity, only if all do.
    pub(crate) fn best_within(
        &self,
        service: &str,
        tokens: f64,
        own_data_centre: &str,
        may_take: impl Fn(&Rc<LivePath>) -> bool,
        limit: impl Fn(&LivePath) -> f64,
        now: Instant,
    ) -> Option<PathChoice> {
        let is_open =
            |live: &&Rc<LivePath>| !live.is_avoided(now) && !live.is_silent(now) && may_take(live);
        let used = self.kv_used(service);
        let choice = |live: &Rc<LivePath>| {
            let begun = self.head_streams(service, &live.path.first().incarnation) + 1;
            let of_slots = f64::from(begun) / f64::from(live.slots);
            let share = self.utilization(live, &used, tokens).max(of_slots);
            let own =
                if live.path.data_centre == own_data_centre { OWN_DATA_CENTRE_BONUS } else { 0.0 };
            let penalty = (1.0 - live.redundancy.get()) * NO_REDUNDANCY_PENALTY;
            let score = share + penalty - own + rand::rng().random_range(0.0..CHOICE_NOISE);
            (share > limit(live), score, PathChoice { live: Rc::clone(live), share })
        };
        let choices = self.paths(service).iter().filter(is_open).map(choice);
        let best = choices.min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        best.map(|(.., choice)| choice)
    }

    /// Formats the state, capacity and load of each path for log lines.
    pub(crate) fn describe(&self, service: &str, now: Instant) -> String {
        let used = self.kv_used(service);
        let describe = |live: &Rc<LivePath>| {
            let state = if live.is_broken() {
                "broken"
            } else if live.is_superseded.get() {
                "superseded"
            } else if live.is_avoided(now) {
                "avoided"
            } else if live.is_silent(now) {
                "silent"
            } else {
                "open"
            };
            format!(
                "{} {state} {:.0}% of {:.0} tokens, {}/{} streams",
                live.path.data_centre,
                self.utilization(live, &used, 0.0) * 100.0,
                live.path.token_capacity,
                self.head_streams(service, &live.path.first().incarnation),
                live.slots
            )
        };
        self.paths(service).iter().map(describe).collect::<Vec<_>>().join("; ")
    }

    /// Returns the utilization of the fullest path in use of a data centre, as a share of its capacity.
    pub(crate) fn fullest(&self, service: &str, data_centre: &str) -> f64 {
        let used = self.kv_used(service);
        let here = self.paths(service).iter().filter(|live| live.path.data_centre == data_centre);
        let in_use = here.filter(|live| !live.is_superseded.get());
        in_use.map(|live| self.utilization(live, &used, 0.0)).fold(0.0, f64::max)
    }

    /// Returns the share of KV cache taken at the fullest engine of a path, with `tokens` more reserved.
    fn utilization(&self, live: &LivePath, used: &HashMap<&Incarnation, f64>, tokens: f64) -> f64 {
        let utilization = |part: &PathPart| {
            let taken = used.get(&part.incarnation).copied().unwrap_or_default();
            let capacity = self.kv_capacities.get(&part.incarnation).copied().unwrap_or_default();
            (taken + tokens * f64::from(part.layers.len())) / capacity.max(1.0)
        };
        live.path.parts.iter().map(utilization).fold(0.0, f64::max)
    }
}
