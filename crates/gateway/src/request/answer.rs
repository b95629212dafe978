//! Answers one request: reads it, finds its route, and sends it on.

use crate::process::{Count, Gateway};
use crate::request::expected::usual_time;
use crate::request::plain::serve_plain;
use crate::request::stream::serve_stream;
use crate::request::{Call, EndGuard, give_up, refusal};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use rand::RngExt;
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_platform::{CallerHead, read_caller_head};
use sorrellock_routing::request::AbandonedOutcome;
use sorrellock_routing::version::{NotAllowed, Route, RouteTable, ServiceName};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// When to come back while no configuration is known: the store is down, for seconds.
const RETRY_AFTER_UNKNOWN: Duration = Duration::from_millis(2_500);
/// Share of its time that a caller waits at most when it is told to come back later.
const MOST_WAIT_SHARE: f64 = 0.3;
/// Callers that are told to come back at the same moment do so over this time.
const COME_BACK_SPREAD: Duration = Duration::from_millis(1_000);
/// How long after its start a gateway expects its first configuration at any moment, and lets
/// requests wait for it: a store that answers at all does so by then.
const CONFIGURATION_EXPECTED: Duration = Duration::from_millis(1_200);
/// How long a caller waits that doesn't say.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// Answers one request.
pub(crate) async fn answer(
    gateway: Rc<Gateway>,
    req: Request<Incoming>,
    arrived: Instant,
) -> Result<Response<AnswerBody>, Cut> {
    gateway.counters.add(Count::Requests);
    let head = read_caller_head(req.headers());
    let end = EndGuard::new(Rc::clone(&gateway), head.request_id.clone(), arrived);
    let Some(routes) = routes(&gateway).await else {
        end.tell(Count::NotRun, "not run", 503, "no configuration is known yet");
        return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, Some(RETRY_AFTER_UNKNOWN)));
    };
    let found = routes.find(&head.host, req.uri().path(), head.key.as_deref());
    let matched = match found {
        Ok(matched) => matched,
        Err(why) => return Ok(refuse_not_allowed(&end, &routes, &head, req.uri().path(), why)),
    };
    let route = matched.route.clone();
    let rank = matched.workspace.and_then(|workspace| workspace.priority);
    let workspace = matched.workspace.map(|workspace| workspace.name.clone());
    let caller_deadline = arrived + head.patience.unwrap_or(DEFAULT_PATIENCE);
    let deadline = caller_deadline.min(arrived + route.timeout);
    let (parts, body) = req.into_parts();
    let most = routes.cfg().limits.max_body_bytes;
    let body = match read_body(&gateway, body, most, deadline).await {
        Ok(body) => body,
        Err(fault) => return refuse_body(&gateway, &end, fault, deadline),
    };
    let service = choose_service(&route);
    gateway.on_request(&service);
    let call = Call {
        head,
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        rank: rank.unwrap_or(route.priority),
        route,
        config_version: routes.version(),
        service,
        workspace,
        arrived,
        deadline,
        caller_deadline,
        end,
    };
    log_admitted(&call, &routes);
    let has_model = routes.service(&call.service).is_some_and(|service| service.model.is_some());
    if !takes(&gateway, &call, has_model) {
        call.end.tell_refused_leaving();
        let why = "this gateway ends before the answer may";
        let wait = retry_delay(&gateway, call.deadline);
        return Ok(give_up(&call, AbandonedOutcome::NotRun, wait, why));
    }
    match has_model {
        true => serve_stream(gateway, call).await,
        false => serve_plain(gateway, call).await,
    }
}

/// Why a request has no whole body.
enum BodyFault {
    TooLarge,
    /// The caller closed its connection.
    Broken,
    TooLate,
    /// This gateway ends before it came.
    Ending,
}

/// Reads a body of `most` bytes until `deadline`.
async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    most: usize,
    deadline: Instant,
) -> Result<Bytes, BodyFault> {
    let reading = timeout_at(deadline, Limited::new(body, most).collect());
    let read = tokio::select! {
        biased;
        read = reading => read,
        () = gateway.ending() => return Err(BodyFault::Ending),
    };
    match read {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(BodyFault::TooLarge),
        Ok(Err(_)) => Err(BodyFault::Broken),
        Err(_) => Err(BodyFault::TooLate),
    }
}

fn refuse_body(
    gateway: &Gateway,
    end: &EndGuard,
    fault: BodyFault,
    deadline: Instant,
) -> Result<Response<AnswerBody>, Cut> {
    match fault {
        BodyFault::TooLarge => {
            end.tell(Count::BadRequests, "refused", 413, "the body is too large");
            Ok(refusal(StatusCode::PAYLOAD_TOO_LARGE, None))
        }
        BodyFault::Broken => {
            end.tell(Count::CallersGone, "caller gone", 0, "the body ended early");
            Err(Cut)
        }
        BodyFault::TooLate => {
            end.tell(Count::NotRun, "not run", 408, "the body did not come in time");
            Ok(refusal(StatusCode::REQUEST_TIMEOUT, None))
        }
        BodyFault::Ending => {
            end.tell_refused_leaving();
            end.tell(Count::NotRun, "not run", 503, "this gateway ends before the body came");
            let wait = retry_delay(gateway, deadline);
            Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, Some(wait)))
        }
    }
}

/// When a caller that this gateway refuses as it ends should come back: at once where another takes it.
fn retry_delay(gateway: &Gateway, deadline: Instant) -> Duration {
    let now = Instant::now();
    let wait = gateway.retry_delay(now);
    if wait.is_zero() {
        return wait;
    }
    let spread = COME_BACK_SPREAD.mul_f64(rand::rng().random_range(0.0..1.0));
    (wait + spread).min(deadline.saturating_duration_since(now).mul_f64(MOST_WAIT_SHARE))
}

/// Whether a request is answered before this gateway ends, by how long such requests usually take and
/// by its deadline.
fn takes(gateway: &Gateway, call: &Call, is_stream: bool) -> bool {
    let Some(leaving) = gateway.leaving.get() else { return true };
    let (longest, now) = (call.time_left(), Instant::now().into_std());
    match is_stream {
        true => leaving.takes_stream(usual_time(gateway, call), longest, now),
        false => leaving.takes_call(gateway.usual_answer(&call.service), longest, now),
    }
}

/// The configuration in force; just after the start it is waited for.
async fn routes(gateway: &Gateway) -> Option<Rc<RouteTable>> {
    let configured = gateway.configured.notified();
    let known = gateway.knowledge.borrow().routes().cloned();
    if known.is_some() {
        return known;
    }
    // What came, if anything, shows in what is known.
    let _ = timeout_at(gateway.began + CONFIGURATION_EXPECTED, configured).await;
    gateway.knowledge.borrow().routes().cloned()
}

fn log_admitted(call: &Call, routes: &RouteTable) {
    let (version, rank) = (routes.version(), call.rank);
    let left_ms = call.time_left().as_millis() as u64;
    let tokens = call.head.tokens.map_or(0, |tokens| tokens.prompt + tokens.most_output);
    info!("request taken", kv: {
        request = call.id(), route = call.route.name.as_str(), service = call.service.as_str(),
        workspace = call.workspace.as_deref().unwrap_or(""), rank, left_ms, tokens,
        config = version
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
    end.tell(Count::NotAllowed, "not allowed", status.as_u16(), &why);
    refusal(status, None)
}

/// Chooses among a route's services by their weights.
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
