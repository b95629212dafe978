//! Client of the run-once ledger: sends to the holders of shards and to the daemons of records.

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

/// How long to wait for the answer to a claim before it is sent again.
pub const CLAIM_WAIT: Duration = Duration::from_millis(300);
/// How long a run may take to arrive at its daemon before it is fenced, so that it can't start.
pub const ARRIVAL_WAIT: Duration = Duration::from_millis(50);
/// How long to wait for the end of a run that was sent, or that is known to run, before its state is
/// queried: the message with the end may be lost.
pub const RUN_WAIT: Duration = Duration::from_secs(1);
/// How long to wait for the answer to a query for a record before it is repeated.
pub const ASK_WAIT: Duration = Duration::from_millis(250);

/// Finds the holder of a shard. Views of the fleet may differ between entries: two holders of a shard are
/// safe.
pub trait HolderNames: Send + Sync + 'static {
    /// Returns the daemon that holds a shard, if any is known.
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

/// Sends messages of the run-once ledger and schedules timeouts for their answers.
pub struct LedgerClient<L> {
    pub(super) link: Arc<L>,
    pub(super) names: Arc<FleetAgent>,
    pub(super) waits: Arc<Timer>,
    pub(super) counters: Arc<Counters>,
}

impl<L: Link> LedgerClient<L> {
    /// Sends a claim to the holder of its shard and returns the holder. A claim that can't be sent is
    /// retried after its timeout.
    pub fn claim(&self, claim: Claim) -> Option<Peer> {
        self.counters.count(Count::Claims);
        let holder = self.names.holder(shard_of(&claim.key, SHARDS))?;
        let _ = self.send(holder, LedgerMessage::Claim(claim));
        Some(holder)
    }

    /// Queries a daemon for a record.
    pub fn ask(
        &self,
        target: Peer,
        owner: RequestKey,
        stamp: Stamp,
        fence: bool,
    ) -> Result<(), LinkError> {
        self.send(target, LedgerMessage::Ask { owner, stamp, fence })
    }

    /// Sends a ledger message.
    pub fn send(&self, to: Peer, message: LedgerMessage) -> Result<(), LinkError> {
        let sent = self.link.send(to, Message::Ledger(message));
        if sent.is_err() {
            self.counters.count(Count::SendsRefused);
        }
        sent
    }

    /// Schedules a callback for a request after `wait` and returns its time.
    pub fn wait(&self, sequence: Sequence, wait: Duration) -> Instant {
        let at = Instant::now() + wait;
        self.waits.add(at, sequence);
        at
    }
}
