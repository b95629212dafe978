//! Measured transit to a peer: half of the round trips of acknowledged frames, so that no two
//! clocks are compared.

use crate::connection::frame::AckNumber;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

/// Weight of a new sample is one over this.
const SMOOTHING: u32 = 4;
/// The least time between two frames that want an acknowledgement.
const SPACING: Duration = Duration::from_millis(10);
/// Larger frames measure the width of the link more than its length; they want none.
const MAX_BYTES: usize = 16 << 10;
/// An unanswered frame this old gives way to another.
const GIVE_UP: Duration = Duration::from_secs(2);

/// Measured transit to one peer.
#[derive(Debug, Default)]
pub(crate) struct Transit {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    number: AckNumber,
    waiting: Option<Instant>,
    /// Since when no acknowledgement has come of those that were asked for.
    unanswered: Option<Instant>,
    last: Option<Instant>,
    smoothed: Option<Duration>,
}

impl Transit {
    /// The acknowledgement that a frame of `bytes` bytes, sent at `now`, is to ask for; 0 for none.
    pub fn ask(&self, bytes: usize, now: Instant) -> AckNumber {
        let mut state = self.state.lock().unwrap();
        let since = |at: Option<Instant>| at.map_or(Duration::MAX, |at| now - at);
        let busy = state.waiting.is_some() && since(state.waiting) < GIVE_UP;
        if bytes > MAX_BYTES || busy || since(state.last) < SPACING {
            return 0;
        }
        state.number = state.number.wrapping_add(1).max(1);
        state.waiting = Some(now);
        state.unanswered.get_or_insert(now);
        state.last = Some(now);
        state.number
    }

    /// An acknowledgement came. One for an earlier frame measures nothing.
    pub fn acknowledged(&self, number: AckNumber, now: Instant) {
        let mut state = self.state.lock().unwrap();
        state.unanswered = None;
        if number != state.number {
            return;
        }
        let Some(asked) = state.waiting.take() else { return };
        let sample = (now - asked) / 2;
        state.smoothed = Some(match state.smoothed {
            Some(old) => old - old / SMOOTHING + sample / SMOOTHING,
            None => sample,
        });
    }

    /// The connection closed: nothing more will be acknowledged on it.
    pub fn reset(&self) {
        let mut state = self.state.lock().unwrap();
        state.waiting = None;
        state.unanswered = None;
    }

    /// For how long no acknowledgement has come though some were asked for.
    pub fn unanswered_for(&self, now: Instant) -> Duration {
        let unanswered = self.state.lock().unwrap().unanswered;
        unanswered.map_or(Duration::ZERO, |since| now - since)
    }

    /// The transit as of `now`: no less than half the age of a frame that is still unanswered.
    pub fn estimate(&self, now: Instant) -> Option<Duration> {
        let state = self.state.lock().unwrap();
        let pending = state.waiting.map(|asked| (now - asked) / 2);
        match (state.smoothed, pending) {
            (Some(smoothed), Some(pending)) => Some(smoothed.max(pending)),
            (smoothed, _) => smoothed,
        }
    }
}

/// Measured transits to all peers.
#[derive(Debug, Default)]
pub(crate) struct Transits {
    peers: RwLock<HashMap<SocketAddr, Arc<Transit>>>,
}

impl Transits {
    /// The transit to a peer, measured from now on.
    pub fn of(&self, peer: SocketAddr) -> Arc<Transit> {
        if let Some(found) = self.peers.read().unwrap().get(&peer) {
            return found.clone();
        }
        self.peers.write().unwrap().entry(peer).or_default().clone()
    }

    /// Forgets a peer.
    pub fn forget(&self, peer: SocketAddr) {
        self.peers.write().unwrap().remove(&peer);
    }

    /// All transits as of now, without peers that have none yet.
    pub fn estimates(&self) -> Vec<(SocketAddr, Duration)> {
        let now = Instant::now();
        let peers = self.peers.read().unwrap();
        peers.iter().filter_map(|(peer, transit)| Some((*peer, transit.estimate(now)?))).collect()
    }
}
