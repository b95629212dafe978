//! Sends a request to one endpoint and reads the head of its answer.

use crate::process::{CONNECT_LIMIT, Connection, Count, EndpointUse, Gateway, open};
use crate::request::Call;
use bytes::Bytes;
use http::{Request, Response, StatusCode, Version};
use http_body_util::Full;
use hyper::body::Incoming;
use sorrellock_platform::{AnswerHead, AttemptHead, attempt_headers, read_answer_head};
use sorrellock_routing::process::{FailureEvidence, Incarnation, PathPart, PeerSilence};
use sorrellock_routing::request::Evidence;
use spdlog::warn;
use std::cell::Cell;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Weight of the newest answer in an endpoint's mean time.
const MEAN_WEIGHT: f64 = 0.2;

/// Silence of a kept connection after which the others of its age are not relied on: a hundred round trips, and longer than all
/// but a few answers take to begin. Sooner, callers that leave at once would cost their connections.
const SILENT_AFTER: Duration = Duration::from_millis(500);

/// Where an attempt goes.
pub(crate) struct Target<'a> {
    pub(crate) incarnation: Incarnation,
    pub(crate) addr: SocketAddr,
    /// The path over engines; empty for plain services.
    pub(crate) path: &'a [PathPart],
    /// The last event that the caller has.
    pub(crate) last_event: Option<u64>,
}

/// An answer whose head came.
pub(crate) struct Begun {
    pub(crate) answer: Response<Incoming>,
    pub(crate) head: AnswerHead,
    pub(crate) connection: Connection,
    pub(crate) incarnation: Incarnation,
    pub(crate) in_flight: InFlight,
}

/// An attempt without an answer for the caller.
#[derive(Debug)]
pub(crate) struct Failed {
    pub(crate) evidence: Evidence,
    /// The endpoint at fault, where the one that was asked named another.
    pub(crate) at_fault: Option<SocketAddr>,
    /// The endpoint at fault is not the one that was meant, or lacks its part of the path.
    pub(crate) is_misdirected: bool,
    /// This process was too late to tell whether the endpoint failed.
    pub(crate) is_inconclusive: bool,
    /// What a suspicion of the endpoint rests on, where nothing could be sent.
    pub(crate) finding: FailureEvidence,
    pub(crate) why: String,
}

impl Failed {
    pub(crate) fn new(evidence: Evidence, why: String) -> Failed {
        Failed {
            evidence,
            at_fault: None,
            is_misdirected: false,
            is_inconclusive: false,
            finding: FailureEvidence::Refused,
            why,
        }
    }
}

/// Counts a request at an endpoint while it lives.
pub(crate) struct InFlight {
    gateway: Rc<Gateway>,
    incarnation: Incarnation,
    began: Instant,
}

impl InFlight {
    fn new(gateway: Rc<Gateway>, incarnation: Incarnation) -> InFlight {
        gateway.uses.borrow_mut().entry(incarnation.clone()).or_default().in_flight += 1;
        InFlight { gateway, incarnation, began: Instant::now() }
    }

    /// The answer came whole.
    pub(crate) fn on_answered(&self) {
        let ms = self.began.elapsed().as_secs_f64() * 1e3;
        if let Some(used) = self.gateway.uses.borrow_mut().get_mut(&self.incarnation) {
            let before = if used.mean_ms == 0.0 { ms } else { used.mean_ms };
            used.mean_ms = before + MEAN_WEIGHT * (ms - before);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if let Some(used) = self.gateway.uses.borrow_mut().get_mut(&self.incarnation) {
            used.in_flight = used.in_flight.saturating_sub(1);
        }
    }
}

/// Sends a request to one endpoint and waits for the head of its answer, at most `limit`.
pub(crate) async fn attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
    limit: Duration,
) -> Result<Begun, Failed> {
    let in_flight = InFlight::new(Rc::clone(gateway), target.incarnation.clone());
    let (answer, connection) = send(gateway, call, target, limit).await?;
    let head = read_answer_head(answer.headers());
    note_load(gateway, &target.incarnation, &head);
    check_head(gateway, call, &answer, &head)?;
    Ok(Begun { answer, head, connection, incarnation: target.incarnation.clone(), in_flight })
}

/// Sends a request on kept connections, as long as their endpoint has closed them before, else on a new one.
async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
    limit: Duration,
) -> Result<(Response<Incoming>, Connection), Failed> {
    let until = Instant::now() + limit;
    let mut req = request(call, target);
    loop {
        let (mut connection, is_kept) = connect(gateway, call, target).await?;
        let silence = Silence::watch(Rc::clone(gateway), target.incarnation.clone());
        let Ok(res) = timeout_at(until, connection.sender.try_send_request(req)).await else {
            let why = format!("no answer in {} ms", limit.as_millis());
            return Err(Failed::new(Evidence::MayHaveRun, why));
        };
        silence.is_over();
        let mut err = match res {
            Ok(answer) => return Ok((answer, connection)),
            Err(err) => err,
        };
        req = match err.take_message() {
            // An endpoint that closes an idle connection is well.
            Some(unsent) if is_kept => unsent,
            Some(_) => return Err(Failed::new(Evidence::NotSent, err.error().to_string())),
            None => return Err(Failed::new(Evidence::MayHaveRun, err.error().to_string())),
        };
    }
}

