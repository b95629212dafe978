//! What gateways may have taken of a path without asking, and the one that gives out its capacity doesn't see yet.

use super::alone_part::PART_TIME;
use std::collections::VecDeque;
use std::time::Instant;

/// Lowest shares of a path's capacity that were used within the time in which parts are taken by what was seen then.
#[derive(Debug, Default)]
pub struct UnseenTakes {
    /// Shares that no later one is below, with the oldest first.
    lows: VecDeque<(Instant, f64)>,
}

impl UnseenTakes {
    /// Records the share of the path's capacity that is used now.
    pub fn on_share(&mut self, share: f64, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) >= PART_TIME;
        while self.lows.front().is_some_and(|(at, _)| is_over(*at)) {
            self.lows.pop_front();
        }
        while self.lows.back().is_some_and(|(_, low)| *low >= share) {
            self.lows.pop_back();
        }
        self.lows.push_back((now, share));
    }

    /// Returns the share of the path's capacity that `gateways`, this one included, may have taken unseen, where each takes its
    /// part of what is free below `limit`.
    pub fn reserve(&self, limit: f64, gateways: usize) -> f64 {
        // Of a path that was never looked at, all may have been taken.
        let low = self.lows.front().map_or(0.0, |(_, low)| *low);
        let others = gateways.saturating_sub(1) as f64 / gateways.max(1) as f64;
        (limit - low).max(0.0) * others
    }
}
