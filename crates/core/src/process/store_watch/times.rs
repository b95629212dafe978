//! The times of a schedule.

use super::Rank;
use std::time::Duration;

/// Shares of the time within which a change is to be in force. What is left is for the answer that does not come (up to
/// [`PATIENCE`]), one check, and the way to the other processes.
const INTERVAL_SHARE: u32 = 2;
/// The shortest interval, whatever is asked for: two answers a second and kind of objects are paid for easily.
const INTERVAL_LEAST: Duration = Duration::from_millis(500);
/// The longest that the store holds a watch: each call that waits is paid for, so that short ones cost more.
const LONGEST_WAIT: Duration = Duration::from_secs(8);
/// Time for an answer, beyond what the store holds a watch: a hundred round trips in a region, twice what a store takes that
/// is sixty times slower than usual.
pub(super) const PATIENCE: Duration = Duration::from_millis(500);

/// Within this time of a new era of the store all processes list anew, one after the other: at once they would use up what the store
/// answers in a second, with two kinds and some thousand objects each.
const LIST_SPREAD: Duration = Duration::from_secs(1);

/// How long a process of a rank, of so many that hear each other, leaves it to those before it to list anew in a new era of the
/// store.
pub fn list_turn(rank: Rank, count: u32) -> Duration {
    LIST_SPREAD * rank / count.max(1)
}

/// The times of a schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchTimes {
    /// The longest time without an answer to the first of the processes that hear each other, while the store answers.
    pub interval: Duration,
    /// The longest that the store holds a watch.
    pub longest_wait: Duration,
}

impl WatchTimes {
    /// The times for changes that are to be in force `within` after they were acknowledged.
    pub fn new(within: Duration) -> WatchTimes {
        let interval = (within / INTERVAL_SHARE).max(INTERVAL_LEAST);
        WatchTimes { interval, longest_wait: LONGEST_WAIT }
    }

    /// Lets the store hold a watch for longer.
    pub fn with_longest_wait(self, longest_wait: Duration) -> WatchTimes {
        WatchTimes { longest_wait, ..self }
    }
}
