//! A row of the shared table: weight and limits of a workspace for one kind of request.

use crate::id::{Kind, WorkspaceId};
use serde::{Deserialize, Serialize};

/// The class of a request: urgent goes before routine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Goes first, and has a reserve that routine work can't take.
    Urgent,
    /// Everything else.
    #[default]
    Routine,
}

impl Class {
    /// Priority beside the endpoints: higher goes first.
    pub fn priority(self) -> u8 {
        match self {
            Class::Urgent => 1,
            Class::Routine => 0,
        }
    }
}

/// One row of the shared table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The kind of request.
    pub kind: Kind,
    /// Share inside the class, above 0.
    pub weight: f64,
    /// Requests per second over the whole fleet.
    pub requests_per_s: f64,
    /// Tokens per second over the whole fleet.
    pub tokens_per_s: f64,
    /// Requests in flight over the whole fleet.
    pub in_flight: u32,
    /// Urgent or routine.
    pub class: Class,
    /// Deadline where the caller names none, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request of this kind may be run again.
    pub idempotent: bool,
}

impl Row {
    /// A row with the defaults: weight 1, generous limits, routine, 60 s, not idempotent.
    pub fn new(workspace: impl Into<WorkspaceId>, kind: impl Into<Kind>) -> Row {
        Row {
            workspace: workspace.into(),
            kind: kind.into(),
            weight: 1.0,
            requests_per_s: 1_000.0,
            tokens_per_s: 1_000_000.0,
            in_flight: 1_000,
            class: Class::Routine,
            deadline_ms: 60_000,
            idempotent: false,
        }
    }
}
