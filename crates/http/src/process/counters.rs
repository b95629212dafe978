//! Counters of a listener.

use std::sync::atomic::{AtomicU64, Ordering};

/// What a listener has counted since it started. All only grow, but for `open`.
#[derive(Debug, Default)]
pub struct Counters {
    /// Connections taken in.
    pub accepted: AtomicU64,
    /// Connections open now.
    pub open: AtomicU64,
    /// Connections closed at once, as there were too many.
    pub refused: AtomicU64,
    /// Times that the system could not give a new connection.
    pub accept_errors: AtomicU64,
    /// Whole requests handed over.
    pub requests: AtomicU64,
    /// Requests answered 503, as too many were waiting.
    pub queue_full: AtomicU64,
    /// Requests answered 413.
    pub bodies_too_large: AtomicU64,
    /// Requests whose body did not come in time.
    pub body_timeouts: AtomicU64,
    /// Connections cut off as a head did not come in time.
    pub header_timeouts: AtomicU64,
    /// Connections closed as they had been idle too long.
    pub idle_timeouts: AtomicU64,
    /// Connections that sent something other than HTTP/1.1.
    pub malformed: AtomicU64,
    /// Callers that went away before their answer was complete.
    pub gone: AtomicU64,
    /// Requests dropped without an answer, which got a 500.
    pub unanswered: AtomicU64,
    /// Handlers that panicked.
    pub handler_panics: AtomicU64,
}

impl Counters {
    /// Names and values, for dumps and metrics.
    pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        vec![
            ("accepted", read(&self.accepted)),
            ("open", read(&self.open)),
            ("refused", read(&self.refused)),
            ("accept_errors", read(&self.accept_errors)),
            ("requests", read(&self.requests)),
            ("queue_full", read(&self.queue_full)),
            ("bodies_too_large", read(&self.bodies_too_large)),
            ("body_timeouts", read(&self.body_timeouts)),
            ("header_timeouts", read(&self.header_timeouts)),
            ("idle_timeouts", read(&self.idle_timeouts)),
            ("malformed", read(&self.malformed)),
            ("gone", read(&self.gone)),
            ("unanswered", read(&self.unanswered)),
            ("handler_panics", read(&self.handler_panics)),
        ]
    }
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}
