//! How many requests may be sent to a second endpoint within a sliding window.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// What all gateways together may send again, by the operator's bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBounds {
    /// Length of the window.
    pub window: Duration,
    /// Sends beyond the first that each request of the window pays for.
    pub ratio: f64,
    /// Sends that the window has besides.
    pub slack: f64,
}

/// The part of the shared budget that is spent: sends of other gateways, and those whose request
/// is counted a window later, must fit in as well.
const SPEND_SHARE: f64 = 0.8;
/// The most sends remembered; beyond it there is no budget.
const MAX_REMEMBERED: usize = 16_384;

/// One gateway's share of the budget for one service.
#[derive(Debug)]
pub struct RetryWindow {
    bounds: RetryBounds,
    /// When this process began: what the one before it spent within a window isn't known.
    began: Instant,
    requests: VecDeque<Instant>,
    again: VecDeque<Instant>,
}

impl RetryWindow {
    /// Nothing was sent yet by a process that began at `began`.
    pub fn new(bounds: RetryBounds, began: Instant) -> RetryWindow {
        RetryWindow { bounds, began, requests: VecDeque::new(), again: VecDeque::new() }
    }

    /// Counts by other bounds from here on.
    pub fn set_bounds(&mut self, bounds: RetryBounds) {
        self.bounds = bounds;
    }

    /// A request came in.
    pub fn on_request(&mut self, now: Instant) {
        self.forget(now);
        if self.requests.len() < MAX_REMEMBERED {
            self.requests.push_back(now);
        }
    }

    /// Takes one send beyond the first, if this gateway, one of `gateways`, has one left.
    pub fn try_spend(&mut self, now: Instant, gateways: usize) -> bool {
        let may_spend = self.may_spend(now, gateways);
        if may_spend {
            self.again.push_back(now);
        }
        may_spend
    }

    /// Whether this gateway, one of `gateways`, has a send beyond the first left.
    pub fn may_spend(&mut self, now: Instant, gateways: usize) -> bool {
        self.forget(now);
        let own = self.bounds.ratio * self.requests.len() as f64;
        let known = now.duration_since(self.began).div_duration_f64(self.bounds.window).min(1.0);
        let shared = known * self.bounds.slack / gateways.max(1) as f64;
        let most = (own + shared) * SPEND_SHARE;
        self.again.len() as f64 + 1.0 <= most && self.again.len() < MAX_REMEMBERED
    }

    fn forget(&mut self, now: Instant) {
        for queue in [&mut self.requests, &mut self.again] {
            while queue.front().is_some_and(|at| now.duration_since(*at) > self.bounds.window) {
                queue.pop_front();
            }
        }
    }
}
