//! Whether a peer's silence is evidence that it failed.

use std::time::Duration;

/// How much of the time for an answer may be lost to this process, which still trusts the silence: timers
/// are a few ms late at rest.
const TRUSTED_LOSS: Duration = Duration::from_millis(40);

/// Questions to one peer that all brought no answer. What counts is the time that the peer had: a question
/// may wait in this process while that is paused or busy.
#[derive(Clone, Copy, Debug)]
pub struct PeerSilence {
    /// The time that the peer has for an answer.
    limit: Duration,
    /// The time that it had.
    had: Duration,
}

impl PeerSilence {
    /// No question was asked yet. Each is given up after `limit`.
    pub fn new(limit: Duration) -> PeerSilence {
        PeerSilence { limit, had: Duration::ZERO }
    }

    /// One more question was given up after `took`. The peer had it for `had`, and no answer could be read at
    /// the end. One that ended late as a whole counts half, as this process hardly ran.
    pub fn on_no_answer(&mut self, took: Duration, had: Duration) {
        let had = had.min(self.limit);
        let is_late = took > self.limit + TRUSTED_LOSS;
        self.had += if is_late { had / 2 } else { had };
    }

    /// Whether the silence is evidence against the peer.
    pub fn is_evidence(&self) -> bool {
        self.had + TRUSTED_LOSS >= self.limit
    }
}
