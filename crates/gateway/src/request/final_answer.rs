//! Builds the final answer to a caller: an endpoint's complete answer, or the gateway's own refusal.

use crate::process::{Count, Gateway, unix_now};
use crate::request::Call;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use rand::RngExt;
use sorrellock_http::{AnswerBody, ByteSegments};
use sorrellock_platform::{answer_headers, retry_after};
use sorrellock_routing::process::notices::SendBlock;
use sorrellock_routing::request::AbandonedOutcome;
use std::time::Duration;

/// Returns an endpoint's complete answer for the caller.
pub(crate) fn forward_answer(endpoint: &Parts, body: ByteSegments) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = endpoint.status;
    *answer.headers_mut() = answer_headers(&endpoint.headers);
    answer
}

/// Returns the gateway's own refusal, with a Retry-After header if `retry_delay` is given.
pub(crate) fn refusal(status: StatusCode, retry_delay: Option<Duration>) -> Response<AnswerBody> {
    let text = status.canonical_reason().unwrap_or("refused");
    let mut answer = Response::new(AnswerBody::whole(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(wait) = retry_delay {
        headers.insert(header::RETRY_AFTER, retry_after(wait));
    }
    answer
}

/// Minimum Retry-After of a held request, so that its callers don't ask again at once.
const MIN_HELD_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Returns the Retry-After of a request that is held back for `held_for`.
pub(crate) fn held_retry_delay(held_for: Duration) -> Duration {
    held_for.max(MIN_HELD_RETRY_DELAY)
}

/// Retry-After of a request that may not be sent to further endpoints, where another one can take it.
pub(crate) const RETRY_AFTER_ELSEWHERE: Duration = Duration::from_millis(50);
/// Maximum random part of the Retry-After of a request whose endpoints all asked for a back-off, as a share of the wait, and its
/// bound: otherwise all callers that were refused meanwhile would come back at once.
const BACKOFF_SPREAD: f64 = 0.25;
const MAX_BACKOFF_SPREAD: Duration = Duration::from_secs(1);

/// Returns the Retry-After of a request that no endpoint may be sent now.
pub(crate) fn block_retry_delay(block: SendBlock) -> Duration {
    match block {
        SendBlock::Limited(wait) => wait,
        SendBlock::BackingOff(wait) => {
            let spread = wait.mul_f64(BACKOFF_SPREAD).min(MAX_BACKOFF_SPREAD);
            wait + spread.mul_f64(rand::rng().random_range(0.0..1.0))
        }
    }
}

/// Returns why no endpoint may be sent a request now, for log lines. `endpoints` is what they are called there.
pub(crate) fn block_reason(block: SendBlock, endpoints: &str) -> String {
    match block {
        SendBlock::Limited(_) => format!("all {endpoints} are at their limits"),
        SendBlock::BackingOff(_) => format!("all {endpoints} asked for a back-off"),
    }
}

/// Returns why a request that is held back ends, for log lines.
pub(crate) fn held_reason(gateway: &Gateway, call: &Call) -> String {
    let guard = gateway.crash_guard.borrow();
    let held = guard.held_by(&call.run_request, unix_now());
    match held.and_then(|held| held.part.as_deref()) {
        Some(part) => format!("held back, as endpoints ended under part {part} of prompts"),
        None => format!("held back, as endpoints ended under content {}", call.run_request.content),
    }
}

/// Records the end of an abandoned request and returns its final answer.
pub(crate) fn abandon_call(
    call: &Call,
    abandoned_outcome: AbandonedOutcome,
    retry_delay: Duration,
    why: &str,
) -> Response<AnswerBody> {
    let (count, outcome, status) = match abandoned_outcome {
        AbandonedOutcome::NotRun => (Count::NotRun, "not run", StatusCode::SERVICE_UNAVAILABLE),
        AbandonedOutcome::Unknown => (Count::Unknown, "may have run", StatusCode::BAD_GATEWAY),
        AbandonedOutcome::TimedOut => {
            (Count::TimedOut, "may have run", StatusCode::GATEWAY_TIMEOUT)
        }
    };
    call.end.report(count, outcome, status.as_u16(), why);
    refusal(status, (abandoned_outcome == AbandonedOutcome::NotRun).then_some(retry_delay))
}
