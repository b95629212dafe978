//! Shares of all limits at one entry.

use super::{Grant, GrantAsk, KeeperView, LimitKey, Limits, Share, Spend};
use crate::clock::Clock;
use crate::id::Incarnation;
use std::collections::HashMap;

/// Shares of one entry by limit. Shares that hold nothing are removed, so that only those used
/// within the last seconds are kept.
#[derive(Debug)]
pub struct LimitTable<C> {
    clock: C,
    shares: HashMap<LimitKey, Share>,
    /// Number of grant requests that this process has sent.
    number: u64,
}

impl<C: Clock> LimitTable<C> {
    /// Creates an empty table.
    pub fn new(clock: C) -> LimitTable<C> {
        LimitTable { clock, shares: HashMap::new(), number: 0 }
    }

    /// Returns the number of shares.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether there are no shares.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Checks a new request, which is expected to take `tokens`.
    pub fn arrive(
        &mut self,
        key: &LimitKey,
        limits: Limits,
        tokens: f64,
        keeper_view: KeeperView,
    ) -> Spend {
        let now = self.clock.now();
        if !self.shares.contains_key(key) {
            self.shares.insert(key.clone(), Share::new(now, key.clone(), limits));
        }
        let share = self.shares.get_mut(key).expect("inserted above");
        share.set_limits(limits);
        share.arrive(now, tokens, keeper_view)
    }

    /// Checks a request again that waited for a keeper's answer.
    pub fn spend(&mut self, key: &LimitKey, tokens: f64, keeper_view: KeeperView) -> Spend {
        let now = self.clock.now();
        self.shares.get_mut(key).map_or(Spend::Asked, |share| share.spend(now, tokens, keeper_view))
    }

    /// Records the end of an allowed request; it was expected to take `tokens` and took `actual`.
    pub fn end(&mut self, key: &LimitKey, tokens: f64, actual: f64) {
        let now = self.clock.now();
        if let Some(share) = self.shares.get_mut(key) {
            share.end(now, tokens, actual);
        }
    }

    /// Undoes the charge for an allowed request that never ran.
    pub fn undo(&mut self, key: &LimitKey, tokens: f64) {
        let now = self.clock.now();
        if let Some(share) = self.shares.get_mut(key) {
            share.undo(now, tokens);
        }
    }

    /// Returns the grant request to send on a key now, if any.
    pub fn ask(
        &mut self,
        key: &LimitKey,
        waiting: usize,
        keeper_view: KeeperView,
    ) -> Option<GrantAsk> {
        let now = self.clock.now();
        self.shares.get_mut(key)?.ask(now, waiting, keeper_view, &mut self.number)
    }

    /// Applies a keeper's answer; returns false unless it answers the last grant request.
    pub fn take(&mut self, from: Incarnation, grant: &Grant) -> bool {
        let now = self.clock.now();
        let share = self.shares.get_mut(&grant.key);
        share.is_some_and(|share| share.take(now, from, grant))
    }

    /// Removes shares that hold nothing and weren't used recently, then returns all keys.
    pub fn keys(&mut self) -> Vec<LimitKey> {
        let now = self.clock.now();
        self.shares.retain(|_, share| !share.is_idle(now));
        self.shares.keys().cloned().collect()
    }

    /// Returns the number of requests in flight on a key.
    pub fn in_use(&self, key: &LimitKey) -> u32 {
        self.shares.get(key).map_or(0, Share::in_use)
    }
}
