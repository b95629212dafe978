//! Limits how many requests may be sent to a second endpoint within a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Retry budget of all gateways together, as set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Length of the window.
    pub window: Duration,
    /// Resends allowed per request of the window.
    pub ratio: f64,
    /// Resends allowed in the window beyond those.
    pub slack: f64,
}

/// Fraction of the shared budget that may be spent: resends of other gateways, and those whose request is counted
/// a window later, must fit in as well.
const SPEND_SHARE: f64 = 0.8;
/// Maximum number of sends remembered; beyond it there is no budget.
const MAX_REMEMBERED: usize = 16_384;

/// One gateway's share of the retry budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    bounds: RetryBounds,
    /// When this process began: what its predecessor spent within a window isn't known.
    began: Instant,
    requests: VecDeque<Instant>,
    resends: VecDeque<Instant>,
}

impl RetryWindow {
    /// Creates the window of a process that began at `began` and has sent nothing yet.
    pub fn new(bounds: RetryBounds, began: Instant) -> RetryWindow {
        RetryWindow { bounds, began, requests: VecDeque::new(), resends: VecDeque::new() }
    }

    /// Replaces the bounds from here on.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Instant) {
        self.drop_expired(now);
        if self.requests.len() < MAX_REMEMBERED {
            self.requests.push_back(now);
        }
    }

    /// Spends one resend if this gateway, one of `gateways`, has one left. Returns whether it did.
    pub fn try_spend(&mut self, now: Instant, gateways: usize) -> bool {
        let may_spend = self.may_spend(now, gateways);
        if may_spend {
            self.resends.push_back(now);
        }
        may_spend
    }

    /// Returns whether this gateway, one of `gateways`, has a resend left.
    pub fn may_spend(&mut self, now: Instant, gateways: usize) -> bool {
        self.drop_expired(now);
        let own = self.bounds.ratio * self.requests.len() as f64;
        let known = now.duration_since(self.began).div_duration_f64(self.bounds.window).min(1.0);
        let shared = known * self.bounds.slack / gateways.max(1) as f64;
        let max_resends = (own + shared) * SPEND_SHARE;
        self.resends.len() as f64 + 1.0 <= max_resends && self.resends.len() < MAX_REMEMBERED
    }

    fn drop_expired(&mut self, now: Instant) {
        for queue in [&mut self.requests, &mut self.resends] {
            while queue.front().is_some_and(|at| now.duration_since(*at) > self.bounds.window) {
                queue.pop_front();
            }
        }
    }
}
