//! Refusals and failures as sent to callers: HTTP status, `Sorrellock-Outcome` header and problem+json body.

use serde_json::{Value, json};
use sorrellock_core::request::{NotRun, Refusal, Unknown};
use sorrellock_http::Responder;
use std::time::Duration;

/// Header with the outcome: `done`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "sorrellock-outcome";

/// Header that marks an answer as that of an earlier request with the same key.
pub const REPLAYED_HEADER: &str = "sorrellock-replayed";

/// A refusal or failure that is sent in place of the requested answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Short name of the problem.
    pub title: String,
    /// What went wrong and how to fix it, in a plain sentence.
    pub detail: String,
    /// Delay after which to retry, if a retry may succeed.
    pub retry_after: Option<Duration>,
    /// Whether to close the connection because this process is leaving.
    pub closes: bool,
}

impl Problem {
    /// Creates a problem for a request that can't be served as sent; it did not run.
    pub fn bad(status: u16, title: &str, detail: impl Into<String>) -> Problem {
        Problem {
            status,
            outcome: "not-run",
            title: title.into(),
            detail: detail.into(),
            retry_after: None,
            closes: false,
        }
    }

    /// Creates the problem for an idempotency key that was used with a different request.
    pub fn key_mismatch() -> Problem {
        let detail = "this Idempotency-Key was used for a request with another method, path, \
                      model or body; send a new key with a new request";
        Problem::bad(422, "key used before", detail)
    }

    /// Sends the problem as the whole answer.
    pub fn send(&self, responder: Responder) {
        let retry_after =
            self.retry_after.map(|wait| wait.as_secs_f64().ceil().max(1.0).to_string());
        let mut headers =
            vec![("content-type", "application/problem+json"), (OUTCOME_HEADER, self.outcome)];
        if let Some(wait) = &retry_after {
            headers.push(("retry-after", wait));
        }
        if self.closes {
            headers.push(("connection", "close"));
        }
        responder.send(self.status, &headers, self.json().to_string());
    }

    /// Returns the problem+json body.
    pub fn json(&self) -> Value {
        let mut body = json!({
            "type": "about:blank",
            "status": self.status,
            "title": self.title,
            "detail": self.detail,
            "outcome": self.outcome,
        });
        if let Some(wait) = self.retry_after {
            body["retry_after_ms"] = json!(wait.as_millis() as u64);
        }
        body
    }
}

/// Returns headers and body of a response that the callers' listener sends itself. A request that it refuses never
/// reached a handler; one that a handler dropped (status 500) may have run.
pub fn listener_refusal(status: u16, detail: &str) -> (Vec<(&'static str, &'static str)>, String) {
    let title = match status {
        400 => "malformed request",
        408 => "slow request",
        413 => "large body",
        503 => "busy",
        _ => "internal error",
    };
    let outcome = if status == 500 { "unknown" } else { "not-run" };
    let problem = Problem { outcome, ..Problem::bad(status, title, detail) };
    let headers = vec![("content-type", "application/problem+json"), (OUTCOME_HEADER, outcome)];
    (headers, problem.json().to_string())
}

impl From<NotRun> for Problem {
    fn from(not_run: NotRun) -> Problem {
        let status = match not_run.refusal {
            Refusal::Limit => 429,
            Refusal::Capacity | Refusal::Leaving | Refusal::StoreDown | Refusal::Superseded => 503,
            Refusal::Deadline => 504,
            Refusal::Cancelled => 499,
            Refusal::BadRequest => 400,
        };
        let may_retry = not_run.refusal != Refusal::BadRequest;
        Problem {
            status,
            outcome: "not-run",
            title: not_run.refusal.name().into(),
            detail: not_run.detail,
            retry_after: may_retry.then_some(not_run.retry_after),
            closes: not_run.refusal == Refusal::Leaving,
        }
    }
}

impl From<Unknown> for Problem {
    fn from(unknown: Unknown) -> Problem {
        Problem {
            status: 409,
            outcome: "unknown",
            title: "unknown".into(),
            detail: unknown.detail,
            retry_after: None,
            closes: false,
        }
    }
}
