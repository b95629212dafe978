//! When a daemon that started knows enough to serve.

use crate::id::{Incarnation, Revision};
use crate::version::SpreadSettings;
use std::collections::BTreeSet;
use std::time::Instant;

/// Peers whose word a start waits for, if there are so many.
const WORDS: usize = 2;

/// Decides when a daemon is ready: it has all that the store or a peer had, and is not behind any
/// peer that it heard. So a daemon that starts on an old copy of the store does not serve what the
/// others have left behind.
#[derive(Clone, Debug)]
pub(crate) struct Readiness {
    since: Instant,
    heard: BTreeSet<Incarnation>,
    target: Revision,
    /// Whether anything complete came into force.
    loaded: bool,
    ready: bool,
}

impl Readiness {
    pub(crate) fn new(now: Instant) -> Readiness {
        Readiness { since: now, heard: BTreeSet::new(), target: 0, loaded: false, ready: false }
    }

    pub(crate) fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether anything complete came into force, though it may be behind.
    pub(crate) fn is_loaded(&self) -> bool {
        self.loaded
    }

    pub(crate) fn since(&self) -> Instant {
        self.since
    }

    pub(crate) fn loaded(&mut self) {
        self.loaded = true;
    }

    /// A peer told how far it is.
    pub(crate) fn heard(&mut self, peer: Incarnation, applied: Revision) {
        if self.ready {
            return;
        }
        self.target = self.target.max(applied);
        self.heard.insert(peer);
    }

    /// Whether the daemon becomes ready just now.
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
        let enough = peers > 0 && self.heard.len() >= peers.min(WORDS);
        self.ready = enough || waited >= wait;
        self.ready
    }
}
