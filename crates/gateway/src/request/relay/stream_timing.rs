//! Latency figures of a stream for its last log line.

use std::fmt;
use std::time::Duration;

/// Time to the first event and longest pause of a stream.
#[derive(Default)]
pub(crate) struct StreamTiming {
    /// Time from the request to its first event.
    first: Option<Duration>,
    /// Longest pause between two events.
    longest: Duration,
    /// Number of events before the longest pause.
    longest_after: u64,
}

impl StreamTiming {
    /// Records a chunk that was received `elapsed` after the request and `silent` after the previous chunk, with
    /// `events` events before it.
    pub(crate) fn on_chunk(&mut self, elapsed: Duration, silent: Duration, events: u64) {
        if self.first.is_none() {
            self.first = Some(elapsed);
        } else if silent > self.longest {
            self.longest = silent;
            self.longest_after = events;
        }
    }
}

impl fmt::Display for StreamTiming {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.first.unwrap_or_default().as_millis();
        let (longest, after) = (self.longest.as_millis(), self.longest_after);
        write!(f, "first in {first} ms, longest pause {longest} ms after {after}")
    }
}
