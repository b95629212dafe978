//! Finds an endpoint of a plain service that begins or continues a stream.

use super::call_attempts::{CallAttempts, report_attempt_end};
use super::serve::{abandon_at_shutdown, attempt_end, read_whole};
use crate::process::Gateway;
use crate::request::endpoint_choice::open_endpoints;
use crate::request::relay::STREAM_SILENCE_LIMIT;
use crate::request::{
    AttemptEvent, AttemptInfo, Call, Exchange, FailedAttempt, RunningAttempts, Target, attempt,
};
use http::{Response, StatusCode};
use sorrellock_core::process::retries::{AttemptEnd, Permit};
use sorrellock_http::AnswerBody;
use sorrellock_routing::process::{Endpoint, Incarnation};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How often a stream without an answer looks for another endpoint after none was available or no retry was left.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A run of a stream at an endpoint.
pub(super) struct PlainRun {
    pub(super) exchange: Exchange,
    pub(super) info: AttemptInfo,
}

/// The outcome of a search for a run.
pub(super) enum Begun {
    Run(Box<PlainRun>),
    /// The answer of this endpoint, which is no stream.
    Answer(Box<Response<AnswerBody>>, Incarnation),
    /// No endpoint took the request.
    Nothing,
}

/// Sends the request to one endpoint after the other until one begins the stream after `last_event`, until `until` at the
/// latest. An attempt without an answer stays open beside the next one.
pub(super) async fn begin_run(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut CallAttempts,
    last_event: Option<u64>,
    until: Instant,
) -> Begun {
    let mut running = RunningAttempts::new();
    loop {
        if running.is_empty() {
            gateway.await_turn(call, || open_endpoints(gateway, call).len()).await;
            let next = attempts.next_endpoint(gateway, call).filter(|_| Instant::now() < until);
            let Some((endpoint, permit)) = next else { return Begun::Nothing };
            let info = start_attempt(gateway, call, attempts, &endpoint, permit);
            running.push(info, send(gateway, call, endpoint, last_event, until));
        }
        let event = tokio::select! {
            biased;
            event = running.next() => event,
            () = gateway.ending() => {
                let failed = abandon_at_shutdown(call);
                running.infos().for_each(|info| attempts.on_failed(gateway, call, info, &failed));
                return Begun::Nothing;
            }
        };
        match event {
            AttemptEvent::Ended(info, Ok(exchange)) => {
                let run = PlainRun { exchange, info };
                if run.exchange.answer.status() == StatusCode::OK {
                    running.infos().for_each(|info| attempts.on_abandoned(gateway, info));
                    return Begun::Run(Box::new(run));
                }
                let is_other_running = !running.is_empty();
                let endpoint = run.info.endpoint.clone();
                let answer = read_other_answer(gateway, call, attempts, run, is_other_running);
                if let Some(answer) = answer.await {
                    running.infos().for_each(|info| attempts.on_abandoned(gateway, info));
                    return Begun::Answer(Box::new(answer), endpoint);
                }
            }
            AttemptEvent::Ended(info, Err(failed)) => {
                attempts.on_failed(gateway, call, &info, &failed);
            }
            AttemptEvent::Overdue(under_way) => {
                match attempts.next_hedge(gateway, call, under_way) {
                    Some((endpoint, permit)) => {
                        let info = start_attempt(gateway, call, attempts, &endpoint, permit);
                        running.push(info, send(gateway, call, endpoint, last_event, until));
                    }
                    None => under_way.overdue_at = Some(Instant::now() + OVERDUE_CHECK_INTERVAL),
                }
            }
        }
    }
}

fn start_attempt(
    gateway: &Gateway,
    call: &Call,
    attempts: &mut CallAttempts,
    endpoint: &Endpoint,
    permit: Permit,
) -> AttemptInfo {
    let info = attempts.start_attempt(gateway, call, endpoint, permit);
    // The first event of a busy endpoint comes later than a whole answer of a call.
    let overdue_at = info.overdue_at.map(|_| Instant::now() + STREAM_SILENCE_LIMIT);
    AttemptInfo { overdue_at, ..info }
}

async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    endpoint: Endpoint,
    last_event: Option<u64>,
    until: Instant,
) -> Result<Exchange, FailedAttempt> {
    let limit = until.saturating_duration_since(Instant::now());
    info!("request sent", kv: {
        request = call.id(), endpoint = endpoint.id.as_str(), limit_ms = limit.as_millis() as u64,
        after:? = last_event
    });
    let incarnation = endpoint.incarnation();
    let target = Target { incarnation, addr: endpoint.addr, path: &[], last_event };
    attempt(gateway, call, &target, limit).await
}

/// Reads an answer that is no stream. Returns it unless another endpoint may be tried.
async fn read_other_answer(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut CallAttempts,
    run: PlainRun,
    is_other_running: bool,
) -> Option<Response<AnswerBody>> {
    let PlainRun { exchange, info } = run;
    match read_whole(gateway, call, exchange, call.deadline).await {
        Ok(answer) if attempts.should_try_another(call, &info, &answer, is_other_running) => {
            report_attempt_end(gateway, &info, AttemptEnd::Failure);
            attempts.on_error_answered(&info, answer);
            None
        }
        Ok(answer) => {
            report_attempt_end(gateway, &info, attempt_end(&answer));
            Some(answer)
        }
        Err(failed) => {
            attempts.on_failed(gateway, call, &info, &failed);
            None
        }
    }
}
