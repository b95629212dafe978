//! Settings of the stand-in platform.

use crate::process::OutageWindow;
use std::net::SocketAddr;
use std::time::Duration;

/// Writes that the platform takes in a second, by default.
pub const DEFAULT_WRITES_PER_S: u32 = 300;
/// Reads that the platform takes in a second, by default.
pub const DEFAULT_READS_PER_S: u32 = 2_000;

/// Settings of the stand-in platform.
#[derive(Clone, Debug)]
pub struct PlatformConfig {
    /// Where to listen; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Time that each call takes.
    pub latency: Duration,
    /// Writes a second, 0 for any number.
    pub writes_per_s: u32,
    /// Reads a second, 0 for any number; a waiting watch counts as one.
    pub reads_per_s: u32,
    /// How late the list of instances shows a change.
    pub instance_lag: Duration,
    /// Outages that come by themselves.
    pub outages: Vec<OutageWindow>,
}

impl PlatformConfig {
    /// No latency, no lag, no outages, and the rates of the users' platform.
    pub fn new(addr: SocketAddr) -> PlatformConfig {
        PlatformConfig {
            addr,
            latency: Duration::ZERO,
            writes_per_s: DEFAULT_WRITES_PER_S,
            reads_per_s: DEFAULT_READS_PER_S,
            instance_lag: Duration::ZERO,
            outages: Vec::new(),
        }
    }

    /// Makes each call take this long.
    pub fn with_latency(mut self, latency: Duration) -> PlatformConfig {
        self.latency = latency;
        self
    }

    /// Takes this many writes and reads a second; 0 for any number.
    pub fn with_rates(mut self, writes_per_s: u32, reads_per_s: u32) -> PlatformConfig {
        self.writes_per_s = writes_per_s;
        self.reads_per_s = reads_per_s;
        self
    }

    /// Shows changes of the list of instances this much later.
    pub fn with_instance_lag(mut self, lag: Duration) -> PlatformConfig {
        self.instance_lag = lag;
        self
    }

    /// Adds an outage that comes by itself.
    pub fn with_outage(mut self, window: OutageWindow) -> PlatformConfig {
        self.outages.push(window);
        self
    }
}
