//! Mean batch times of an engine, and the timeout for a stuck batch.

use std::time::Duration;

/// A batch counts as stuck when it takes this many times the expected duration.
const STUCK_FACTOR: u32 = 8;
/// Minimum time before a batch counts as stuck; ordinary scheduling delays of a machine are of this order.
const STUCK_FLOOR: Duration = Duration::from_millis(120);
/// Time after which a batch counts as stuck if none has been measured yet.
const STUCK_UNMEASURED: Duration = Duration::from_secs(5);
/// A new measurement enters the moving mean with weight `1 / MEAN_WEIGHT`.
const MEAN_WEIGHT: u32 = 8;

/// Moving means of an engine's batch time and of its time per token.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTimes {
    batch: Option<Duration>,
    token: Duration,
}

impl StepTimes {
    /// Records the duration of a finished batch.
    pub fn note(&mut self, tokens: usize, took: Duration) {
        let token = took / tokens.max(1) as u32;
        match self.batch {
            None => (self.batch, self.token) = (Some(took), token),
            Some(batch) => {
                self.batch = Some(mean(batch, took));
                self.token = mean(self.token, token);
            }
        }
    }

    /// Returns how long a batch of `tokens` tokens may take before the engine counts as stuck.
    pub fn stuck_after(&self, tokens: usize) -> Duration {
        let Some(batch) = self.batch else { return STUCK_UNMEASURED };
        let expected = batch.max(self.token * tokens as u32);
        (expected * STUCK_FACTOR).max(STUCK_FLOOR)
    }
}

fn mean(before: Duration, new: Duration) -> Duration {
    (before * (MEAN_WEIGHT - 1) + new) / MEAN_WEIGHT
}
