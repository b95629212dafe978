//! The ledger shards that this daemon holds.

use super::shard_driver::AnswerSink;
use super::{ShardDriver, StoreCaller};
use serde_json::{Value, json};
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::Incarnation;
use sorrellock_core::process::ledger::{
    Claim, ClaimReply, Holder, HolderConfig, HolderCounts, SHARDS, Shard, shard_of,
};
use sorrellock_core::request::Peer;
use sorrellock_ports::api::ObjectStore;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{LedgerMessage, Message};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

/// Timeout of one call to the store; after it, the answer counts as lost.
pub const LEDGER_STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a holder's answers over a link. An answer that can't be sent is dropped; the entry repeats its claim.
pub struct LinkSink<L>(Arc<L>);

impl<L: Link> AnswerSink for LinkSink<L> {
    fn answer(&self, reply: ClaimReply) {
        let ClaimReply { to, owner, after, answer } = reply;
        let message = LedgerMessage::Answer { owner, after, answer };
        let _ = self.0.send(to, Message::Ledger(message));
    }
}

/// The ledger shards that this daemon holds, each started by the first claim for it. It is not checked
/// whether this daemon is the one named for the shard: two holders of one shard are safe.
pub struct LedgerHolders<S, A> {
    me: Incarnation,
    store: Arc<S>,
    sink: Arc<A>,
    cfg: HolderConfig,
    shards: Vec<OnceLock<Arc<ShardDriver<S, A>>>>,
}

impl<S: ObjectStore, L: Link> LedgerHolders<S, LinkSink<L>> {
    /// Creates holders that store their shards in `store` and answer over `link`.
    pub fn over_link(me: Incarnation, store: S, link: Arc<L>, cfg: HolderConfig) -> Self {
        LedgerHolders::new(me, store, LinkSink(link), cfg)
    }
}

impl<S: ObjectStore, A: AnswerSink> LedgerHolders<S, A> {
    /// Creates holders that store their shards in `store` and answer to `sink`.
    pub fn new(me: Incarnation, store: S, sink: A, cfg: HolderConfig) -> LedgerHolders<S, A> {
        let shards = (0..SHARDS).map(|_| OnceLock::new()).collect();
        LedgerHolders { me, store: Arc::new(store), sink: Arc::new(sink), cfg, shards }
    }

    /// Passes a claim to the holder of its shard; the answer goes to `from`.
    pub fn claim(&self, from: Peer, claim: Claim) {
        self.shard(shard_of(&claim.key, SHARDS)).claim(from, claim);
    }

    /// Returns the counts of each shard held here.
    pub fn counts(&self) -> Vec<(Shard, HolderCounts)> {
        self.held().map(|(shard, driver)| (shard, driver.with(Holder::counts))).collect()
    }

    /// Returns the state of the shards, for dumps.
    pub fn dump(&self) -> Value {
        let shards = self.held().map(|(shard, driver)| driver.with(|holder| dump(shard, holder)));
        shards.collect()
    }

    fn held(&self) -> impl Iterator<Item = (Shard, &Arc<ShardDriver<S, A>>)> {
        let shards = self.shards.iter().enumerate();
        shards.filter_map(|(shard, driver)| Some((shard as Shard, driver.get()?)))
    }

    fn shard(&self, shard: Shard) -> &Arc<ShardDriver<S, A>> {
        self.shards[usize::from(shard)].get_or_init(|| {
            let holder = Holder::new(shard, self.me, self.cfg, SystemClock);
            ShardDriver::start(holder, StoreCaller::new(self.store.clone()), self.sink.clone())
        })
    }
}

fn dump(shard: Shard, holder: &Holder<SystemClock>) -> Value {
    let (recent, old) = holder.keys();
    let counts = holder.counts();
    json!({
        "shard": shard,
        "version": holder.version(),
        "recent_keys": recent,
        "old_keys": old,
        "waiting": holder.waiting(),
        "write_rate": holder.write_rate(),
        "writes": counts.writes,
        "batches": counts.batches,
        "granted": counts.granted,
        "existing": counts.existing,
        "refused": counts.refused,
        "conflicts": counts.conflicts,
        "answers_lost": counts.answers_lost,
        "settled": counts.settled,
        "loads": counts.loads,
        "lookups": counts.lookups,
        "archives": counts.archives,
        "merges": counts.merges,
        "swept": counts.swept,
        "downs": counts.downs,
    })
}
