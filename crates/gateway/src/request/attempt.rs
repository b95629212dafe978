//! Sends a request to one endpoint and reads the head of its answer.

use crate::process::{
    BackoffTrial, CONNECT_LIMIT, Connection, Count, EndpointUse, Gateway, RunGuard, open,
};
use crate::request::{Call, held_reason};
use http::{Request, Response, Version};
use hyper::body::Incoming;
use nix::errno::Errno;
use sorrellock_http::ByteSegments;
use sorrellock_platform::{
    AnswerHead, AttemptHead, attempt_headers, read_answer_head, unknown_fields,
};
use sorrellock_routing::process::notices::SendBlock;
use sorrellock_routing::process::retries::RepeatCause;
use sorrellock_routing::process::{FailureEvidence, Incarnation, PathPart, PeerSilence};
use sorrellock_routing::request::{AnswerClaims, AnswerFault, Evidence, check_answer};
use spdlog::{info, warn};
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::iter;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Weight of the newest answer in an endpoint's moving average of answer times.
const MEAN_WEIGHT: f64 = 0.2;

/// How long a connection must be silent for pooled connections of the same age to be discarded: a hundred round trips,
/// and longer than nearly all answers take to start. A shorter time would discard connections whenever a caller leaves
/// early.
const POOL_DISCARD_SILENCE: Duration = Duration::from_millis(500);

/// The destination of an attempt.
pub(crate) struct Target<'a> {
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    /// The path over engines; empty for plain services.
    pub(crate) path: &'a [PathPart],
    /// Id of the last event that the caller has received.
    pub(crate) last_event: Option<u64>,
}

impl Target<'_> {
    /// Returns the endpoints that a run there needs, first the one that receives the request.
    fn endpoints(&self) -> Vec<Incarnation> {
        if self.path.is_empty() {
            return vec![self.incarnation.clone()];
        }
        self.path.iter().map(|part| part.incarnation.clone()).collect()
    }
}

/// An HTTP exchange with an endpoint whose answer head has been received.
pub(crate) struct Exchange {
    pub(crate) answer: Response<Incoming>,
    pub(crate) head: AnswerHead,
    pub(crate) connection: Connection,
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    pub(crate) in_flight: InFlightGuard,
    pub(crate) run: RunGuard,
}

/// An attempt that brought no answer for the caller.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) evidence: Evidence,
    /// The endpoint at fault, if the one that received the request named another.
    pub(crate) at_fault: Option<SocketAddr>,
    /// The endpoint at fault is not the intended one, or doesn't hold its part of the path.
    pub(crate) is_misdirected: bool,
    /// This process was itself too slow to conclude that the endpoint failed.
    pub(crate) is_inconclusive: bool,
    /// Nothing was sent, as the request is held back.
    pub(crate) is_held: bool,
    /// Nothing was sent, as the endpoint gets no requests now.
    pub(crate) is_blocked: bool,
    /// The endpoint that received the request asked for a back-off.
    pub(crate) asks_backoff: bool,
    /// The endpoint broke the connection after it received the request.
    pub(crate) has_broken_off: bool,
    /// The endpoint answered that it failed, so that its path works.
    pub(crate) is_error_answer: bool,
    /// The evidence for suspecting the endpoint when nothing could be sent.
    pub(crate) failure_evidence: FailureEvidence,
    pub(crate) why: String,
}

impl FailedAttempt {
    pub(crate) fn new(evidence: Evidence, why: String) -> FailedAttempt {
        FailedAttempt {
            evidence,
            at_fault: None,
            is_misdirected: false,
            is_inconclusive: false,
            is_held: false,
            is_blocked: false,
            asks_backoff: false,
            has_broken_off: false,
            is_error_answer: false,
            failure_evidence: FailureEvidence::Refused,
            why,
        }
    }
}

/// Counts a request as in flight at an endpoint until dropped.
pub(crate) struct InFlightGuard {
    gateway: Rc<Gateway>,
    incarnation: Incarnation,
    began: Instant,
}

impl InFlightGuard {
    fn new(gateway: Rc<Gateway>, incarnation: Incarnation) -> InFlightGuard {
        gateway.uses.borrow_mut().entry(incarnation.clone()).or_default().in_flight += 1;
        InFlightGuard { gateway, incarnation, began: Instant::now() }
    }

