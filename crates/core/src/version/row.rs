//! A row of the shared table: weight and limits of a workspace for one kind of request.

use crate::id::{Kind, WorkspaceId};
use crate::version::check::{check_name, check_range};
use crate::version::{FieldError, Item, PageId, page_of};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Kind of a request that names none; its row stands in for the rows of kinds that have none.
pub const DEFAULT_KIND: &str = "default";
/// Weights taken.
pub const WEIGHTS: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// Limits of requests a second taken; 0 refuses all.
pub const REQUESTS_PER_S: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Limits of tokens a second taken; 0 refuses all.
pub const TOKENS_PER_S: RangeInclusive<f64> = 0.0..=1_000_000_000.0;
/// Limits of requests in flight taken; 0 refuses all.
pub const IN_FLIGHT: RangeInclusive<u32> = 0..=1_000_000;
/// Deadlines taken, in milliseconds.
pub const DEADLINES_MS: RangeInclusive<u64> = 1..=3_600_000;

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

    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Routine => "routine",
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

    /// How errors call it.
    pub(crate) fn subject(&self) -> String {
        format!("row {}/{}", self.workspace, self.kind)
    }
}

impl Item for Row {
    fn name(&self) -> String {
        row_name(&self.workspace, &self.kind)
    }

    fn page(&self) -> PageId {
        PageId::Table(page_of(&self.workspace))
    }

    fn check(&self) -> Result<(), FieldError> {
        let subject = self.subject();
        check_name(&subject, "workspace", &self.workspace)?;
        check_name(&subject, "kind", &self.kind)?;
        check_range(&subject, "weight", self.weight, WEIGHTS)?;
        check_range(&subject, "requests_per_s", self.requests_per_s, REQUESTS_PER_S)?;
        check_range(&subject, "tokens_per_s", self.tokens_per_s, TOKENS_PER_S)?;
        check_range(&subject, "in_flight", self.in_flight, IN_FLIGHT)?;
        check_range(&subject, "deadline_ms", self.deadline_ms, DEADLINES_MS)
    }
}

/// Name of the row of a workspace and kind.
pub fn row_name(workspace: &str, kind: &str) -> String {
    format!("{workspace}/{kind}")
}
