//! Counts the gateways among which a bound of the fleet is divided.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time without a message after which a gateway no longer shares a bound: its window has passed.
const SHARER_TIMEOUT: Duration = Duration::from_secs(15);

/// The gateways that share a bound of the fleet with this one.
#[derive(Debug, Default)]
pub struct Sharers {
    /// When each other gateway was last heard of, by instance.
    heard: HashMap<String, Instant>,
    /// Number of gateways that the store lists, this one included.
    listed: usize,
}

impl Sharers {
    /// Records a message of another gateway.
    pub fn on_message(&mut self, instance: &str, now: Instant) {
        match self.heard.get_mut(instance) {
            Some(at) => *at = now,
            None => {
                self.heard.insert(instance.to_owned(), now);
            }
        }
    }

    /// Records how many gateways the store lists, this one included.
    pub fn on_list(&mut self, listed: usize) {
        self.listed = listed;
    }

    /// Returns how many gateways the store lists.
    pub fn listed(&self) -> usize {
        self.listed
    }

    /// Returns the number of gateways that share the bound, this one included. Listed gateways that can't be reached
    /// count, as they may still spend their part.
    pub fn count(&self, now: Instant) -> usize {
        let heard = self.heard.values().filter(|at| now.duration_since(**at) < SHARER_TIMEOUT);
        (heard.count() + 1).max(self.listed)
    }
}
