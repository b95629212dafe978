//! Calls of an entry to plain services: each gets exactly one outcome and is retried only if that is allowed.

use crate::entry::process::{
    FleetCell, InProgress, LedgerClient, Pipelines, RetryDesk, Timer, attempt_end, no_answer,
};
use crate::entry::request::{
    CallRun, Keyed, OUTCOME_HEADER, Problem, REPLAYED_HEADER, RunOnce, RunTable,
};
use crate::process::{Count, Counters};
use sorrellock_core::id::{Attempt, EndpointId, Sequence, ServiceId, WorkspaceId};
use sorrellock_core::process::admission::Ended;
use sorrellock_core::process::retries::{AttemptEnd, Permit};
use sorrellock_core::request::{NotRun, Peer, Refusal, RequestKey, Unknown};
use sorrellock_http::Responder;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallEnd, CallMessage, CallRequest, Message};
use std::net::SocketAddr;
use std::sync::{Arc, MutexGuard};
use std::time::Instant;

/// An admitted call.
pub struct NewCall {
    /// The key of the request.
    pub request: RequestKey,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// The message to send; endpoint and attempt are set for each attempt.
    pub call: CallRequest,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// The ledger key and fingerprint, if it must run at most once.
    pub once: Option<RunOnce>,
    /// When the request times out.
    pub deadline: Instant,
}

/// Runs the calls of an entry to plain services.
pub struct Calls<L> {
    pub(super) me: Peer,
    pub(super) link: Arc<L>,
    pub(super) fleet: Arc<FleetCell>,
    pub(super) ledger: LedgerClient<L>,
    pub(super) pipelines: Arc<Pipelines<L>>,
    pub(super) retries: Arc<RetryDesk>,
    pub(super) in_progress: Arc<InProgress>,
    pub(super) timer: Arc<Timer>,
    pub(super) counters: Arc<Counters>,
    pub(super) max_attempts: u32,
    pub(super) runs: RunTable<CallRun>,
}

pub(super) type Run<'a> = MutexGuard<'a, CallRun>;

impl<L: Link> Calls<L> {
    /// Starts an admitted call, which is answered exactly once, through `responder`.
    pub fn start(self: &Arc<Self>, new: NewCall, responder: Responder) {
        let sequence = new.request.sequence;
        self.cancel_when_gone(&responder, sequence);
        let run = CallRun {
            request: new.request,
            workspace: new.workspace,
            service: new.service,
            sent: new.call,
            daemon: self.me,
            tried: Vec::new(),
            idempotent: new.idempotent,
            earlier_unknown: None,
            keyed: new.once.map(|once| Keyed::new(new.request, once)),
            pipeline: None,
            deadline: new.deadline,
            responder: Some(responder),
            in_flight: None,
            permit: None,
        };
        let run = self.runs.insert(sequence, run);
        self.timer.add(new.deadline, sequence);
        let run = run.lock().unwrap();
        if run.keyed.is_some() {
            return self.choose_keyed(run);
        }
        let nothing_tried =
            NotRun::never_sent(Refusal::Capacity, "no instance of the service takes calls");
        self.try_next(run, Problem::from(nothing_tried));
    }

    pub(super) fn cancel_when_gone(self: &Arc<Self>, responder: &Responder, sequence: Sequence) {
        let this = Arc::downgrade(self);
        responder.on_gone(move || {
            if let Some(this) = this.upgrade() {
                this.cancel(sequence);
            }
        });
    }

    /// Handles the end of an attempt.
    pub fn on_end(&self, request: RequestKey, attempt: Attempt, end: CallEnd) {
        let mine = request.entry == self.me.incarnation;
        let Some(run) = mine.then(|| self.runs.get(request.sequence)).flatten() else {
            return self.counters.count(Count::LateAnswers);
        };
        let mut run = run.lock().unwrap();
        if run.attempt() != attempt || run.responder.is_none() {
            return self.counters.count(Count::LateAnswers);
        }
        let ended = attempt_end(&end, run.given());
        self.end_attempt(&mut run, ended);
        match end {
            CallEnd::Done { status, content_type, body } => {
                self.done(run, status, content_type, body, false)
            }
            CallEnd::NotRun { refusal, detail } => {
                let not_run = NotRun::refused_before_start(refusal, detail);
                self.try_next(run, Problem::from(not_run));
            }
            CallEnd::Unknown { detail } => self.lost(run, detail),
        }
    }

    /// Handles the loss of the link to a daemon: calls sent to it may have run.
    pub fn on_closed(&self, peer: SocketAddr) {
        for (_, run) in self.runs.all() {
            let mut run = run.lock().unwrap();
            if run.keyed.is_some() {
                self.on_closed_keyed(run, peer);
                continue;
            }
            if run.daemon.addr == peer && run.responder.is_some() {
                self.end_attempt(&mut run, AttemptEnd::Failure);
                self.lost(run, format!("the link to {peer} closed after the call was sent"));
            }
        }
    }

    /// Handles the expiry of a call's deadline.
    pub fn on_deadline(&self, sequence: Sequence) {
        let Some(run) = self.runs.get(sequence) else { return };
        let mut run = run.lock().unwrap();
        let detail = "the deadline passed before an answer came".to_owned();
        if run.keyed.is_some() {
            return self.abandon_keyed(run, Refusal::Deadline, &detail);
        }
        let ended = no_answer(run.given());
        self.end_attempt(&mut run, ended);
        self.fail(run, Problem { status: 504, ..Unknown { detail }.into() });
    }

