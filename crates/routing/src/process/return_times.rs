//! Times at which callers that a gateway refuses by itself may return.

use std::time::{Duration, Instant};

/// Shortest time: a caller that returns sooner finds the same streams still running.
const MIN_DELAY: Duration = Duration::from_millis(100);
/// Time between two returns while the usual duration of a stream isn't known.
const DEFAULT_INTERVAL: Duration = Duration::from_millis(50);

/// What a return time follows from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnForecast {
    /// Time until capacity exists at all.
    pub opens_in: Duration,
    /// Usual duration of a stream; zero if it isn't known.
    pub usual: Duration,
    /// Number of streams that run, or will once there is capacity.
    pub streams: u32,
    /// Number of gateways whose callers compete for what the streams free.
    pub gateways: usize,
}

impl ReturnForecast {
    /// Returns the time between two streams that this gateway may begin.
    fn interval(&self) -> Duration {
        if self.usual.is_zero() || self.streams == 0 {
            return DEFAULT_INTERVAL;
        }
        self.usual.mul_f64(self.gateways.max(1) as f64 / f64::from(self.streams))
    }
}

/// Spreads the callers that were refused over the capacity that becomes free.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnTimes {
    last: Option<Instant>,
}

impl ReturnTimes {
    /// Returns the time after which the next refused caller may return, at most `max`.
    pub fn next(&mut self, forecast: &ReturnForecast, max: Duration, now: Instant) -> Duration {
        let from = (now + forecast.opens_in).max(self.last.unwrap_or(now));
        // Beyond `max` the callers can't be told apart any more.
        let at = (from + forecast.interval()).min(now + max);
        self.last = Some(at);
        at.saturating_duration_since(now).max(MIN_DELAY)
    }
}
