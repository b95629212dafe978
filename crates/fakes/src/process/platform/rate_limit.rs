//! A limit of calls a second.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Instant;

/// Lets through `rate` calls a second on the long run, and at most as many at once.
#[derive(Debug)]
pub(crate) struct RateLimit {
    per_s: AtomicU32,
    bucket: Mutex<(f64, Instant)>,
}

impl RateLimit {
    pub(crate) fn new(per_s: u32) -> RateLimit {
        RateLimit {
            per_s: AtomicU32::new(per_s),
            bucket: Mutex::new((per_s.into(), Instant::now())),
        }
    }

    /// Changes the rate; the new one begins with a full bucket. 0 lets everything through.
    pub(crate) fn set(&self, per_s: u32) {
        self.per_s.store(per_s, Ordering::Release);
        *self.bucket.lock().expect("no panic holds this lock") = (per_s.into(), Instant::now());
    }

    pub(crate) fn take(&self) -> bool {
        let per_s = f64::from(self.per_s.load(Ordering::Acquire));
        if per_s == 0.0 {
            return true;
        }
        let now = Instant::now();
        let mut bucket = self.bucket.lock().expect("no panic holds this lock");
        let filled = bucket.0 + per_s * now.duration_since(bucket.1).as_secs_f64();
        let level = filled.min(per_s);
        let taken = level >= 1.0;
        *bucket = (if taken { level - 1.0 } else { level }, now);
        taken
    }
}
