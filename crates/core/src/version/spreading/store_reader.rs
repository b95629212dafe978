//! Schedules the calls of a daemon to the store.

use crate::id::Revision;
use crate::process::store_watch::{Rank, WatchSchedule};
use crate::version::{PageId, SpreadSettings};
use std::time::{Duration, Instant};

/// A call to the store; its result has to be passed to the [`Spread`](super::Spread) that requested it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// List all pages.
    List,
    /// Wait for pages that change.
    Watch {
        /// The revision after which changes are returned.
        after: Revision,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
    /// Read a page.
    Get(PageId),
}

/// The pages in the answer to a list or a watch; a version of 0 marks a deleted page.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageListing {
    /// The revision of the store at which the answer was made.
    pub revision: Revision,
    /// The pages, with their versions.
    pub pages: Vec<(PageId, Revision)>,
}

/// Schedules calls to the store: limits the rate of reads and of watches, and backs off after failures.
#[derive(Clone, Debug)]
pub(crate) struct StoreReader {
    /// Earliest time of the next call.
    due: Instant,
    /// Earliest time of the next watch.
    watch_due: Instant,
    /// Wait of the next watch, and time limit of each answer.
    schedule: WatchSchedule,
    failures: u32,
    /// Tokens of the rate limit on reads; a read takes one.
    tokens: f64,
    refilled: Instant,
    /// Whether the next call lists all pages: at the start, after a refused watch, or if a page was older than listed.
    list_next: bool,
    /// The last page read. Reads go on after it, so that a page that can't be read doesn't block the others.
    cursor: Option<PageId>,
}

impl StoreReader {
    pub(crate) fn new(now: Instant, settings: &SpreadSettings) -> StoreReader {
        StoreReader {
            due: now,
            watch_due: now,
            schedule: WatchSchedule::new(settings.watch),
            failures: 0,
            tokens: settings.read_burst.into(),
            refilled: now,
            list_next: true,
            cursor: None,
        }
    }

    /// Returns the next call, or the time at which to call this again. `needs` are the pages that the store listed and
    /// that aren't in force yet; `rank` is that of this daemon among the watchers of its data centre.
    pub(crate) fn next(
        &mut self,
        settings: &SpreadSettings,
        now: Instant,
        rank: Rank,
        applied: Revision,
        needs: &[PageId],
    ) -> Result<StoreCall, Instant> {
        if now < self.due {
            return Err(self.due);
        }
        if self.list_next {
            return Ok(StoreCall::List);
        }
        if let Some(page) = self.next_page(needs) {
            self.take_token(settings, now)?;
            self.cursor = Some(page);
            return Ok(StoreCall::Get(page));
        }
        if now < self.watch_due {
            return Err(self.watch_due);
        }
        self.watch_due = now + settings.watch_gap;
        Ok(StoreCall::Watch { after: applied, wait: self.schedule.wait(rank) })
    }

    /// Returns the time limit for the answer to the next call, in addition to the wait of a watch.
    pub(crate) fn answer_timeout(&self) -> Duration {
        self.schedule.answer_timeout()
    }

    /// Records that a call was answered.
    pub(crate) fn answered(&mut self) {
        self.schedule.on_answer();
    }

    /// Records that a list was answered.
    pub(crate) fn on_list_answered(&mut self) {
        self.list_next = false;
    }

    /// Makes the next call a list, after a watch was refused or a page turned out to be older than listed or deleted.
    pub(crate) fn require_list(&mut self) {
        self.list_next = true;
    }

    /// Resets the count of failures, after a page or all listed pages could be read.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Delays the next call after one failed or was answered from a stale copy; `jitter`, from 0 to below 1, spreads
    /// the retries.
    pub(crate) fn failed(
        &mut self,
        settings: &SpreadSettings,
        now: Instant,
        retry_after: Option<Duration>,
        jitter: f64,
    ) {
        let wait = settings.retry.saturating_mul(1 << self.failures.min(8)).min(settings.max_retry);
        let wait = wait.mul_f64(0.5 + jitter / 2.0);
        self.schedule.on_failure();
        self.failures += 1;
        self.due = now + wait.max(retry_after.unwrap_or_default().min(settings.max_retry));
    }

    fn next_page(&self, needs: &[PageId]) -> Option<PageId> {
        let after = needs.iter().find(|page| Some(**page) > self.cursor);
        after.or(needs.first()).copied()
    }

    fn take_token(&mut self, settings: &SpreadSettings, now: Instant) -> Result<(), Instant> {
        let per_s = f64::from(settings.reads_per_s);
        let gained = now.duration_since(self.refilled).as_secs_f64() * per_s;
        self.tokens = (self.tokens + gained).min(settings.read_burst.into());
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(now + Duration::from_secs_f64((1.0 - self.tokens) / per_s))
    }
}
