//! The holder of a shard: its state, its next step, and its handling of store replies.

use super::{
    HolderConfig, HolderCounts, HolderStep, Loading, Prepared, StoreCall, StoreReply, Upkeep,
    WaitingClaim,
};
use crate::clock::Clock;
use crate::id::{Attempt, Incarnation, Revision};
use crate::process::ledger::{
    Batch, Claim, ClaimAnswer, Head, Index, Pacer, Shard, UnixMs, head_key,
};
use crate::request::{Peer, RequestKey};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// First pause after the store is found down; each further pause doubles.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause before the store is called again.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Minimum retry delay in a refusal of a claim.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Wait before a read that returned stale data is repeated.
const STALE_READ_PAUSE: Duration = Duration::from_millis(20);

/// The answer to a claim, for the peer that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReply {
    /// The peer that sent the claim.
    pub to: Peer,
    /// The owner of the claim.
    pub owner: RequestKey,
    /// [`Claim::after`] of the claim.
    pub after: Attempt,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// The state of a shard at one version of its head.
#[derive(Clone, Debug)]
pub(super) struct Loaded {
    pub(super) version: Revision,
    pub(super) head: Head,
    pub(super) index: Index,
    /// The batches of the archives that are not merged yet.
    pub(super) recent: Vec<Batch>,
}

/// The pending call to the store.
#[derive(Clone, Debug)]
pub(super) enum PendingCall {
    NoCall,
    ReadHead,
    ReadArchives,
    ReadOld(usize),
    PutArchive(Prepared),
    PutKeys(Prepared),
    PutHead(Box<(Head, Option<Prepared>)>),
    List,
    Delete,
}

/// Commits the claims of one shard. It has no exclusive right to the shard: if two holders serve the
/// same one, the conditional put of the head fails for one of them, which then loads the shard again.
///
/// It has at most one call to the store pending: the driver gets the call from [`Holder::next`], makes
/// it, and passes the reply to [`Holder::on_reply`].
#[derive(Debug)]
pub struct Holder<C> {
    pub(super) shard: Shard,
    pub(super) incarnation: Incarnation,
    pub(super) cfg: HolderConfig,
    pub(super) clock: C,
    pub(super) pacer: Pacer<C>,
    pub(super) pending: PendingCall,
    pub(super) loaded: Option<Loaded>,
    pub(super) loading: Option<Loading>,
    pub(super) prepared: Option<Prepared>,
    pub(super) waiting: VecDeque<WaitingClaim>,
    pub(super) answers: Vec<ClaimReply>,
    pub(super) upkeep: Upkeep,
    pub(super) last_archive_number: u32,
    /// The highest version of the head seen so far; a read below it is stale.
    pub(super) highest_version: Revision,
    pub(super) counts: HolderCounts,
    not_before: Option<Instant>,
    down_until: Option<Instant>,
    pause: Duration,
}

impl<C: Clock> Holder<C> {
    /// Creates a holder that has read nothing yet, run by the daemon with this incarnation.
    pub fn new(shard: Shard, incarnation: Incarnation, cfg: HolderConfig, clock: C) -> Holder<C> {
        Holder {
            shard,
            incarnation,
            cfg,
            pacer: Pacer::new(cfg.writes_per_s, clock.clone()),
            clock,
            pending: PendingCall::NoCall,
            loaded: None,
            loading: None,
            prepared: None,
            waiting: VecDeque::new(),
            answers: Vec::new(),
            upkeep: Upkeep::new(),
            last_archive_number: 0,
            highest_version: 0,
            counts: HolderCounts::default(),
            not_before: None,
            down_until: None,
            pause: MIN_PAUSE,
        }
    }

    /// Accepts a claim; its answer is returned by [`Holder::take_answers`].
    pub fn claim(&mut self, from: Peer, claim: Claim) {
        let now = self.clock.now();
        if let Some(until) = self.down_until.filter(|until| now < *until) {
            return self.refuse_store_down(from, &claim, until - now, "the store is down");
        }
        let same = |waiting: &&mut WaitingClaim| waiting.is_repeated_by(&claim);
        if let Some(waiting) = self.waiting.iter_mut().find(same) {
            waiting.from = from;
            return;
        }
        if self.waiting.len() >= self.cfg.max_waiting {
            let detail = format!("{} claims wait at the shard's holder", self.waiting.len());
            return self.refuse(from, &claim, false, detail, MIN_RETRY_AFTER);
        }
        self.waiting.push_back(WaitingClaim::new(from, claim, now));
    }

