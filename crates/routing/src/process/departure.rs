//! Decides when a stream moves to another path because an engine of its path is about to exit.
//!
//! Each move pauses the stream while the engine that takes over the part reads all of the stream's tokens.
//! Simultaneous moves lengthen these pauses, as that engine reads for all of them. Most streams end before the
//! engine does and need no move.

use std::time::{Duration, Instant};

/// Maximum delay until a gateway learns that an engine leaves: a pause between two watches, plus forwarding by
/// another gateway.
const UPDATE_LAG: Duration = Duration::from_millis(1_000);
/// Time for a move, including another try after a refused one.
const MOVE_TIME: Duration = Duration::from_millis(500);
/// Fraction of the remaining time, less the two delays above, during which no stream moves.
const STAY_SHARE: f64 = 0.55;

/// An engine that leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    /// When this process learned that it leaves.
    known: Instant,
    /// Minimum time that it keeps serving after announcing that it leaves.
    serves_for: Duration,
}

impl Departure {
    /// Creates the departure of an engine that is known to leave from `known` on.
    pub fn new(known: Instant, serves_for: Duration) -> Departure {
        Departure { known, serves_for }
    }

    /// Returns when a stream should move. Each stream draws its own `spread`, from 0 to 1, so that the moves are
    /// distributed over time.
    pub fn move_at(self, spread: f64) -> Instant {
        let last = self.serves_for.saturating_sub(UPDATE_LAG + MOVE_TIME);
        self.known + last.mul_f64(STAY_SHARE + (1.0 - STAY_SHARE) * spread.clamp(0.0, 1.0))
    }
}
