//! One version of the operator's configuration.

use crate::version::ModelShape;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Number of a configuration; a higher one is newer.
pub type ConfigVersion = u64;
/// Name of a service, such as a pool of engines.
pub type ServiceName = String;
/// Name of a workspace.
pub type WorkspaceName = String;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// A second run may go on after the last event that was delivered.
        resumable: bool,
    },
}

impl Semantics {
    /// Whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Semantics::Idempotent | Semantics::Stream { resumable: true })
    }
}

/// Where requests of one host and path prefix go.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host that it answers for.
    pub host: String,
    /// Begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub semantics: Semantics,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// Within this the first byte that counts should come.
    pub target_latency: Duration,
    /// The longest pause between two events that is still on time.
    pub target_gap: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// Services with their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
    /// The most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Needs no key.
    pub is_public: bool,
}

/// A pool of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Where an endpoint tells whether it is healthy and stays.
    pub health_path: String,
    /// Connections that one of its endpoints takes from all callers together.
    pub max_connections: u32,
    /// Set where its endpoints are engines that hold layers of a model.
    pub model: Option<ModelShape>,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub max_header_bytes: usize,
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Time for a head to come in whole.
    pub header_timeout: Duration,
    /// Time that a connection stays open between requests.
    pub idle_timeout: Duration,
}

/// Who may call, by key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which endpoints are told.
    pub name: WorkspaceName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Overrides the rank of a route where it is set.
    pub priority: Option<u32>,
}

/// One version of the operator's configuration, whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its number.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Bounds on what callers send.
    pub limits: CallerLimits,
    /// All workspaces; none where requests carry no keys.
    pub workspaces: Vec<Workspace>,
}
