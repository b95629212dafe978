//! Limits how many requests may be sent to a second endpoint within a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Retry budget of all gateways together, as set by the operator.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Length of the window.
    pub window: Duration,
    /// Repeats allowed per request of the window.
    pub ratio: f64,
    /// Repeats allowed in the window beyond those.
    pub slack: f64,
}

/// Fraction of the shared budget that may be spent: repeats of other gateways, and those whose request is counted
/// a window later, must fit in as well.
const SPEND_SHARE: f64 = 0.8;
/// Maximum number of sends remembered; beyond it there is no budget.
const MAX_REMEMBERED: usize = 16_384;

/// What one gateway has of the retry budget of one service, in its latest window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBudget {
    /// Requests for the service.
    pub requests: usize,
    /// Repeats that were charged.
    pub repeats: usize,
    /// Repeats that may be charged.
    pub max_repeats: f64,
    /// Number of gateways among which the slack is divided.
    pub gateways: usize,
}

/// One gateway's share of the retry budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    bounds: RetryBounds,
    /// When this process began: what its predecessor spent within a window isn't known.
    began: Instant,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryWindow {
    /// Creates the window of a process that began at `began` and has sent nothing yet.
    pub fn new(bounds: RetryBounds, began: Instant) -> RetryWindow {
        RetryWindow { bounds, began, requests: VecDeque::new(), repeats: VecDeque::new() }
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

    /// Spends one repeat if this gateway, one of `gateways`, has one left. Returns whether it did.
    pub fn try_spend(&mut self, now: Instant, gateways: usize) -> bool {
        let may_spend = self.may_spend(now, gateways);
        if may_spend {
            self.repeats.push_back(now);
        }
        may_spend
    }

    /// Returns whether this gateway, one of `gateways`, has a repeat left.
    pub fn may_spend(&mut self, now: Instant, gateways: usize) -> bool {
        let budget = self.budget(now, gateways);
        budget.repeats as f64 + 1.0 <= budget.max_repeats && budget.repeats < MAX_REMEMBERED
    }

    /// Returns what this gateway, one of `gateways`, has of the budget now.
    pub fn budget(&mut self, now: Instant, gateways: usize) -> RetryBudget {
        self.drop_expired(now);
        let own = self.bounds.ratio * self.requests.len() as f64;
        let known = now.duration_since(self.began).div_duration_f64(self.bounds.window).min(1.0);
        let shared = known * self.bounds.slack / gateways.max(1) as f64;
        RetryBudget {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
            max_repeats: (own + shared) * SPEND_SHARE,
            gateways,
        }
    }

    fn drop_expired(&mut self, now: Instant) {
        for queue in [&mut self.requests, &mut self.repeats] {
            while queue.front().is_some_and(|at| now.duration_since(*at) > self.bounds.window) {
                queue.pop_front();
            }
        }
    }
}
