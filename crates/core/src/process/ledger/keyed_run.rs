//! One request with a key on its way through the ledger, at its entry.

use super::{Claim, ClaimAnswer, Fingerprint, RecordKey, RecordStatus, Stamp};
use crate::id::Attempt;
use crate::request::{NotRun, Peer, Refusal, RequestKey, Unknown};
use std::time::Duration;

/// Times that a claim is sent before the ledger counts as out of reach.
pub const MAX_CLAIMS: u32 = 16;
/// Times in a row that a daemon can't be reached before it counts as gone.
pub const MAX_UNREACHED: u32 = 5;

/// What the entry is to do next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedStep {
    /// Choose a daemon, and [`KeyedRun::claim`] the key for it.
    Choose,
    /// Send this claim to the holder of its shard.
    Claim(Claim),
    /// Send the run to the daemon chosen, with this stamp.
    Send(Stamp),
    /// Ask this daemon for the record.
    Ask {
        /// The record.
        stamp: Stamp,
        /// The daemon.
        target: Peer,
        /// Whether a run that has not come yet is to be kept from starting.
        fence: bool,
    },
    /// Wait.
    Wait,
    /// What came is late, crossed or repeated: drop and count it.
    Drop,
    /// The answer that came is the request's own: hand it over.
    Finish,
    /// The key was used for another request.
    Mismatch,
    /// It is not run, and will not be.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
}

/// The last proof that nothing runs for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Proof {
    NeverSent,
    Refused,
    Tombstoned,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    Choosing,
    Claiming { claim: Claim, times: u32 },
    Sent { stamp: Stamp, target: Peer },
    Asking { stamp: Stamp, target: Peer, fence: bool },
    Following { stamp: Stamp, target: Peer },
    Ended,
}

/// One request with a key on its way through the ledger.
#[derive(Clone, Debug)]
pub struct KeyedRun {
    owner: RequestKey,
    key: RecordKey,
    fingerprint: Fingerprint,
    after: Attempt,
    proof: Proof,
    unreached: u32,
    granted: Option<Stamp>,
    state: State,
}

impl KeyedRun {
    /// A request that has claimed nothing yet.
    pub fn new(owner: RequestKey, key: RecordKey, fingerprint: Fingerprint) -> KeyedRun {
        KeyedRun {
            owner,
            key,
            fingerprint,
            after: 0,
            proof: Proof::NeverSent,
            unreached: 0,
            granted: None,
            state: State::Choosing,
        }
    }

    /// The key.
    pub fn key(&self) -> &RecordKey {
        &self.key
    }

    /// Attempts at the key that are proven not to have run.
    pub fn attempts_refused(&self) -> Attempt {
        self.after
    }

    /// Whether the run of a record is its own, and not that of an earlier request.
    pub fn is_own(&self, stamp: &Stamp) -> bool {
        self.granted.as_ref() == Some(stamp)
    }

    /// The last record that was granted to it.
    pub fn granted(&self) -> Option<Stamp> {
        self.granted
    }

    /// Whether it waits for the end of a run that its daemon has told of.
    pub fn is_following(&self) -> bool {
        matches!(self.state, State::Following { .. })
    }

    /// Whether it waits for the holder of its shard.
    pub fn is_claiming(&self) -> bool {
        matches!(self.state, State::Claiming { .. })
    }

    /// The daemon that has its run, or the run that it follows.
    pub fn target(&self) -> Option<Peer> {
        match &self.state {
            State::Sent { target, .. }
            | State::Asking { target, .. }
            | State::Following { target, .. } => Some(*target),
            State::Choosing | State::Claiming { .. } | State::Ended => None,
        }
    }

    /// Claims the key for a run at `target`.
    pub fn claim(&mut self, target: Peer) -> Claim {
        let claim = Claim {
            owner: self.owner,
            key: self.key,
            fingerprint: self.fingerprint,
            after: self.after,
            target,
        };
        self.state = State::Claiming { claim: claim.clone(), times: 1 };
        claim
    }

    /// Takes the holder's answer to the claim after attempt `after`.
    pub fn on_claim_answer(&mut self, after: Attempt, answer: ClaimAnswer) -> KeyedStep {
        let State::Claiming { claim, .. } = &self.state else { return KeyedStep::Drop };
        if after != self.after {
            return KeyedStep::Drop;
        }
        let target = claim.target;
        match answer {
            ClaimAnswer::Granted(stamp) => {
                self.granted = Some(stamp);
                self.state = State::Sent { stamp, target };
                KeyedStep::Send(stamp)
            }
            ClaimAnswer::Existing { stamp, target } => self.ask(stamp, target, false),
            ClaimAnswer::Mismatch => self.end(KeyedStep::Mismatch),
            ClaimAnswer::Refused { store_down, detail, retry_after_ms } => {
                let refusal = if store_down { Refusal::StoreDown } else { Refusal::Capacity };
                let wait = Duration::from_millis(retry_after_ms);
                let not_run = self.not_run(refusal, detail).with_retry_after(wait);
                self.end(KeyedStep::NotRun(not_run))
            }
        }
    }

    /// The run was granted, and could not be sent: it never left this process.
    pub fn on_not_sent(&mut self) -> KeyedStep {
        let State::Sent { stamp, .. } = &self.state else { return KeyedStep::Drop };
        self.after = stamp.attempt;
        self.choose_again(Proof::NeverSent)
    }

