//! What a process that was told to end still takes.

use std::time::{Duration, Instant};

/// For how long after it was told to end a process takes whatever comes: balancers ask once a second
/// whether it is ready and send new connections until the second miss, so that a caller refused
/// sooner might come back to the same process.
const STILL_SENT: Duration = Duration::from_millis(2_200);

/// A process that was told to end.
///
/// It guards streams that come late on connections kept open: one of five seconds that is taken
/// three seconds after the signal is cut by the end, eight seconds after it (twice in two plays of a
/// day in which all gateways are replaced).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When it was told.
    pub told: Instant,
    /// When it ends, whatever runs.
    pub ends: Instant,
}

impl Leaving {
    /// Whether it takes a request that may need as long as `longest`.
    pub fn takes(&self, longest: Duration, now: Instant) -> bool {
        now.duration_since(self.told) < STILL_SENT || now + longest <= self.ends
    }

    /// Time until it ends.
    pub fn left(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }
}