    /// Adds the time of a complete answer to the endpoint's mean.
    pub(crate) fn on_answered(&self) {
        let ms = self.began.elapsed().as_secs_f64() * 1e3;
        if let Some(used) = self.gateway.uses.borrow_mut().get_mut(&self.incarnation) {
            let before = if used.mean_ms == 0.0 { ms } else { used.mean_ms };
            used.mean_ms = before + MEAN_WEIGHT * (ms - before);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        if let Some(used) = self.gateway.uses.borrow_mut().get_mut(&self.incarnation) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }
}

/// Sends a request to one endpoint and waits for the head of its answer for at most `limit`.
pub(crate) async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
    limit: Duration,
) -> Result<Exchange, FailedAttempt> {
    let in_flight = InFlightGuard::new(Rc::clone(gateway), target.incarnation.clone());
    let Answered { answer, connection, run, backoff_trial } =
        send(gateway, call, target, limit).await?;
    let head = read_answer_head(answer.status(), answer.headers());
    record_load(gateway, &target.incarnation, &head);
    if names_request(&head, call) != Some(false) {
        gateway.on_notices(&target.incarnation, &head.notices, in_flight.began);
        gateway.note_unknown_fields(&target.incarnation, unknown_fields(answer.headers()));
    }
    drop(backoff_trial);
    check_answer_head(gateway, call, &answer, &head)?;
    let incarnation = target.incarnation.clone();
    Ok(Exchange { answer, head, connection, incarnation, addr: target.addr, in_flight, run })
}

/// A request whose answer's head has been received.
struct Answered {
    answer: Response<Incoming>,
    connection: Connection,
    run: RunGuard,
    backoff_trial: Option<BackoffTrial>,
}

/// Sends a request on a pooled connection. If the endpoint has closed it already, tries the next one, and a new one
/// when the pool is empty.
async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
    limit: Duration,
) -> Result<Answered, FailedAttempt> {
    let until = Instant::now() + limit;
    let mut req = build_request(call, target);
    let is_trial = call.is_trial.get();
    let mut has_permit = call.permit.take().as_ref() == Some(&target.incarnation);
    loop {
        let (mut connection, is_kept) = connect(gateway, call, target).await?;
        if !has_permit {
            take_permit(gateway, target).await?;
            has_permit = true;
        }
        let backoff_trial = admit(gateway, call, target, is_trial)?;
        log_repeat(gateway, call, target);
        let open_send = call.sends.begin();
        let run = RunGuard::begin(gateway, Rc::clone(&call.run_request), target.endpoints());
        let silence = SilenceWatch::start(Rc::clone(gateway), target.incarnation.clone());
        connection.head_budget.begin();
        let Ok(res) = timeout_at(until, connection.sender.try_send_request(req)).await else {
            let why = format!("no answer in {} ms", limit.as_millis());
            return Err(FailedAttempt::new(Evidence::MayHaveRun, why));
        };
        silence.end();
        let mut err = match res {
            Ok(answer) => {
                connection.head_budget.end();
                return Ok(Answered { answer, connection, run, backoff_trial });
            }
            Err(err) => err,
        };
        req = match err.take_message() {
            // Closing an idle connection is no sign of a failed endpoint.
            Some(unsent) if is_kept => {
                open_send.undo();
                unsent
            }
            Some(_) => {
                open_send.undo();
                return Err(FailedAttempt::new(Evidence::NotSent, err.error().to_string()));
            }
            None => {
                run.on_broke();
                drop(run);
                gateway.check_ended(&target.incarnation, target.addr).await;
                let failed = FailedAttempt::new(Evidence::MayHaveRun, err.error().to_string());
                return Err(FailedAttempt { has_broken_off: true, ..failed });
            }
        };
    }
}

/// Counts and logs a send of a request that was sent before.
fn log_repeat(gateway: &Gateway, call: &Call, target: &Target<'_>) {
    let is_resumed = target.last_event != call.head.last_event;
    let Some(cause) = call.sends.repeat_cause(is_resumed) else { return };
    gateway.counters.add(match cause {
        RepeatCause::Refused => Count::RepeatsRefused,
        RepeatCause::Failed => Count::RepeatsFailed,
        RepeatCause::Overdue => Count::RepeatsOverdue,
        RepeatCause::Resumed => Count::RepeatsResumed,
    });
    let budget = gateway.retry_budget(&call.service);
    info!("request sent again", kv: {
        request = call.id(), endpoint = target.incarnation.id.as_str(), cause:?,
        window_requests = budget.requests, window_repeats = budget.repeats,
        max_repeats = budget.max_repeats, slack_share = budget.share.fraction
    });
}

/// Takes a permit to send to an endpoint that names a limit.
async fn take_permit(gateway: &Gateway, target: &Target<'_>) -> Result<(), FailedAttempt> {
    let permit = gateway.take_permit(&target.incarnation).await;
    permit.map_err(|wait| blocked(SendBlock::Limited(wait)))
}

