//! Handles one request: reads it, finds its route, and forwards it.

use crate::process::{Count, Gateway};
use crate::request::engine_call::serve_engine_call;
use crate::request::estimate::usual_duration;
use crate::request::plain::{serve_plain, serve_plain_stream};
use crate::request::stream::serve_stream;
use crate::request::{Call, EndGuard, Sends, abandon_call, held_reason, held_retry_delay, refusal};
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;
use rand::RngExt;
use sorrellock_core::process::callers::STALL_AFTER;
use sorrellock_http::{Activity, AnswerBody, ByteSegments, CallerSlot, Cut, ReadError, discard};
use sorrellock_platform::{CallerHead, Kind, read_caller_head};
use sorrellock_routing::process::crashes::{PromptPart, RunRequest};
use sorrellock_routing::process::cut;
use sorrellock_routing::request::{AbandonedOutcome, ContentId};
use sorrellock_routing::version::{
    NotAllowed, Route, RouteTable, Semantics, ServiceName, capacity_rank,
};
use spdlog::info;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Retry-After while no configuration is known: the store is down, typically for seconds.
const RETRY_AFTER_NO_CONFIGURATION: Duration = Duration::from_millis(2_500);
/// Maximum share of a request's remaining time that its caller is asked to wait before a retry.
pub(crate) const MAX_WAIT_SHARE: f64 = 0.3;
/// Maximum random delay added to Retry-After, so that refused callers don't retry all at once.
const RETRY_SPREAD: Duration = Duration::from_millis(1_000);
/// How long after the gateway's start requests wait for the first configuration and endpoints: a store that is up answers within
/// this time.
const FIRST_DATA_WAIT_LIMIT: Duration = Duration::from_millis(1_200);
/// Time limit of a caller that sends none.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);

/// Handles one request.
pub(crate) async fn handle_request(
    gateway: Rc<Gateway>,
    req: Request<Incoming>,
    activity: &Activity,
    arrived: Instant,
) -> Result<Response<AnswerBody>, Cut> {
    gateway.counters.add(Count::Requests);
    let head = read_caller_head(req.headers());
    let end = EndGuard::new(Rc::clone(&gateway), head.request_id.clone(), arrived);
    let Some(routes) = wait_for_routes(&gateway).await else {
        end.report(Count::NotRun, "not run", 503, "no configuration is known yet");
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER_NO_CONFIGURATION)));
    };
    let found = routes.find(&head.host, req.uri().path(), head.key.as_deref());
    let matched = match found {
        Ok(matched) => matched,
        Err(why) => return Ok(refuse_not_allowed(&end, &routes, &head, req.uri().path(), why)),
    };
    let route = matched.route.clone();
    let rank = matched.workspace.and_then(|workspace| workspace.priority);
    let workspace = matched.workspace.map(|workspace| workspace.name.clone());
    let capacity_rank = capacity_rank(&route, matched.workspace);
    let caller_deadline = arrived + head.wait_limit.unwrap_or(DEFAULT_CALLER_TIMEOUT);
    let deadline = caller_deadline.min(arrived + route.timeout);
    let (parts, mut unread) = req.into_parts();
    let max_bytes = routes.cfg().limits.max_body_bytes;
    let body = match read_body(&gateway, activity.slot(), &mut unread, max_bytes, deadline).await {
        Ok(body) => body,
        Err(body_error) => {
            // A caller that asks first doesn't send what is refused.
            let unread = (!parts.headers.contains_key(header::EXPECT)).then_some(unread);
            return refuse_body(&gateway, &end, unread, body_error, deadline);
        }
    };
    activity.on_body();
    let service = choose_service(&route);
    gateway.on_request(&service);
    let run_request = Rc::new(run_request(&head, workspace.as_deref(), &parts.uri, &body));
    note_unread_parts(&gateway, &head);
    let call = Call {
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        slot: Arc::clone(activity.slot()),
        rank: rank.unwrap_or(route.priority),
        capacity_rank: routes.has_ranks(&service).then_some(capacity_rank),
        route,
        config_version: routes.version(),
        service,
        workspace,
        arrived,
        deadline,
        caller_deadline,
        end,
        run_request,
        permit: RefCell::default(),
        sends: Sends::default(),
        is_trial: Cell::new(false),
    };
    log_admitted(&call, &routes, &gateway.settings.data_centre);
    let has_model = routes.service(&call.service).is_some_and(|service| service.model.is_some());
    let is_stream = matches!(call.route.semantics, Semantics::Stream { .. });
    if !can_finish(&gateway, &call, is_stream) {
        call.end.report_refused_leaving();
        let why = "this gateway ends before the answer can be complete";
        let wait = retry_delay(&gateway, call.deadline);
        return Ok(abandon_call(&call, AbandonedOutcome::NotRun, wait, why));
    }
    if let Some(held_for) = claim_trial_or_hold(&gateway, &call).await {
        return Ok(refuse_held(&gateway, &call, held_for));
    }
    match (is_stream, has_model) {
        (true, true) => serve_stream(gateway, call).await,
        (true, false) => serve_plain_stream(gateway, call).await,
        (false, true) => serve_engine_call(gateway, call).await,
        (false, false) => serve_plain(gateway, call).await,
    }
}

