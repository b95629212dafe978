//! What a gateway may take of capacity that nobody gives out to it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time for which what was taken counts against the part. A gateway's load reaches the others within one message interval,
/// and what these take by what they saw before reaches it within another one.
pub(super) const PART_TIME: Duration = Duration::from_millis(500);

/// What a request used of a part.
#[derive(Clone, Copy, Debug)]
struct Use {
    at: Instant,
    size: f64,
    /// Whether it was taken, and not lost by the draw.
    is_taken: bool,
}

/// The part that one gateway may take of the capacity of a path that it sees free. All gateways that decide alone see the
/// same capacity, so each takes an equal part of it until their loads show what they took.
#[derive(Debug, Default)]
pub struct AlonePart {
    recent: VecDeque<Use>,
}

impl AlonePart {
    /// Returns whether a request of this `size` may be sent now. `free` is what is seen free, in the same unit, and `gateways`
    /// the number of those that may take it. `draw` is random in `0..1`: a part that is smaller than the request takes it with
    /// that probability, so that parts of many gateways add up.
    pub fn take(&mut self, size: f64, free: f64, gateways: usize, draw: f64, now: Instant) -> bool {
        let is_over = |one: &Use| now.saturating_duration_since(one.at) >= PART_TIME;
        while self.recent.front().is_some_and(is_over) {
            self.recent.pop_front();
        }
        let used: f64 = self.recent.iter().map(|one| one.size).sum();
        let taken: f64 = self.recent.iter().filter(|one| one.is_taken).map(|one| one.size).sum();
        // What this gateway took itself isn't seen free any more.
        let part = (free + taken).max(0.0) / gateways.max(1) as f64;
        let left = part - used;
        if left <= 0.0 {
            return false;
        }
        let is_taken = size <= left || draw < left / size;
        self.recent.push_back(Use { at: now, size: if is_taken { size } else { left }, is_taken });
        is_taken
    }
}
