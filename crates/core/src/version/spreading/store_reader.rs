//! When a daemon asks the store, and what.

use crate::id::Revision;
use crate::process::store_watch::{Rank, WatchSchedule};
use crate::version::{PageId, SpreadSettings};
use std::time::{Duration, Instant};

/// A call to the store, to be answered to the [`Spread`](super::Spread) that asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreCall {
    /// List all pages.
    List,
    /// Wait for pages that change.
    Watch {
        /// Changes after this revision count.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
    /// Read a page.
    Get(PageId),
}

/// The pages that a list or a watch showed; a version of 0 stands for a deleted one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PageListing {
    /// The revision of the store that this shows.
    pub revision: Revision,
    /// The pages, with their versions.
    pub pages: Vec<(PageId, Revision)>,
}

/// Paces the calls to the store: after failures, between watches, and between reads.
#[derive(Clone, Debug)]
pub(crate) struct StoreReader {
    /// No call before this.
    due: Instant,
    /// No watch before this.
    watch_due: Instant,
    /// How long the next watch waits, and how long any answer may take.
    schedule: WatchSchedule,
    failures: u32,
    /// Reads that may go out at once.
    tokens: f64,
    filled: Instant,
    /// Whether a whole list is needed: at the start, and when a watch was refused.
    list_next: bool,
    /// The last page read, so that one that can't be had doesn't hold up the others.
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
            filled: now,
            list_next: true,
            cursor: None,
        }
    }

    /// The next call, or when to ask again. `needs` are the pages that the store showed and that
    /// are not in force yet; `rank` is this daemon's among the watchers of its place.
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

    /// The most time for the answer to the next call, beyond a watch's wait.
    pub(crate) fn answer_timeout(&self) -> Duration {
        self.schedule.answer_timeout()
    }

    /// A call was answered.
    pub(crate) fn answered(&mut self) {
        self.schedule.on_answer();
    }

    /// A list was answered.
    pub(crate) fn listed(&mut self) {
        self.list_next = false;
    }

    /// What was shown is no longer so, or a watch was refused: a whole list is needed.
    pub(crate) fn must_list(&mut self) {
        self.list_next = true;
    }

    /// What was shown could be read: failures are over.
    pub(crate) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// A call failed, or was answered from an old copy; `spread` below 1 spreads the retries.
    pub(crate) fn failed(
        &mut self,
        settings: &SpreadSettings,
        now: Instant,
        retry_after: Option<Duration>,
        spread: f64,
    ) {
        let wait = settings.retry.saturating_mul(1 << self.failures.min(8)).min(settings.max_retry);
        let wait = wait.mul_f64(0.5 + spread / 2.0);
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
        let gained = now.duration_since(self.filled).as_secs_f64() * per_s;
        self.tokens = (self.tokens + gained).min(settings.read_burst.into());
        self.filled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(now + Duration::from_secs_f64((1.0 - self.tokens) / per_s))
    }
}
