//! Builds the final answer to a caller: an endpoint's complete answer, or the gateway's own refusal.

use crate::process::Count;
use crate::request::Call;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use sorrellock_http::AnswerBody;
use sorrellock_platform::{answer_headers, retry_after};
use sorrellock_routing::request::AbandonedOutcome;
use std::time::Duration;

/// Returns an endpoint's complete answer for the caller.
pub(crate) fn forward_answer(endpoint: &Parts, body: Bytes) -> Response<AnswerBody> {
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

/// Returns why a request that is held back ends, for log lines.
pub(crate) fn held_reason(call: &Call) -> String {
    format!("held back, as endpoints ended under content {}", call.run_request.content)
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
