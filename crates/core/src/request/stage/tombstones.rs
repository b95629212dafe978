//! Requests that a stage no longer holds, remembered so that a late message cannot start them again.

use crate::id::Attempt;
use crate::request::RequestKey;
use std::collections::{HashMap, VecDeque};

/// Maximum number of remembered requests: minutes of requests at the target rate.
pub const MAX_TOMBSTONES: usize = 16_384;

/// The last attempt that was held of each remembered request.
#[derive(Debug, Default)]
pub struct Tombstones {
    attempts: HashMap<RequestKey, Attempt>,
    order: VecDeque<RequestKey>,
}

impl Tombstones {
    /// Records that `attempt` of a request, and all earlier ones, have ended at this stage.
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

    /// Returns whether this attempt of a request has ended at this stage.
    pub fn covers(&self, request: RequestKey, attempt: Attempt) -> bool {
        self.attempts.get(&request).is_some_and(|last| attempt <= *last)
    }
}
