//! Decides what a stream does if its run is over or suspect and no other one has begun.

use std::time::{Duration, Instant};

/// Delay before another try if no path had capacity: layers may be loaded, or a stream may end.
const CAPACITY_RETRY: Duration = Duration::from_millis(60);
/// Delay before another try if the retry budget is spent: it is counted over seconds.
const BUDGET_RETRY: Duration = Duration::from_millis(250);

/// Why no other run has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoRun {
    /// No eligible path has capacity.
    NoCapacity,
    /// The retry budget is spent.
    NoBudget,
    /// No retry is allowed, whatever else changes.
    NoRetry,
}

/// What a stream does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailoverStep {
    /// Tries again after this delay.
    Retry(Duration),
    /// Keeps its current run for as long as its caller waits.
    KeepRun,
    /// Ends without its last event.
    Abort,
}

/// Decides what a stream does if no other run has begun by `now`; none begins from `until` on.
///
/// A run that is only suspect is kept: the engine may have paused, or the suspicion may be wrong, and a late
/// event is better for the caller than the end of its answer. Only a stream without a run is aborted.
pub fn after_no_run(has_run: bool, why: NoRun, now: Instant, until: Instant) -> FailoverStep {
    let retry = match why {
        NoRun::NoCapacity => Some(CAPACITY_RETRY),
        // Without a run, the caller resumes the stream elsewhere sooner than the budget recovers.
        NoRun::NoBudget if has_run => Some(BUDGET_RETRY),
        NoRun::NoBudget | NoRun::NoRetry => None,
    };
    match retry {
        Some(wait) if now < until => FailoverStep::Retry(wait),
        _ if has_run => FailoverStep::KeepRun,
        _ => FailoverStep::Abort,
    }
}
