//! Counters of a stand-in engine.

use std::sync::atomic::AtomicU64;

/// What a stand-in engine has counted.
#[derive(Debug, Default)]
pub struct EngineCounters {
    /// Calls that came in.
    pub arrived: AtomicU64,
    /// Calls cut off while it was frozen, as too many were held.
    pub cut: AtomicU64,
    /// Batches run.
    pub batches: AtomicU64,
    /// Steps run.
    pub steps: AtomicU64,
    /// Tokens run, prompt included.
    pub tokens: AtomicU64,
    /// Tokens of prompts that the prefix cache saved.
    pub tokens_cached: AtomicU64,
    /// Steps refused.
    pub steps_refused: AtomicU64,
    /// Batches refused, as too many were waiting, too large or malformed.
    pub batches_refused: AtomicU64,
    /// Batches that failed as asked.
    pub failures: AtomicU64,
    /// Sessions freed.
    pub released: AtomicU64,
    /// KV caches taken out.
    pub exports: AtomicU64,
    /// KV caches put in place.
    pub imports: AtomicU64,
    /// Orders taken.
    pub orders: AtomicU64,
    /// Orders refused for their fencing number.
    pub orders_refused: AtomicU64,
    /// Microseconds that the accelerator was at work.
    pub busy_us: AtomicU64,
}
