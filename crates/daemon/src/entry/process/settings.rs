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
    /// What carries messages to other daemons; the same in the whole fleet.
    pub link_kind: LinkKind,
    /// Where operators ask, if at all.
    pub operators: Option<SocketAddr>,
    /// Where metrics go, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// The platform's object API and list of instances.
    pub platform: SocketAddr,
    /// The most requests in progress.
    pub max_in_progress: usize,
    /// The most connections of callers.
    pub max_connections: usize,
    /// The largest body taken, in bytes.
    pub max_body_bytes: usize,
    /// How long a head, or the first byte of one, may take to come.
    pub header_timeout: Duration,
    /// How long a body may take to come.
    pub body_timeout: Duration,
    /// Threads that handle callers' requests.
    pub workers: usize,
    /// The most attempts of one request.
    pub max_attempts: u32,
    /// How long an `Idempotency-Key` is remembered; all daemons take the same.
    pub key_retention: Duration,
    /// How long a leaving entry still takes work after `/readyz` fails, until the balancer has seen it.
    pub ready_grace: Duration,
    /// How orders to engines are planned where this daemon leads.
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

    /// The defaults.
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

    /// Sets how long a leaving entry still takes work after `/readyz` fails.
    pub fn with_ready_grace(mut self, ready_grace: Duration) -> EntrySettings {
        self.ready_grace = ready_grace;
        self
    }

    /// Listens for operators.
    pub fn with_operators(mut self, addr: SocketAddr) -> EntrySettings {
        self.operators = Some(addr);
        self
    }

    /// Takes another kind of link.
    pub fn with_link_kind(mut self, kind: LinkKind) -> EntrySettings {
        self.link_kind = kind;
        self
    }

    /// Plans orders to engines so.
    pub fn with_planner(mut self, planner: PlannerConfig) -> EntrySettings {
        self.planner = planner;
        self
    }
}
