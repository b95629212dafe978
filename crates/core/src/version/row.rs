//! A row of the shared table: weight, limits and defaults of a workspace for one kind of request.

use crate::id::{Kind, WorkspaceId};
use crate::version::check::{check_name, check_range};
use crate::version::{FieldError, Item, PageId, page_of};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// The kind of a request that names none. Its row also applies to kinds without a row of their own.
pub const DEFAULT_KIND: &str = "default";
/// Accepted weights.
pub const WEIGHTS: RangeInclusive<f64> = 0.001..=1_000_000.0;
/// Accepted limits of requests per second; 0 refuses all requests.
pub const REQUESTS_PER_S: RangeInclusive<f64> = 0.0..=1_000_000.0;
/// Accepted limits of tokens per second; 0 refuses all requests.
pub const TOKENS_PER_S: RangeInclusive<f64> = 0.0..=1_000_000_000.0;
/// Accepted limits of requests in flight; 0 refuses all requests.
pub const IN_FLIGHT: RangeInclusive<u32> = 0..=1_000_000;
/// Accepted deadlines, in milliseconds.
pub const DEADLINES_MS: RangeInclusive<u64> = 1..=3_600_000;

/// The class of a request: urgent requests go before routine ones.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Goes first and has reserved capacity that routine requests can't use.
    Urgent,
    /// Everything else.
    #[default]
    Routine,
}

impl Class {
    /// Returns the priority as endpoints use it: a higher one goes first.
    pub fn priority(self) -> u8 {
        match self {
            Class::Urgent => 1,
            Class::Routine => 0,
        }
    }

    /// Returns the name of the class in the table.
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
    /// Relative share among the rows of the same class, above 0.
    pub weight: f64,
    /// Requests per second over the whole fleet.
    pub requests_per_s: f64,
    /// Tokens per second over the whole fleet.
    pub tokens_per_s: f64,
    /// Requests in flight over the whole fleet.
    pub in_flight: u32,
    /// Urgent or routine.
    pub class: Class,
    /// Deadline of requests that don't set one, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request of this kind may be run more than once.
    pub idempotent: bool,
}

impl Row {
    /// Creates a row with the defaults: weight 1, high limits, routine, a deadline of 60 s, not idempotent.
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

    /// Returns the name of the row in error messages.
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

/// Returns the name of the row for a workspace and kind.
pub fn row_name(workspace: &str, kind: &str) -> String {
    format!("{workspace}/{kind}")
}
