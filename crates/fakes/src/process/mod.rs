//! What lives as long as a stand-in.

mod engine;
mod latch;
mod platform;
mod scheduler;
mod service;

pub use engine::*;
pub(crate) use latch::*;
pub use platform::*;
pub(crate) use scheduler::*;
pub use service::*;

use std::sync::atomic::{AtomicU64, Ordering};

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Takes one off `left`, unless it is 0.
pub(crate) fn take_one(left: &AtomicU64) -> bool {
    left.fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1)).is_ok()
}
