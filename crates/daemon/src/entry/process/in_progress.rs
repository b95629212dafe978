//! Counts the requests in progress at this entry and decides whether more are admitted.

use crossbeam::channel::{Receiver, Sender, bounded};
use sorrellock_core::id::{Incarnation, Sequence};
use sorrellock_core::process::admission::Ended;
use sorrellock_core::request::{NotRun, Refusal, RequestKey};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Retry delay for callers refused by a leaving entry: another entry takes over at once.
const RETRY_AFTER_LEAVING: Duration = Duration::from_secs(1);

/// Holds the outcome of a started request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// The sequence number of the request.
    pub sequence: Sequence,
    /// How it ended.
    pub ended: Ended,
}

/// Counts the requests in progress at this entry and decides whether more are admitted.
pub struct InProgress {
    incarnation: Incarnation,
    sequence: AtomicU64,
    count: AtomicUsize,
    max_in_progress: usize,
    leaving: AtomicBool,
    draining: AtomicBool,
    finished: Sender<Finished>,
}

impl InProgress {
    /// Creates a counter that admits `max_in_progress` requests at a time. Started requests that end are
    /// sent to the receiver, and count as in progress until the receiver's owner releases them.
    pub fn new(
        incarnation: Incarnation,
        max_in_progress: usize,
    ) -> (InProgress, Receiver<Finished>) {
        let (tx, rx) = bounded(max_in_progress);
        let in_progress = InProgress {
            incarnation,
            sequence: AtomicU64::new(0),
            count: AtomicUsize::new(0),
            max_in_progress,
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            finished: tx,
        };
        (in_progress, rx)
    }

    /// Admits a request. Call [`mark_ended`](InProgress::mark_ended) when a started request ends, or
    /// [`left`](InProgress::left) if it never starts.
    pub fn admit(&self) -> Result<RequestKey, NotRun> {
        // The count is raised before the flag is read, and a drain sets the flag before it reads the count.
        // So one of the two sees the other, and no request starts after a drain has found none in progress.
        let before = self.count.fetch_add(1, Ordering::SeqCst);
        if self.is_draining() {
            self.left();
            let refused =
                NotRun::never_sent(Refusal::Leaving, "this entry is leaving; send it again");
            return Err(refused.with_retry_after(RETRY_AFTER_LEAVING));
        }
        if before >= self.max_in_progress {
            self.left();
            let detail = format!("{before} requests are in progress at this entry, its most");
            return Err(NotRun::never_sent(Refusal::Capacity, detail));
        }
        let sequence: Sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        Ok(RequestKey { entry: self.incarnation, sequence })
    }

    /// Reports the end of a started request. Never blocks: the channel holds as many as can be in progress.
    pub fn mark_ended(&self, sequence: Sequence, ended: Ended) {
        let _ = self.finished.send(Finished { sequence, ended });
    }

    /// Removes an admitted request from the count.
    pub fn left(&self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }

    /// Returns the number of requests in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Marks the entry as leaving, so that `/readyz` fails and the load balancer sends elsewhere; requests
    /// are still admitted.
    pub fn announce_leaving(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Returns whether this entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Refuses new requests from now on.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}
