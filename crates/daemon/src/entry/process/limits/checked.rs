//! Requests before and after the check against the limits.

use crate::entry::process::Work;
use sorrellock_core::request::NotRun;
use sorrellock_core::version::Row;
use sorrellock_http::Responder;
use std::sync::Arc;

/// A request with its row and its caller's responder.
pub struct PendingRequest {
    /// Request to admit.
    pub work: Work,
    /// Row whose limits apply.
    pub row: Arc<Row>,
    /// Sends the answer to the caller.
    pub responder: Responder,
}

/// Result of the check against the limits.
pub enum Checked {
    /// Within the limits.
    Passed(PendingRequest),
    /// Refused, with the reason.
    Refused(PendingRequest, NotRun),
}
