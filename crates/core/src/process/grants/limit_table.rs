//! All limits of one entry.

use super::{Grant, GrantAsk, KeeperView, LimitKey, Limits, Share, Spend};
use crate::clock::Clock;
use crate::id::Incarnation;
use std::collections::HashMap;

/// The shares of one entry. One that holds nothing is forgotten, so that there are no more than
/// were in use within the last seconds.
#[derive(Debug)]
pub struct LimitTable<C> {
    clock: C,
    shares: HashMap<LimitKey, Share>,
    /// Questions asked so far by this process.
    number: u64,
}

impl<C: Clock> LimitTable<C> {
    /// No shares.
    pub fn new(clock: C) -> LimitTable<C> {
        LimitTable { clock, shares: HashMap::new(), number: 0 }
    }

    /// How many shares there are.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// A new request asks to go on, and `tokens` are expected of it.
    pub fn arrive(&mut self, key: &LimitKey, limits: Limits, tokens: f64, by: KeeperView) -> Spend {
        let now = self.clock.now();
        if !self.shares.contains_key(key) {
            self.shares.insert(key.clone(), Share::new(now, key.clone(), limits));
        }
        let share = self.shares.get_mut(key).expect("inserted above");
        share.set_limits(limits);
        share.arrive(now, tokens, by)
    }

    /// A request that waited for an answer asks again.
    pub fn spend(&mut self, key: &LimitKey, tokens: f64, by: KeeperView) -> Spend {
        let now = self.clock.now();
        self.shares.get_mut(key).map_or(Spend::Asked, |share| share.spend(now, tokens, by))
    }

    /// An allowed request ended, having taken `actual` tokens.
    pub fn end(&mut self, key: &LimitKey, tokens: f64, actual: f64) {
        let now = self.clock.now();
        if let Some(share) = self.shares.get_mut(key) {
            share.end(now, tokens, actual);
        }
    }

    /// An allowed request never ran.
    pub fn undo(&mut self, key: &LimitKey, tokens: f64) {
        let now = self.clock.now();
        if let Some(share) = self.shares.get_mut(key) {
            share.undo(now, tokens);
        }
    }

    /// The question to send on a key now, if any.
    pub fn ask(&mut self, key: &LimitKey, waiting: usize, by: KeeperView) -> Option<GrantAsk> {
        let now = self.clock.now();
        self.shares.get_mut(key)?.ask(now, waiting, by, &mut self.number)
    }

    /// Takes a keeper's answer; false if it is not the one to the last question.
    pub fn take(&mut self, from: Incarnation, grant: &Grant) -> bool {
        let now = self.clock.now();
        let share = self.shares.get_mut(&grant.key);
        share.is_some_and(|share| share.take(now, from, grant))
    }

    /// All keys; shares that hold nothing and were not asked lately are forgotten first.
    pub fn keys(&mut self) -> Vec<LimitKey> {
        let now = self.clock.now();
        self.shares.retain(|_, share| !share.is_idle(now));
        self.shares.keys().cloned().collect()
    }

    /// Requests in flight of a key.
    pub fn in_use(&self, key: &LimitKey) -> u32 {
        self.shares.get(key).map_or(0, Share::in_use)
    }
}
