//! State of one call to a plain service at its entry.

use crate::entry::process::NewPipeline;
use crate::entry::request::Keyed;
use crate::entry::version::InFlight;
use sorrellock_core::id::{Attempt, EndpointId, ServiceId, WorkspaceId};
use sorrellock_core::process::retries::Permit;
use sorrellock_core::request::{Peer, RequestKey, Route, Unknown};
use sorrellock_http::Responder;
use sorrellock_wire::message::CallRequest;
use std::time::{Duration, Instant};

/// State of one call to a plain service at its entry.
pub struct CallRun {
    /// Key of the request.
    pub request: RequestKey,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Service that is called.
    pub service: ServiceId,
    /// Request last sent, with the current attempt.
    pub sent: CallRequest,
    /// Daemon it was last sent to.
    pub daemon: Peer,
    /// Endpoints that already had an attempt.
    pub tried: Vec<EndpointId>,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Unknown outcome of an earlier attempt, if any: from then on the call can't end as `not run`.
    pub earlier_unknown: Option<Unknown>,
    /// Ledger state, if it has a key and must run at most once.
    pub keyed: Option<Keyed>,
    /// Pipeline request to start once its record is granted, with its route.
    pub pipeline: Option<(NewPipeline, Route)>,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Sends the answer to the caller.
    pub responder: Option<Responder>,
    /// Guard that counts the call as in flight at the endpoint.
    pub in_flight: Option<InFlight>,
    /// Reports the end of the current attempt to the endpoint's circuit breaker.
    pub permit: Option<Permit>,
}

impl CallRun {
    /// Returns the current attempt.
    pub fn attempt(&self) -> Attempt {
        self.sent.attempt
    }

    /// Returns the time limit of the current attempt.
    pub fn given(&self) -> Duration {
        Duration::from_millis(self.sent.deadline_ms)
    }
}
