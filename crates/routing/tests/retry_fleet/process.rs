//! One process of a gateway: its share of the budget, and what it knows of the others.

use sorrellock_routing::process::retries::{RetryBounds, RetryWindow, Sharers};
use std::time::Instant;

/// One process of a gateway.
pub struct Process {
    window: RetryWindow,
    sharers: Sharers,
}

impl Process {
    pub fn new(bounds: RetryBounds, now: Instant) -> Process {
        Process { window: RetryWindow::new(bounds, now), sharers: Sharers::default() }
    }

    pub fn on_request(&mut self, now: Instant) {
        self.window.on_request(now);
    }

    pub fn on_message(&mut self, from: usize, now: Instant) {
        self.sharers.on_message(&format!("gateway-{from}"), now);
    }

    pub fn on_list(&mut self, listed: usize, _now: Instant) {
        self.sharers.on_list(listed);
    }

    pub fn try_repeat(&mut self, now: Instant) -> bool {
        let gateways = self.sharers.count(now);
        self.window.try_spend(now, gateways)
    }
}