/// Watches a connection on which a request was sent. Dropped before anything came on it, for whatever reason the attempt is
/// given up, it takes idle connections of the same age with it. It guards requests after the connections to an endpoint
/// went silent for good: each one met the next such connection, and was lost to it.
struct Silence {
    gateway: Rc<Gateway>,
    incarnation: Incarnation,
    since: Instant,
    is_over: Cell<bool>,
}

impl Silence {
    fn watch(gateway: Rc<Gateway>, incarnation: Incarnation) -> Silence {
        Silence { gateway, incarnation, since: Instant::now(), is_over: Cell::new(false) }
    }

    /// The endpoint answered, or closed the connection.
    fn is_over(&self) {
        self.is_over.set(true);
    }
}

impl Drop for Silence {
    fn drop(&mut self) {
        if !self.is_over.get() && self.since.elapsed() >= SILENT_AFTER {
            self.gateway.pool.borrow_mut().drop_idle_since(&self.incarnation, self.since);
        }
    }
}

/// A connection to an endpoint, and whether it was kept from an earlier request.
async fn connect(
    gateway: &Rc<Gateway>,
    call: &Call,
    target: &Target<'_>,
) -> Result<(Connection, bool), Failed> {
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
    let connection = open(target.addr, &gateway.counters).await;
    let connection = connection.map_err(|err| not_connected(gateway, &err, began))?;
    Ok((connection, false))
}

/// No connection could be made, which was tried from `began` on.
fn not_connected(gateway: &Gateway, err: &io::Error, began: Instant) -> Failed {
    let mut silence = PeerSilence::new(CONNECT_LIMIT);
    let took = began.elapsed();
    silence.on_no_answer(took, took.saturating_sub(gateway.paused_since(began)));
    let failed = Failed::new(Evidence::NotSent, format!("connect: {err}"));
    if err.kind() != ErrorKind::TimedOut {
        return failed;
    }
    let is_inconclusive = !silence.is_evidence();
    Failed { is_inconclusive, finding: FailureEvidence::NoAnswer, ..failed }
}

fn request(call: &Call, target: &Target<'_>) -> Request<Full<Bytes>> {
    let head = AttemptHead {
        time_left: call.caller_time_left(),
        endpoint: &target.incarnation.id,
        workspace: call.workspace.as_deref(),
        path: target.path,
        urgency: u8::try_from(call.rank.min(9)).ok(),
        last_event: target.last_event,
    };
    let mut req = Request::new(Full::new(call.body.clone()));
    *req.method_mut() = call.method.clone();
    *req.uri_mut() = call.uri.clone();
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = attempt_headers(&call.headers, &head);
    req
}

fn note_load(gateway: &Gateway, incarnation: &Incarnation, head: &AnswerHead) {
    let Some(load) = head.load else { return };
    let mut uses = gateway.uses.borrow_mut();
    let used: &mut EndpointUse = uses.entry(incarnation.clone()).or_default();
    used.reported = Some((load, Instant::now()));
}

/// Sorts out answers that belong to another request, and those that tell that nothing was run.
fn check_head(
    gateway: &Gateway,
    call: &Call,
    answer: &Response<Incoming>,
    head: &AnswerHead,
) -> Result<(), Failed> {
    let status = answer.status();
    if head.request_id.as_deref().is_some_and(|id| id != call.id()) {
        gateway.counters.add(Count::CrossedAnswers);
        warn!("answer of another request dropped", kv: { request = call.id() });
        let why = "the answer belongs to another request".to_owned();
        return Err(Failed::new(Evidence::MayHaveRun, why));
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failed {
            at_fault: head.at_fault,
            is_misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            ..Failed::new(Evidence::NotRun, format!("refused with {}", status.as_u16()))
        });
    }
    if head.request_id.is_none() {
        let why = "the answer bears no request id".to_owned();
        return Err(Failed::new(Evidence::MayHaveRun, why));
    }
    if status.is_success() && !head.is_signed {
        let why = "the answer bears no signature of its endpoint".to_owned();
        return Err(Failed::new(Evidence::MayHaveRun, why));
    }
    Ok(())
}

/// Logs an attempt that brought no answer.
pub(crate) fn log_failed(gateway: &Gateway, call: &Call, endpoint: &Incarnation, failed: &Failed) {
    let count = match failed.evidence {
        Evidence::NotRun => Count::AttemptsNotRun,
        Evidence::NotSent | Evidence::MayHaveRun => Count::AttemptsFailed,
    };
    gateway.counters.add(count);
    let evidence = format!("{:?}", failed.evidence);
    let at_fault = failed.at_fault.map(|addr| addr.to_string()).unwrap_or_default();
    let ms = call.arrived.elapsed().as_millis() as u64;
    warn!("attempt failed", kv: {
        request = call.id(), endpoint = endpoint.id.as_str(), evidence = evidence.as_str(), why = failed.why.as_str(),
        at_fault = at_fault.as_str(), ms
    });
}
