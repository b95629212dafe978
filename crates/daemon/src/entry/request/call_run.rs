//! One call to a plain service at its entry.

use crate::entry::process::NewPipeline;
use crate::entry::request::Keyed;
use crate::entry::version::InFlight;
use sorrellock_core::id::{Attempt, EndpointId, ServiceId, WorkspaceId};
use sorrellock_core::process::retries::Permit;
use sorrellock_core::request::{Peer, RequestKey, Route, Unknown};
use sorrellock_http::Responder;
use sorrellock_wire::message::CallRequest;
use std::time::{Duration, Instant};

/// One call to a plain service at its entry.
pub struct CallRun {
    /// Its identity.
    pub request: RequestKey,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// The service.
    pub service: ServiceId,
    /// What was last sent, with the attempt in force.
    pub sent: CallRequest,
    /// Where it was last sent.
    pub daemon: Peer,
    /// Endpoints that had an attempt already.
    pub tried: Vec<EndpointId>,
    /// Whether it may run again.
    pub idempotent: bool,
    /// What is not known of an earlier attempt, if so: the call is never `not run` from then on.
    pub doubt: Option<Unknown>,
    /// Its way through the ledger, if it has a key and must run at most once.
    pub keyed: Option<Keyed>,
    /// The pipeline request that it becomes once its record is granted, with its route.
    pub pipeline: Option<(NewPipeline, Route)>,
    /// When the caller no longer needs it.
    pub deadline: Instant,
    /// The caller.
    pub responder: Option<Responder>,
    /// Counts it at the endpoint.
    pub in_flight: Option<InFlight>,
    /// With which the end of the attempt in force is told to its endpoint's breaker.
    pub permit: Option<Permit>,
}

impl CallRun {
    /// The attempt in force.
    pub fn attempt(&self) -> Attempt {
        self.sent.attempt
    }

    /// How long the attempt in force had to be answered.
    pub fn given(&self) -> Duration {
        Duration::from_millis(self.sent.deadline_ms)
    }
}
