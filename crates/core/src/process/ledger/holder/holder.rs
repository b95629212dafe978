//! The holder of a shard.

use super::{
    HolderConfig, HolderCounts, HolderStep, Loading, Prepared, StoreCall, StoreReply, Upkeep,
    Waiting,
};
use crate::clock::Clock;
use crate::id::{Attempt, Incarnation, Revision};
use crate::process::ledger::{
    Batch, Claim, ClaimAnswer, Head, Index, Pacer, Shard, UnixMs, head_key,
};
use crate::request::{Peer, RequestKey};
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The first pause after the store was found down; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause before the store is tried again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
/// When to come back to a ledger whose store is down, at least.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The wait before a read that showed an older head is repeated.
const STALE_PAUSE: Duration = Duration::from_millis(20);

/// The answer to a claim, for the peer that sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimReply {
    /// Who sent the claim.
    pub to: Peer,
    /// Its owner.
    pub owner: RequestKey,
    /// [`Claim::after`] of the claim.
    pub after: Attempt,
    /// The answer.
    pub answer: ClaimAnswer,
}

/// What a holder knows of its shard, as of one version of the head.
#[derive(Clone, Debug)]
pub(super) struct Loaded {
    pub(super) version: Revision,
    pub(super) head: Head,
    pub(super) index: Index,
    /// The batches of the archives that are not merged yet.
    pub(super) recent: Vec<Batch>,
}

/// The call that is under way.
#[derive(Clone, Debug)]
pub(super) enum Doing {
    Nothing,
    ReadHead,
    ReadArchives,
    ReadOld(usize),
    PutArchive(Prepared),
    PutKeys(Prepared),
    PutHead(Box<(Head, Option<Prepared>)>),
    List,
    Delete,
}

/// The holder of a shard. It holds nothing by right: two that keep the same shard clash on the
/// version of the head, and the loser reads on.
///
/// It makes one call to the store at a time: the driver asks [`Holder::next`], makes the call and
/// tells [`Holder::on_reply`].
#[derive(Debug)]
pub struct Holder<C> {
    pub(super) shard: Shard,
    pub(super) me: Incarnation,
    pub(super) cfg: HolderConfig,
    pub(super) clock: C,
    pub(super) pacer: Pacer<C>,
    pub(super) doing: Doing,
    pub(super) loaded: Option<Loaded>,
    pub(super) loading: Option<Loading>,
    pub(super) prepared: Option<Prepared>,
    pub(super) waiting: VecDeque<Waiting>,
    pub(super) answers: Vec<ClaimReply>,
    pub(super) upkeep: Upkeep,
    pub(super) archives_named: u32,
    /// The highest version of the head that is known to have been.
    pub(super) floor: Revision,
    pub(super) counts: HolderCounts,
    not_before: Option<Instant>,
    down_until: Option<Instant>,
    pause: Duration,
}

impl<C: Clock> Holder<C> {
    /// A holder that has read nothing yet, run by the daemon of incarnation `me`.
    pub fn new(shard: Shard, me: Incarnation, cfg: HolderConfig, clock: C) -> Holder<C> {
        Holder {
            shard,
            me,
            cfg,
            pacer: Pacer::new(cfg.writes_per_s, clock.clone()),
            clock,
            doing: Doing::Nothing,
            loaded: None,
            loading: None,
            prepared: None,
            waiting: VecDeque::new(),
            answers: Vec::new(),
            upkeep: Upkeep::new(),
            archives_named: 0,
            floor: 0,
            counts: HolderCounts::default(),
            not_before: None,
            down_until: None,
            pause: FIRST_PAUSE,
        }
    }

    /// Takes a claim; its answer comes from [`Holder::take_answers`].
    pub fn claim(&mut self, from: Peer, claim: Claim) {
        let now = self.clock.now();
        if let Some(until) = self.down_until.filter(|until| now < *until) {
            return self.refuse_down(from, &claim, until - now, "the store is down");
        }
        let same = |waiting: &&mut Waiting| waiting.is_for(&claim);
        if let Some(waiting) = self.waiting.iter_mut().find(same) {
            waiting.from = from;
            return;
        }
        if self.waiting.len() >= self.cfg.max_waiting {
            let detail = format!("{} claims wait at the shard's holder", self.waiting.len());
            return self.refuse(from, &claim, false, detail, MIN_RETRY_AFTER);
        }
        self.waiting.push_back(Waiting::new(from, claim, now));
    }

