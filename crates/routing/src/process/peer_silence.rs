//! Whether a peer's silence is evidence that it failed.

use std::time::Duration;

/// How late a process may be at the end of a question's time and still trust the silence: timers are a few
/// ms late at rest.
const TRUSTED_DELAY: Duration = Duration::from_millis(40);
/// How much of the time for an answer this process may be paused and still trust the silence.
const TRUSTED_PAUSE: Duration = Duration::from_millis(30);

/// Questions to one peer that all brought no answer. What counts is the time in which this process could
/// have read one: it can't judge its peers while it is paused itself.
#[derive(Clone, Copy, Debug)]
pub struct PeerSilence {
    /// The time that the peer has for an answer.
    limit: Duration,
    /// The time in which an answer could have been read.
    listened: Duration,
}

impl PeerSilence {
    /// No question was asked yet. Each is given up after `limit`.
    pub fn new(limit: Duration) -> PeerSilence {
        PeerSilence { limit, listened: Duration::ZERO }
    }

    /// One more question was given up after `took`, for `paused` of which this process was paused. One that
    /// ended late as a whole counts for nothing.
    pub fn on_no_answer(&mut self, took: Duration, paused: Duration) {
        if took <= self.limit + TRUSTED_DELAY {
            self.listened += took.saturating_sub(paused);
        }
    }

    /// Whether the silence is evidence against the peer.
    pub fn is_evidence(&self) -> bool {
        self.listened + TRUSTED_PAUSE >= self.limit
    }
}
