//! Requests that a stage held and holds no longer, so that a late message can't begin them anew.

use crate::id::Attempt;
use crate::request::RequestKey;
use std::collections::{HashMap, VecDeque};

/// How many are remembered: minutes of requests at the target.
pub const MAX_TOMBSTONES: usize = 16_384;

/// The last attempt that was held of each request.
#[derive(Debug, Default)]
pub struct Tombstones {
    attempts: HashMap<RequestKey, Attempt>,
    order: VecDeque<RequestKey>,
}

impl Tombstones {
    /// Remembers that `attempt` of a request, and those before it, are over here.
    pub fn add(&mut self, request: RequestKey, attempt: Attempt) {
        if let Some(before) = self.attempts.get_mut(&request) {
            *before = attempt.max(*before);
            return;
        }
        if self.order.len() == MAX_TOMBSTONES
            && let Some(oldest) = self.order.pop_front()
        {
            self.attempts.remove(&oldest);
        }
        self.attempts.insert(request, attempt);
        self.order.push_back(request);
    }

    /// Whether this attempt of a request is over here.
    pub fn covers(&self, request: RequestKey, attempt: Attempt) -> bool {
        self.attempts.get(&request).is_some_and(|last| attempt <= *last)
    }
}
