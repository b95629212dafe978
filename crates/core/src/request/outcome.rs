//! Outcome of a request: done, not run, or unknown.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::time::Duration;

/// Final result of a request. Exactly one is sent to the caller, as soon as it is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome<T> {
    /// It ran; holds its complete answer.
    Done(T),
    /// It was not run by any process.
    NotRun(NotRun),
    /// It may or may not have run.
    Unknown(Unknown),
}

/// Reason why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// A limit of the workspace was reached.
    Limit,
    /// No endpoint has free capacity, or none is known.
    Capacity,
    /// The process that received the request is leaving.
    Leaving,
    /// The platform's store is down, and the request needs a record there.
    StoreDown,
    /// It cannot be completed before its deadline.
    Deadline,
    /// The caller disconnected before it started.
    Cancelled,
    /// The message was addressed to an earlier incarnation of the process, or to a lower attempt.
    Superseded,
    /// The request is invalid or cannot be served as specified.
    BadRequest,
}

impl Refusal {
    /// Returns the name used in answers and metrics.
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

/// Proof that a request was not run by any process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    NeverSent,
    RefusedBeforeStart,
    Tombstoned,
}

/// A refusal with its evidence; the constructors are the only way to build one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NotRun {
    evidence: Evidence,
    /// The reason.
    pub refusal: Refusal,
    /// Message for the caller.
    pub detail: String,
    /// Delay after which the caller should retry.
    pub retry_after: Duration,
}

impl NotRun {
    /// Returns a refusal of a request that never left this process.
    pub fn never_sent(refusal: Refusal, detail: impl Into<String>) -> NotRun {
        NotRun::new(Evidence::NeverSent, refusal, detail.into())
    }

    /// Returns a refusal of a request that its only recipient refused before starting it.
    pub fn refused_before_start(refusal: Refusal, detail: impl Into<String>) -> NotRun {
        NotRun::new(Evidence::RefusedBeforeStart, refusal, detail.into())
    }

    /// Returns a refusal of a request that its only recipient has tombstoned and will never start.
    pub fn tombstoned(refusal: Refusal, detail: impl Into<String>) -> NotRun {
        NotRun::new(Evidence::Tombstoned, refusal, detail.into())
    }

    /// Sets the delay after which the caller should retry.
    pub fn with_retry_after(mut self, wait: Duration) -> NotRun {
        self.retry_after = wait;
        self
    }

    fn new(evidence: Evidence, refusal: Refusal, detail: String) -> NotRun {
        NotRun { evidence, refusal, detail, retry_after: Duration::from_secs(1) }
    }

    /// Returns the name of the evidence for logs and dumps.
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

/// A request that was sent and whose result is not known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unknown {
    /// The last known step and the peer.
    pub detail: String,
}

impl fmt::Display for Unknown {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "unknown: {}", self.detail)
    }
}
