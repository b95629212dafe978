//! Answers to claims from the loaded state of the shard.

use super::holder::PendingCall;
use super::{Holder, HolderStep, ReadObject, StoreCall};
use crate::clock::Clock;
use crate::process::ledger::{
    ArchiveId, Claim, ClaimAnswer, ClaimCheck, CommittedRecord, Lookup, UnixMs, decode_batches,
};
use crate::request::Peer;
use std::time::{Duration, Instant};

/// The record of a waiting claim's key in the merged archives.
#[derive(Clone, Debug)]
pub(super) enum OldRecord {
    /// The archives have not been read for the claim.
    NotRead,
    /// The latest record in the archives, if there is one.
    Read(Option<CommittedRecord>),
}

/// A claim that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct WaitingClaim {
    pub(super) from: Peer,
    pub(super) claim: Claim,
    pub(super) since: Instant,
    old: OldRecord,
    /// Whether the shard was read again for this claim.
    reloaded: bool,
}

impl WaitingClaim {
    pub(super) fn new(from: Peer, claim: Claim, since: Instant) -> WaitingClaim {
        WaitingClaim { from, claim, since, old: OldRecord::NotRead, reloaded: false }
    }

    /// Whether `claim` repeats this one.
    pub(super) fn is_repeated_by(&self, claim: &Claim) -> bool {
        self.claim.owner == claim.owner && self.claim.after == claim.after
    }

    pub(super) fn forget_old(&mut self) {
        self.old = OldRecord::NotRead;
    }
}

/// What to do with a waiting claim.
enum ClaimAction {
    /// Wait for a commit.
    Commit,
    /// Read these archives for it.
    ReadOld(Vec<ArchiveId>),
    /// Answer it.
    Answer(ClaimAnswer),
    /// Read the shard again, as the loaded state is out of date.
    Reload,
}

impl<C: Clock> Holder<C> {
    /// Answers the claims that the loaded state decides; the rest wait for a commit. Returns a call if merged archives
    /// must be read first.
    pub(super) fn answer_from_state(&mut self, now_ms: UnixMs) -> Option<StoreCall> {
        let mut at = 0;
        while at < self.waiting.len() {
            match self.claim_action(&self.waiting[at], now_ms) {
                ClaimAction::Commit => at += 1,
                ClaimAction::Answer(answer) => self.answer_waiting(at, answer),
                ClaimAction::ReadOld(archives) => return self.read_old(at, &archives),
                ClaimAction::Reload if self.waiting[at].reloaded => self.refuse_unknown_attempt(at),
                ClaimAction::Reload => {
                    self.waiting[at].reloaded = true;
                    self.unload();
                    return None;
                }
            }
        }
        None
    }

    fn claim_action(&self, waiting: &WaitingClaim, now_ms: UnixMs) -> ClaimAction {
        let Some(loaded) = &self.loaded else { return ClaimAction::Reload };
        let known = match loaded.index.find(&waiting.claim.key) {
            Lookup::Recent(known) => Some(known),
            Lookup::NotFound => None,
            Lookup::Archives(archives) => match &waiting.old {
                OldRecord::NotRead => return ClaimAction::ReadOld(archives),
                OldRecord::Read(known) => known.as_ref(),
            },
        };
        match known.filter(|known| !known.expired(now_ms, self.cfg.retention)) {
            Some(known) => self.check_claim(known, &waiting.claim),
            None if waiting.claim.after == 0 => ClaimAction::Commit,
            None => ClaimAction::Reload,
        }
    }

    fn check_claim(&self, known: &CommittedRecord, claim: &Claim) -> ClaimAction {
        match known.check_claim(claim, self.shard) {
            ClaimCheck::Commit => ClaimAction::Commit,
            ClaimCheck::UnknownAttempt => ClaimAction::Reload,
            ClaimCheck::Mismatch => ClaimAction::Answer(ClaimAnswer::Mismatch),
            ClaimCheck::Own(stamp) => ClaimAction::Answer(ClaimAnswer::Granted(stamp)),
            ClaimCheck::Other(stamp) => {
                ClaimAction::Answer(ClaimAnswer::Existing { stamp, target: known.record.target })
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

    fn refuse_unknown_attempt(&mut self, at: usize) {
        let Some(waiting) = self.waiting.remove(at) else { return };
        let detail = "the attempt before it is not in the ledger".to_owned();
        self.refuse(waiting.from, &waiting.claim, true, detail, Duration::ZERO);
    }

    fn read_old(&mut self, at: usize, archives: &[ArchiveId]) -> Option<StoreCall> {
        self.counts.lookups += 1;
        let keys = archives.iter().map(|id| id.key(self.shard)).collect();
        match self.call(PendingCall::ReadOld(at), StoreCall::Read { keys }) {
            HolderStep::Call(call) => Some(call),
            HolderStep::WaitUntil(_) | HolderStep::Idle => None,
        }
    }

    pub(super) fn on_old_archives(&mut self, at: usize, objects: Vec<ReadObject>) {
        let Some(waiting) = self.waiting.get_mut(at) else { return };
        let mut latest: Option<CommittedRecord> = None;
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
                        latest =
                            Some(CommittedRecord { record, base: batch.base, at_ms: batch.at_ms });
                    }
                }
            }
        }
        waiting.old = OldRecord::Read(latest);
    }
}
