//! The simulated holders, with their pending calls to the store.

use crate::net::{Envelope, Msg};
use crate::rng::Rng;
use crate::store::Store;
use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::Incarnation;
use sorrellock_core::process::ledger::{
    Claim, Holder, HolderConfig, HolderCounts, HolderStep, StoreCall, StoreReply, shard_of,
};
use sorrellock_core::request::Peer;

/// A pending call: it takes effect, then its reply arrives, each at some later step.
#[derive(Clone)]
struct PendingCall {
    call: StoreCall,
    reply: Option<StoreReply>,
}

pub struct HolderProcess {
    pub number: usize,
    pub incarnation: Incarnation,
    pub holders: Vec<Holder<ManualClock>>,
    pending: Vec<Option<PendingCall>>,
    /// Calls whose reply was lost, and that may still take effect.
    late: Vec<StoreCall>,
    cfg: HolderConfig,
    clock: ManualClock,
    pub counts: Vec<HolderCounts>,
}

impl HolderProcess {
    pub fn new(
        number: usize,
        incarnation: Incarnation,
        shards: u16,
        cfg: HolderConfig,
        clock: &ManualClock,
    ) -> HolderProcess {
        let holder = |shard| Holder::new(shard, incarnation, cfg, clock.clone());
        HolderProcess {
            number,
            incarnation,
            holders: (0..shards).map(holder).collect(),
            pending: vec![None; usize::from(shards)],
            late: Vec::new(),
            cfg,
            clock: clock.clone(),
            counts: Vec::new(),
        }
    }

    /// Restarts the process. Its pending calls may still take effect.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.counts.extend(self.holders.iter().map(Holder::counts));
        let calls = self.pending.iter().flatten().filter(|pending| pending.reply.is_none());
        self.late.extend(calls.map(|pending| pending.call.clone()));
        let shards = self.holders.len() as u16;
        let fresh = HolderProcess::new(self.number, incarnation, shards, self.cfg, &self.clock);
        self.incarnation = incarnation;
        self.holders = fresh.holders;
        self.pending = fresh.pending;
    }

    pub fn claim(&mut self, from: Peer, claim: Claim) {
        let shard = shard_of(&claim.key, self.holders.len() as u16);
        self.holders[usize::from(shard)].claim(from, claim);
    }

    /// Advances a shard by one step: a call starts, takes effect, or is answered.
    pub fn step(
        &mut self,
        shard: usize,
        store: &mut Store,
        rng: &mut Rng,
        faults: bool,
        now_ms: u64,
    ) {
        match self.pending[shard].take() {
            None => {
                if let HolderStep::Call(call) = self.holders[shard].next(now_ms) {
                    self.pending[shard] = Some(PendingCall { call, reply: None });
                }
            }
            Some(PendingCall { call, reply: None }) if faults && rng.percent(6) => {
                self.late.push(call);
                self.lose_answer(shard);
            }
            Some(PendingCall { call, reply: None }) => {
                let reply = Some(store.apply(&call, rng, faults));
                self.pending[shard] = Some(PendingCall { call, reply });
            }
            Some(PendingCall { reply: Some(_), .. }) if faults && rng.percent(6) => {
                self.lose_answer(shard);
            }
            Some(PendingCall { reply: Some(reply), .. }) => self.holders[shard].on_reply(reply),
        }
    }

    /// Executes a call whose reply was reported lost.
    pub fn execute_late_call(&mut self, store: &mut Store, rng: &mut Rng) {
        if !self.late.is_empty() {
            let call = self.late.swap_remove(rng.below(self.late.len()));
            store.apply(&call, rng, false);
        }
    }

    pub fn take_answers(&mut self, out: &mut Vec<Envelope>) {
        for holder in &mut self.holders {
            out.extend(holder.take_answers().into_iter().map(|answered| Envelope {
                to: answered.to,
                msg: Msg::Answer {
                    owner: answered.owner,
                    after: answered.after,
                    answer: answered.answer,
                },
            }));
        }
    }

    fn lose_answer(&mut self, shard: usize) {
        let detail = "the model lost the answer".to_owned();
        self.holders[shard].on_reply(StoreReply::NoAnswer { detail });
    }
}
