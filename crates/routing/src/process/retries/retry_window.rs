//! Limits how many requests may be sent to a second endpoint within a sliding window.

use super::sharers::Share;
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

/// Fraction of the ratio's part that may be spent. A window may hold repeats that a process paid with the requests of the window
/// before, and those that its successor paid with the requests of this one; only the larger number of requests counts.
const RATIO_SHARE: f64 = 0.5;
/// Fraction of the slack that may be spent: the gateways may count each other at different moments, and repeats arrive
/// after they were charged.
const SLACK_SHARE: f64 = 0.8;
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
    /// Part of the slack that this gateway has.
    pub share: Share,
}

/// One gateway's share of the retry budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    bounds: RetryBounds,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryWindow {
    /// Creates the window of a process that has sent nothing yet.
    pub fn new(bounds: RetryBounds) -> RetryWindow {
        RetryWindow { bounds, requests: VecDeque::new(), repeats: VecDeque::new() }
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

    /// Spends one repeat if this gateway, with this `share` of the slack, has one left. Returns whether it did.
    pub fn try_spend(&mut self, now: Instant, share: Share) -> bool {
        let may_spend = self.may_spend(now, share);
        if may_spend {
            self.repeats.push_back(now);
        }
        may_spend
    }

    /// Returns whether this gateway, with this `share` of the slack, has a repeat left.
    pub fn may_spend(&mut self, now: Instant, share: Share) -> bool {
        let budget = self.budget(now, share);
        budget.repeats as f64 + 1.0 <= budget.max_repeats && budget.repeats < MAX_REMEMBERED
    }

    /// Returns what this gateway, with this `share` of the slack, has of the budget now.
    pub fn budget(&mut self, now: Instant, share: Share) -> RetryBudget {
        self.drop_expired(now);
        let paid = RATIO_SHARE * self.bounds.ratio * self.requests.len() as f64;
        RetryBudget {
            requests: self.requests.len(),
            repeats: self.repeats.len(),
            max_repeats: paid + SLACK_SHARE * self.bounds.slack * share.fraction + share.rounding,
            share,
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
