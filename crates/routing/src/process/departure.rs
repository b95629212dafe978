//! When a stream goes on over another path, as an engine of its own path is about to exit.
//!
//! Each move costs the stream a pause, in which the engine that takes the part over reads all its tokens. Moves at once make the
//! pauses longer, as that engine reads for all of them. Most streams end before the engine does: they need no move.

use std::time::{Duration, Instant};

/// How late the news of a leave may be at a gateway: a pause between two watches, and what another gateway hands on.
const NEWS_LAG: Duration = Duration::from_millis(1_000);
/// Time for a move, and for another try after one that was refused.
const MOVE_TIME: Duration = Duration::from_millis(500);
/// Share of the time that is left beside these for which all streams stay.
const STAY_SHARE: f64 = 0.55;

/// An engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When that became known.
    known: Instant,
    /// For how long it serves at least, from when it said that it leaves.
    serves_for: Duration,
}

impl Departure {
    /// An engine that is known to leave from `known` on.
    pub fn new(known: Instant, serves_for: Duration) -> Departure {
        Departure { known, serves_for }
    }

    /// When a stream should move. Each stream draws its `spread`, from 0 to 1, so that moves come one after the other.
    pub fn move_at(self, spread: f64) -> Instant {
        let last = self.serves_for.saturating_sub(NEWS_LAG + MOVE_TIME);
        self.known + last.mul_f64(STAY_SHARE + (1.0 - STAY_SHARE) * spread.clamp(0.0, 1.0))
    }
}
