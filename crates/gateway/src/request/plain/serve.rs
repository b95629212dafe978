//! Serves requests to plain services, where one endpoint runs the whole request.

use super::call_attempts::{CallAttempts, report_attempt_end};
use crate::process::{Count, Gateway};
use crate::request::endpoint_choice::open_endpoints;
use crate::request::{
    AttemptEvent, Call, Exchange, FailedAttempt, RunningAttempts, Target, attempt, forward_answer,
};
use http::Response;
use sorrellock_core::process::retries::AttemptEnd;
use sorrellock_http::{AnswerBody, Cut, ReadError, read_answer};
use sorrellock_routing::process::{Endpoint, Incarnation};
use sorrellock_routing::request::Evidence;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;
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
                    running.infos().for_each(|info| call_attempts.on_abandoned(&gateway, info));
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

/// Returns the failure of an attempt that this gateway abandons at shutdown.
pub(crate) fn abandon_at_shutdown(call: &Call) -> FailedAttempt {
    call.end.report_cut_leaving();
    FailedAttempt::new(Evidence::MayHaveRun, "this gateway ends before the answer".to_owned())
}

pub(crate) fn record_answered(
    call: &Call,
    endpoint: &Incarnation,
    answer: Response<AnswerBody>,
) -> Response<AnswerBody> {
    let why = format!("answered by {}", endpoint.id);
    call.end.report(Count::Answered, "answered", answer.status().as_u16(), &why);
    answer
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
    read_whole(gateway, call, exchange, until).await
}

pub(crate) async fn read_whole(
    gateway: &Rc<Gateway>,
    call: &Call,
    exchange: Exchange,
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
            gateway.check_ended(&exchange.incarnation, exchange.addr).await;
            return Err(no_answer(format!("the answer was cut off: {err}")));
        }
    };
    exchange.in_flight.on_answered();
    exchange.run.on_answered();
    let (connection, head) = (exchange.connection, &exchange.head);
    gateway.pool.borrow_mut().keep(exchange.incarnation, connection, head, Instant::now());
    Ok(forward_answer(&parts, body))
}

pub(super) fn attempt_end(answer: &Response<AnswerBody>) -> AttemptEnd {
    match answer.status().is_server_error() {
        true => AttemptEnd::Failure,
        false => AttemptEnd::Success,
    }
}
