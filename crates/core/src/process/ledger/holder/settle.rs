//! Answering claims from what is known.

use super::holder::Doing;
use super::{Holder, HolderStep, ReadObject, StoreCall};
use crate::clock::Clock;
use crate::process::ledger::{
    ArchiveId, Claim, ClaimAnswer, Found, Judgement, Known, UnixMs, decode_batches,
};
use crate::request::Peer;
use std::time::{Duration, Instant};

/// What old archives hold of the key of a waiting claim.
#[derive(Clone, Debug)]
pub(super) enum OldRecord {
    /// They were not read for it.
    NotRead,
    /// They were read.
    Read(Option<Known>),
}

/// A claim that waits.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub(super) from: Peer,
    pub(super) claim: Claim,
    pub(super) since: Instant,
    old: OldRecord,
    /// Whether the shard was read anew for it.
    reloaded: bool,
}

impl Waiting {
    pub(super) fn new(from: Peer, claim: Claim, since: Instant) -> Waiting {
        Waiting { from, claim, since, old: OldRecord::NotRead, reloaded: false }
    }

    /// Whether `claim` repeats this one.
    pub(super) fn is_for(&self, claim: &Claim) -> bool {
        self.claim.owner == claim.owner && self.claim.after == claim.after
    }

    pub(super) fn forget_old(&mut self) {
        self.old = OldRecord::NotRead;
    }
}

/// What is to be done with a waiting claim.
enum Verdict {
    /// It waits for a commit.
    Commit,
    /// Archives must be read for it.
    ReadOld(Vec<ArchiveId>),
    /// It is answered.
    Answer(ClaimAnswer),
    /// What is known is out of date.
    Reload,
}

impl<C: Clock> Holder<C> {
    /// Answers all claims that can be; the rest wait for a commit. A call is for old archives.
    pub(super) fn settle(&mut self, now_ms: UnixMs) -> Option<StoreCall> {
        let mut at = 0;
        while at < self.waiting.len() {
            match self.verdict(&self.waiting[at], now_ms) {
                Verdict::Commit => at += 1,
                Verdict::Answer(answer) => self.answer_waiting(at, answer),
                Verdict::ReadOld(archives) => return self.read_old(at, &archives),
                Verdict::Reload if self.waiting[at].reloaded => self.refuse_behind(at),
                Verdict::Reload => {
                    self.waiting[at].reloaded = true;
                    self.unload();
                    return None;
                }
            }
        }
        None
    }

    fn verdict(&self, waiting: &Waiting, now_ms: UnixMs) -> Verdict {
        let Some(loaded) = &self.loaded else { return Verdict::Reload };
        let known = match loaded.index.find(&waiting.claim.key) {
            Found::Recent(known) => Some(known),
            Found::Nowhere => None,
            Found::Archives(archives) => match &waiting.old {
                OldRecord::NotRead => return Verdict::ReadOld(archives),
                OldRecord::Read(known) => known.as_ref(),
            },
        };
        match known.filter(|known| !known.expired(now_ms, self.cfg.retention)) {
            Some(known) => self.judge(known, &waiting.claim),
            None if waiting.claim.after == 0 => Verdict::Commit,
            None => Verdict::Reload,
        }
    }

    fn judge(&self, known: &Known, claim: &Claim) -> Verdict {
        match known.judge(claim, self.shard) {
            Judgement::Commit => Verdict::Commit,
            Judgement::Behind => Verdict::Reload,
            Judgement::Mismatch => Verdict::Answer(ClaimAnswer::Mismatch),
            Judgement::Own(stamp) => Verdict::Answer(ClaimAnswer::Granted(stamp)),
            Judgement::Other(stamp) => {
                Verdict::Answer(ClaimAnswer::Existing { stamp, target: known.record.target })
            }
        }
    }

    fn answer_waiting(&mut self, at: usize, answer: ClaimAnswer) {
        let Some(waiting) = self.waiting.remove(at) else { return };
        match &answer {
            ClaimAnswer::Granted(_) => self.counts.settled += 1,
            ClaimAnswer::Existing { .. } => self.counts.existing += 1,
            ClaimAnswer::Mismatch => self.counts.mismatches += 1,
            ClaimAnswer::Refused { .. } => {}
        }
        self.answer(waiting.from, &waiting.claim, answer);
    }

    fn refuse_behind(&mut self, at: usize) {
        let Some(waiting) = self.waiting.remove(at) else { return };
        let detail = "the attempt before it is not in the ledger".to_owned();
        self.refuse(waiting.from, &waiting.claim, true, detail, Duration::ZERO);
    }

    fn read_old(&mut self, at: usize, archives: &[ArchiveId]) -> Option<StoreCall> {
        self.counts.lookups += 1;
        let keys = archives.iter().map(|id| id.key(self.shard)).collect();
        match self.call(Doing::ReadOld(at), StoreCall::Read { keys }) {
            HolderStep::Call(call) => Some(call),
            HolderStep::WaitUntil(_) | HolderStep::Idle => None,
        }
    }

    pub(super) fn on_old(&mut self, at: usize, objects: Vec<ReadObject>) {
        let Some(waiting) = self.waiting.get_mut(at) else { return };
        let mut latest: Option<Known> = None;
        for object in objects {
            let batches = object.and_then(|(_, value)| decode_batches(&value));
            let Some(batches) = batches else {
                self.unload();
                return self.on_stale_read();
            };
            for batch in &batches {
                let records = batch.records.iter();
                let found = records.filter(|record| record.key == waiting.claim.key);
                for record in found {
                    if latest.as_ref().is_none_or(|latest| latest.base <= batch.base) {
                        let record = record.clone();
                        latest = Some(Known { record, base: batch.base, at_ms: batch.at_ms });
                    }
                }
            }
        }
        waiting.old = OldRecord::Read(latest);
    }
}
