//! The next call of a process to the store, and its timeouts.

use super::times::ANSWER_TIMEOUT;
use crate::process::store_watch::WatchTimes;
use std::time::Duration;

/// Maximum time for an answer, in addition to the wait of a watch. The time grows with each unanswered call, as a store may be
/// slow.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay after the first failed call; it doubles with each further one.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum delay of the first few processes: within this time one of them detects that the store is back.
const MAX_RETRY_DELAY_OF_FIRST: Duration = Duration::from_millis(250);
/// Maximum delay of all other processes, which learn it from the first few: each calls a store that is down once per second.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Number of the first few processes; two, as one may be cut off from the store.
const FIRST_RANKS: Rank = 2;
/// Age per rank that a process tolerates in addition, so that those before it call first.
const AGE_PER_RANK: Duration = Duration::from_millis(100);
/// Maximum of that additional age.
const MAX_AGE_BY_RANK: Duration = Duration::from_millis(1_000);
/// Time until an answer to one process is known to all others, including the loss of single messages.
const PROPAGATION_TIME: Duration = Duration::from_millis(300);

/// Number of processes before one in an order that all agree on, among those that watch the same objects and are in contact.
pub type Rank = u32;

/// Decides the next call to the store for one kind of objects.
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    times: WatchTimes,
    /// The last call was not answered, or none was made yet: it is unknown whether something changed.
    needs_check: bool,
    /// Number of consecutive calls without an answer.
    failures: u32,
}

impl WatchSchedule {
    /// Creates the schedule of a process that has made no call yet.
    pub fn new(times: WatchTimes) -> WatchSchedule {
        WatchSchedule { times, needs_check: true, failures: 0 }
    }

    /// Changes the times, effective from the next call on.
    pub fn set_times(&mut self, times: WatchTimes) {
        self.times = times;
    }

    /// Returns how long the store is to hold the next watch. Zero is a check: it is answered at once.
    pub fn wait(&self, rank: Rank) -> Duration {
        match rank {
            _ if self.needs_check => Duration::ZERO,
            0 => self.times.interval,
            _ => self.times.longest_wait,
        }
    }

    /// Returns the time limit for the next answer, in addition to the wait.
    pub fn answer_timeout(&self) -> Duration {
        (ANSWER_TIMEOUT * (self.failures + 1)).min(MAX_ANSWER_TIMEOUT)
    }

    /// Returns the delay between a failed call and the next one. The first few processes retry fast only while no other
    /// process supplies recent data: `age` is the age of the most recent data of all processes.
    pub fn retry_in(&self, rank: Rank, age: Option<Duration>) -> Duration {
        let is_informed = age.is_some_and(|age| age <= self.max_age(rank));
        let retries_fast = rank < FIRST_RANKS && !is_informed;
        let max_delay = if retries_fast { MAX_RETRY_DELAY_OF_FIRST } else { MAX_RETRY_DELAY };
        let doublings = self.failures.saturating_sub(1).min(8);
        FIRST_RETRY_DELAY.saturating_mul(1 << doublings).min(max_delay)
    }

    /// Returns the age that the most recent data of all processes may reach before this one calls the store itself.
    pub fn max_age(&self, rank: Rank) -> Duration {
        let by_rank = (AGE_PER_RANK * rank).min(MAX_AGE_BY_RANK);
        self.times.interval + ANSWER_TIMEOUT + PROPAGATION_TIME + by_rank
    }

    /// Handles an answered call.
    pub fn on_answer(&mut self) {
        self.needs_check = false;
        self.failures = 0;
    }

    /// Handles a call that failed or was not answered in time.
    pub fn on_failure(&mut self) {
        self.failures = self.failures.saturating_add(1);
        self.needs_check = true;
    }

    /// Handles other evidence that the store or a connection may be silent, or data that is too old: the pending call is
    /// no longer relied on.
    pub fn on_suspicion(&mut self) {
        self.needs_check = true;
    }
}
