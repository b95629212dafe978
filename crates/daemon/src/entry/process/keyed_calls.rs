//! Calls with an idempotency key: each is claimed in the run-once ledger before it is sent.

use crate::entry::process::calls::Run;
use crate::entry::process::{ARRIVAL_WAIT, ASK_WAIT, CLAIM_WAIT, Calls, RUN_WAIT};
use crate::entry::request::{Keyed, Problem};
use crate::process::Count;
use sorrellock_core::id::Sequence;
use sorrellock_core::process::ledger::{Claim, KeyedRun, KeyedStep, RecordStatus, Stamp};
use sorrellock_core::request::{Peer, Refusal, RequestKey, Unknown};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallEnd, LedgerMessage};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::entry::request::CallRun;

/// Holds the end of a run received for a record.
pub(super) struct ReceivedEnd {
    stamp: Stamp,
    end: CallEnd,
}

impl<L: Link> Calls<L> {
    /// Handles a ledger message; returns false if no call of this entry matches it.
    pub fn on_ledger(&self, message: &LedgerMessage) -> bool {
        let owner = match message {
            LedgerMessage::Answer { owner, .. }
            | LedgerMessage::End { owner, .. }
            | LedgerMessage::Told { owner, .. }
            | LedgerMessage::Gone { owner, .. } => *owner,
            _ => return false,
        };
        let Some(run) = self.keyed(owner) else { return false };
        match message.clone() {
            LedgerMessage::Answer { after, answer, .. } => {
                self.with_keyed(&run, None, |run| run.on_claim_answer(after, answer));
            }
            LedgerMessage::End { stamp, end, .. } => self.on_run_end(&run, stamp, end),
            LedgerMessage::Told { stamp, told, .. } => self.on_record_status(&run, stamp, told),
            LedgerMessage::Gone { stamp, .. } => {
                self.with_keyed(&run, None, |run| run.on_gone(&stamp));
            }
            _ => {}
        }
        true
    }

    /// Handles the timeout of a call that waits for the ledger or its run.
    pub fn on_wait_over(&self, sequence: Sequence) {
        let Some(run) = self.runs.get(sequence) else { return };
        let mut locked = run.lock().unwrap();
        let Some(keyed) = &mut locked.keyed else { return };
        if !keyed.take_wait(Instant::now()) {
            return;
        }
        let step = keyed.run.on_wait_over();
        self.act(locked, step, None);
    }

    /// Chooses a daemon for a call with a key and claims the key; used at the start and after a refusal.
    pub(super) fn choose_keyed(&self, mut run: Run<'_>) {
        let max_attempts = self.max_attempts;
        let next = match run.pipeline {
            Some(_) => self.next_first_stage(&mut run),
            None => self.next_endpoint(&run),
        };
        let Some(keyed) = &mut run.keyed else { return };
        let step = match next {
            Some((endpoint, daemon)) if keyed.run.attempts_refused() < max_attempts => {
                let claim = keyed.run.claim(daemon);
                run.in_flight = self.fleet.view().count(&endpoint);
                run.tried.push(endpoint.clone());
                run.sent.endpoint = endpoint;
                run.daemon = daemon;
                KeyedStep::Claim(claim)
            }
            _ => keyed.run.abandon(Refusal::Capacity, "no endpoint takes it"),
        };
        self.act(run, step, None);
    }

    /// Abandons a call. The outcome is not-run if no part of it can run any more, else unknown.
    pub(super) fn abandon_keyed(&self, mut run: Run<'_>, refusal: Refusal, detail: &str) {
        self.end_granted(&run, detail);
        let Some(keyed) = &mut run.keyed else { return };
        match keyed.run.abandon(refusal, detail) {
            KeyedStep::Unknown(unknown) if refusal == Refusal::Deadline => {
                self.fail(run, Problem { status: 504, ..unknown.into() });
            }
            step => self.act(run, step, None),
        }
    }

    /// Handles the loss of the link to a daemon: resends a claim, at most once before its timeout, and
    /// queries the state of a run that was sent.
    pub(super) fn on_closed_keyed(&self, mut run: Run<'_>, peer: SocketAddr) {
        let Some(keyed) = &mut run.keyed else { return };
        let step = if keyed.run.is_claiming() && keyed.holder == Some(peer) {
            if !keyed.take_claim_again() {
                return;
            }
            keyed.run.on_holder_lost()
        } else if keyed.run.target().is_some_and(|target| target.addr == peer) {
            keyed.run.on_link_lost()
        } else {
            return;
        };
        self.act(run, step, None);
    }

    fn keyed(&self, owner: RequestKey) -> Option<Arc<Mutex<CallRun>>> {
        let mine = owner.entry == self.me.incarnation;
        let run = mine.then(|| self.runs.get(owner.sequence)).flatten()?;
        let keyed = run.lock().unwrap().keyed.is_some();
        keyed.then_some(run)
    }