/// Decides right before the bytes of a request are written whether they may be. `is_trial`: the request is held back, and sent
/// once to see whether it does no more harm.
fn admit(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
    is_trial: bool,
) -> Result<Option<BackoffTrial>, FailedAttempt> {
    if gateway.fleet_state.borrow().leaving_notices.contains(&target.incarnation) {
        return Err(not_sent_now("it said that it leaves".to_owned()));
    }
    if let Some(closed) = closed_endpoint(gateway, target) {
        gateway.counters.add(Count::SendsToClosed);
        return Err(not_sent_now(format!("{} gets no new work any more", closed.id)));
    }
    let backoff_trial = gateway.admit_after_backoff(&target.incarnation).map_err(blocked)?;
    if gateway.admit_send(call, is_trial) {
        call.is_trial.set(false);
        return Ok(backoff_trial);
    }
    let failed = FailedAttempt::new(Evidence::NotSent, held_reason(gateway, call));
    Err(FailedAttempt { is_held: true, ..failed })
}

/// Returns an endpoint of the target that may get no new work any more. It may have become so while the request waited for a
/// permit or a connection.
fn closed_endpoint<'a>(gateway: &Gateway, target: &'a Target<'_>) -> Option<&'a Incarnation> {
    let (knowledge, now) = (gateway.knowledge.borrow(), Instant::now().into_std());
    let parts = target.path.iter().map(|part| &part.incarnation);
    let mut endpoints = iter::once(&target.incarnation).chain(parts);
    endpoints.find(|endpoint| !knowledge.may_get_work(endpoint, now))
}

/// Returns the failure of an attempt that was not sent, as its endpoint gets no requests now.
fn blocked(block: SendBlock) -> FailedAttempt {
    let ms = block.wait().as_millis();
    let why = match block {
        SendBlock::Limited(_) => format!("its limit is reached for {ms} ms"),
        SendBlock::BackingOff(_) => format!("it asked for no requests for {ms} ms"),
    };
    not_sent_now(why)
}

fn not_sent_now(why: String) -> FailedAttempt {
    FailedAttempt { is_blocked: true, ..FailedAttempt::new(Evidence::NotSent, why) }
}

/// Watches a connection on which a request was sent. If it is dropped before anything was received, for whatever reason
/// the attempt is abandoned, idle connections of the same age are discarded. Otherwise, after the connections to an
/// endpoint went silent for good, each request would take the next of these connections and be lost on it.
struct SilenceWatch {
    gateway: Rc<Gateway>,
    incarnation: Incarnation,
    since: Instant,
    has_ended: Cell<bool>,
}

impl SilenceWatch {
    fn start(gateway: Rc<Gateway>, incarnation: Incarnation) -> SilenceWatch {
        SilenceWatch { gateway, incarnation, since: Instant::now(), has_ended: Cell::new(false) }
    }

    /// Ends the silence, as the endpoint answered or closed the connection.
    fn end(&self) {
        self.has_ended.set(true);
    }
}

impl Drop for SilenceWatch {
    fn drop(&mut self) {
        if !self.has_ended.get() && self.since.elapsed() >= POOL_DISCARD_SILENCE {
            self.gateway.pool.borrow_mut().drop_idle_since(&self.incarnation, self.since);
        }
    }
}

/// Returns a connection to an endpoint, and whether it comes from the pool.
async fn connect(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
) -> Result<(Connection, bool), FailedAttempt> {
    let may_repeat = call.route.semantics.may_repeat();
    let kept = gateway.pool.borrow_mut().take(
        &target.incarnation,
        target.addr,
        may_repeat,
        Instant::now(),
    );
    if let Some(connection) = kept {
        return Ok((connection, true));
    }
    let began = Instant::now();
    let connection = open(target.addr, gateway).await;
    let connection = connection.map_err(|err| connect_failure(gateway, &err, began))?;
    Ok((connection, false))
}

/// Returns the failure for a connection attempt that started at `began`.
fn connect_failure(gateway: &Gateway, err: &io::Error, began: Instant) -> FailedAttempt {
    if is_own_shortage(err) {
        let failed = FailedAttempt::new(Evidence::NotSent, format!("connect: {err}"));
        return FailedAttempt { is_inconclusive: true, ..failed };
    }
    let mut silence = PeerSilence::new(CONNECT_LIMIT);
    let took = began.elapsed();
    silence.on_no_answer(took, took.saturating_sub(gateway.paused_since(began)));
    let failed = FailedAttempt::new(Evidence::NotSent, format!("connect: {err}"));
    if err.kind() != ErrorKind::TimedOut {
        return failed;
    }
    let is_inconclusive = !silence.is_evidence();
    FailedAttempt { is_inconclusive, failure_evidence: FailureEvidence::NoAnswer, ..failed }
}

