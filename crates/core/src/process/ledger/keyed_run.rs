//! State machine at the entry for one request with a key.

use super::{Claim, ClaimAnswer, Fingerprint, RecordKey, RecordStatus, Stamp};
use crate::id::Attempt;
use crate::request::{NotRun, Peer, Refusal, RequestKey, Unknown};
use std::time::Duration;

/// Number of times a claim is sent before the ledger counts as unreachable.
pub const MAX_CLAIMS: u32 = 16;
/// Number of failures in a row to reach a daemon before it counts as unreachable.
pub const MAX_UNREACHED: u32 = 5;

/// What the entry must do next for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedStep {
    /// Choose a daemon, and [`KeyedRun::claim`] the key for it.
    Choose,
    /// Send this claim to the holder of its shard.
    Claim(Claim),
    /// Send the run to the chosen daemon, with this stamp.
    Send(Stamp),
    /// Ask this daemon for the status of the record.
    Ask {
        /// The record.
        stamp: Stamp,
        /// The daemon.
        target: Peer,
        /// Whether a run that has not arrived yet must be prevented from starting.
        fence: bool,
    },
    /// Wait for the next message or timeout.
    Wait,
    /// The message is late, repeated, or crossed another one: drop and count it.
    Drop,
    /// The answer that arrived belongs to the request: pass it to the caller.
    Finish,
    /// The key was used for another request.
    Mismatch,
    /// The request was not run, and will not be.
    NotRun(NotRun),
    /// The request may have run.
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

/// State of one request with a key, from its first claim to its final outcome.
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
    /// Creates the state of a request that has claimed nothing yet.
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

    /// Returns the key.
    pub fn key(&self) -> &RecordKey {
        &self.key
    }

    /// Returns the number of attempts at the key that are proven not to have run.
    pub fn attempts_refused(&self) -> Attempt {
        self.after
    }

    /// Whether the record was granted to this request, and not to an earlier one.
    pub fn is_own(&self, stamp: &Stamp) -> bool {
        self.granted.as_ref() == Some(stamp)
    }

    /// Returns the stamp of the last record granted to this request.
    pub fn granted(&self) -> Option<Stamp> {
        self.granted
    }

    /// Whether the request waits for the end of a run that its daemon reported as running.
    pub fn is_following(&self) -> bool {
        matches!(self.state, State::Following { .. })
    }

    /// Whether the request waits for the holder of its shard.
    pub fn is_claiming(&self) -> bool {
        matches!(self.state, State::Claiming { .. })
    }

    /// Returns the daemon of the run that the request sent or follows.
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

    /// Handles the holder's answer to the claim that follows attempt `after`.
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

    /// Handles a granted run that could not be sent and never left this process.
    pub fn on_not_sent(&mut self) -> KeyedStep {
        let State::Sent { stamp, .. } = &self.state else { return KeyedStep::Drop };
        self.after = stamp.attempt;
        self.choose_again(Proof::NeverSent)
    }

    /// Handles the daemon's refusal of a run that it has not started, and never will.
    pub fn on_refused(&mut self, stamp: &Stamp) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        self.after = stamp.attempt;
        self.choose_again(Proof::Refused)
    }

    /// Handles the end of the run: its answer, or the report that its outcome is unknown.
    pub fn on_end(&mut self, stamp: &Stamp) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        self.end(KeyedStep::Finish)
    }

    /// Handles the status of the record that the daemon was asked for.
    pub fn on_record_status<A>(&mut self, stamp: &Stamp, status: &RecordStatus<A>) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        self.unreached = 0;
        match status {
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

    /// Handles the report that the incarnation of the daemon in the record has ended.
    pub fn on_gone(&mut self, stamp: &Stamp) -> KeyedStep {
        if !self.waits_for(stamp) {
            return KeyedStep::Drop;
        }
        let target = self.target_name();
        self.unknown(format!("it was given to {target}, which is gone: it may have run"))
    }

    /// Handles a closed link to the daemon: asks for the status of a run that was sent. If the status
    /// was asked for already, this counts as a failure to reach the daemon, as the question may be lost.
    pub fn on_link_lost(&mut self) -> KeyedStep {
        match self.state {
            State::Sent { stamp, target } => self.ask(stamp, target, true),
            State::Asking { .. } | State::Following { .. } => self.on_unreached(),
            State::Choosing | State::Claiming { .. } | State::Ended => KeyedStep::Wait,
        }
    }

    /// Handles a failure to reach the daemon that is to be asked.
    pub fn on_unreached(&mut self) -> KeyedStep {
        self.unreached += 1;
        if self.unreached < MAX_UNREACHED {
            return KeyedStep::Wait;
        }
        let target = self.target_name();
        self.unknown(format!("it was given to {target}, which can't be reached: it may have run"))
    }

    /// Handles a timeout: sends the claim or the status request again. A status request that got no answer is repeated
    /// with a fence, so that a run that has not arrived by then never starts.
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
            // The run or its answer may be lost.
            State::Sent { stamp, target } => {
                let (stamp, target) = (*stamp, *target);
                self.ask(stamp, target, false)
            }
            State::Choosing | State::Ended => KeyedStep::Wait,
        }
    }

    /// Handles a closed link to the holder of the shard: the claim or its answer may be lost, so the
    /// claim is sent again. This doesn't count towards [`MAX_CLAIMS`], which bounds how long the request
    /// waits for the ledger: a holder that just died refuses links at once, as long as it is still
    /// listed as the holder.
    pub fn on_holder_lost(&self) -> KeyedStep {
        match &self.state {
            State::Claiming { claim, .. } => KeyedStep::Claim(claim.clone()),
            _ => KeyedStep::Drop,
        }
    }

    /// Abandons the request. Its outcome is "not run" if it knows of no run of the key that may have started, else
    /// "unknown".
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

    /// Returns a refusal with the last proof that nothing runs.
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
