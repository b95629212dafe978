//! How long a batch was seen to take, whatever the watching process itself slept through.

use std::time::{Duration, Instant};

/// How often a batch in hand is looked at.
pub const LOOK_INTERVAL: Duration = Duration::from_millis(10);
/// The most that one look counts: twice the interval. A look that comes later tells that this
/// process was paused or waited for a processor; an answer may have come meanwhile, unread.
const LONGEST_LOOK: Duration = Duration::from_millis(20);

/// Watches one batch from its start on.
#[derive(Clone, Copy, Debug)]
pub struct BatchWatch {
    looked_at: Instant,
    watched: Duration,
}

impl BatchWatch {
    /// A batch that the engine gets now.
    pub fn new(now: Instant) -> BatchWatch {
        BatchWatch { looked_at: now, watched: Duration::ZERO }
    }

    /// Looks at the batch, and tells how long it was watched without an answer.
    pub fn look(&mut self, now: Instant) -> Duration {
        let passed = now.saturating_duration_since(self.looked_at);
        self.looked_at = now;
        self.watched += passed.min(LONGEST_LOOK);
        self.watched
    }
}
