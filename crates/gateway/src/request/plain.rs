//! Requests to plain services: one endpoint runs them whole.

use crate::process::{Count, Gateway, check_refuser};
use crate::request::{Begun, Call, Failed, Target, attempt, give_up, log_failed, pass_on};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use sorrellock_core::process::retries::{AttemptEnd, Permit};
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_platform::read_answer_head;
use sorrellock_routing::process::{Endpoint, Incarnation};
use sorrellock_routing::request::{Attempts, Evidence};
use sorrellock_routing::version::Semantics;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// When to come back where no endpoint took the request.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// Share of the time left that an attempt gets while another may follow.
const ATTEMPT_SHARE: f64 = 0.4;
/// An attempt that another may follow gets at least this many times the endpoint's mean.
const MEANS_OF_PATIENCE: f64 = 4.0;
/// What a load told before is still worth: after this the endpoint's own queue has turned over.
const LOAD_FRESH: Duration = Duration::from_millis(1_000);
/// What each request there counts for an endpoint of another data centre, in requests.
const OTHER_DATA_CENTRE: f64 = 0.5;

/// Serves a request of a plain service.
pub(crate) async fn serve_plain(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut attempts = Attempts::new(call.route.semantics, call.route.max_attempts);
    let mut tried: Vec<Incarnation> = Vec::new();
    let mut why = "no endpoint is known".to_owned();
    let mut last_failure: Option<(Response<AnswerBody>, Incarnation)> = None;
    while attempts.may_send() && !call.time_left().is_zero() && !gateway.is_ending() {
        let Some((endpoint, permit)) = choose(&gateway, &call, &tried) else { break };
        let life = endpoint.incarnation();
        if attempts.is_repeat() && !gateway.spend_repeat(&call.service) {
            why = format!("{why}; the retry budget is spent");
            break;
        }
        let is_last = !may_follow(&call, &attempts, &life);
        let res = tokio::select! {
            biased;
            res = run(&gateway, &call, &endpoint, is_last) => res,
            () = gateway.ending() => Err(give_up_at_end(&call)),
        };
        note_end(&gateway, &life, permit, &res);
        match res {
            Ok(answer) => match may_retry_failure(&call, &attempts, &life, &answer) {
                true => {
                    attempts.on_failed(&life, Evidence::MayHaveRun);
                    why = format!("{} answered {}", endpoint.id, answer.status());
                    last_failure = Some((answer, life.clone()));
                }
                false => return Ok(done(&call, &life, answer)),
            },
            Err(failed) => {
                log_failed(&gateway, &call, &life, &failed);
                attempts.on_failed(&life, failed.evidence);
                match failed.evidence {
                    Evidence::NotSent if failed.is_inconclusive => {}
                    Evidence::NotSent => gateway.suspect(&life, &failed.why),
                    Evidence::NotRun => check_refuser(&gateway, endpoint.addr, false),
                    Evidence::MayHaveRun => {}
                }
                why = format!("{}: {}", endpoint.id, failed.why);
            }
        }
        tried.push(life);
    }
    if let Some((answer, life)) = last_failure {
        // The endpoint's own failure, signed, tells more than one of the gateway's.
        return Ok(done(&call, &life, answer));
    }
    let given_up = attempts.given_up(call.time_left().is_zero());
    Ok(give_up(&call, given_up, RETRY_AFTER, &why))
}

/// Gives up an attempt as this gateway ends before its answer.
fn give_up_at_end(call: &Call) -> Failed {
    call.end.tell_cut_leaving();
    Failed::new(Evidence::MayHaveRun, "this gateway ends before the answer".to_owned())
}

fn done(call: &Call, endpoint: &Incarnation, answer: Response<AnswerBody>) -> Response<AnswerBody> {
    let why = format!("answered by {}", endpoint.id);
    call.end.tell(Count::Answered, "answered", answer.status().as_u16(), &why);
    answer
}

/// Whether an attempt could follow the next one, if that brings no answer.
fn may_follow(call: &Call, attempts: &Attempts, endpoint: &Incarnation) -> bool {
    let mut after = attempts.clone();
    after.on_failed(endpoint, Evidence::MayHaveRun);
    call.route.semantics.may_repeat() && after.may_send()
}

/// An endpoint's own failure of an idempotent request is worth another endpoint.
fn may_retry_failure(
    call: &Call,
    attempts: &Attempts,
    endpoint: &Incarnation,
    answer: &Response<AnswerBody>,
) -> bool {
    let is_idempotent = call.route.semantics == Semantics::Idempotent;
    is_idempotent && answer.status().is_server_error() && may_follow(call, attempts, endpoint)
}