    /// Returns what to do next. `now_ms` is the time since the Unix epoch, used only for retention.
    pub fn next(&mut self, now_ms: UnixMs) -> HolderStep {
        if !matches!(self.pending, PendingCall::NoCall) {
            return HolderStep::Idle;
        }
        let now = self.clock.now();
        if let Some(until) = self.down_until.max(self.not_before).filter(|until| now < *until) {
            return if self.waiting.is_empty() {
                HolderStep::Idle
            } else {
                HolderStep::WaitUntil(until)
            };
        }
        self.refuse_overdue();
        if self.loaded.is_none() {
            return if self.waiting.is_empty() { HolderStep::Idle } else { self.next_load() };
        }
        if let Some(call) = self.answer_from_state(now_ms) {
            return HolderStep::Call(call);
        }
        if self.loaded.is_none() {
            return self.next_load();
        }
        if let Some(at) = self.pacer.next().filter(|at| now < *at) {
            return if self.has_work() { HolderStep::WaitUntil(at) } else { HolderStep::Idle };
        }
        if self.upkeep_first() {
            return self.next_upkeep();
        }
        self.next_commit(now_ms)
    }

    /// Handles the reply to the call that [`Holder::next`] returned.
    pub fn on_reply(&mut self, reply: StoreReply) {
        let pending = std::mem::replace(&mut self.pending, PendingCall::NoCall);
        match reply {
            StoreReply::Down { detail } => return self.on_down(pending, &detail),
            StoreReply::NoAnswer { detail } => return self.on_no_answer(&pending, &detail),
            StoreReply::RateLimited { retry_after } => {
                return self.on_rate_limited(pending, retry_after);
            }
            _ => self.on_store_reachable(&pending),
        }
        match (pending, reply) {
            (PendingCall::ReadHead, StoreReply::Objects(objects)) => self.on_head(objects),
            (PendingCall::ReadArchives, StoreReply::Objects(objects)) => self.on_archives(objects),
            (PendingCall::ReadOld(at), StoreReply::Objects(objects)) => {
                self.on_old_archives(at, objects)
            }
            (PendingCall::PutArchive(prepared), StoreReply::Written(_)) => {
                self.on_archive_put(prepared)
            }
            (PendingCall::PutKeys(prepared), StoreReply::Written(_)) => {
                self.prepared = Some(prepared)
            }
            (PendingCall::PutHead(put), StoreReply::Written(version)) => {
                self.on_head_put(version, *put);
            }
            (PendingCall::PutHead(_), StoreReply::Conflict { found }) => {
                self.on_head_conflict(found)
            }
            (PendingCall::List, StoreReply::Listed(objects)) => self.on_listed(objects),
            (PendingCall::Delete, StoreReply::Deleted) => self.counts.swept += 1,
            _ => {}
        }
    }

    /// Returns the answers to claims since the last call.
    pub fn take_answers(&mut self) -> Vec<ClaimReply> {
        std::mem::take(&mut self.answers)
    }

    /// Returns the counters.
    pub fn counts(&self) -> HolderCounts {
        self.counts
    }

    /// Returns the number of keys in memory: full records, and short keys of older ones.
    pub fn keys(&self) -> (usize, usize) {
        self.loaded.as_ref().map_or((0, 0), |loaded| loaded.index.len())
    }

    /// Returns the number of waiting claims.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the version of the loaded head, 0 if none is loaded.
    pub fn version(&self) -> Revision {
        self.loaded.as_ref().map_or(0, |loaded| loaded.version)
    }

    /// Returns the current write rate limit, per second.
    pub fn write_rate(&self) -> f64 {
        self.pacer.rate()
    }

    pub(super) fn call(&mut self, pending: PendingCall, call: StoreCall) -> HolderStep {
        if matches!(call, StoreCall::Put { .. } | StoreCall::Delete { .. }) {
            self.pacer.on_start();
            self.counts.writes += 1;
        }
        self.pending = pending;
        HolderStep::Call(call)
    }

    pub(super) fn head_key(&self) -> String {
        head_key(self.shard)
    }

    pub(super) fn answer(&mut self, to: Peer, claim: &Claim, answer: ClaimAnswer) {
        self.answers.push(ClaimReply { to, owner: claim.owner, after: claim.after, answer });
    }

