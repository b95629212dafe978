//! Measures the lag of the event loop.

use crate::process::Gateway;
use spdlog::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// Interval of measurements: that of the path checks, so that most wake-ups coincide. Shorter pauses may be missed.
const MEASURE_INTERVAL: Duration = Duration::from_millis(15);
/// Minimum length of pauses that are logged.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(100);
/// Time window of the longest lag on the metrics page.
const LONGEST_LAG_WINDOW: Duration = Duration::from_secs(60);

/// Measures the lag of the event loop, indefinitely.
pub(crate) async fn measure_lag(gateway: Rc<Gateway>) {
    loop {
        let now = Instant::now();
        let due = now + MEASURE_INTERVAL;
        gateway.pauses.borrow_mut().on_timer_set(now.into_std(), due.into_std());
        sleep_until(due).await;
        let lag = gateway.pauses.borrow_mut().on_timer_fired(Instant::now().into_std());
        gateway.counters.loop_lag.record(lag);
        if lag >= MIN_LOGGED_PAUSE {
            warn!("event loop paused", kv: { pause_ms = lag.as_millis() as u64 });
        }
    }
}

impl Gateway {
    /// Returns for how long the event loop may have been paused in total since `from`.
    pub(crate) fn paused_since(&self, from: Instant) -> Duration {
        self.pauses.borrow().total_since(from.into_std(), Instant::now().into_std())
    }

    /// Returns the longest lag of the event loop in the last minute.
    pub(crate) fn recent_longest_pause(&self) -> Duration {
        let now = Instant::now();
        let from = now.checked_sub(LONGEST_LAG_WINDOW).unwrap_or(self.began);
        self.pauses.borrow().longest_lag_since(from.into_std(), now.into_std())
    }
}
