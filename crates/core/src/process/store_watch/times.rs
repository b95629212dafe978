//! The times of a schedule.

use super::Rank;
use std::time::Duration;

/// Divisor of the time within which a change is to be in force. The remaining time is for an answer that does not come (up to
/// [`ANSWER_TIMEOUT`]), one check, and the propagation to the other processes.
const INTERVAL_DIVISOR: u32 = 2;
/// Minimum interval, whatever is requested: two answers per second and kind of objects are cheap enough.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time that the store holds a watch: each call has a cost, so shorter watches cost more.
const LONGEST_WAIT: Duration = Duration::from_secs(8);
/// Time limit for an answer, in addition to the time that the store holds a watch: a hundred round trips in a region, twice
/// the time of a store that is sixty times slower than usual.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after a new era of the store within which all processes list again, one after the other: all at once they would use
/// up the store's capacity of a second, with two kinds and some thousand objects each.
const LIST_SPREAD_TIME: Duration = Duration::from_secs(1);

/// Returns the delay after which a process of a rank lists again in a new era of the store, among `count` processes that are in
/// contact. Of one that isn't in contact with all that go before it, these count as well.
pub fn list_turn(rank: Rank, count: u32) -> Duration {
    LIST_SPREAD_TIME * rank / count.max(rank.saturating_add(1))
}

/// The times of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// Maximum time between answers to the first of the processes that are in contact, while the store answers.
    pub interval: Duration,
    /// Maximum time that the store holds a watch.
    pub longest_wait: Duration,
}

impl WatchTimes {
    /// Returns the times for changes that are to be in force no later than `within` after their acknowledgement.
    pub fn new(within: Duration) -> WatchTimes {
        let interval = (within / INTERVAL_DIVISOR).max(MIN_INTERVAL);
        WatchTimes { interval, longest_wait: LONGEST_WAIT }
    }

    /// Sets the maximum time that the store holds a watch.
    pub fn with_longest_wait(self, longest_wait: Duration) -> WatchTimes {
        WatchTimes { longest_wait, ..self }
    }
}
