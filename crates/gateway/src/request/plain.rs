//! Requests to plain services: one endpoint runs them whole.

use crate::process::{Count, Gateway, check_refuser};
use crate::request::{
    AttemptEvent, AttemptInfo, Begun, Call, Failed, RunningAttempts, Target, attempt, give_up,
    log_failed, pass_on,
};
use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use sorrellock_core::process::retries::{AttemptEnd, Permit};
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_platform::read_answer_head;
use sorrellock_routing::process::{Endpoint, Incarnation};
use sorrellock_routing::request::{Attempts, Evidence, overdue_after};
use sorrellock_routing::version::Semantics;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Largest body of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// When to come back where no endpoint took the request.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How often an overdue attempt looks for another endpoint, where there was none or no retry was left.
const OVERDUE_TICK: Duration = Duration::from_millis(100);
/// What a load told before is still worth: after this the endpoint's own queue has turned over.
const LOAD_FRESH: Duration = Duration::from_millis(1_000);
/// What each request there counts for an endpoint of another data centre, in requests.
const OTHER_DATA_CENTRE: f64 = 0.5;

/// Serves a request of a plain service.
pub(crate) async fn serve_plain(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut progress = Progress::new(&call);
    let mut running = RunningAttempts::new();
    loop {
        if running.is_empty() {
            let Some((endpoint, permit)) = progress.next_endpoint(&gateway, &call) else { break };
            let info = progress.begin(&gateway, &call, &endpoint, permit);
            running.push(info, run(&gateway, &call, endpoint));
        }
        let event = tokio::select! {
            biased;
            event = running.next() => event,
            () = gateway.ending() => {
                let failed = give_up_at_end(&call);
                running.infos().for_each(|info| progress.on_failed(&gateway, &call, info, &failed));
                break;
            }
        };
        match event {
            AttemptEvent::Ended(info, Ok(answer)) => {
                if !progress.is_worth_another(&call, &info, &answer, !running.is_empty()) {
                    note_end(&gateway, &info, end_of(&answer));
                    running
                        .infos()
                        .for_each(|info| note_end(&gateway, info, end_of_abandoned(info)));
                    return Ok(done(&call, &info.endpoint, answer));
                }
                note_end(&gateway, &info, AttemptEnd::Failure);
                progress.on_failure_answered(&info, answer);
            }
            AttemptEvent::Ended(info, Err(failed)) => {
                progress.on_failed(&gateway, &call, &info, &failed);
            }
            // The attempt goes on: the next one may be refused, or bring no answer either.
            AttemptEvent::Overdue(under_way) => {
                match progress.next_beside(&gateway, &call, under_way) {
                    Some((endpoint, permit)) => {
                        let info = progress.begin(&gateway, &call, &endpoint, permit);
                        running.push(info, run(&gateway, &call, endpoint));
                    }
                    None => under_way.overdue_at = Some(Instant::now() + OVERDUE_TICK),
                }
            }
        }
    }
    Ok(progress.give_up(&call))
}

/// What became of a call's attempts so far.
struct Progress {
    attempts: Attempts,
    tried: Vec<Incarnation>,
    why: String,
    /// An endpoint's own failure, for the caller if nothing better comes.
    last_failure: Option<(Response<AnswerBody>, Incarnation)>,
}

impl Progress {
    fn new(call: &Call) -> Progress {
        Progress {
            attempts: Attempts::new(call.route.semantics, call.route.max_attempts),
            tried: Vec::new(),
            why: "no endpoint is known".to_owned(),
            last_failure: None,
        }
    }

    /// The endpoint of the next attempt, its retry paid; none if no attempt may follow.
    fn next_endpoint(&mut self, gateway: &Gateway, call: &Call) -> Option<(Endpoint, Permit)> {
        if !self.attempts.may_send() || call.time_left().is_zero() || gateway.is_ending() {
            return None;
        }
        let chosen = choose(gateway, call, &self.tried)?;
        if self.attempts.is_repeat() && !gateway.spend_repeat(&call.service) {
            self.why = format!("{}; the retry budget is spent", self.why);
            return None;
        }
        Some(chosen)
    }