/// Maximum length of a path in records and log lines.
const MAX_PATH_CHARS: usize = 200;

fn run_request(
    head: &CallerHead,
    workspace: Option<&str>,
    uri: &Uri,
    body: &ByteSegments,
) -> RunRequest {
    let path = uri.path_and_query().map_or(uri.path(), PathAndQuery::as_str);
    let model = head.model.as_deref().unwrap_or_default();
    let parts = head.shared_parts.ids.iter().map(|id| PromptPart::new(model, id));
    RunRequest {
        content: ContentId::of_segments(workspace, path, body.len(), body.iter()),
        parts: parts.collect(),
        workspace: workspace.map(str::to_owned),
        path: cut(uri.path(), MAX_PATH_CHARS),
    }
}

/// Counts the parts of a prompt that couldn't be read, or are too many. The request is passed on as it is.
fn note_unread_parts(gateway: &Gateway, head: &CallerHead) {
    gateway.counters.add_many(Count::PromptPartsInvalid, head.shared_parts.invalid);
    gateway.counters.add_many(Count::PromptPartsOmitted, head.shared_parts.omitted);
}

/// Returns how long a request is held back; `None` if it may be sent, be it as a trial.
async fn claim_trial_or_hold(gateway: &Gateway, call: &Call) -> Option<Duration> {
    let held_for = gateway.held_for(call)?;
    if held_for.is_zero() && gateway.claim_trials(&call.run_request).await {
        call.is_trial.set(true);
    }
    gateway.held_for(call)
}

/// Refuses a request that is held back.
fn refuse_held(gateway: &Gateway, call: &Call, held_for: Duration) -> Response<AnswerBody> {
    call.end.count(Count::HeldRefusals);
    let why = held_reason(gateway, call);
    abandon_call(call, AbandonedOutcome::NotRun, held_retry_delay(held_for), &why)
}

/// Why the body of a request could not be read.
enum BodyError {
    TooLarge,
    /// The caller closed its connection.
    CallerClosed,
    DeadlinePassed,
    /// This gateway shuts down before the whole body was received.
    Ending,
    /// This gateway has no room for the body.
    NoRoom,
    /// The caller made no progress, and others need the room that it takes.
    Stalled,
}

/// Reads a body of at most `max_bytes` bytes until `deadline`.
async fn read_body(
    gateway: &Gateway,
    slot: &CallerSlot,
    body: &mut Incoming,
    max_bytes: usize,
    deadline: Instant,
) -> Result<ByteSegments, BodyError> {
    let reading = timeout_at(deadline, sorrellock_http::read_body(slot, body, max_bytes));
    let read = tokio::select! {
        biased;
        // First, as the connection is closed even if the body completes just now.
        () = slot.closing() => return Err(BodyError::Stalled),
        read = reading => read,
        () = gateway.ending() => return Err(BodyError::Ending),
    };
    match read {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(ReadError::TooLarge)) => Err(BodyError::TooLarge),
        Ok(Err(ReadError::Broken)) => Err(BodyError::CallerClosed),
        Ok(Err(ReadError::NoRoom)) => Err(BodyError::NoRoom),
        Err(_) => Err(BodyError::DeadlinePassed),
    }
}

fn refuse_body(
    gateway: &Gateway,
    end: &EndGuard,
    unread: Option<Incoming>,
    body_error: BodyError,
    deadline: Instant,
) -> Result<Response<AnswerBody>, Cut> {
    match body_error {
        BodyError::TooLarge => {
            end.report(Count::BadRequests, "refused", 413, "the body is too large");
            Ok(refuse_unread(unread, StatusCode::PAYLOAD_TOO_LARGE, None))
        }
        BodyError::NoRoom => {
            end.report(Count::NotRun, "not run", 503, "there is no room for the body");
            let wait = no_room_delay(deadline);
            Ok(refuse_unread(unread, StatusCode::SERVICE_UNAVAILABLE, Some(wait)))
        }
        BodyError::Stalled => {
            end.report(Count::NotRun, "not run", 503, "the body made no progress");
            let wait = no_room_delay(deadline);
            Ok(refuse_unread(unread, StatusCode::SERVICE_UNAVAILABLE, Some(wait)))
        }
        BodyError::CallerClosed => {
            end.report(Count::CallersGone, "caller gone", 0, "the body ended early");
            Err(Cut)
        }
        BodyError::DeadlinePassed => {
            end.report(Count::NotRun, "not run", 408, "the body did not come in time");
            Ok(refusal(StatusCode::REQUEST_TIMEOUT, None))
        }
        BodyError::Ending => {
            end.report_refused_leaving();
            end.report(
                Count::NotRun,
                "not run",
                503,
                "this gateway ends before the body was received",
            );
            let wait = retry_delay(gateway, deadline);
            Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, Some(wait)))
        }
    }
}

