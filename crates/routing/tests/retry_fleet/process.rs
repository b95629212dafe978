//! One process of a gateway: its share of the budget, and what it knows of the others.

use super::world::BOUNDS;
use sorrellock_routing::process::retries::{RetryBounds, RetryWindow, Sharers};
use std::time::Instant;

/// One process of a gateway.
pub struct Process {
    window: RetryWindow,
    sharers: Sharers,
}

impl Process {
    pub fn new(gateway: usize, bounds: RetryBounds, now: Instant) -> Process {
        let instance = instance(gateway);
        Process { window: RetryWindow::new(bounds), sharers: Sharers::new(&instance, now) }
    }

    pub fn on_request(&mut self, now: Instant) {
        self.window.on_request(now);
    }

    pub fn on_message(&mut self, from: usize, now: Instant) {
        self.sharers.on_message(&instance(from), now);
    }

    pub fn on_list(&mut self, listed: usize, now: Instant) {
        self.sharers.on_list(listed, now);
    }

    pub fn try_repeat(&mut self, now: Instant) -> bool {
        let share = self.sharers.share(BOUNDS.window, now);
        self.window.try_spend(now, share)
    }
}

fn instance(gateway: usize) -> String {
    format!("gateway-{gateway}")
}
