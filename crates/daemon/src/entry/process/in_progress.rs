//! How much is in progress at this entry, and whether it takes more.

use crossbeam::channel::{Receiver, Sender, bounded};
use sorrellock_core::id::{Incarnation, Sequence};
use sorrellock_core::process::admission::Ended;
use sorrellock_core::request::{NotRun, Refusal, RequestKey};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// When to come back to a fleet one of whose entries leaves: another takes over at once.
const RETRY_AFTER_LEAVING: Duration = Duration::from_secs(1);

/// A started request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finished {
    /// The request.
    pub sequence: Sequence,
    /// How.
    pub ended: Ended,
}

/// How much is in progress at this entry, and whether it takes more.
pub struct InProgress {
    incarnation: Incarnation,
    sequence: AtomicU64,
    count: AtomicUsize,
    most: usize,
    leaving: AtomicBool,
    draining: AtomicBool,
    finished: Sender<Finished>,
}

impl InProgress {
    /// Nothing in progress, and `most` at a time; started requests that end come out at the
    /// receiver, and count as in progress until they are taken there.
    pub fn new(incarnation: Incarnation, most: usize) -> (InProgress, Receiver<Finished>) {
        let (tx, rx) = bounded(most);
        let in_progress = InProgress {
            incarnation,
            sequence: AtomicU64::new(0),
            count: AtomicUsize::new(0),
            most,
            leaving: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            finished: tx,
        };
        (in_progress, rx)
    }

    /// Admits a request, which must [`leave`](InProgress::leave) once it was started and ended, or have
    /// [`left`](InProgress::left) if it never started.
    pub fn admit(&self) -> Result<RequestKey, NotRun> {
        // Counted before the flag is read, as `drain` sets the flag before it reads the count: one of the two
        // sees the other, and no request begins at an entry that has found none in progress.
        let before = self.count.fetch_add(1, Ordering::SeqCst);
        if self.is_draining() {
            self.left();
            let refused =
                NotRun::never_sent(Refusal::Leaving, "this entry is leaving; send it again");
            return Err(refused.with_retry_after(RETRY_AFTER_LEAVING));
        }
        if before >= self.most {
            self.left();
            let detail = format!("{before} requests are in progress at this entry, its most");
            return Err(NotRun::never_sent(Refusal::Capacity, detail));
        }
        let sequence: Sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        Ok(RequestKey { entry: self.incarnation, sequence })
    }

    /// A started request has ended. Never blocks: there are no more of these than in progress.
    pub fn leave(&self, sequence: Sequence, ended: Ended) {
        let _ = self.finished.send(Finished { sequence, ended });
    }

    /// An admitted request is no longer in progress.
    pub fn left(&self) {
        self.count.fetch_sub(1, Ordering::AcqRel);
    }

    /// How many are in progress.
    pub fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Is no longer ready, so that the balancer sends no more; still takes what comes.
    pub fn announce(&self) {
        self.leaving.store(true, Ordering::Release);
    }

    /// Whether this entry is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Takes no more.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::SeqCst);
    }

    /// Whether no more are taken.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }
}