    /// The same for an attempt beside one that is overdue, which then counts as one that may have run.
    fn next_beside(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        under_way: &mut AttemptInfo,
    ) -> Option<(Endpoint, Permit)> {
        let mut after = self.attempts.clone();
        if !under_way.is_overdue {
            after.on_failed(&under_way.endpoint, Evidence::MayHaveRun);
        }
        // Without an endpoint nothing is paid, and without a retry no refusal is counted at each look.
        if !after.may_send() || !gateway.may_repeat(&call.service) {
            return None;
        }
        let chosen = choose(gateway, call, &self.tried)?;
        if !gateway.spend_repeat(&call.service) {
            return None;
        }
        info!("attempt overdue", kv: {
            request = call.id(), endpoint = under_way.endpoint.id.as_str(),
            ms = call.arrived.elapsed().as_millis() as u64
        });
        under_way.is_overdue = true;
        self.attempts = after;
        Some(chosen)
    }

    fn begin(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        endpoint: &Endpoint,
        permit: Permit,
    ) -> AttemptInfo {
        let endpoint = endpoint.incarnation();
        self.tried.push(endpoint.clone());
        let may_follow = may_follow(call, &self.attempts, &endpoint);
        let mean_ms = gateway.uses.borrow().get(&endpoint).map_or(0.0, |used| used.mean_ms);
        let mean = Duration::from_secs_f64(mean_ms / 1e3);
        let after = overdue_after(call.time_left(), call.route.target_latency, mean);
        let overdue_at = may_follow.then(|| Instant::now() + after);
        AttemptInfo { endpoint, permit, overdue_at, is_overdue: false }
    }

    fn on_failed(
        &mut self,
        gateway: &Rc<Gateway>,
        call: &Call,
        info: &AttemptInfo,
        failed: &Failed,
    ) {
        let end = if failed.is_inconclusive { AttemptEnd::Neutral } else { AttemptEnd::Failure };
        note_end(gateway, info, end);
        log_failed(gateway, call, &info.endpoint, failed);
        self.note_failed(info, failed.evidence);
        match failed.evidence {
            Evidence::NotSent if failed.is_inconclusive => {}
            Evidence::NotSent => gateway.suspect(&info.endpoint, failed.finding, &failed.why),
            Evidence::NotRun => check_endpoint(gateway, &info.endpoint),
            Evidence::MayHaveRun => {}
        }
        self.why = format!("{}: {}", info.endpoint.id, failed.why);
    }

    fn on_failure_answered(&mut self, info: &AttemptInfo, answer: Response<AnswerBody>) {
        self.note_failed(info, Evidence::MayHaveRun);
        self.why = format!("{} answered {}", info.endpoint.id, answer.status());
        self.last_failure = Some((answer, info.endpoint.clone()));
    }

    fn note_failed(&mut self, info: &AttemptInfo, evidence: Evidence) {
        // An overdue attempt was counted as its successor began.
        if !info.is_overdue {
            self.attempts.on_failed(&info.endpoint, evidence);
        }
    }

    /// Whether an answer is an endpoint's own failure of an idempotent request, and another endpoint may do better.
    fn is_worth_another(
        &self,
        call: &Call,
        info: &AttemptInfo,
        answer: &Response<AnswerBody>,
        is_other_running: bool,
    ) -> bool {
        call.route.semantics == Semantics::Idempotent
            && answer.status().is_server_error()
            && (is_other_running || may_follow(call, &self.attempts, &info.endpoint))
    }