    /// What to do next. `now_ms` is the time since the Unix epoch, for retention only.
    pub fn next(&mut self, now_ms: UnixMs) -> HolderStep {
        if !matches!(self.doing, Doing::Nothing) {
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
        if let Some(call) = self.settle(now_ms) {
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

    /// Takes the reply to the call that [`Holder::next`] asked for.
    pub fn on_reply(&mut self, reply: StoreReply) {
        let doing = std::mem::replace(&mut self.doing, Doing::Nothing);
        match reply {
            StoreReply::Down { detail } => return self.on_down(doing, &detail),
            StoreReply::NoAnswer { detail } => return self.on_no_answer(&doing, &detail),
            StoreReply::RateLimited { retry_after } => {
                return self.on_rate_limited(doing, retry_after);
            }
            _ => self.on_well(&doing),
        }
        match (doing, reply) {
            (Doing::ReadHead, StoreReply::Objects(objects)) => self.on_head(objects),
            (Doing::ReadArchives, StoreReply::Objects(objects)) => self.on_archives(objects),
            (Doing::ReadOld(at), StoreReply::Objects(objects)) => self.on_old(at, objects),
            (Doing::PutArchive(prepared), StoreReply::Written(_)) => self.on_archive_put(prepared),
            (Doing::PutKeys(prepared), StoreReply::Written(_)) => self.prepared = Some(prepared),
            (Doing::PutHead(put), StoreReply::Written(version)) => {
                self.on_head_put(version, *put);
            }
            (Doing::PutHead(_), StoreReply::Conflict { found }) => self.on_head_conflict(found),
            (Doing::List, StoreReply::Listed(objects)) => self.on_listed(objects),
            (Doing::Delete, StoreReply::Deleted) => self.counts.swept += 1,
            _ => {}
        }
    }

    /// The answers to claims since the last call.
    pub fn take_answers(&mut self) -> Vec<ClaimReply> {
        std::mem::take(&mut self.answers)
    }

    /// What it has counted.
    pub fn counts(&self) -> HolderCounts {
        self.counts
    }

    /// How many keys it remembers: whole records, and short keys of older ones.
    pub fn keys(&self) -> (usize, usize) {
        self.loaded.as_ref().map_or((0, 0), |loaded| loaded.index.len())
    }

    /// How many claims wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Version of the head that it knows, 0 before it has read one.
    pub fn version(&self) -> Revision {
        self.loaded.as_ref().map_or(0, |loaded| loaded.version)
    }

    /// Writes a second that it allows itself at present.
    pub fn write_rate(&self) -> f64 {
        self.pacer.rate()
    }

    pub(super) fn call(&mut self, doing: Doing, call: StoreCall) -> HolderStep {
        if matches!(call, StoreCall::Put { .. } | StoreCall::Delete { .. }) {
            self.pacer.started();
            self.counts.writes += 1;
        }
        self.doing = doing;
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

    /// What is known of the shard is out of date, or in doubt: read it anew.
    pub(super) fn unload(&mut self) {
        self.loaded = None;
        self.loading = None;
        self.prepared = None;
        self.upkeep.clear();
        self.waiting.iter_mut().for_each(Waiting::forget_old);
    }

    /// A read showed an older head than one that is known to have been.
    pub(super) fn on_stale_read(&mut self) {
        self.counts.stale_reads += 1;
        self.not_before = Some(self.clock.now() + STALE_PAUSE);
    }

    /// Nothing can be read or written: whoever waits is refused at once.
    pub(super) fn go_down(&mut self, detail: &str) {
        self.counts.downs += 1;
        self.pacer.went_down();
        self.down_until = Some(self.clock.now() + self.pause);
        let pause = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        for waiting in std::mem::take(&mut self.waiting) {
            self.refuse_down(waiting.from, &waiting.claim, pause, detail);
        }
    }

    fn refuse_down(&mut self, to: Peer, claim: &Claim, wait: Duration, detail: &str) {
        let detail = format!("nothing was run for this request, as it can't be recorded: {detail}");
        self.refuse(to, claim, true, detail, wait);
    }

    fn on_well(&mut self, doing: &Doing) {
        self.down_until = None;
        self.not_before = None;
        self.pause = FIRST_PAUSE;
        let wrote = !matches!(
            doing,
            Doing::ReadHead
                | Doing::ReadArchives
                | Doing::ReadOld(_)
                | Doing::List
                | Doing::Nothing
        );
        if wrote {
            self.pacer.went_well();
        }
    }

    /// Nothing was written; what is known stays good.
    fn on_down(&mut self, doing: Doing, detail: &str) {
        self.keep_prepared(doing);
        self.go_down(detail);
    }

    fn on_no_answer(&mut self, doing: &Doing, detail: &str) {
        self.pacer.overloaded();
        match doing {
            Doing::PutHead(_) => {
                self.counts.answers_lost += 1;
                self.unload();
            }
            // An archive that may have been written is abandoned; the next takes a fresh name.
            Doing::PutArchive(_) | Doing::PutKeys(_) => self.counts.answers_lost += 1,
            Doing::Delete | Doing::Nothing => {}
            Doing::ReadHead | Doing::ReadArchives | Doing::ReadOld(_) | Doing::List => {
                self.go_down(detail);
            }
        }
    }

    fn on_rate_limited(&mut self, doing: Doing, retry_after: Duration) {
        self.pacer.overloaded();
        let wait = retry_after.min(self.cfg.max_wait / 8);
        self.not_before = Some(self.clock.now() + wait);
        self.keep_prepared(doing);
    }

    /// A head that was certainly not put leaves the archive written for it as good as before.
    fn keep_prepared(&mut self, doing: Doing) {
        if let Doing::PutHead(put) = doing {
            self.prepared = put.1;
        }
    }

    fn on_head_conflict(&mut self, found: Revision) {
        self.counts.conflicts += 1;
        self.floor = self.floor.max(found);
        self.unload();
    }

    fn refuse_overdue(&mut self) {
        let now = self.clock.now();
        while self.waiting.front().is_some_and(|first| now - first.since > self.cfg.max_wait) {
            let Some(waiting) = self.waiting.pop_front() else { return };
            let detail = format!("the store took no record within {:?}", self.cfg.max_wait);
            self.refuse_down(waiting.from, &waiting.claim, MIN_RETRY_AFTER, &detail);
        }
    }
}
