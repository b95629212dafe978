//! Messages of a call to a plain service.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::{Attempt, EndpointId};
use sorrellock_core::request::{Refusal, RequestKey};

/// A call to pass on, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRequest {
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: Attempt,
    /// The endpoint that is to run it.
    pub endpoint: EndpointId,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// `Content-Type` of the body.
    pub content_type: Option<String>,
    /// The caller's key, if any.
    pub idempotency_key: Option<String>,
    /// The body.
    pub body: Vec<u8>,
    /// Time left until its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Higher goes first.
    pub priority: u8,
}

impl CallRequest {
    /// A call of which nothing but the request is known yet.
    pub fn empty(request: RequestKey) -> CallRequest {
        CallRequest {
            request,
            attempt: 0,
            endpoint: EndpointId::new(),
            method: String::new(),
            path: String::new(),
            content_type: None,
            idempotency_key: None,
            body: Vec::new(),
            deadline_ms: 0,
            priority: 0,
        }
    }
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The service answered.
    Done {
        /// The HTTP status.
        status: u16,
        /// `Content-Type` of the body.
        content_type: Option<String>,
        /// The body.
        body: Vec<u8>,
    },
    /// It was refused before it was passed on.
    NotRun {
        /// Why.
        refusal: Refusal,
        /// In a plain sentence.
        detail: String,
    },
    /// It was passed on, and no answer came.
    Unknown {
        /// Step and peer.
        detail: String,
    },
}

/// Messages of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallMessage {
    /// From the entry to the daemon beside the endpoint.
    Request(CallRequest),
    /// Back to the entry.
    End {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: Attempt,
        /// How it ended.
        end: CallEnd,
    },
    /// From the entry: nobody waits for this any more.
    Cancel {
        /// The request.
        request: RequestKey,
    },
}
