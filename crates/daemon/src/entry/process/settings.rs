//! Settings of an entry.

use sorrellock_core::id::Place;
use sorrellock_core::process::ledger::HolderConfig;
use sorrellock_core::process::orders::PlannerConfig;
use sorrellock_wire::connection::LinkKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Settings of an entry.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// The place of the instance.
    pub place: Place,
    /// Where to listen for callers.
    pub callers: SocketAddr,
    /// Where to listen for other daemons.
    pub link: SocketAddr,
    /// The transport for messages to other daemons; must be the same in the whole fleet.
    pub link_kind: LinkKind,
    /// Where to listen for operators, if at all.
    pub operators: Option<SocketAddr>,
    /// Where to send metrics, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's object API and list of instances.
    pub platform: SocketAddr,
    /// Maximum number of requests in progress.
    pub max_in_progress: usize,
    /// Maximum number of callers' connections.
    pub max_connections: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// How long a request head, or its first byte, may take to arrive.
    pub header_timeout: Duration,
    /// How long a request body may take to arrive.
    pub body_timeout: Duration,
    /// Number of threads that handle callers' requests.
    pub workers: usize,
    /// Maximum number of attempts for one request.
    pub max_attempts: u32,
    /// How long an `Idempotency-Key` is kept; must be the same for all daemons.
    pub key_retention: Duration,
    /// How long a leaving entry still admits requests after `/readyz` fails, so that the load balancer can
    /// notice.
    pub ready_grace: Duration,
    /// How orders to engines are planned while this daemon is lead.
    pub planner: PlannerConfig,
}

impl EntrySettings {
    /// Default of `max_in_progress`.
    pub const MAX_IN_PROGRESS: usize = 20_000;
    /// Default of `max_connections`.
    pub const MAX_CONNECTIONS: usize = 20_000;
    /// Default of `max_body_bytes`.
    pub const MAX_BODY_BYTES: usize = 4 << 20;
    /// Default of `header_timeout`.
    pub const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
    /// Default of `body_timeout`.
    pub const BODY_TIMEOUT: Duration = Duration::from_secs(30);
    /// Default of `workers`.
    pub const WORKERS: usize = 4;
    /// Default of `max_attempts`.
    pub const MAX_ATTEMPTS: u32 = 8;
    /// Default of `ready_grace`.
    pub const READY_GRACE: Duration = Duration::from_secs(2);

    /// Creates settings with the defaults.
    pub fn new(
        place: impl Into<Place>,
        callers: SocketAddr,
        link: SocketAddr,
        platform: SocketAddr,
    ) -> EntrySettings {
        EntrySettings {
            place: place.into(),
            callers,
            link,
            link_kind: LinkKind::default(),
            operators: None,
            metrics: None,
            platform,
            max_in_progress: EntrySettings::MAX_IN_PROGRESS,
            max_connections: EntrySettings::MAX_CONNECTIONS,
            max_body_bytes: EntrySettings::MAX_BODY_BYTES,
            header_timeout: EntrySettings::HEADER_TIMEOUT,
            body_timeout: EntrySettings::BODY_TIMEOUT,
            workers: EntrySettings::WORKERS,
            max_attempts: EntrySettings::MAX_ATTEMPTS,
            key_retention: HolderConfig::RETENTION,
            ready_grace: EntrySettings::READY_GRACE,
            planner: PlannerConfig::new(),
        }
    }

    /// Sets how long a leaving entry still admits requests after `/readyz` fails.
    pub fn with_ready_grace(mut self, ready_grace: Duration) -> EntrySettings {
        self.ready_grace = ready_grace;
        self
    }

    /// Sets the address of the operators' listener.
    pub fn with_operators(mut self, addr: SocketAddr) -> EntrySettings {
        self.operators = Some(addr);
        self
    }

    /// Sets the transport for messages to other daemons.
    pub fn with_link_kind(mut self, kind: LinkKind) -> EntrySettings {
        self.link_kind = kind;
        self
    }

    /// Sets how orders to engines are planned.
    pub fn with_planner(mut self, planner: PlannerConfig) -> EntrySettings {
        self.planner = planner;
        self
    }
}
