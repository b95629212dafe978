//! The outcome of a request: done, not run, or unknown.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// What became of a request. Exactly one is sent to the caller, as soon as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It ran, and this is its whole answer.
    Done(T),
    /// It ran nowhere.
    NotRun(NotRun),
    /// It may have run.
    Unknown(Unknown),
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A limit of the workspace was reached.
    Limit,
    /// No endpoint has room, or none is known.
    Capacity,
    /// The process that was asked is leaving.
    Leaving,
    /// The platform's store is down, and the request needs a record there.
    StoreDown,
    /// It can't be done before its deadline.
    Deadline,
    /// The caller went away before it started.
    Cancelled,
    /// The message was for an earlier incarnation of the process, or a lower attempt.
    Superseded,
    /// The request can't be served as asked.
    BadRequest,
}

impl Refusal {
    /// The name in answers and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Refusal::Limit => "limit",
            Refusal::Capacity => "capacity",
            Refusal::Leaving => "leaving",
            Refusal::StoreDown => "store-down",
            Refusal::Deadline => "deadline",
            Refusal::Cancelled => "cancelled",
            Refusal::Superseded => "superseded",
            Refusal::BadRequest => "bad-request",
        }
    }
}

/// What proves that a request ran nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    NeverSent,
    RefusedBeforeStart,
    Tombstoned,
}

/// A refusal with its evidence; it can only be built from evidence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotRun {
    evidence: Evidence,
    /// Why.
    pub refusal: Refusal,
    /// What to tell the caller, in a plain sentence.
    pub detail: String,
    /// When the caller should come back.
    pub retry_after: Duration,
}

impl NotRun {
    /// It never left this process.
    pub fn never_sent(refusal: Refusal, detail: impl Into<String>) -> NotRun {
        NotRun::new(Evidence::NeverSent, refusal, detail.into())
    }

    /// The only process that it was sent to refused it before starting.
    pub fn refused_before_start(refusal: Refusal, detail: impl Into<String>) -> NotRun {
        NotRun::new(Evidence::RefusedBeforeStart, refusal, detail.into())
    }

    /// The only process that it was sent to will never start it.
    pub fn tombstoned(refusal: Refusal, detail: impl Into<String>) -> NotRun {
        NotRun::new(Evidence::Tombstoned, refusal, detail.into())
    }

    /// Tells the caller to come back after `wait`.
    pub fn with_retry_after(mut self, wait: Duration) -> NotRun {
        self.retry_after = wait;
        self
    }

    fn new(evidence: Evidence, refusal: Refusal, detail: String) -> NotRun {
        NotRun { evidence, refusal, detail, retry_after: Duration::from_secs(1) }
    }

    /// The name of the evidence, for logs and dumps.
    pub fn evidence(&self) -> &'static str {
        match self.evidence {
            Evidence::NeverSent => "never sent",
            Evidence::RefusedBeforeStart => "refused before start",
            Evidence::Tombstoned => "tombstoned",
        }
    }
}

impl fmt::Display for NotRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not run ({}): {}", self.refusal.name(), self.detail)
    }
}

/// A request that was sent and whose end is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// The step at which it was lost sight of, and the peer.
    pub detail: String,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown: {}", self.detail)
    }
}