    fn on_run_end(&self, run: &Mutex<CallRun>, stamp: Stamp, end: CallEnd) {
        if let CallEnd::NotRun { .. } = end {
            return self.with_keyed(run, None, |run| run.on_refused(&stamp));
        }
        self.with_keyed(run, Some(ReceivedEnd { stamp, end }), |run| run.on_end(&stamp));
    }

    fn on_record_status(&self, run: &Mutex<CallRun>, stamp: Stamp, status: RecordStatus<CallEnd>) {
        let received = match &status {
            RecordStatus::Ended(end) => Some(ReceivedEnd { stamp, end: end.clone() }),
            _ => None,
        };
        if status == RecordStatus::Running && self.begin_pipeline(run, &stamp) {
            return;
        }
        self.with_keyed(run, received, |run| run.on_record_status(&stamp, &status));
    }

    fn with_keyed(
        &self,
        run: &Mutex<CallRun>,
        received: Option<ReceivedEnd>,
        event: impl FnOnce(&mut KeyedRun) -> KeyedStep,
    ) {
        let mut run = run.lock().unwrap();
        let Some(keyed) = &mut run.keyed else { return };
        let step = event(&mut keyed.run);
        self.act(run, step, received);
    }

    pub(super) fn not_sent(&self, mut run: Run<'_>) {
        let Some(keyed) = &mut run.keyed else { return };
        let step = keyed.run.on_not_sent();
        self.act(run, step, None);
    }

    fn act(&self, run: Run<'_>, step: KeyedStep, received: Option<ReceivedEnd>) {
        match step {
            KeyedStep::Choose => self.choose_keyed(run),
            KeyedStep::Claim(claim) => self.send_claim(run, claim),
            KeyedStep::Send(stamp) => self.send_run(run, stamp),
            KeyedStep::Ask { stamp, target, fence } => self.send_ask(run, stamp, target, fence),
            KeyedStep::Wait => {
                let follows = run.keyed.as_ref().is_some_and(|keyed| keyed.run.is_following());
                self.wait(run, if follows { RUN_WAIT } else { ASK_WAIT });
            }
            KeyedStep::Drop => self.counters.count(Count::LateAnswers),
            KeyedStep::Finish => self.finish_keyed(run, received),
            KeyedStep::Mismatch => {
                self.counters.count(Count::KeyMismatches);
                self.fail(run, Problem::key_mismatch());
            }
            KeyedStep::NotRun(not_run) => self.fail(run, not_run.into()),
            KeyedStep::Unknown(unknown) => self.fail(run, unknown.into()),
        }
    }

    fn send_claim(&self, mut run: Run<'_>, claim: Claim) {
        let holder = self.ledger.claim(claim);
        if let Some(keyed) = &mut run.keyed {
            keyed.holder = holder.map(|holder| holder.addr);
        }
        self.wait(run, CLAIM_WAIT);
    }

    fn send_run(&self, mut run: Run<'_>, stamp: Stamp) {
        if run.pipeline.is_some() {
            return self.send_begin(run, stamp);
        }
        let left = run.deadline.saturating_duration_since(Instant::now());
        run.sent.attempt = stamp.attempt;
        run.sent.deadline_ms = left.as_millis() as u64;
        let message = LedgerMessage::Run { stamp, call: run.sent.clone() };
        if self.ledger.send(run.daemon, message).is_err() {
            return self.not_sent(run);
        }
        self.wait(run, RUN_WAIT);
    }

    fn send_ask(&self, mut run: Run<'_>, stamp: Stamp, target: Peer, fence: bool) {
        let query_sent = self.ledger.ask(target, run.request, stamp, fence);
        if query_sent.is_ok() {
            let wait = if fence { ASK_WAIT } else { ARRIVAL_WAIT };
            return self.wait(run, wait);
        }
        let Some(keyed) = &mut run.keyed else { return };
        let step = keyed.run.on_unreached();
        self.act(run, step, None);
    }

    /// Schedules the next query or resend after `wait`; it is dropped if the call has ended by then.
    pub(super) fn wait(&self, mut run: Run<'_>, wait: Duration) {
        let sequence = run.request.sequence;
        if let Some(keyed) = &mut run.keyed {
            keyed.wait_until = Some(self.ledger.wait(sequence, wait));
        }
    }

    fn finish_keyed(&self, run: Run<'_>, received: Option<ReceivedEnd>) {
        let Some(ReceivedEnd { stamp, end }) = received else { return };
        let own = run.keyed.as_ref().is_some_and(|keyed: &Keyed| keyed.run.is_own(&stamp));
        match end {
            CallEnd::Done { status, content_type, body } => {
                if !own {
                    self.counters.count(Count::Replayed);
                }
                self.done(run, status, content_type, body, !own);
            }
            CallEnd::Unknown { detail } => self.fail(run, Unknown { detail }.into()),
            CallEnd::NotRun { .. } => {}
        }
    }
}
