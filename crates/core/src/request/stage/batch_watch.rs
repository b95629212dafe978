//! Measures how long a batch takes, excluding pauses of the watching process.

use std::time::{Duration, Instant};

/// Interval between checks of a batch in progress.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time that one check adds: twice the interval. A later check means that this process was
/// paused or waited for a CPU; an answer may have arrived in the meantime and not been read yet.
const MAX_LOOK_TIME: Duration = Duration::from_millis(20);

/// Measures the time for which one batch has been watched without an answer.
#[derive(Clone, Copy, Debug)]
pub struct BatchWatch {
    last_look: Instant,
    watched: Duration,
}

impl BatchWatch {
    /// Starts watching a batch that is sent to the engine now.
    pub fn new(now: Instant) -> BatchWatch {
        BatchWatch { last_look: now, watched: Duration::ZERO }
    }

    /// Records a check, and returns how long the batch has been watched without an answer.
    pub fn look(&mut self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.last_look);
        self.last_look = now;
        self.watched += passed.min(MAX_LOOK_TIME);
        self.watched
    }
}
