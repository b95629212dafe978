//! Endpoints that a gateway suspects to have failed, or that reported that they leave.

use sorrellock_routing::process::FailureEvidence;
use std::fmt;
use std::time::Duration;
use tokio::time::Instant;

/// State of an endpoint that reported that it accepts no more requests.
pub(super) struct Leaving {
    pub(super) until: Instant,
    /// Whether it reported to this gateway itself.
    pub(super) is_own: bool,
}

/// The gateway that found that an endpoint failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SuspicionSource {
    /// This gateway.
    Own,
    /// Another gateway, by its instance name.
    Gateway(String),
}

impl fmt::Display for SuspicionSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SuspicionSource::Own => f.write_str("this gateway"),
            SuspicionSource::Gateway(instance) => f.write_str(instance),
        }
    }
}

/// Suspicion that an endpoint is dead, after it failed.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    pub(crate) since: Instant,
    /// The endpoint gets no new work until then.
    pub(super) until: Instant,
    pub(crate) source: SuspicionSource,
    pub(super) evidence: FailureEvidence,
    /// Whether the endpoint has answered since.
    pub(super) is_refuted: bool,
}

impl Suspicion {
    pub(super) fn new(
        source: SuspicionSource,
        evidence: FailureEvidence,
        now: Instant,
        lasts: Duration,
    ) -> Suspicion {
        Suspicion { since: now, until: now + lasts, source, evidence, is_refuted: false }
    }

    pub(super) fn is_own(&self) -> bool {
        self.source == SuspicionSource::Own
    }
}
