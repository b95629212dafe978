//! One version of the operator's configuration.

use crate::version::ModelShape;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Version number of a configuration; a higher one is newer.
pub type ConfigVersion = u64;
/// Name of a service, such as a pool of engines.
pub type ServiceName = String;
/// Name of a workspace.
pub type WorkspaceName = String;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Semantics {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events.
    Stream {
        /// Whether a second run may continue after the last event that was delivered.
        resumable: bool,
    },
}

impl Semantics {
    /// Returns whether a request that may have run can be sent again.
    pub fn may_repeat(self) -> bool {
        matches!(self, Semantics::Idempotent | Semantics::Stream { resumable: true })
    }
}

/// Routing rule for requests of one host and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// The host that it matches.
    pub host: String,
    /// The path prefix that it matches; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub semantics: Semantics,
    /// Maximum time that a caller waits.
    pub timeout: Duration,
    /// Target time until the first byte that counts.
    pub target_latency: Duration,
    /// Longest pause between two events that is still on time.
    pub target_gap: Option<Duration>,
    /// Priority rank; 0 is the most urgent.
    pub priority: u32,
    /// Target services with their weights; never empty.
    pub targets: Vec<(ServiceName, u32)>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
}

/// A pool of endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceName,
    /// Path at which an endpoint reports whether it is healthy and not leaving.
    pub health_path: String,
    /// Maximum number of connections that one of its endpoints accepts from all callers together.
    pub max_connections: u32,
    /// Shape of the model, if its endpoints are engines that hold layers of one.
    pub model: Option<ModelShape>,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a whole head must arrive.
    pub header_timeout: Duration,
    /// Time that a connection stays open between requests.
    pub idle_timeout: Duration,
}

/// A group of callers, identified by their keys.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, which is passed on to endpoints.
    pub name: WorkspaceName,
    /// Its keys.
    pub keys: Vec<String>,
    /// Overrides the priority of a route if set.
    pub priority: Option<u32>,
}

/// One complete version of the operator's configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Its version number.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// Limits on what callers send.
    pub limits: CallerLimits,
    /// All workspaces; none if requests carry no keys.
    pub workspaces: Vec<Workspace>,
}
