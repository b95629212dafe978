//! Requests that wait for an engine, and the batches made of them.

use sorrellock_core::request::RequestKey;
use std::collections::VecDeque;

/// Requests with work for an engine: higher priority first, then in order of arrival. Each is
/// in it once at most, so its length is bounded by the requests open.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    requests: VecDeque<(u8, RequestKey)>,
}

impl WaitingRequests {
    /// How many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request behind those of its priority.
    pub fn push(&mut self, priority: u8, request: RequestKey) {
        let place = self.requests.partition_point(|(other, _)| *other >= priority);
        self.requests.insert(place, (priority, request));
    }

    /// Takes the next request.
    pub fn pop(&mut self) -> Option<RequestKey> {
        self.requests.pop_front().map(|(_, request)| request)
    }
}
