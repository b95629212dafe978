//! One pipeline request at its entry.

use crate::entry::request::{Answer, RunRecord};
use crate::entry::version::InFlight;
use sorrellock_core::id::{Position, WorkspaceId};
use sorrellock_core::request::{Driver, RequestKey, StallDetector};
use sorrellock_core::version::Pipeline;
use std::time::Instant;

/// One pipeline request at its entry.
pub struct PipelineRun {
    /// Its identity.
    pub request: RequestKey,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Tokens, attempt and route.
    pub driver: Driver,
    /// Watches its progress.
    pub stall: StallDetector,
    /// Since when no engines are left for it, if so.
    pub without_route: Option<Instant>,
    /// What the caller gets.
    pub answer: Answer,
    /// Whether the caller asked for a stream.
    pub stream: bool,
    /// Its record in the ledger, if it has one.
    pub record: Option<RunRecord>,
    /// The pipeline.
    pub pipeline: Pipeline,
    /// When the caller no longer needs it.
    pub deadline: Instant,
    /// Length of the prompt, in tokens.
    pub prompt_len: Position,
    /// Counts it at the endpoints of its route.
    pub in_flight: Vec<InFlight>,
}
