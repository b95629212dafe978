//! Circuit breakers of all recently used endpoints.

use crate::clock::Clock;
use crate::process::retries::{AttemptEnd, Breaker, BreakerState, Permit};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Maximum number of tracked endpoints; attempts at further ones are let through.
pub const MAX_BREAKERS: usize = 16_384;
/// A breaker that wasn't used for this long may be removed to free capacity.
pub const BREAKER_IDLE: Duration = Duration::from_secs(120);

struct TrackedBreaker {
    breaker: Breaker,
    last_used: Instant,
}

/// Circuit breakers by endpoint key `K`.
pub struct Breakers<K, C> {
    clock: C,
    max: usize,
    tracked: HashMap<K, TrackedBreaker>,
    last_sweep: Instant,
    untracked: u64,
}

impl<K: Hash + Eq + Clone, C: Clock> Breakers<K, C> {
    /// Creates an empty set of breakers.
    pub fn new(clock: C) -> Breakers<K, C> {
        let last_sweep = clock.now();
        Breakers { clock, max: MAX_BREAKERS, tracked: HashMap::new(), last_sweep, untracked: 0 }
    }

    /// Sets the maximum number of breakers.
    pub fn with_max(self, max: usize) -> Breakers<K, C> {
        Breakers { max, ..self }
    }

    /// Returns a permit if an attempt at an endpoint may go now.
    pub fn admit(&mut self, endpoint: &K) -> Option<Permit> {
        let now = self.clock.now();
        self.breaker(endpoint, now).admit(now)
    }

    /// Returns a permit in any state, for an attempt that has no other endpoint.
    pub fn force(&mut self, endpoint: &K) -> Permit {
        let now = self.clock.now();
        self.breaker(endpoint, now).force()
    }

    /// Records the outcome of an attempt. Returns the state if it changed to or from closed.
    pub fn on_end(
        &mut self,
        endpoint: &K,
        permit: Permit,
        end: AttemptEnd,
    ) -> Option<BreakerState> {
        let now = self.clock.now();
        let tracked = self.tracked.get_mut(endpoint)?;
        tracked.last_used = now;
        let before = tracked.breaker.state();
        tracked.breaker.on_end(now, permit, end);
        let after = tracked.breaker.state();
        let has_changed = (before == BreakerState::Closed) != (after == BreakerState::Closed);
        has_changed.then_some(after)
    }

    /// Returns the state of an endpoint's breaker.
    pub fn state(&self, endpoint: &K) -> BreakerState {
        let tracked = self.tracked.get(endpoint);
        tracked.map_or(BreakerState::Closed, |tracked| tracked.breaker.state())
    }

    /// Iterates over the endpoints whose breaker isn't closed.
    pub fn not_closed(&self) -> impl Iterator<Item = (&K, BreakerState)> {
        let all =
            self.tracked.iter().map(|(endpoint, tracked)| (endpoint, tracked.breaker.state()));
        all.filter(|(_, state)| *state != BreakerState::Closed)
    }

    /// Returns the number of tracked breakers.
    pub fn count(&self) -> usize {
        self.tracked.len()
    }

    /// Returns the number of attempts at endpoints that weren't tracked for lack of capacity.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// Returns the breaker of an endpoint, or a closed, untracked one if the capacity is used up.
    fn breaker(&mut self, endpoint: &K, now: Instant) -> BreakerRef<'_> {
        if self.tracked.len() >= self.max && !self.tracked.contains_key(endpoint) {
            self.sweep(now);
            if self.tracked.len() >= self.max {
                self.untracked += 1;
                return BreakerRef::Untracked(Breaker::new(now));
            }
        }
        let new = || TrackedBreaker { breaker: Breaker::new(now), last_used: now };
        let tracked = self.tracked.entry(endpoint.clone()).or_insert_with(new);
        tracked.last_used = now;
        BreakerRef::Tracked(&mut tracked.breaker)
    }

    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_sweep) < BREAKER_IDLE / 4 {
            return;
        }
        self.last_sweep = now;
        self.tracked
            .retain(|_, tracked| now.saturating_duration_since(tracked.last_used) < BREAKER_IDLE);
    }
}

/// Breaker that is tracked, or temporary.
enum BreakerRef<'a> {
    Tracked(&'a mut Breaker),
    Untracked(Breaker),
}

impl BreakerRef<'_> {
    fn admit(&mut self, now: Instant) -> Option<Permit> {
        match self {
            BreakerRef::Tracked(breaker) => breaker.admit(now),
            BreakerRef::Untracked(breaker) => breaker.admit(now),
        }
    }

    fn force(&self) -> Permit {
        match self {
            BreakerRef::Tracked(breaker) => breaker.force(),
            BreakerRef::Untracked(breaker) => breaker.force(),
        }
    }
}
