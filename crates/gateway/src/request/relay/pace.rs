//! How promptly a stream reaches its caller.

use std::fmt;
use std::time::Duration;

/// What made a stream prompt or late, for its last log line.
#[derive(Default)]
pub(crate) struct Pace {
    /// From the request to its first event.
    first: Option<Duration>,
    /// Longest pause between two events.
    longest: Duration,
    /// Events that had come before it.
    longest_after: u64,
}

impl Pace {
    /// Bytes came so long after the request, `silent` after those before; `events` had come.
    pub(crate) fn on_chunk(&mut self, elapsed: Duration, silent: Duration, events: u64) {
        if self.first.is_none() {
            self.first = Some(elapsed);
        } else if silent > self.longest {
            self.longest = silent;
            self.longest_after = events;
        }
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.first.unwrap_or_default().as_millis();
        let (longest, after) = (self.longest.as_millis(), self.longest_after);
        write!(f, "first in {first} ms, longest pause {longest} ms after {after}")
    }
}
