//! Decides whether a peer's silence is evidence that it failed.

use std::time::Duration;

/// How much of the time for an answer may be lost in this process with the silence still counting as evidence:
/// timers are a few ms late when idle.
const TRUSTED_LOSS: Duration = Duration::from_millis(40);

/// Unanswered requests to one peer. Only the time that the peer had counts: a request may wait in this process
/// while that is paused or busy.
#[derive(Clone, Copy, Debug)]
pub struct PeerSilence {
    /// Time that the peer has for an answer.
    limit: Duration,
    /// Time that the peer had so far.
    peer_time: Duration,
}

impl PeerSilence {
    /// Creates a record without any request. Each request is abandoned after `limit`.
    pub fn new(limit: Duration) -> PeerSilence {
        PeerSilence { limit, peer_time: Duration::ZERO }
    }

    /// Records a request that was abandoned after `took`. The peer had it for `peer_time`, and no answer could be read
    /// at the end. A request that ended late as a whole counts half, as this process hardly ran.
    pub fn on_no_answer(&mut self, took: Duration, peer_time: Duration) {
        let peer_time = peer_time.min(self.limit);
        let is_late = took > self.limit + TRUSTED_LOSS;
        self.peer_time += if is_late { peer_time / 2 } else { peer_time };
    }

    /// Returns whether the silence is evidence against the peer.
    pub fn is_evidence(&self) -> bool {
        self.peer_time + TRUSTED_LOSS >= self.limit
    }
}
