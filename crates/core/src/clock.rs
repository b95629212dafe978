//! The clock that the state machines read. Tests pause and advance it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A source of monotonic time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the current instant.
    fn now(&self) -> Instant;
}

/// The machine's monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// A paused clock that only advances on request, for tests.
#[derive(Clone, Debug)]
pub struct ManualClock {
    origin: Instant,
    elapsed_us: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a paused clock; clones share the same time.
    pub fn new() -> ManualClock {
        ManualClock { origin: Instant::now(), elapsed_us: Arc::default() }
    }

    /// Advances this clock and its clones, in whole microseconds.
    pub fn advance(&self, by: Duration) {
        self.elapsed_us.fetch_add(by.as_micros() as u64, Ordering::SeqCst);
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        ManualClock::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.origin + Duration::from_micros(self.elapsed_us.load(Ordering::SeqCst))
    }
}