    /// The daemon refused the run before starting it, and will never start it.
    pub fn on_refused(&mut self, stamp: &Stamp) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        self.after = stamp.attempt;
        self.choose_again(Proof::Refused)
    }

    /// The run's end came: its answer, or that its end is not known.
    pub fn on_end(&mut self, stamp: &Stamp) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        self.end(KeyedStep::Finish)
    }

    /// Takes what the daemon tells of the record that it was asked for.
    pub fn on_record_status<A>(&mut self, stamp: &Stamp, told: &RecordStatus<A>) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        self.unreached = 0;
        match told {
            RecordStatus::Ended(_) => self.end(KeyedStep::Finish),
            RecordStatus::Running => self.follow(*stamp),
            RecordStatus::NotSeen => KeyedStep::Wait,
            RecordStatus::Tombstoned => {
                self.after = stamp.attempt;
                self.choose_again(Proof::Tombstoned)
            }
            RecordStatus::AnswerDropped => {
                self.unknown("it ran before, and its answer is kept no longer".to_owned())
            }
            RecordStatus::Forgotten => {
                let target = self.target_name();
                self.unknown(format!("whether it ran at {target} is remembered no longer"))
            }
        }
    }

    /// The daemon that the record names is no more.
    pub fn on_gone(&mut self, stamp: &Stamp) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        let target = self.target_name();
        self.unknown(format!("it was given to {target}, which is gone: it may have run"))
    }

    /// The link to the daemon closed: ask what became of a run that was sent. A question that was
    /// under way may be lost.
    pub fn on_link_lost(&mut self) -> KeyedStep {
        match self.state {
            State::Sent { stamp, target } => self.ask(stamp, target, true),
            State::Asking { .. } | State::Following { .. } => self.on_unreached(),
            State::Choosing | State::Claiming { .. } | State::Ended => KeyedStep::Wait,
        }
    }

    /// The daemon to be asked could not be reached.
    pub fn on_unreached(&mut self) -> KeyedStep {
        self.unreached += 1;
        if self.unreached < MAX_UNREACHED {
            return KeyedStep::Wait;
        }
        let target = self.target_name();
        self.unknown(format!("it was given to {target}, which can't be reached: it may have run"))
    }

    /// Nothing came for a while: ask again. A run that has not come by now is kept from starting.
    pub fn on_wait_over(&mut self) -> KeyedStep {
        match &mut self.state {
            State::Claiming { claim, times } if *times < MAX_CLAIMS => {
                *times += 1;
                KeyedStep::Claim(claim.clone())
            }
            State::Claiming { .. } => {
                let detail = "nothing was run for this request: the ledger can't be reached";
                let not_run = self.not_run(Refusal::StoreDown, detail);
                self.end(KeyedStep::NotRun(not_run))
            }
            State::Asking { stamp, target, fence } => {
                *fence = true;
                KeyedStep::Ask { stamp: *stamp, target: *target, fence: true }
            }
            State::Following { stamp, target } => {
                KeyedStep::Ask { stamp: *stamp, target: *target, fence: false }
            }
            // Its answer, or the run itself, may be lost.
            State::Sent { stamp, target } => {
                let (stamp, target) = (*stamp, *target);
                self.ask(stamp, target, false)
            }
            State::Choosing | State::Ended => KeyedStep::Wait,
        }
    }

    /// The link to the holder of its shard closed, and the claim or its answer may be lost: the claim
    /// to send again. It isn't counted among [`MAX_CLAIMS`], which bound how long the ledger is
    /// waited for: a holder that just died refuses links at once, for as long as it is still named.
    pub fn on_holder_lost(&self) -> KeyedStep {
        match &self.state {
            State::Claiming { claim, .. } => KeyedStep::Claim(claim.clone()),
            _ => KeyedStep::Drop,
        }
    }

    /// Gives up: not run if nothing that runs, or might, is known of the key; else unknown.
    pub fn abandon(&mut self, refusal: Refusal, detail: &str) -> KeyedStep {
        match self.state {
            State::Choosing | State::Claiming { .. } => {
                let not_run = self.not_run(refusal, detail);
                self.end(KeyedStep::NotRun(not_run))
            }
            State::Ended => KeyedStep::Drop,
            _ => self.unknown(detail.to_owned()),
        }
    }

    /// A refusal with the last proof that nothing runs.
    fn not_run(&self, refusal: Refusal, detail: impl Into<String>) -> NotRun {
        match self.proof {
            Proof::NeverSent => NotRun::never_sent(refusal, detail),
            Proof::Refused => NotRun::refused_before_start(refusal, detail),
            Proof::Tombstoned => NotRun::tombstoned(refusal, detail),
        }
    }

    fn waits_for(&self, stamp: &Stamp) -> bool {
        match &self.state {
            State::Sent { stamp: own, .. }
            | State::Asking { stamp: own, .. }
            | State::Following { stamp: own, .. } => own == stamp,
            State::Choosing | State::Claiming { .. } | State::Ended => false,
        }
    }

    fn ask(&mut self, stamp: Stamp, target: Peer, fence: bool) -> KeyedStep {
        self.unreached = 0;
        self.state = State::Asking { stamp, target, fence };
        KeyedStep::Ask { stamp, target, fence }
    }

    fn follow(&mut self, stamp: Stamp) -> KeyedStep {
        if let Some(target) = self.target() {
            self.state = State::Following { stamp, target };
        }
        KeyedStep::Wait
    }

    fn choose_again(&mut self, proof: Proof) -> KeyedStep {
        self.proof = proof;
        self.state = State::Choosing;
        KeyedStep::Choose
    }

    fn unknown(&mut self, detail: String) -> KeyedStep {
        self.end(KeyedStep::Unknown(Unknown { detail }))
    }

    fn end(&mut self, step: KeyedStep) -> KeyedStep {
        self.state = State::Ended;
        step
    }

    fn target_name(&self) -> String {
        self.target().map_or_else(|| "its daemon".to_owned(), |target| target.addr.to_string())
    }
}