    fn give_up(self, call: &Call) -> Response<AnswerBody> {
        match self.last_failure {
            // The endpoint's own failure, signed, tells more than one of the gateway's.
            Some((answer, endpoint)) => done(call, &endpoint, answer),
            None => {
                let given_up = self.attempts.given_up(call.time_left().is_zero());
                give_up(call, given_up, RETRY_AFTER, &self.why)
            }
        }
    }
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

/// An endpoint refused the call as not run: asks it whether it leaves.
fn check_endpoint(gateway: &Rc<Gateway>, endpoint: &Incarnation) {
    let addr = gateway.knowledge.borrow().endpoint(&endpoint.id).map(|endpoint| endpoint.addr);
    if let Some(addr) = addr {
        check_refuser(gateway, addr, false);
    }
}

/// Whether an attempt could follow the next one, if that brings no answer.
fn may_follow(call: &Call, attempts: &Attempts, endpoint: &Incarnation) -> bool {
    let mut after = attempts.clone();
    after.on_failed(endpoint, Evidence::MayHaveRun);
    call.route.semantics.may_repeat() && after.may_send()
}

/// The endpoint with the least work that wasn't tried. Those that fail are passed over while
/// there are others.
fn choose(gateway: &Gateway, call: &Call, tried: &[Incarnation]) -> Option<(Endpoint, Permit)> {
    let now = Instant::now();
    let knowledge = gateway.knowledge.borrow();
    let fleet_state = gateway.fleet_state.borrow();
    let mut open: Vec<&Endpoint> = knowledge
        .open_endpoints(now.into_std())
        .filter(|endpoint| endpoint.service == call.service)
        .filter(|endpoint| !fleet_state.is_leaving(&endpoint.incarnation(), now))
        .filter(|endpoint| !tried.contains(&endpoint.incarnation()))
        .filter(|endpoint| !gateway.has_ended(&endpoint.incarnation()))
        .collect();
    let work = |endpoint: &Endpoint| work(gateway, endpoint, now);
    open.sort_by(|a, b| {
        let suspect = |endpoint: &Endpoint| fleet_state.is_suspect(&endpoint.incarnation(), now);
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
    let reported = used.reported.filter(|(_, at)| now - *at < LOAD_FRESH);
    let reported = reported.map_or(0.0, |(load, _)| f64::from(load.running + load.waiting));
    let is_near = endpoint.data_centre == gateway.settings.data_centre;
    let distance = if is_near { 0.0 } else { OTHER_DATA_CENTRE };
    let slowness = used.mean_ms.max(1.0).ln();
    reported.max(f64::from(used.in_flight)) + f64::from(used.in_flight) * 0.1 + distance + slowness
}

/// Runs a request at one endpoint and reads its answer whole, within the time that is left.
async fn run(
    gateway: &Rc<Gateway>,
    call: &Call,
    endpoint: Endpoint,
) -> Result<Response<AnswerBody>, Failed> {
    let limit = call.time_left();
    let known = gateway.endpoints_known();
    info!("request sent", kv: {
        request = call.id(), endpoint = endpoint.id.as_str(), limit_ms = limit.as_millis() as u64,
        era = known.at.era, endpoints_at = known.at.count, endpoints_age_ms:? = known.age_ms
    });
    let until = Instant::now() + limit;
    let incarnation = endpoint.incarnation();
    let target = Target { incarnation, addr: endpoint.addr, path: &[], last_event: None };
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
    gateway.pool.borrow_mut().keep(begun.incarnation, begun.connection, &head, Instant::now());
    Ok(pass_on(&parts, body))
}

fn end_of(answer: &Response<AnswerBody>) -> AttemptEnd {
    match answer.status().is_server_error() {
        true => AttemptEnd::Failure,
        false => AttemptEnd::Success,
    }
}

/// An overdue attempt was slower than one that began later.
fn end_of_abandoned(info: &AttemptInfo) -> AttemptEnd {
    match info.is_overdue {
        true => AttemptEnd::Failure,
        false => AttemptEnd::Neutral,
    }
}

/// Reports to the endpoint's breaker how an attempt ended.
fn note_end(gateway: &Gateway, info: &AttemptInfo, end: AttemptEnd) {
    let endpoint = &info.endpoint;
    if let Some(state) = gateway.breakers.borrow_mut().on_end(endpoint, info.permit, end) {
        let state = format!("{state:?}");
        info!("breaker changed", kv: { endpoint = endpoint.id.as_str(), state = state.as_str() });
    }
}