    pub(super) fn refuse(
        &mut self,
        to: Peer,
        claim: &Claim,
        store_down: bool,
        detail: String,
        retry_after: Duration,
    ) {
        self.counts.refused += 1;
        let retry_after_ms = retry_after.max(MIN_RETRY_AFTER).as_millis() as u64;
        self.answer(to, claim, ClaimAnswer::Refused { store_down, detail, retry_after_ms });
    }

    /// Drops the loaded state, which is or may be out of date, so that the shard is read again.
    pub(super) fn unload(&mut self) {
        self.loaded = None;
        self.loading = None;
        self.prepared = None;
        self.upkeep.clear();
        self.waiting.iter_mut().for_each(WaitingClaim::forget_old);
    }

    /// Counts a read that returned stale data, and delays the next one.
    pub(super) fn on_stale_read(&mut self) {
        self.counts.stale_reads += 1;
        self.not_before = Some(self.clock.now() + STALE_READ_PAUSE);
    }

    /// Marks the store as down until a pause is over, and refuses all waiting claims at once.
    pub(super) fn mark_store_down(&mut self, detail: &str) {
        self.counts.downs += 1;
        self.pacer.on_outage();
        self.down_until = Some(self.clock.now() + self.pause);
        let pause = self.pause;
        self.pause = (self.pause * 2).min(MAX_PAUSE);
        for waiting in std::mem::take(&mut self.waiting) {
            self.refuse_store_down(waiting.from, &waiting.claim, pause, detail);
        }
    }

    fn refuse_store_down(&mut self, to: Peer, claim: &Claim, wait: Duration, detail: &str) {
        let detail = format!("nothing was run for this request, as it can't be recorded: {detail}");
        self.refuse(to, claim, true, detail, wait);
    }

    fn on_store_reachable(&mut self, pending: &PendingCall) {
        self.down_until = None;
        self.not_before = None;
        self.pause = MIN_PAUSE;
        let wrote = !matches!(
            pending,
            PendingCall::ReadHead
                | PendingCall::ReadArchives
                | PendingCall::ReadOld(_)
                | PendingCall::List
                | PendingCall::NoCall
        );
        if wrote {
            self.pacer.on_success();
        }
    }

    /// Handles a store that is down. Nothing was written, so the loaded state stays valid.
    fn on_down(&mut self, pending: PendingCall, detail: &str) {
        self.keep_prepared(pending);
        self.mark_store_down(detail);
    }

    fn on_no_answer(&mut self, pending: &PendingCall, detail: &str) {
        self.pacer.on_overload();
        match pending {
            PendingCall::PutHead(_) => {
                self.counts.answers_lost += 1;
                self.unload();
            }
            // An archive that may have been written is abandoned; the next one gets a new id.
            PendingCall::PutArchive(_) | PendingCall::PutKeys(_) => self.counts.answers_lost += 1,
            PendingCall::Delete | PendingCall::NoCall => {}
            PendingCall::ReadHead
            | PendingCall::ReadArchives
            | PendingCall::ReadOld(_)
            | PendingCall::List => {
                self.mark_store_down(detail);
            }
        }
    }

    fn on_rate_limited(&mut self, pending: PendingCall, retry_after: Duration) {
        self.pacer.on_overload();
        let wait = retry_after.min(self.cfg.max_wait / 8);
        self.not_before = Some(self.clock.now() + wait);
        self.keep_prepared(pending);
    }

    /// Keeps the archive written for a head that certainly was not put, for the next put.
    fn keep_prepared(&mut self, pending: PendingCall) {
        if let PendingCall::PutHead(put) = pending {
            self.prepared = put.1;
        }
    }

    fn on_head_conflict(&mut self, found: Revision) {
        self.counts.conflicts += 1;
        self.highest_version = self.highest_version.max(found);
        self.unload();
    }

    fn refuse_overdue(&mut self) {
        let now = self.clock.now();
        while self.waiting.front().is_some_and(|first| now - first.since > self.cfg.max_wait) {
            let Some(waiting) = self.waiting.pop_front() else { return };
            let detail = format!("the store took no record within {:?}", self.cfg.max_wait);
            self.refuse_store_down(waiting.from, &waiting.claim, MIN_RETRY_AFTER, &detail);
        }
    }
}
