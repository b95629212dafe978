//! Measures how late the event loop runs.

use crate::process::Gateway;
use spdlog::warn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How often the lag is measured: as often as paths are watched, so that the wake-ups mostly coincide. A
/// shorter pause may go unseen.
const MEASURE_INTERVAL: Duration = Duration::from_millis(15);
/// A pause of this length is logged as it ends.
const LOGGED_PAUSE: Duration = Duration::from_millis(100);
/// The metrics page shows the longest lag of this time.
const RECENT: Duration = Duration::from_secs(60);

/// Measures the lag of the event loop, for ever.
pub(crate) async fn measure_lag(gateway: Rc<Gateway>) {
    loop {
        let now = Instant::now();
        let due = now + MEASURE_INTERVAL;
        gateway.pauses.borrow_mut().on_timer_set(now.into_std(), due.into_std());
        sleep_until(due).await;
        let lag = gateway.pauses.borrow_mut().on_timer_fired(Instant::now().into_std());
        gateway.counters.loop_lag.record(lag);
        if lag >= LOGGED_PAUSE {
            warn!("event loop paused", kv: { pause_ms = lag.as_millis() as u64 });
        }
    }
}

impl Gateway {
    /// For how long the event loop may have been paused since `from`.
    pub(crate) fn paused_since(&self, from: Instant) -> Duration {
        self.pauses.borrow().total_since(from.into_std(), Instant::now().into_std())
    }

    /// The longest lag of the event loop of late.
    pub(crate) fn recent_longest_pause(&self) -> Duration {
        let now = Instant::now();
        let from = now.checked_sub(RECENT).unwrap_or(self.began);
        self.pauses.borrow().longest_lag_since(from.into_std(), now.into_std())
    }
}
