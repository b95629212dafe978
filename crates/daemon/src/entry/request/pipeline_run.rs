//! State of one pipeline request at its entry.

use crate::entry::request::{Answer, RunRecord};
use crate::entry::version::InFlight;
use sorrellock_core::id::{Position, WorkspaceId};
use sorrellock_core::request::{Driver, RequestKey, StallDetector};
use sorrellock_core::version::Pipeline;
use std::time::Instant;

/// State of one pipeline request at its entry.
pub struct PipelineRun {
    /// Key of the request.
    pub request: RequestKey,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Tokens, attempt and route.
    pub driver: Driver,
    /// Detects that the request makes no progress.
    pub stall: StallDetector,
    /// Time since which no route over live engines exists, if so.
    pub without_route: Option<Instant>,
    /// Response to the caller.
    pub answer: Answer,
    /// Whether the caller requested a stream.
    pub stream: bool,
    /// Ledger record, if any.
    pub record: Option<RunRecord>,
    /// Pipeline that serves the request.
    pub pipeline: Pipeline,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Length of the prompt, in tokens.
    pub prompt_len: Position,
    /// Guards that count the request as in flight at the endpoints of its route.
    pub in_flight: Vec<InFlight>,
}
