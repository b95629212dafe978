//! News that this gateway found, and tells the others for a while.

use std::collections::VecDeque;
use std::time::Duration;
use tokio::time::Instant;

/// For how long a piece of news is told: fifty messages, of which some are lost.
const TOLD_FOR: Duration = Duration::from_secs(5);
/// The most pieces told at once, some 40 B each: the last ones of a data centre whose engines all do the same.
const MAX_TOLD: usize = 64;

/// The last pieces of news, each with the time at which it was found. What others found is theirs to pass on, so that it
/// ends.
pub(super) struct RecentNews<T> {
    found: VecDeque<(T, Instant)>,
}

impl<T> Default for RecentNews<T> {
    fn default() -> RecentNews<T> {
        RecentNews { found: VecDeque::new() }
    }
}

impl<T: Clone> RecentNews<T> {
    /// This gateway found something.
    pub(super) fn note(&mut self, news: T, now: Instant) {
        if self.found.len() >= MAX_TOLD {
            self.found.pop_front();
        }
        self.found.push_back((news, now));
    }

    /// What is told now.
    pub(super) fn current(&mut self, now: Instant) -> Vec<T> {
        self.found.retain(|(_, found)| now - *found < TOLD_FOR);
        self.found.iter().map(|(news, _)| news.clone()).collect()
    }
}
