//! State that a request keeps for the run-once ledger.

use sorrellock_core::process::ledger::{Fingerprint, KeyedRun, RecordKey, Stamp};
use sorrellock_core::request::{Peer, RequestKey};
use std::net::SocketAddr;
use std::time::Instant;

/// Key and fingerprint of a request that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOnce {
    /// Record key.
    pub key: RecordKey,
    /// Distinguishes the request from others with the same key.
    pub fingerprint: Fingerprint,
}

/// Ledger record under which a request runs, and the daemon that the record names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// Stamp of the record.
    pub stamp: Stamp,
    /// Daemon that the record names.
    pub daemon: Peer,
}

/// Request that the ledger has yet to decide on, with the reply it waits for.
pub struct Keyed {
    /// State of the run.
    pub run: KeyedRun,
    /// Holder that the claim was sent to.
    pub holder: Option<SocketAddr>,
    /// Time of the next claim.
    pub wait_until: Option<Instant>,
    /// Whether the claim was resent during this wait because the holder's link closed.
    claim_resent: bool,
}

impl Keyed {
    /// Creates the state of a request that has not sent a claim yet.
    pub fn new(owner: RequestKey, once: RunOnce) -> Keyed {
        let run = KeyedRun::new(owner, once.key, once.fingerprint);
        Keyed { run, holder: None, wait_until: None, claim_resent: false }
    }

    /// Ends the wait if it is over, and returns whether it was. A stale timer that fires earlier changes nothing.
    pub fn take_wait(&mut self, now: Instant) -> bool {
        let over = self.wait_until.take_if(|until| *until <= now).is_some();
        self.claim_resent &= !over;
        over
    }

    /// Returns whether the claim may be resent before the wait is over, and marks it as resent. Allowed once per
    /// wait, so that a dead holder that is still named costs at most two claims per wait.
    pub fn take_claim_again(&mut self) -> bool {
        !std::mem::replace(&mut self.claim_resent, true)
    }
}
