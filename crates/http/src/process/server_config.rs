//! Settings of a listener.

use crate::process::machine_limits;
use sorrellock_core::process::callers::{CallerBounds, MachineLimits};
use std::net::SocketAddr;
use std::time::Duration;

/// Threads that run the handler.
pub const DEFAULT_WORKERS: usize = 4;
/// Connections open at once.
pub const DEFAULT_MAX_CONNECTIONS: usize = 8_192;
/// Largest request body, in bytes.
pub const DEFAULT_MAX_BODY_BYTES: usize = 4 << 20;
/// Largest request head, in bytes.
pub const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
/// Time for a head to come in whole, from the connection's start or the head's first byte.
pub const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for a body to come in whole.
pub const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time that a connection stays open between requests.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Whole requests that wait for a worker.
pub const DEFAULT_QUEUE: usize = 1_024;
/// Chunks that wait for one slow caller.
pub const DEFAULT_CHUNK_QUEUE: usize = 1_024;
/// Time that a shutdown leaves to the answers in progress.
pub const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// How a listener words an answer that it gives by itself, for a status and a plain sentence:
/// headers and body.
pub type RefusalFormat = fn(u16, &str) -> (Vec<(&'static str, &'static str)>, String);

/// The sentence alone.
fn plain_refusal(_status: u16, text: &str) -> (Vec<(&'static str, &'static str)>, String) {
    (vec![("content-type", "text/plain; charset=utf-8")], text.to_owned())
}

/// Settings of a listener.
#[derive(Clone, Debug)]
pub struct ServerConfig {
    /// Where to listen; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Threads that run the handler, at least 1.
    pub workers: usize,
    /// Connections open at once; more are closed and counted.
    pub max_connections: usize,
    /// What the machine gives to the process, from which follows what its callers may make it hold.
    pub machine: MachineLimits,
    /// Largest request body; a larger one gets 413.
    pub max_body_bytes: usize,
    /// Largest request head; a larger one gets 431. At least 8 KiB.
    pub max_header_bytes: usize,
    /// Time for a head to come in whole.
    pub header_timeout: Duration,
    /// Time for a body to come in whole.
    pub body_timeout: Duration,
    /// Time that a connection stays open between requests.
    pub idle_timeout: Duration,
    /// Whole requests that wait for a worker; more get 503.
    pub queue: usize,
    /// Chunks that wait for one slow caller of a streamed answer.
    pub chunk_queue: usize,
    /// Time that a shutdown leaves to the answers in progress.
    pub drain_timeout: Duration,
    /// Name of the listener's threads.
    pub name: String,
    /// How it words the answers that it gives by itself.
    pub refusals: RefusalFormat,
}

impl ServerConfig {
    /// The defaults, listening at `addr`.
    pub fn new(addr: SocketAddr) -> ServerConfig {
        ServerConfig {
            addr,
            workers: DEFAULT_WORKERS,
            max_connections: DEFAULT_MAX_CONNECTIONS,
            machine: machine_limits(),
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            max_header_bytes: DEFAULT_MAX_HEADER_BYTES,
            header_timeout: DEFAULT_HEADER_TIMEOUT,
            body_timeout: DEFAULT_BODY_TIMEOUT,
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            queue: DEFAULT_QUEUE,
            chunk_queue: DEFAULT_CHUNK_QUEUE,
            drain_timeout: DEFAULT_DRAIN_TIMEOUT,
            name: "http".into(),
            refusals: plain_refusal,
        }
    }

    /// Words the answers that the listener gives by itself.
    pub fn with_refusals(mut self, refusals: RefusalFormat) -> ServerConfig {
        self.refusals = refusals;
        self
    }

    /// Runs the handler on this many threads.
    pub fn with_workers(mut self, workers: usize) -> ServerConfig {
        self.workers = workers.max(1);
        self
    }

    /// Keeps at most this many connections open.
    pub fn with_max_connections(mut self, connections: usize) -> ServerConfig {
        self.max_connections = connections;
        self
    }

    /// Bounds what callers may make the process hold by these limits.
    pub fn with_machine(mut self, machine: MachineLimits) -> ServerConfig {
        self.machine = machine;
        self
    }

    /// Returns the most that callers may make the process hold.
    pub(crate) fn caller_bounds(&self) -> CallerBounds {
        let bounds = CallerBounds::new(self.machine, self.max_header_bytes);
        CallerBounds { connections: bounds.connections.min(self.max_connections), ..bounds }
    }

    /// Takes request bodies of up to this many bytes.
    pub fn with_max_body_bytes(mut self, bytes: usize) -> ServerConfig {
        self.max_body_bytes = bytes;
        self
    }

    /// Takes request heads of up to this many bytes.
    pub fn with_max_header_bytes(mut self, bytes: usize) -> ServerConfig {
        self.max_header_bytes = bytes;
        self
    }

    /// Cuts off a head that takes longer.
    pub fn with_header_timeout(mut self, timeout: Duration) -> ServerConfig {
        self.header_timeout = timeout;
        self
    }

    /// Cuts off a body that takes longer.
    pub fn with_body_timeout(mut self, timeout: Duration) -> ServerConfig {
        self.body_timeout = timeout;
        self
    }

    /// Closes a connection that is idle longer.
    pub fn with_idle_timeout(mut self, timeout: Duration) -> ServerConfig {
        self.idle_timeout = timeout;
        self
    }

    /// Lets this many requests wait for a worker.
    pub fn with_queue(mut self, requests: usize) -> ServerConfig {
        self.queue = requests;
        self
    }

    /// Lets this many chunks wait for one slow caller.
    pub fn with_chunk_queue(mut self, chunks: usize) -> ServerConfig {
        self.chunk_queue = chunks.max(1);
        self
    }

    /// Leaves the answers in progress this much time at a shutdown.
    pub fn with_drain_timeout(mut self, timeout: Duration) -> ServerConfig {
        self.drain_timeout = timeout;
        self
    }

    /// Names the listener's threads.
    pub fn with_name(mut self, name: impl Into<String>) -> ServerConfig {
        self.name = name.into();
        self
    }
}
