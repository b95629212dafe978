//! The part of a request that has to do with the run-once ledger.

use sorrellock_core::process::ledger::{Fingerprint, KeyedRun, RecordKey, Stamp};
use sorrellock_core::request::{Peer, RequestKey};
use std::net::SocketAddr;
use std::time::Instant;

/// Key and fingerprint of a request that must run at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunOnce {
    /// The key.
    pub key: RecordKey,
    /// What tells the request from another with the same key.
    pub fingerprint: Fingerprint,
}

/// A record under which a request runs, and the daemon that it names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunRecord {
    /// The record.
    pub stamp: Stamp,
    /// The daemon.
    pub daemon: Peer,
}

/// A request on its way through the ledger, with what it waits for.
pub struct Keyed {
    /// Its state.
    pub run: KeyedRun,
    /// The holder that its claim went to.
    pub holder: Option<SocketAddr>,
    /// When it asks again.
    pub wait_until: Option<Instant>,
    /// Whether its claim was sent again, in this wait, because the holder's link closed.
    claimed_again: bool,
}

impl Keyed {
    /// A request that has claimed nothing yet.
    pub fn new(owner: RequestKey, once: RunOnce) -> Keyed {
        let run = KeyedRun::new(owner, once.key, once.fingerprint);
        Keyed { run, holder: None, wait_until: None, claimed_again: false }
    }

    /// Whether its wait is over; an older timer that fires before changes nothing.
    pub fn take_wait(&mut self, now: Instant) -> bool {
        let over = self.wait_until.take_if(|until| *until <= now).is_some();
        self.claimed_again &= !over;
        over
    }

    /// Whether the claim may be sent again before its wait is over: once in each wait, so that a
    /// dead holder that is still named costs no more than two claims a wait.
    pub fn take_claim_again(&mut self) -> bool {
        !std::mem::replace(&mut self.claimed_again, true)
    }
}
