//! How long an engine's batches take, and when one takes too long.

use std::time::Duration;

/// A batch counts as stuck when it takes this many times what is expected.
const STUCK_FACTOR: u32 = 8;
/// No batch counts as stuck sooner: the machines' own hiccups are of this order.
const STUCK_FLOOR: Duration = Duration::from_millis(120);
/// Until a batch was measured, none counts as stuck sooner.
const STUCK_UNMEASURED: Duration = Duration::from_secs(5);
/// Weight of a new measurement, one over this.
const WEIGHT: u32 = 8;

/// An engine's own step times: an average batch, and an average token of a batch.
#[derive(Clone, Copy, Debug, Default)]
pub struct StepTimes {
    batch: Option<Duration>,
    token: Duration,
}

impl StepTimes {
    /// Notes a batch that ended.
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

    /// How long a batch of `tokens` tokens may take before the engine counts as stuck.
    pub fn stuck_after(&self, tokens: usize) -> Duration {
        let Some(batch) = self.batch else { return STUCK_UNMEASURED };
        let expected = batch.max(self.token * tokens as u32);
        (expected * STUCK_FACTOR).max(STUCK_FLOOR)
    }
}

fn mean(before: Duration, new: Duration) -> Duration {
    (before * (WEIGHT - 1) + new) / WEIGHT
}
