//! Decides when a daemon has enough configuration to serve after its start.

use crate::id::{Incarnation, Revision};
use crate::version::SpreadSettings;
use std::collections::BTreeSet;
use std::time::Instant;

/// Number of peers whose applied revision a starting daemon waits for, or all peers if there are fewer.
const MIN_PEERS_SEEN: usize = 2;

/// Decides when a daemon is ready: a complete configuration from the store or a peer is in force, and it isn't behind
/// any peer that reported its revision. A daemon that starts from a stale copy of the store thus doesn't serve
/// configuration that the other daemons have already replaced.
#[derive(Clone, Debug)]
pub(crate) struct Readiness {
    since: Instant,
    peers_seen: BTreeSet<Incarnation>,
    target: Revision,
    /// Whether a complete configuration came into force.
    loaded: bool,
    ready: bool,
}

impl Readiness {
    pub(crate) fn new(now: Instant) -> Readiness {
        Readiness {
            since: now,
            peers_seen: BTreeSet::new(),
            target: 0,
            loaded: false,
            ready: false,
        }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether a complete configuration came into force; it may be older than that of the peers.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    pub(crate) fn since(&self) -> Instant {
        self.since
    }

    pub(crate) fn mark_loaded(&mut self) {
        self.loaded = true;
    }

    /// Records the revision up to which a peer has everything in force.
    pub(crate) fn record_peer(&mut self, peer: Incarnation, applied: Revision) {
        if self.ready {
            return;
        }
        self.target = self.target.max(applied);
        self.peers_seen.insert(peer);
    }

    /// Updates the state; returns `true` once, when the daemon becomes ready.
    pub(crate) fn becomes_ready(
        &mut self,
        settings: &SpreadSettings,
        now: Instant,
        peers: usize,
        applied: Revision,
    ) -> bool {
        if self.ready || !self.loaded || applied < self.target {
            return false;
        }
        let waited = now.duration_since(self.since);
        let wait = if peers == 0 { settings.join_grace } else { settings.peer_wait };
        let enough = peers > 0 && self.peers_seen.len() >= peers.min(MIN_PEERS_SEEN);
        self.ready = enough || waited >= wait;
        self.ready
    }
}
