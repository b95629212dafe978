//! The attempts of one request at the endpoints of a plain service.

use crate::process::{Gateway, check_refuser};
use crate::request::endpoint_choice::{choose_endpoint, open_endpoints, service_block};
use crate::request::plain::record_answered;
use crate::request::{
    AttemptInfo, Call, FailedAttempt, RETRY_AFTER_ELSEWHERE, abandon_call, block_reason,
    block_retry_delay, held_reason, held_retry_delay, log_failed_attempt,
};
use http::Response;
use sorrellock_core::process::retries::{AttemptEnd, Permit};
use sorrellock_http::AnswerBody;
use sorrellock_routing::process::notices::SendBlock;
use sorrellock_routing::process::{Endpoint, Incarnation};
use sorrellock_routing::request::{Attempts, Evidence, overdue_after};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Retry-After if no endpoint accepted the request.
const RETRY_AFTER: Duration = Duration::from_millis(300);

/// The state of a call's attempts.
pub(super) struct CallAttempts {
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
    pub(super) fn new(call: &Call) -> CallAttempts {
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
    pub(super) fn next_endpoint(
        &mut self,
        gateway: &Gateway,
        call: &Call,
    ) -> Option<(Endpoint, Permit)> {
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
    pub(super) fn next_hedge(
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

    pub(super) fn start_attempt(
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

    pub(super) fn on_failed(
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

    /// Counts an attempt as one that may have run, as another one may start beside it. Returns whether one may.
    pub(super) fn count_overdue(&mut self, info: &mut AttemptInfo) -> bool {
        self.record_failed(info, Evidence::MayHaveRun);
        info.is_overdue = true;
        self.attempts.may_send()
    }

    /// Records that an open attempt is given up, as another one has answered.
    pub(super) fn on_abandoned(&mut self, gateway: &Gateway, info: &AttemptInfo) {
        report_attempt_end(gateway, info, abandoned_attempt_end(info));
        self.record_failed(info, Evidence::MayHaveRun);
    }

    pub(super) fn on_error_answered(&mut self, info: &AttemptInfo, answer: Response<AnswerBody>) {
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

    /// Returns whether an answer is an endpoint's error for a request that may be repeated and which another endpoint may answer.
    pub(super) fn should_try_another(
        &self,
        call: &Call,
        info: &AttemptInfo,
        answer: &Response<AnswerBody>,
        is_other_running: bool,
    ) -> bool {
        call.route.semantics.may_repeat()
            && answer.status().is_server_error()
            && (is_other_running || may_follow(call, &self.attempts, &info.endpoint))
    }

    pub(super) fn final_answer(self, gateway: &Gateway, call: &Call) -> Response<AnswerBody> {
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

/// Reports to the endpoint's circuit breaker how an attempt ended.
pub(super) fn report_attempt_end(gateway: &Gateway, info: &AttemptInfo, end: AttemptEnd) {
    let endpoint = &info.endpoint;
    if let Some(state) = gateway.breakers.borrow_mut().on_end(endpoint, info.permit, end) {
        let state = format!("{state:?}");
        info!("circuit breaker state changed", kv: { endpoint = endpoint.id.as_str(), state = state.as_str() });
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