/// Refuses a request whose body was not read to its end.
fn refuse_unread(
    unread: Option<Incoming>,
    status: StatusCode,
    retry_delay: Option<Duration>,
) -> Response<AnswerBody> {
    if let Some(unread) = unread {
        tokio::task::spawn_local(discard(unread));
    }
    let mut answer = refusal(status, retry_delay);
    answer.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// Returns when a caller should retry for whose body there was no room: stalled callers are closed by then.
fn no_room_delay(deadline: Instant) -> Duration {
    let left = deadline.saturating_duration_since(Instant::now());
    let spread = RETRY_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    (STALL_AFTER + spread).min(left.mul_f64(MAX_WAIT_SHARE))
}

/// Returns when a caller refused at shutdown should retry: at once if another gateway accepts it.
pub(crate) fn retry_delay(gateway: &Gateway, deadline: Instant) -> Duration {
    let now = Instant::now();
    let wait = gateway.retry_delay(now);
    if wait.is_zero() {
        return wait;
    }
    let spread = RETRY_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    (wait + spread).min(deadline.saturating_duration_since(now).mul_f64(MAX_WAIT_SHARE))
}

/// Returns whether a request can be answered before this gateway shuts down, judging by the usual duration of such
/// requests and by its deadline.
fn can_finish(gateway: &Gateway, call: &Call, is_stream: bool) -> bool {
    let Some(leaving) = gateway.leaving.get() else { return true };
    let (longest, now) = (call.time_left(), Instant::now().into_std());
    match is_stream {
        true => leaving.takes_stream(usual_duration(gateway, call), longest, now),
        false => leaving.takes_call(gateway.usual_answer(&call.service), longest, now),
    }
}

/// Returns the configuration in force, waiting for it and for the first endpoints shortly after the start.
async fn wait_for_routes(gateway: &Gateway) -> Option<Rc<RouteTable>> {
    let until = gateway.began + FIRST_DATA_WAIT_LIMIT;
    let has_all = || gateway.has_data(Kind::Configuration) && gateway.has_data(Kind::Endpoints);
    while !has_all() && Instant::now() < until {
        // Both news and the time are reasons to go on.
        let _ = timeout_at(until, gateway.first_data.notified()).await;
    }
    gateway.knowledge.borrow().routes().cloned()
}

fn log_admitted(call: &Call, routes: &RouteTable, data_centre: &str) {
    let (version, rank) = (routes.version(), call.rank);
    let left_ms = call.time_left().as_millis() as u64;
    let tokens = call.head.tokens.map_or(0, |tokens| tokens.prompt + tokens.max_output);
    info!("request taken", kv: {
        request = call.id(), route = call.route.name.as_str(), service = call.service.as_str(),
        workspace = call.workspace.as_deref().unwrap_or(""), rank, left_ms, tokens,
        config = version, at = data_centre
    });
}

fn refuse_not_allowed(
    end: &EndGuard,
    routes: &RouteTable,
    head: &CallerHead,
    path: &str,
    why: NotAllowed,
) -> Response<AnswerBody> {
    let (status, text) = match why {
        NotAllowed::NoRoute => (StatusCode::NOT_FOUND, "no route"),
        NotAllowed::UnknownKey => (StatusCode::UNAUTHORIZED, "unknown key"),
    };
    let why = format!("{text} for {}{path} in configuration {}", head.host, routes.version());
    end.report(Count::NotAllowed, "not allowed", status.as_u16(), &why);
    refusal(status, None)
}

/// Chooses one of a route's services at random by their weights.
fn choose_service(route: &Route) -> ServiceName {
    let all: u32 = route.targets.iter().map(|(_, weight)| weight).sum();
    if all == 0 {
        return route.targets[0].0.clone();
    }
    let mut drawn = rand::rng().random_range(0..all);
    for (service, weight) in &route.targets {
        if drawn < *weight {
            return service.clone();
        }
        drawn -= weight;
    }
    route.targets[0].0.clone()
}