/// The endpoint with the least work that wasn't tried. Those that fail are passed over while
/// there are others.
fn choose(gateway: &Gateway, call: &Call, tried: &[Incarnation]) -> Option<(Endpoint, Permit)> {
    let now = Instant::now();
    let knowledge = gateway.knowledge.borrow();
    let beliefs = gateway.beliefs.borrow();
    let mut open: Vec<&Endpoint> = knowledge
        .open_endpoints(now.into_std())
        .filter(|endpoint| endpoint.service == call.service)
        .filter(|endpoint| !beliefs.is_leaving(&endpoint.incarnation(), now))
        .filter(|endpoint| !tried.contains(&endpoint.incarnation()))
        .filter(|endpoint| !gateway.has_ended(&endpoint.incarnation()))
        .collect();
    let work = |endpoint: &Endpoint| work(gateway, endpoint, now);
    open.sort_by(|a, b| {
        let suspect = |endpoint: &Endpoint| beliefs.is_suspect(&endpoint.incarnation(), now);
        suspect(a).cmp(&suspect(b)).then_with(|| work(a).total_cmp(&work(b)))
    });
    let mut breakers = gateway.breakers.borrow_mut();
    for endpoint in &open {
        if let Some(permit) = breakers.admit(&endpoint.incarnation()) {
            return Some(((*endpoint).clone(), permit));
        }
    }
    let first = *open.first()?;
    Some((first.clone(), breakers.force(&first.incarnation())))
}

/// Expected work before a new request, in requests.
fn work(gateway: &Gateway, endpoint: &Endpoint, now: Instant) -> f64 {
    let used = gateway.uses.borrow().get(&endpoint.incarnation()).copied().unwrap_or_default();
    let told = used.told.filter(|(_, at)| now - *at < LOAD_FRESH);
    let told = told.map_or(0.0, |(load, _)| f64::from(load.running + load.waiting));
    let is_near = endpoint.data_centre == gateway.settings.data_centre;
    let distance = if is_near { 0.0 } else { OTHER_DATA_CENTRE };
    let slowness = used.mean_ms.max(1.0).ln();
    told.max(f64::from(used.in_flight)) + f64::from(used.in_flight) * 0.1 + distance + slowness
}

/// Runs a request at one endpoint and reads its answer whole.
async fn run(
    gateway: &Rc<Gateway>,
    call: &Call,
    endpoint: &Endpoint,
    is_last: bool,
) -> Result<Response<AnswerBody>, Failed> {
    let life = endpoint.incarnation();
    let limit = patience(gateway, call, &life, is_last);
    let known = gateway.endpoints_known();
    info!("request sent", kv: {
        request = call.id(), endpoint = endpoint.id.as_str(), limit_ms = limit.as_millis() as u64,
        era = known.at.era, endpoints_at = known.at.count, endpoints_age_ms:? = known.age_ms
    });
    let until = Instant::now() + limit;
    let target = Target { life, addr: endpoint.addr, path: &[], last_event: None };
    let begun = attempt(gateway, call, &target, limit).await?;
    gateway.counters.first_byte.record(call.arrived.elapsed());
    read_whole(gateway, begun, until).await
}

async fn read_whole(
    gateway: &Rc<Gateway>,
    begun: Begun,
    until: Instant,
) -> Result<Response<AnswerBody>, Failed> {
    let (parts, body) = begun.answer.into_parts();
    let no_answer = |why: String| Failed::new(Evidence::MayHaveRun, why);
    let left = until.saturating_duration_since(Instant::now());
    let body = timeout(left, Limited::new(body, MAX_ANSWER_BYTES).collect()).await;
    let body = body.map_err(|_| no_answer("the answer did not come whole in time".to_owned()))?;
    let body: Bytes =
        body.map_err(|err| no_answer(format!("the answer broke off: {err}")))?.to_bytes();
    begun.in_flight.on_answered();
    let head = read_answer_head(&parts.headers);
    gateway.pool.borrow_mut().keep(begun.life, begun.connection, &head, Instant::now());
    Ok(pass_on(&parts, body))
}

/// Time for one attempt: all that is left, or a part of it where another may follow.
fn patience(gateway: &Gateway, call: &Call, life: &Incarnation, is_last: bool) -> Duration {
    let left = call.time_left();
    if is_last {
        return left;
    }
    let mean = gateway.uses.borrow().get(life).map_or(0.0, |used| used.mean_ms);
    let by_mean = Duration::from_secs_f64(mean * MEANS_OF_PATIENCE / 1e3);
    left.min(left.mul_f64(ATTEMPT_SHARE).min(call.route.target_latency).max(by_mean))
}

/// Tells the endpoint's breaker how an attempt ended.
fn note_end(
    gateway: &Gateway,
    life: &Incarnation,
    permit: Permit,
    res: &Result<Response<AnswerBody>, Failed>,
) {
    let end = match res {
        Ok(answer) if answer.status().is_server_error() => AttemptEnd::Failure,
        Ok(_) => AttemptEnd::Success,
        Err(failed) if failed.is_inconclusive => AttemptEnd::Neutral,
        Err(_) => AttemptEnd::Failure,
    };
    if let Some(state) = gateway.breakers.borrow_mut().on_end(life, permit, end) {
        let state = format!("{state:?}");
        info!("breaker changed", kv: { endpoint = life.id.as_str(), state = state.as_str() });
    }
}
