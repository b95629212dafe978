//! Updates that this gateway found itself and repeats in its messages for a while.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// How long an update is repeated: fifty messages, of which some are lost.
const REPEAT_FOR: Duration = Duration::from_secs(5);
/// Maximum number of updates in a message, some 40 bytes each: the latest ones, where all engines of a data
/// centre change at once.
const MAX_UPDATES: usize = 64;

/// The latest updates, each with the time at which it was found. Updates found by other gateways aren't passed
/// on: otherwise they would circulate indefinitely.
pub(super) struct RecentUpdates<T> {
    found: VecDeque<(T, Instant)>,
}

impl<T> Default for RecentUpdates<T> {
    fn default() -> RecentUpdates<T> {
        RecentUpdates { found: VecDeque::new() }
    }
}

impl<T: Clone> RecentUpdates<T> {
    /// Adds an update that this gateway found. Drops the oldest one where there are too many.
    pub(super) fn add(&mut self, update: T, now: Instant) {
        if self.found.len() >= MAX_UPDATES {
            self.found.pop_front();
        }
        self.found.push_back((update, now));
    }

    /// Returns the updates to send now, and drops the expired ones.
    pub(super) fn current(&mut self, now: Instant) -> Vec<T> {
        self.found.retain(|(_, found)| now - *found < REPEAT_FOR);
        self.found.iter().map(|(update, _)| update.clone()).collect()
    }
}
