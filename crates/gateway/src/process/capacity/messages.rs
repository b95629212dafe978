//! Requests for capacity, and the answers.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::{Incarnation as GatewayIncarnation, Sequence};
use sorrellock_core::process::admission::{Rank, RequestIdentity};
use sorrellock_routing::process::{DataCentre, Incarnation};
use sorrellock_routing::version::{ServiceName, WorkspaceName};

/// Path of requests for capacity at the gateway that keeps it. The body is a [`CapacityAsk`] in JSON.
pub(crate) const CAPACITY_PATH: &str = "/capacity";
/// Largest body of such a request: engines excluded by their names are the longest part of it.
pub(crate) const MAX_ASK_BYTES: usize = 64 << 10;

/// A request for capacity on a path of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct CapacityAsk {
    /// The gateway that asks.
    pub(crate) gateway: GatewayIncarnation,
    pub(crate) service: ServiceName,
    /// Data centre of the gateway that asks, whose paths are preferred.
    pub(crate) data_centre: DataCentre,
    pub(crate) workspace: Option<WorkspaceName>,
    /// Name of the request's route.
    pub(crate) route: String,
    pub(crate) rank: Rank,
    /// Whether the request has lost its run.
    pub(crate) is_resumed: bool,
    /// Identifies the request among the attempts of its caller.
    pub(crate) request: RequestIdentity,
    /// Capacity that it takes, in tokens.
    pub(crate) tokens: f64,
    /// Size of its body.
    pub(crate) bytes: u64,
    /// Longest time that it may wait.
    pub(crate) max_wait_ms: u32,
    /// First engines of paths that it may not use.
    pub(crate) excluded: Vec<Incarnation>,
}

/// Longest time that a request may wait for capacity: no target is longer.
pub(crate) const MAX_WAIT_MS: u32 = 60_000;
/// Most tokens of a request: more than any engine holds.
const MAX_TOKENS: f64 = 1e9;

impl CapacityAsk {
    /// Checks the values that a gateway may send. Returns the invalid field, and what it must be.
    pub(crate) fn check(&self) -> Result<(), String> {
        if !self.tokens.is_finite() || !(0.0..=MAX_TOKENS).contains(&self.tokens) {
            return Err(format!("`tokens` is {}, and must be 0 to {MAX_TOKENS}", self.tokens));
        }
        if self.max_wait_ms > MAX_WAIT_MS {
            let ms = self.max_wait_ms;
            return Err(format!("`max_wait_ms` is {ms}, and must be at most {MAX_WAIT_MS}"));
        }
        Ok(())
    }
}

/// The answer to a request for capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum CapacityAnswer {
    /// It may be sent over the path that begins at this engine.
    Granted {
        /// The engine.
        head: Incarnation,
        /// Number of the grant, for the report that includes it.
        number: Sequence,
    },
    /// There is none in time.
    Refused { retry_after_ms: u32 },
    /// This gateway can't tell.
    Unknown,
}
