//! What a gateway may take of capacity that nobody gives out to it.

use std::time::{Duration, Instant};

/// Time for which a part is taken: twice the longest message interval. What others take within one interval isn't seen, so
/// that parts of a single interval could add up to more than was free.
const PART_TIME: Duration = Duration::from_millis(500);

/// The part that one gateway may take of the capacity that it sees free. All gateways that decide alone see the same
/// capacity, so each takes an equal part of it until their loads show what they took.
#[derive(Debug, Default)]
pub struct AlonePart {
    since: Option<Instant>,
    left: f64,
}

impl AlonePart {
    /// Returns whether a request of this `size` may be sent now. `free` is what is seen free, in the same unit, and `gateways`
    /// the number of those that may take it. `draw` is random in `0..1`: a part that is smaller than the request takes it with
    /// that probability, so that parts of many gateways add up.
    pub fn take(&mut self, size: f64, free: f64, gateways: usize, draw: f64, now: Instant) -> bool {
        if self.since.is_none_or(|since| now.saturating_duration_since(since) >= PART_TIME) {
            self.since = Some(now);
            self.left = free.max(0.0) / gateways.max(1) as f64;
        }
        let is_allowed = size <= self.left || draw < self.left / size;
        self.left = (self.left - size).max(0.0);
        is_allowed
    }
}
