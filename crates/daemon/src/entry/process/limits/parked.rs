//! Requests that wait for a keeper's grant.

use super::PendingRequest;
use sorrellock_core::process::grants::LimitKey;
use std::collections::{HashMap, VecDeque};

/// Maximum number of requests of one key that wait for a grant.
const MAX_PARKED_PER_KEY: usize = 256;
/// Maximum number of requests that wait for a grant, over all keys.
const MAX_PARKED: usize = 4096;

/// Requests that wait for a keeper's grant, each with its expected tokens. The wait takes a fraction of a second.
#[derive(Default)]
pub(super) struct Parked {
    by_key: HashMap<LimitKey, VecDeque<(PendingRequest, f64)>>,
    count: usize,
}

impl Parked {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns the number of waiting requests of a key.
    pub fn len_of_key(&self, key: &LimitKey) -> usize {
        self.by_key.get(key).map_or(0, VecDeque::len)
    }

    /// Appends a request, or returns it if too many wait.
    pub fn push(
        &mut self,
        key: &LimitKey,
        pending: PendingRequest,
        tokens: f64,
    ) -> Option<PendingRequest> {
        if self.count >= MAX_PARKED || self.len_of_key(key) >= MAX_PARKED_PER_KEY {
            return Some(pending);
        }
        self.by_key.entry(key.clone()).or_default().push_back((pending, tokens));
        self.count += 1;
        None
    }

    /// Removes and returns the first request of a key.
    pub fn pop(&mut self, key: &LimitKey) -> Option<(PendingRequest, f64)> {
        let waiting = self.by_key.get_mut(key)?;
        let first = waiting.pop_front();
        if waiting.is_empty() {
            self.by_key.remove(key);
        }
        self.count -= usize::from(first.is_some());
        first
    }

    /// Puts a request back as the first of its key.
    pub fn put_back(&mut self, key: &LimitKey, first: (PendingRequest, f64)) {
        self.by_key.entry(key.clone()).or_default().push_front(first);
        self.count += 1;
    }
}
