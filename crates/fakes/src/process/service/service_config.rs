//! Settings of a stand-in service.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of a stand-in service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Where to listen; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Its name, which it puts into its answers.
    pub name: String,
    /// Time that each call takes before it runs.
    pub latency: Duration,
}

impl ServiceConfig {
    /// A service that takes no time.
    pub fn new(addr: SocketAddr) -> ServiceConfig {
        ServiceConfig { addr, name: "service".into(), latency: Duration::ZERO }
    }

    /// Names the service.
    pub fn with_name(mut self, name: impl Into<String>) -> ServiceConfig {
        self.name = name.into();
        self
    }

    /// Makes each call take this long.
    pub fn with_latency(mut self, latency: Duration) -> ServiceConfig {
        self.latency = latency;
        self
    }
}
