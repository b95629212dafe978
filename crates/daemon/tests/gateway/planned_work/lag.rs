//! How late the test's own threads are: a busy machine makes callers and stand-ins late, too.

use sorrellock_stand_ins::FakeEngine;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};

/// How often a runtime's lag is measured.
const PROBE_INTERVAL: Duration = Duration::from_millis(5);
/// How often engines are asked for theirs.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// From here on an engine counts as late.
const LATE: Duration = Duration::from_millis(20);

/// Wall-clock time in Unix ms, as log lines have it.
pub fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(now.expect("it is after 1970").as_millis())
        .expect("it is before the year 584 million")
}

/// How late the timers of a runtime were.
#[derive(Clone, Debug, Default)]
pub struct Lag {
    late: Vec<Duration>,
}

impl Lag {
    /// Measures the runtime that it runs on until `is_over`.
    pub async fn measure(is_over: impl Fn() -> bool) -> Lag {
        let mut lag = Lag::default();
        while !is_over() {
            let due = Instant::now() + PROBE_INTERVAL;
            sleep(PROBE_INTERVAL).await;
            lag.late.push(due.elapsed());
        }
        lag
    }

    pub fn extend(&mut self, other: Lag) {
        self.late.extend(other.late);
    }

    /// The lag that so large a share of timers stayed below.
    pub fn quantile(&mut self, share: f64) -> Duration {
        self.late.sort_unstable();
        let last = self.late.len().saturating_sub(1);
        let index = (last as f64 * share).round() as usize;
        self.late.get(index).copied().unwrap_or_default()
    }
}

/// An engine's event that came late, as the engine's own thread was.
#[derive(Clone, Debug)]
pub struct LateEngine {
    pub at_ms: u64,
    pub engine: String,
    pub late: Duration,
}

/// Engines whose lag is followed.
#[derive(Clone, Default)]
pub struct EngineLag {
    engines: Arc<Mutex<Vec<FakeEngine>>>,
    late: Arc<Mutex<Vec<LateEngine>>>,
}

impl EngineLag {
    pub fn add(&self, engine: FakeEngine) {
        self.engines.lock().expect("no panic holds this lock").push(engine);
    }

    /// Looks at all engines until `is_over`.
    pub async fn follow(self, is_over: impl Fn() -> bool) {
        while !is_over() {
            sleep(LOOK_INTERVAL).await;
            let at_ms = now_ms();
            for engine in self.engines.lock().expect("no panic holds this lock").iter() {
                let late = engine.take_most_late();
                if late >= LATE {
                    let engine = engine.id().to_owned();
                    let late = LateEngine { at_ms, engine, late };
                    self.late.lock().expect("no panic holds this lock").push(late);
                }
            }
        }
    }

    /// The times at which engines were late.
    pub fn late(&self) -> Vec<LateEngine> {
        self.late.lock().expect("no panic holds this lock").clone()
    }
}
