//! What a process asks the store next, and how long it waits for it.

use super::times::PATIENCE;
use crate::process::store_watch::WatchTimes;
use std::time::Duration;

/// The most time for an answer, beyond a watch's wait: it grows with each call that brings none, as a store may be slow.
const PATIENCE_MOST: Duration = Duration::from_millis(1_500);
/// The first wait after a failed call; it doubles with each.
const RETRY_FIRST: Duration = Duration::from_millis(150);
/// The longest such wait of the first few processes: so soon one of them hears that the store is back.
const RETRY_MOST_OF_FIRST: Duration = Duration::from_millis(250);
/// The same of all others, which learn it from those: a store that is down is asked by each of them once a second.
const RETRY_MOST: Duration = Duration::from_millis(1_000);
/// How many the first few are: one may be cut off from the store.
const FIRST_FEW: Rank = 2;
/// How much longer each process leaves it to those before it to ask.
const AGE_PER_RANK: Duration = Duration::from_millis(100);
/// The most of that.
const AGE_BY_RANK_MOST: Duration = Duration::from_millis(1_000);
/// How long an answer that one process has takes until all others have heard of it: a message is lost now and then.
const TELL_TIME: Duration = Duration::from_millis(300);

/// How many of the processes that watch the same and hear each other come before one, in an order that all agree on.
pub type Rank = u32;

/// What a process asks the store next, for one kind of objects.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    times: WatchTimes,
    /// The last call brought no answer, or none was made yet: whether something changed is not known.
    is_in_doubt: bool,
    /// Calls without an answer in a row.
    failures: u32,
}

impl WatchSchedule {
    /// A process that has asked nothing yet.
    pub fn new(times: WatchTimes) -> WatchSchedule {
        WatchSchedule { times, is_in_doubt: true, failures: 0 }
    }

    /// Puts other times in force, from the next call on.
    pub fn set_times(&mut self, times: WatchTimes) {
        self.times = times;
    }

    /// How long the store is to hold the next watch. Zero is a check: it is answered at once.
    pub fn wait(&self, rank: Rank) -> Duration {
        match rank {
            _ if self.is_in_doubt => Duration::ZERO,
            0 => self.times.interval,
            _ => self.times.longest_wait,
        }
    }

    /// Time for the next answer, beyond the wait.
    pub fn patience(&self) -> Duration {
        (PATIENCE * (self.failures + 1)).min(PATIENCE_MOST)
    }

    /// The time before the next call after one that failed. The first few hurry only while nobody tells them what the
    /// store has: `age` is how old the knowledge of all processes together is.
    pub fn retry_in(&self, rank: Rank, age: Option<Duration>) -> Duration {
        let is_told = age.is_some_and(|age| age <= self.oldest(rank));
        let hurries = rank < FIRST_FEW && !is_told;
        let most = if hurries { RETRY_MOST_OF_FIRST } else { RETRY_MOST };
        let doublings = self.failures.saturating_sub(1).min(8);
        RETRY_FIRST.saturating_mul(1 << doublings).min(most)
    }

    /// The age that the knowledge of all processes together may reach before this one asks by itself.
    pub fn oldest(&self, rank: Rank) -> Duration {
        let by_rank = (AGE_PER_RANK * rank).min(AGE_BY_RANK_MOST);
        self.times.interval + PATIENCE + TELL_TIME + by_rank
    }

    /// A call was answered.
    pub fn on_answer(&mut self) {
        self.is_in_doubt = false;
        self.failures = 0;
    }

    /// A call failed, or was not answered in time.
    pub fn on_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.is_in_doubt = true;
    }

    /// Something else tells that the store or a connection may be silent, or the knowledge is too old: the call under
    /// way is not to be relied on.
    pub fn on_doubt(&mut self) {
        self.is_in_doubt = true;
    }
}
