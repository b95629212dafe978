//! Queue of requests that wait for an engine.

use sorrellock_core::request::RequestKey;
use std::collections::VecDeque;

/// Queue of requests with work for an engine, by priority (highest first), then by arrival. A request is queued at
/// most once, so the number of open requests bounds the length.
#[derive(Debug, Default)]
pub struct WaitingRequests {
    requests: VecDeque<(u8, RequestKey)>,
}

impl WaitingRequests {
    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Queues a request behind those of the same priority.
    pub fn push(&mut self, priority: u8, request: RequestKey) {
        let place = self.requests.partition_point(|(other, _)| *other >= priority);
        self.requests.insert(place, (priority, request));
    }

    /// Removes and returns the next request.
    pub fn pop(&mut self) -> Option<RequestKey> {
        self.requests.pop_front().map(|(_, request)| request)
    }
}
