//! Serves requests to plain services, where one endpoint runs the whole request.

use crate::process::{Count, Gateway, check_refuser};
use crate::request::endpoint_choice::{choose_endpoint, open_endpoints, service_block};
use crate::request::{
    AttemptEvent, AttemptInfo, Call, Exchange, FailedAttempt, RETRY_AFTER_ELSEWHERE,
    RunningAttempts, Target, abandon_call, attempt, block_reason, block_retry_delay,
    forward_answer, held_reason, held_retry_delay, log_failed_attempt,
};
use http::Response;
use sorrellock_core::process::retries::{AttemptEnd, Permit};
use sorrellock_http::{AnswerBody, Cut, ReadError, read_answer};
use sorrellock_platform::read_answer_head;
use sorrellock_routing::process::notices::SendBlock;
use sorrellock_routing::process::{Endpoint, Incarnation};
use sorrellock_routing::request::{Attempts, Evidence, overdue_after};
use sorrellock_routing::version::Semantics;
use spdlog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Retry-After if no endpoint accepted the request.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How often an overdue attempt looks for another endpoint after none was available or no retry was left.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Serves a request to a plain service.
pub(crate) async fn serve_plain(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut call_attempts = CallAttempts::new(&call);
    let mut running = RunningAttempts::new();
    loop {
        if running.is_empty() {
            gateway.await_turn(&call, || open_endpoints(&gateway, &call).len()).await;
            let Some((endpoint, permit)) = call_attempts.next_endpoint(&gateway, &call) else {
                break;
            };
            let info = call_attempts.start_attempt(&gateway, &call, &endpoint, permit);
            running.push(info, run_attempt(&gateway, &call, endpoint));
        }
        let event = tokio::select! {
            biased;
            event = running.next() => event,
            () = gateway.ending() => {
                let failed = abandon_at_shutdown(&call);
                running.infos().for_each(|info| call_attempts.on_failed(&gateway, &call, info, &failed));
                break;
            }
        };
        match event {
            AttemptEvent::Ended(info, Ok(answer)) => {
                if !call_attempts.should_try_another(&call, &info, &answer, !running.is_empty()) {
                    report_attempt_end(&gateway, &info, attempt_end(&answer));
                    running.infos().for_each(|info| {
                        report_attempt_end(&gateway, info, abandoned_attempt_end(info))
                    });
                    return Ok(record_answered(&call, &info.endpoint, answer));
                }
                report_attempt_end(&gateway, &info, AttemptEnd::Failure);
                call_attempts.on_error_answered(&info, answer);
            }
            AttemptEvent::Ended(info, Err(failed)) => {
                call_attempts.on_failed(&gateway, &call, &info, &failed);
            }
            // The attempt stays open: the next one may be refused, or bring no answer either.
            AttemptEvent::Overdue(under_way) => {
                match call_attempts.next_hedge(&gateway, &call, under_way) {
                    Some((endpoint, permit)) => {
                        let info = call_attempts.start_attempt(&gateway, &call, &endpoint, permit);
                        running.push(info, run_attempt(&gateway, &call, endpoint));
                    }
                    None => under_way.overdue_at = Some(Instant::now() + OVERDUE_CHECK_INTERVAL),
                }
            }
        }
    }
    Ok(call_attempts.final_answer(&gateway, &call))
}

/// The state of a call's attempts.
struct CallAttempts {
    attempts: Attempts,
    tried: Vec<Incarnation>,
    why: String,
    /// How long the request is held back, if that is why no attempt may follow.
    held_for: Option<Duration>,
    /// Why no endpoint may be sent the request now, if that is why.
    block: Option<SendBlock>,
    /// An endpoint's error answer, returned to the caller if no attempt succeeds.
    last_failure: Option<(Response<AnswerBody>, Incarnation)>,
}

impl CallAttempts {
    fn new(call: &Call) -> CallAttempts {
        CallAttempts {
            attempts: Attempts::new(call.route.semantics, call.route.max_attempts),
            tried: Vec::new(),
            why: "no endpoint is known".to_owned(),
            held_for: None,
            block: None,
            last_failure: None,
        }
    }