/// Returns whether a connection failed because this process has no descriptor for it, which says nothing of the endpoint.
fn is_own_shortage(err: &io::Error) -> bool {
    let has_no_descriptor = [Errno::EMFILE, Errno::ENFILE].map(|errno| errno as i32);
    err.kind() == ErrorKind::QuotaExceeded
        || err.raw_os_error().is_some_and(|code| has_no_descriptor.contains(&code))
}

fn build_request(call: &Call, target: &Target<'_>) -> Request<ByteSegments> {
    let head = AttemptHead {
        time_left: call.caller_time_left(),
        endpoint: &target.incarnation.id,
        workspace: call.workspace.as_deref(),
        path: target.path,
        urgency: u8::try_from(call.rank.min(9)).ok(),
        last_event: target.last_event,
    };
    let mut req = Request::new(call.body.clone());
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = attempt_headers(&call.headers, &head);
    req
}

fn record_load(gateway: &Gateway, incarnation: &Incarnation, head: &AnswerHead) {
    let Some(load) = head.load else { return };
    let mut uses = gateway.uses.borrow_mut();
    let used: &mut EndpointUse = uses.entry(incarnation.clone()).or_default();
    used.reported = Some((load, Instant::now()));
}

/// Returns whether an answer names this request; `None` if it names none.
fn names_request(head: &AnswerHead, call: &Call) -> Option<bool> {
    head.request_id.as_deref().map(|id| id == call.id())
}

/// Rejects answers that may not be passed on to the caller.
fn check_answer_head(
    gateway: &Gateway,
    call: &Call,
    answer: &Response<Incoming>,
    head: &AnswerHead,
) -> Result<(), FailedAttempt> {
    let claims = AnswerClaims {
        status: answer.status().as_u16(),
        names_request: names_request(head, call),
        says_not_run: head.not_run,
        is_signed: head.is_signed,
    };
    let Err(fault) = check_answer(&claims) else { return Ok(()) };
    match fault {
        AnswerFault::OtherRequest => {
            gateway.counters.add(Count::CrossedAnswers);
            warn!("answer of another request dropped", kv: { request = call.id() });
        }
        AnswerFault::UnprovenRefusal(_) => gateway.counters.add(Count::UnprovenRefusals),
        AnswerFault::InvalidStatus(_) | AnswerFault::Contradictory(_) => {
            gateway.counters.add(Count::InvalidAnswers);
        }
        AnswerFault::NotRun(_) | AnswerFault::NoRequestId | AnswerFault::Unsigned => {}
    }
    let failed = FailedAttempt::new(fault.evidence(), fault.to_string());
    if fault.evidence() != Evidence::NotRun {
        let is_error_answer = matches!(fault, AnswerFault::UnprovenRefusal(_));
        return Err(FailedAttempt { is_error_answer, ..failed });
    }
    Err(FailedAttempt {
        at_fault: head.at_fault,
        is_misdirected: fault.is_misdirected(),
        asks_backoff: matches!(head.notices.backoff, Some(Ok(wait)) if !wait.is_zero()),
        ..failed
    })
}

/// Counts and logs an attempt that brought no answer.
pub(crate) fn log_failed_attempt(
    gateway: &Gateway,
    call: &Call,
    endpoint: &Incarnation,
    failed: &FailedAttempt,
) {
    let count = match failed.evidence {
        Evidence::NotRun => Count::AttemptsNotRun,
        Evidence::NotSent | Evidence::MayHaveRun => Count::AttemptsFailed,
    };
    gateway.counters.add(count);
    call.sends.on_failed(failed.evidence);
    let evidence = format!("{:?}", failed.evidence);
    let at_fault = failed.at_fault.map(|addr| addr.to_string()).unwrap_or_default();
    let ms = call.arrived.elapsed().as_millis() as u64;
    let content = match failed.evidence {
        Evidence::MayHaveRun => call.run_request.content.to_string(),
        Evidence::NotRun | Evidence::NotSent => String::new(),
    };
    warn!("attempt failed", kv: {
        request = call.id(), endpoint = endpoint.id.as_str(), evidence = evidence.as_str(), why = failed.why.as_str(),
        at_fault = at_fault.as_str(), ms, content = content.as_str()
    });
}
