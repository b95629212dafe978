//! A request on its way through the limits.

use crate::entry::process::Work;
use sorrellock_core::request::NotRun;
use sorrellock_core::version::Row;
use sorrellock_http::Responder;
use std::sync::Arc;

/// A request with its row and its caller.
pub struct Asking {
    /// The request.
    pub work: Work,
    /// The row that applies.
    pub row: Arc<Row>,
    /// The caller.
    pub responder: Responder,
}

/// A request of which the limits have decided.
pub enum Checked {
    /// It goes on.
    Passed(Asking),
    /// It is refused.
    Refused(Asking, NotRun),
}