    /// Chooses the endpoint of the next attempt, and charges the retry budget if it is a repeat. `None` if no attempt
    /// may follow.
    fn next_endpoint(&mut self, gateway: &Gateway, call: &Call) -> Option<(Endpoint, Permit)> {
        if !self.attempts.may_send() || call.time_left().is_zero() || gateway.is_ending() {
            return None;
        }
        self.held_for = gateway.held_for(call);
        if self.held_for.is_some() {
            self.why = held_reason(gateway, call);
            return None;
        }
        if gateway.awaits_suspect(call) {
            self.why = "another run of the same content may crash its endpoint".to_owned();
            return None;
        }
        let Some(chosen) = choose_endpoint(gateway, call, &self.tried) else {
            self.block = service_block(gateway, call);
            if let Some(block) = self.block {
                self.why = block_reason(block, "endpoints");
            }
            return None;
        };
        if self.attempts.is_repeat() && !gateway.spend_repeat(&call.service) {
            self.why = format!("{}; the retry budget is spent", self.why);
            return None;
        }
        Some(chosen)
    }

    /// Does the same for an attempt in parallel with an overdue one, which then counts as one that may have run.
    fn next_hedge(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        under_way: &mut AttemptInfo,
    ) -> Option<(Endpoint, Permit)> {
        let mut after = self.attempts.clone();
        if !under_way.is_overdue {
            after.on_failed(&under_way.endpoint, Evidence::MayHaveRun);
        }
        // The retry budget is charged only once an endpoint is found. It is checked first, as a refused charge would
        // be counted at each check.
        let is_unsafe = gateway.is_crash_suspect(call) || gateway.held_for(call).is_some();
        if !after.may_send() || is_unsafe || !gateway.may_repeat(&call.service) {
            return None;
        }
        let chosen = choose_endpoint(gateway, call, &self.tried)?;
        // A limit leaves nothing for attempts that may not be needed.
        if gateway.is_limited(&chosen.0.incarnation()) {
            return None;
        }
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

    fn start_attempt(
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
        failed: &FailedAttempt,
    ) {
        let is_neutral = failed.is_inconclusive || failed.is_held || failed.is_blocked;
        let end = if is_neutral || failed.asks_backoff {
            AttemptEnd::Neutral
        } else {
            AttemptEnd::Failure
        };
        report_attempt_end(gateway, info, end);
        log_failed_attempt(gateway, call, &info.endpoint, failed);
        self.record_failed(info, failed.evidence);
        match failed.evidence {
            Evidence::NotSent if is_neutral => {}
            Evidence::NotSent => {
                gateway.suspect(&info.endpoint, failed.failure_evidence, &failed.why)
            }
            // It said how long it gets no requests, and is not leaving.
            Evidence::NotRun if failed.asks_backoff => {}
            Evidence::NotRun => check_refusing_endpoint(gateway, &info.endpoint),
            Evidence::MayHaveRun => {}
        }
        self.why = format!("{}: {}", info.endpoint.id, failed.why);
    }

    fn on_error_answered(&mut self, info: &AttemptInfo, answer: Response<AnswerBody>) {
        self.record_failed(info, Evidence::MayHaveRun);
        self.why = format!("{} answered {}", info.endpoint.id, answer.status());
        self.last_failure = Some((answer, info.endpoint.clone()));
    }

    fn record_failed(&mut self, info: &AttemptInfo, evidence: Evidence) {
        // An overdue attempt was counted when its successor started.
        if !info.is_overdue {
            self.attempts.on_failed(&info.endpoint, evidence);
        }
    }

    /// Returns whether an answer is an endpoint's error for an idempotent request which another endpoint may answer.
    fn should_try_another(
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

    fn final_answer(self, gateway: &Gateway, call: &Call) -> Response<AnswerBody> {
        match self.last_failure {
            // The endpoint's signed error is more specific than the gateway's own.
            Some((answer, endpoint)) => record_answered(call, &endpoint, answer),
            None => {
                let abandoned_outcome = self.attempts.abandoned_outcome(call.time_left().is_zero());
                abandon_call(call, abandoned_outcome, self.retry_delay(gateway, call), &self.why)
            }
        }
    }

    fn retry_delay(&self, gateway: &Gateway, call: &Call) -> Duration {
        if let Some(held_for) = self.held_for {
            return held_retry_delay(held_for);
        }
        if let Some(block) = self.block.or_else(|| service_block(gateway, call)) {
            return block_retry_delay(block);
        }
        let is_untried = |endpoint: &Endpoint| {
            let endpoint = endpoint.incarnation();
            !self.tried.contains(&endpoint) && gateway.send_block(&endpoint).is_none()
        };
        let is_elsewhere =
            !self.attempts.may_send() && open_endpoints(gateway, call).iter().any(is_untried);
        if is_elsewhere { RETRY_AFTER_ELSEWHERE } else { RETRY_AFTER }
    }
}

/// Returns the failure of an attempt that this gateway abandons at shutdown.
fn abandon_at_shutdown(call: &Call) -> FailedAttempt {
    call.end.report_cut_leaving();
    FailedAttempt::new(Evidence::MayHaveRun, "this gateway ends before the answer".to_owned())
}

fn record_answered(
    call: &Call,
    endpoint: &Incarnation,
    answer: Response<AnswerBody>,
) -> Response<AnswerBody> {
    let why = format!("answered by {}", endpoint.id);
    call.end.report(Count::Answered, "answered", answer.status().as_u16(), &why);
    answer
}

/// Asks an endpoint that refused the call as not run whether it is leaving.
fn check_refusing_endpoint(gateway: &Rc<Gateway>, endpoint: &Incarnation) {
    let addr = gateway.knowledge.borrow().endpoint(&endpoint.id).map(|endpoint| endpoint.addr);
    if let Some(addr) = addr {
        check_refuser(gateway, addr, false);
    }
}

/// Returns whether another attempt may follow one at `endpoint` that brings no answer.
fn may_follow(call: &Call, attempts: &Attempts, endpoint: &Incarnation) -> bool {
    let mut after = attempts.clone();
    after.on_failed(endpoint, Evidence::MayHaveRun);
    call.route.semantics.may_repeat() && after.may_send()
}

/// Runs a request at one endpoint and reads the complete answer within the time left.
async fn run_attempt(
    gateway: &Rc<Gateway>,
    call: &Call,
    endpoint: Endpoint,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let limit = call.time_left();
    let known = gateway.endpoints_known();
    info!("request sent", kv: {
        request = call.id(), endpoint = endpoint.id.as_str(), limit_ms = limit.as_millis() as u64,
        era = known.at.era, endpoints_at = known.at.count, endpoints_age_ms:? = known.age_ms
    });
    let until = Instant::now() + limit;
    let incarnation = endpoint.incarnation();
    let target = Target { incarnation, addr: endpoint.addr, path: &[], last_event: None };
    let exchange = attempt(gateway, call, &target, limit).await?;
    gateway.counters.first_byte.record(call.arrived.elapsed());
    read_whole(gateway, call, exchange, endpoint.addr, until).await
}

async fn read_whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchange: Exchange,
    addr: SocketAddr,
    until: Instant,
) -> Result<Response<AnswerBody>, FailedAttempt> {
    let (parts, mut body) = exchange.answer.into_parts();
    let no_answer = |why: String| FailedAttempt::new(Evidence::MayHaveRun, why);
    let left = until.saturating_duration_since(Instant::now());
    let body = timeout(left, read_answer(&call.slot, &mut body, MAX_ANSWER_BYTES)).await;
    let body = body.map_err(|_| no_answer("the answer was not complete in time".to_owned()))?;
    let body = match body {
        Ok(body) => body,
        Err(err @ (ReadError::TooLarge | ReadError::NoRoom)) => {
            return Err(no_answer(format!("the answer can't be held: {err}")));
        }
        Err(err @ ReadError::Broken) => {
            exchange.run.on_broke();
            drop(exchange.run);
            gateway.check_ended(&exchange.incarnation, addr).await;
            return Err(no_answer(format!("the answer was cut off: {err}")));
        }
    };
    exchange.in_flight.on_answered();
    exchange.run.on_answered();
    let head = read_answer_head(parts.status, &parts.headers);
    gateway.pool.borrow_mut().keep(
        exchange.incarnation,
        exchange.connection,
        &head,
        Instant::now(),
    );
    Ok(forward_answer(&parts, body))
}

fn attempt_end(answer: &Response<AnswerBody>) -> AttemptEnd {
    match answer.status().is_server_error() {
        true => AttemptEnd::Failure,
        false => AttemptEnd::Success,
    }
}

/// Returns the end of an attempt abandoned for another one's answer: a failure if it is overdue, as it was slower than
/// one that started later.
fn abandoned_attempt_end(info: &AttemptInfo) -> AttemptEnd {
    match info.is_overdue {
        true => AttemptEnd::Failure,
        false => AttemptEnd::Neutral,
    }
}

/// Reports to the endpoint's circuit breaker how an attempt ended.
fn report_attempt_end(gateway: &Gateway, info: &AttemptInfo, end: AttemptEnd) {
    let endpoint = &info.endpoint;
    if let Some(state) = gateway.breakers.borrow_mut().on_end(endpoint, info.permit, end) {
        let state = format!("{state:?}");
        info!("circuit breaker state changed", kv: { endpoint = endpoint.id.as_str(), state = state.as_str() });
    }
}
