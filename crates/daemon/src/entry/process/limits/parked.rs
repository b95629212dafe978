//! Requests that wait for a keeper's answer.

use super::Asking;
use sorrellock_core::process::grants::LimitKey;
use std::collections::{HashMap, VecDeque};

/// The most requests of one key that wait for an answer.
const MOST_OF_KEY: usize = 256;
/// The most requests that wait for an answer.
const MOST: usize = 4096;

/// Requests that wait for a keeper's answer, each with its tokens: a fraction of a second.
#[derive(Default)]
pub(super) struct Parked {
    by_key: HashMap<LimitKey, VecDeque<(Asking, f64)>>,
    count: usize,
}

impl Parked {
    /// How many wait.
    pub fn len(&self) -> usize {
        self.count
    }

    /// How many of a key wait.
    pub fn of_key(&self, key: &LimitKey) -> usize {
        self.by_key.get(key).map_or(0, VecDeque::len)
    }

    /// Adds a request behind the others, or gives it back if there are too many.
    pub fn push(&mut self, key: &LimitKey, asking: Asking, tokens: f64) -> Option<Asking> {
        if self.count >= MOST || self.of_key(key) >= MOST_OF_KEY {
            return Some(asking);
        }
        self.by_key.entry(key.clone()).or_default().push_back((asking, tokens));
        self.count += 1;
        None
    }

    /// Takes the first of a key.
    pub fn pop(&mut self, key: &LimitKey) -> Option<(Asking, f64)> {
        let waiting = self.by_key.get_mut(key)?;
        let first = waiting.pop_front();
        if waiting.is_empty() {
            self.by_key.remove(key);
        }
        self.count -= usize::from(first.is_some());
        first
    }

    /// Puts the first of a key back.
    pub fn put_back(&mut self, key: &LimitKey, first: (Asking, f64)) {
        self.by_key.entry(key.clone()).or_default().push_front(first);
        self.count += 1;
    }
}