    /// Cancels a call whose caller went away.
    pub fn cancel(&self, sequence: Sequence) {
        let Some(run) = self.runs.get(sequence) else { return };
        self.counters.count(Count::CallersGone);
        let mut run = run.lock().unwrap();
        let detail = "the caller went away".to_owned();
        if run.keyed.is_some() {
            return self.abandon_keyed(run, Refusal::Cancelled, &detail);
        }
        self.end_attempt(&mut run, AttemptEnd::Neutral);
        self.fail(run, Unknown { detail }.into());
    }

    /// Sends the call to the next endpoint, or answers with `otherwise` if there is none.
    fn try_next(&self, mut run: Run<'_>, mut otherwise: Problem) {
        while run.attempt() < self.max_attempts {
            let Some((endpoint, daemon, permit)) = self.next_attempt(&run) else { break };
            run.permit = Some(permit);
            let is_retry = run.attempt() > 0;
            if is_retry && let Err(wait) = self.retries.spend_retry(&run.workspace, &endpoint) {
                otherwise.retry_after = Some(wait);
                self.end_attempt_at(&mut run, &endpoint, daemon, AttemptEnd::Neutral);
                break;
            }
            run.in_flight = self.fleet.view().count(&endpoint);
            run.tried.push(endpoint.clone());
            run.daemon = daemon;
            run.sent.attempt += 1;
            run.sent.endpoint = endpoint;
            let left = run.deadline.saturating_duration_since(Instant::now());
            run.sent.deadline_ms = left.as_millis() as u64;
            let message = Message::Call(CallMessage::Request(run.sent.clone()));
            if self.link.send(daemon, message).is_ok() {
                return;
            }
            self.counters.count(Count::SendsRefused);
            self.end_attempt(&mut run, AttemptEnd::Neutral);
        }
        self.fail(run, otherwise);
    }

    fn next_attempt(&self, run: &CallRun) -> Option<(EndpointId, Peer, Permit)> {
        let view = self.fleet.view();
        let mut untried = view.services(&run.service);
        untried.retain(|known| !run.tried.contains(&known.fact.id));
        self.retries.choose(&untried)
    }

    /// Reports the end of the current attempt to the breaker and the retry budget.
    fn end_attempt(&self, run: &mut Run<'_>, end: AttemptEnd) {
        let (endpoint, daemon) = (run.sent.endpoint.clone(), run.daemon);
        self.end_attempt_at(run, &endpoint, daemon, end);
    }

    fn end_attempt_at(&self, run: &mut Run<'_>, at: &EndpointId, daemon: Peer, end: AttemptEnd) {
        if let Some(permit) = run.permit.take() {
            self.retries.on_end(&run.workspace, at, daemon, permit, end);
        }
    }

    /// Returns the next endpoint of a call with a key. Endpoints whose breaker isn't closed are a last resort.
    pub(super) fn next_endpoint(&self, run: &CallRun) -> Option<(EndpointId, Peer)> {
        let view = self.fleet.view();
        let services = view.services(&run.service);
        let untried = services.iter().filter(|known| !run.tried.contains(&known.fact.id));
        let first = untried.min_by_key(|known| !self.retries.is_closed(&known.fact.id));
        first.map(|known| (known.fact.id.clone(), known.daemon))
    }

    /// Handles an attempt that may have run but whose answer is lost.
    fn lost(&self, mut run: Run<'_>, detail: String) {
        let unknown = Unknown { detail };
        run.earlier_unknown = Some(unknown.clone());
        if run.idempotent {
            return self.try_next(run, unknown.into());
        }
        self.fail(run, unknown.into());
    }

    pub(super) fn done(
        &self,
        mut run: Run<'_>,
        status: u16,
        content_type: Option<String>,
        body: Vec<u8>,
        replayed: bool,
    ) {
        self.counters.count(Count::Done);
        if let Some(responder) = run.responder.take() {
            let mut headers = vec![(OUTCOME_HEADER, "done")];
            if let Some(content_type) = &content_type {
                headers.push(("content-type", content_type));
            }
            if replayed {
                headers.push((REPLAYED_HEADER, "true"));
            }
            responder.send(status, &headers, body);
        }
        self.end(&run, Ended::RanFor);
    }

    pub(super) fn fail(&self, mut run: Run<'_>, problem: Problem) {
        let Some(responder) = run.responder.take() else { return };
        let problem = match run.earlier_unknown.take() {
            Some(earlier_unknown) if problem.outcome == "not-run" => {
                Problem { retry_after: problem.retry_after, ..earlier_unknown.into() }
            }
            _ => problem,
        };
        let count = if problem.outcome == "not-run" { Count::NotRun } else { Count::Unknown };
        self.counters.count(count);
        let ended = match problem.status {
            503 => Ended::NoCapacity,
            _ if problem.outcome == "not-run" => Ended::NotRun,
            _ => Ended::RanFor,
        };
        problem.send(responder);
        self.end(&run, ended);
    }

    fn end(&self, run: &Run<'_>, ended: Ended) {
        if self.runs.remove(run.request.sequence).is_some() {
            self.in_progress.mark_ended(run.request.sequence, ended);
        }
    }
}
