//! Times at which refused callers were told to return, and the work that they will bring.

use crate::process::admission::Rank;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// Identifies a request among the attempts of its caller.
pub type RequestIdentity = u64;

/// How long after the promised time a caller still counts: a round trip, and the timers of busy clients.
const RETURN_GRACE: Duration = Duration::from_millis(1_000);
/// How much earlier than told a caller may return: times are rounded on their way.
const MAX_EARLY: Duration = Duration::from_millis(20);
/// Most callers to remember; some 50 bytes each.
const MAX_PROMISES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Promise {
    rank: Rank,
    work: f64,
    from: Instant,
    until: Instant,
}

/// The refused callers that are expected back.
#[derive(Debug, Default)]
pub struct Promises {
    by_request: HashMap<RequestIdentity, Promise>,
    work: BTreeMap<Rank, f64>,
}

impl Promises {
    /// Returns the number of callers that are expected.
    pub fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns whether no caller is expected.
    pub fn is_empty(&self) -> bool {
        self.by_request.is_empty()
    }

    /// Returns the work of the expected callers whose rank is as urgent as `rank`, or more urgent.
    pub fn work_up_to(&self, rank: Rank) -> f64 {
        self.work.range(..=rank).map(|(_, work)| work.max(0.0)).sum()
    }

    /// Records that a caller was told to return after `wait`.
    pub fn add(
        &mut self,
        request: RequestIdentity,
        rank: Rank,
        work: f64,
        wait: Duration,
        now: Instant,
    ) {
        self.expire(now);
        if self.by_request.len() >= MAX_PROMISES {
            return;
        }
        let from = (now + wait).checked_sub(MAX_EARLY).unwrap_or(now);
        let promise = Promise { rank, work, from, until: now + wait + RETURN_GRACE };
        if let Some(before) = self.by_request.insert(request, promise) {
            self.subtract(before);
        }
        *self.work.entry(rank).or_default() += work;
    }

    /// Ends the promise to the caller of a request. Returns whether there was one and the caller waited as told. One that
    /// returns early has no promise yet.
    pub fn take(&mut self, request: RequestIdentity, now: Instant) -> bool {
        let Some(promise) = self.by_request.get(&request).copied() else { return false };
        if now < promise.from {
            return false;
        }
        self.by_request.remove(&request);
        self.subtract(promise);
        promise.until > now
    }

    /// Drops the promises to callers that didn't return.
    fn expire(&mut self, now: Instant) {
        let over: Vec<Promise> =
            self.by_request.values().filter(|promise| promise.until <= now).copied().collect();
        if over.is_empty() {
            return;
        }
        over.into_iter().for_each(|promise| self.subtract(promise));
        self.by_request.retain(|_, promise| promise.until > now);
    }

    fn subtract(&mut self, promise: Promise) {
        if let Some(work) = self.work.get_mut(&promise.rank) {
            *work -= promise.work;
        }
        if self.by_request.is_empty() {
            self.work.clear();
        }
    }
}
