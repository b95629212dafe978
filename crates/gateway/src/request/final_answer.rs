//! What a caller is told in the end: an endpoint's whole answer, or the gateway's own.

use crate::process::Count;
use crate::request::Call;
use bytes::Bytes;
use http::response::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use sorrellock_http::AnswerBody;
use sorrellock_platform::{answer_headers, retry_after};
use sorrellock_routing::request::AbandonedOutcome;
use std::time::Duration;

/// An endpoint's answer that came whole, for the caller.
pub(crate) fn pass_on(endpoint: &Parts, body: Bytes) -> Response<AnswerBody> {
    let mut answer = Response::new(AnswerBody::whole(body));
    *answer.status_mut() = endpoint.status;
    *answer.headers_mut() = answer_headers(&endpoint.headers);
    answer
}

/// An answer of the gateway's own.
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

/// The final answer of a request that was given up.
pub(crate) fn give_up(
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
    call.end.tell(count, outcome, status.as_u16(), why);
    refusal(status, (abandoned_outcome == AbandonedOutcome::NotRun).then_some(retry_delay))
}
