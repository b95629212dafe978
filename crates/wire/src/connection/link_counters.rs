//! Counters of a link.

use std::sync::atomic::{AtomicU64, Ordering};

/// Counters of a link, since the process started.
#[derive(Debug, Default)]
pub struct LinkCounters {
    /// Envelopes sent.
    pub envelopes_sent: AtomicU64,
    /// Messages sent.
    pub messages_sent: AtomicU64,
    /// Bytes sent, envelopes only.
    pub bytes_sent: AtomicU64,
    /// Messages received.
    pub messages_received: AtomicU64,
    /// Bytes received, envelopes only.
    pub bytes_received: AtomicU64,
    /// Messages lost with a link that closed or could not be opened.
    pub messages_lost: AtomicU64,
    /// Messages refused as the queue was full.
    pub refused_full: AtomicU64,
    /// Messages refused as the peer could not be reached.
    pub refused_down: AtomicU64,
    /// Envelopes that could not be read: truncated, foreign, too large, or of another format.
    pub malformed: AtomicU64,
    /// Links that closed, or could not be opened.
    pub closed: AtomicU64,
    /// Those of them that were given up as the peer acknowledged nothing any more.
    pub silent: AtomicU64,
    /// Closed links that nobody was told of, as too many waited.
    pub closed_untold: AtomicU64,
    /// Connections that could not be accepted.
    pub accept_errors: AtomicU64,
}

impl LinkCounters {
    /// All counters by name.
    pub fn snapshot(&self) -> Vec<(&'static str, u64)> {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        vec![
            ("envelopes_sent", read(&self.envelopes_sent)),
            ("messages_sent", read(&self.messages_sent)),
            ("bytes_sent", read(&self.bytes_sent)),
            ("messages_received", read(&self.messages_received)),
            ("bytes_received", read(&self.bytes_received)),
            ("messages_lost", read(&self.messages_lost)),
            ("refused_full", read(&self.refused_full)),
            ("refused_down", read(&self.refused_down)),
            ("malformed", read(&self.malformed)),
            ("closed", read(&self.closed)),
            ("silent", read(&self.silent)),
            ("closed_untold", read(&self.closed_untold)),
            ("accept_errors", read(&self.accept_errors)),
        ]
    }
}

/// Adds to a counter.
pub(crate) fn add(counter: &AtomicU64, by: u64) {
    counter.fetch_add(by, Ordering::Relaxed);
}
