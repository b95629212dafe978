//! An entry's way to the run-once ledger: the holders of the shards, and the daemons of records.

use crate::entry::process::Timer;
use crate::process::{Count, Counters, FleetAgent};
use sorrellock_core::id::Sequence;
use sorrellock_core::process::ledger::{Claim, LEDGER_PREFIX, SHARDS, Shard, Stamp, shard_of};
use sorrellock_core::process::membership::rendezvous;
use sorrellock_core::request::{Peer, RequestKey};
use sorrellock_wire::connection::{Link, LinkError};
use sorrellock_wire::message::{LedgerMessage, Message};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a claim waits for its answer before it is sent again.
pub const CLAIM_WAIT: Duration = Duration::from_millis(300);
/// How long a record's run may take to arrive before it is kept from starting.
pub const ARRIVAL_WAIT: Duration = Duration::from_millis(50);
/// How long a run that was sent, or that is known to run, is waited for before it is asked for: its
/// end may be lost on the way.
pub const RUN_WAIT: Duration = Duration::from_secs(1);
/// How long the question for a record waits for its answer before it is asked again.
pub const ASK_WAIT: Duration = Duration::from_millis(250);

/// Names the holder of a shard. Views of the fleet may differ: two holders of a shard are safe.
pub trait HolderNames: Send + Sync + 'static {
    /// The daemon that keeps a shard, if any is known.
    fn holder(&self, shard: Shard) -> Option<Peer>;
}

impl HolderNames for FleetAgent {
    fn holder(&self, shard: Shard) -> Option<Peer> {
        let view = self.view();
        let key = format!("{LEDGER_PREFIX}{shard}");
        let named = rendezvous(key.as_bytes(), view.live().map(|fact| fact.peer.incarnation))?;
        view.get(named).map(|member| member.fact.peer)
    }
}

/// An entry's way to the run-once ledger.
pub struct LedgerClient<L> {
    pub(super) link: Arc<L>,
    pub(super) names: Arc<FleetAgent>,
    pub(super) waits: Arc<Timer>,
    pub(super) counters: Arc<Counters>,
}

impl<L: Link> LedgerClient<L> {
    /// Sends a claim to the holder of its shard, and tells who that is. A claim that can't be sent
    /// is sent again after its wait.
    pub fn claim(&self, claim: Claim) -> Option<Peer> {
        self.counters.count(Count::Claims);
        let holder = self.names.holder(shard_of(&claim.key, SHARDS))?;
        let _ = self.send(holder, LedgerMessage::Claim(claim));
        Some(holder)
    }

    /// Asks a daemon for a record.
    pub fn ask(
        &self,
        target: Peer,
        owner: RequestKey,
        stamp: Stamp,
        fence: bool,
    ) -> Result<(), LinkError> {
        self.send(target, LedgerMessage::Ask { owner, stamp, fence })
    }

    /// Sends a message of the ledger.
    pub fn send(&self, to: Peer, message: LedgerMessage) -> Result<(), LinkError> {
        let sent = self.link.send(to, Message::Ledger(message));
        if sent.is_err() {
            self.counters.count(Count::SendsRefused);
        }
        sent
    }

    /// Calls back for a request after `wait`; returns when that is.
    pub fn wait(&self, sequence: Sequence, wait: Duration) -> Instant {
        let at = Instant::now() + wait;
        self.waits.add(at, sequence);
        at
    }
}
