//! When a stream goes on over another path, as an engine of its own path is about to exit.
//!
//! Each move costs the stream a pause, in which the engine that takes the part over reads all its tokens. Moves at once make the
//! pauses longer, as that engine reads for all of them. Most streams end before the engine does: they need no move.

use std::time::{Duration, Instant};

/// Share of the time for which a leaving engine serves that all streams stay.
const STAY_SHARE: f64 = 0.35;
/// Share of it by which all streams have been told to move: the news of the leave may be late by a fifth of that time, and a move
/// that is refused is tried again.
const MOVE_SHARE: f64 = 0.6;

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
        let share = STAY_SHARE + (MOVE_SHARE - STAY_SHARE) * spread.clamp(0.0, 1.0);
        self.known + self.serves_for.mul_f64(share)
    }
}
