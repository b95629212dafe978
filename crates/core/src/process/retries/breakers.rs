//! The breakers of all endpoints that failed of late.

use crate::clock::Clock;
use crate::process::retries::{AttemptEnd, Breaker, BreakerState, Permit};
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The most endpoints with a breaker; those beyond it are let through.
pub const MAX_BREAKERS: usize = 16_384;
/// A breaker of which nothing was heard for so long makes room for others.
pub const BREAKER_IDLE: Duration = Duration::from_secs(120);

struct Kept {
    breaker: Breaker,
    used: Instant,
}

/// The breakers of endpoints named by `K`.
pub struct Breakers<K, C> {
    clock: C,
    max: usize,
    kept: HashMap<K, Kept>,
    swept: Instant,
    untracked: u64,
}

impl<K: Hash + Eq + Clone, C: Clock> Breakers<K, C> {
    /// No endpoint is known yet.
    pub fn new(clock: C) -> Breakers<K, C> {
        let swept = clock.now();
        Breakers { clock, max: MAX_BREAKERS, kept: HashMap::new(), swept, untracked: 0 }
    }

    /// Keeps at most `max` breakers.
    pub fn with_max(self, max: usize) -> Breakers<K, C> {
        Breakers { max, ..self }
    }

    /// Lets an attempt at an endpoint through, or none now.
    pub fn admit(&mut self, endpoint: &K) -> Option<Permit> {
        let now = self.clock.now();
        self.breaker(endpoint, now).admit(now)
    }

    /// Lets an attempt through for which there is no other endpoint.
    pub fn force(&mut self, endpoint: &K) -> Permit {
        let now = self.clock.now();
        self.breaker(endpoint, now).force()
    }

    /// Takes the end of an attempt. Tells the state if it changed to or from closed.
    pub fn on_end(
        &mut self,
        endpoint: &K,
        permit: Permit,
        end: AttemptEnd,
    ) -> Option<BreakerState> {
        let now = self.clock.now();
        let kept = self.kept.get_mut(endpoint)?;
        kept.used = now;
        let before = kept.breaker.state();
        kept.breaker.on_end(now, permit, end);
        let after = kept.breaker.state();
        let is_new = (before == BreakerState::Closed) != (after == BreakerState::Closed);
        is_new.then_some(after)
    }

    /// The state of an endpoint's breaker.
    pub fn state(&self, endpoint: &K) -> BreakerState {
        let kept = self.kept.get(endpoint);
        kept.map_or(BreakerState::Closed, |kept| kept.breaker.state())
    }

    /// Endpoints whose breaker isn't closed.
    pub fn not_closed(&self) -> impl Iterator<Item = (&K, BreakerState)> {
        let all = self.kept.iter().map(|(endpoint, kept)| (endpoint, kept.breaker.state()));
        all.filter(|(_, state)| *state != BreakerState::Closed)
    }

    /// How many breakers are kept.
    pub fn count(&self) -> usize {
        self.kept.len()
    }

    /// Attempts at endpoints for whose breaker there was no room.
    pub fn untracked(&self) -> u64 {
        self.untracked
    }

    /// The breaker of an endpoint; a closed one that isn't kept where there is no room.
    fn breaker(&mut self, endpoint: &K, now: Instant) -> Holder<'_> {
        if self.kept.len() >= self.max && !self.kept.contains_key(endpoint) {
            self.sweep(now);
            if self.kept.len() >= self.max {
                self.untracked += 1;
                return Holder::Passing(Breaker::new(now));
            }
        }
        let new = || Kept { breaker: Breaker::new(now), used: now };
        let kept = self.kept.entry(endpoint.clone()).or_insert_with(new);
        kept.used = now;
        Holder::Kept(&mut kept.breaker)
    }

    fn sweep(&mut self, now: Instant) {
        if now.saturating_duration_since(self.swept) < BREAKER_IDLE / 4 {
            return;
        }
        self.swept = now;
        self.kept.retain(|_, kept| now.saturating_duration_since(kept.used) < BREAKER_IDLE);
    }
}

enum Holder<'a> {
    Kept(&'a mut Breaker),
    Passing(Breaker),
}

impl Holder<'_> {
    fn admit(&mut self, now: Instant) -> Option<Permit> {
        match self {
            Holder::Kept(breaker) => breaker.admit(now),
            Holder::Passing(breaker) => breaker.admit(now),
        }
    }

    fn force(&self) -> Permit {
        match self {
            Holder::Kept(breaker) => breaker.force(),
            Holder::Passing(breaker) => breaker.force(),
        }
    }
}
