//! What can be changed in a running stand-in engine.

use crate::process::take_one;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// How a batch fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFailure {
    /// It is refused, and does not run.
    Refuse,
    /// The connection is cut, and it does not run.
    CutBefore,
    /// It runs, and the connection is cut in place of the answer.
    CutAfter,
}

/// What can be changed in a running stand-in engine.
#[derive(Debug)]
pub(crate) struct EngineKnobs {
    refuse: AtomicU64,
    cut_before: AtomicU64,
    cut_after: AtomicU64,
    slow: AtomicU64,
}

impl EngineKnobs {
    pub(crate) fn new() -> EngineKnobs {
        EngineKnobs {
            refuse: AtomicU64::new(0),
            cut_before: AtomicU64::new(0),
            cut_after: AtomicU64::new(0),
            slow: AtomicU64::new(1f64.to_bits()),
        }
    }

    pub(crate) fn fail_next(&self, failure: EngineFailure, batches: u64) {
        self.left(failure).store(batches, Ordering::Release);
    }

    /// Whether the present batch is to fail that way.
    pub(crate) fn fails(&self, failure: EngineFailure) -> bool {
        take_one(self.left(failure))
    }

    pub(crate) fn set_slow(&self, factor: f64) {
        self.slow.store(factor.to_bits(), Ordering::Release);
    }

    pub(crate) fn slowed(&self, time: Duration) -> Duration {
        time.mul_f64(f64::from_bits(self.slow.load(Ordering::Acquire)))
    }

    fn left(&self, failure: EngineFailure) -> &AtomicU64 {
        match failure {
            EngineFailure::Refuse => &self.refuse,
            EngineFailure::CutBefore => &self.cut_before,
            EngineFailure::CutAfter => &self.cut_after,
        }
    }
}
