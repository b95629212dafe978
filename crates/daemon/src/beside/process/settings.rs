//! Settings of a daemon beside endpoints.

use sorrellock_core::id::{EndpointId, Place, ServiceId};
use sorrellock_core::process::ledger::HolderConfig;
use sorrellock_core::process::orders::PlannerConfig;
use sorrellock_wire::connection::LinkKind;
use std::net::SocketAddr;
use std::time::Duration;

/// A plain service's instance that a daemon serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEndpoint {
    /// The endpoint's name.
    pub id: EndpointId,
    /// The service that it is an instance of.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// Settings of a daemon beside endpoints.
#[derive(Clone, Debug)]
pub struct BesideSettings {
    /// The place of the instance.
    pub place: Place,
    /// Where to listen for other daemons.
    pub link: SocketAddr,
    /// What carries messages to other daemons; the same in the whole fleet.
    pub link_kind: LinkKind,
    /// Where operators ask, if at all.
    pub operators: Option<SocketAddr>,
    /// Where metrics go, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// The platform's object API and list of instances. Without it, the daemon waits to be found.
    pub platform: Option<SocketAddr>,
    /// The engines served.
    pub engines: Vec<SocketAddr>,
    /// The plain services served.
    pub services: Vec<ServiceEndpoint>,
    /// Bytes of output kept for replay, for each request at each stage.
    pub replay_budget: usize,
    /// Bytes of output kept for replay, for all requests at this daemon.
    pub daemon_replay_budget: usize,
    /// The most requests open at one engine.
    pub max_sessions: usize,
    /// The most calls that run at one plain service.
    pub max_calls: usize,
    /// The most calls that wait for one plain service.
    pub call_queue: usize,
    /// How long an `Idempotency-Key` is remembered; all daemons take the same.
    pub key_retention: Duration,
    /// How long a leaving daemon stays at least, to refuse what was sent before all had heard of it.
    pub linger: Duration,
    /// How orders to engines are planned where this daemon leads.
    pub planner: PlannerConfig,
}

impl BesideSettings {
    /// Default of `replay_budget`.
    pub const REPLAY_BUDGET: usize = 8 << 20;
    /// Default of `daemon_replay_budget`.
    pub const DAEMON_REPLAY_BUDGET: usize = 512 << 20;
    /// Default of `max_sessions`.
    pub const MAX_SESSIONS: usize = 1024;
    /// Default of `max_calls`.
    pub const MAX_CALLS: usize = 16;
    /// Default of `call_queue`.
    pub const CALL_QUEUE: usize = 256;
    /// Default of `linger`.
    pub const LINGER: Duration = Duration::from_secs(4);

    /// The defaults, without endpoints.
    pub fn new(place: impl Into<Place>, link: SocketAddr) -> BesideSettings {
        BesideSettings {
            place: place.into(),
            link,
            link_kind: LinkKind::default(),
            operators: None,
            metrics: None,
            platform: None,
            engines: Vec::new(),
            services: Vec::new(),
            replay_budget: BesideSettings::REPLAY_BUDGET,
            daemon_replay_budget: BesideSettings::DAEMON_REPLAY_BUDGET,
            max_sessions: BesideSettings::MAX_SESSIONS,
            max_calls: BesideSettings::MAX_CALLS,
            call_queue: BesideSettings::CALL_QUEUE,
            key_retention: HolderConfig::RETENTION,
            linger: BesideSettings::LINGER,
            planner: PlannerConfig::new(),
        }
    }

    /// Finds its peers by the platform at `addr`.
    pub fn with_platform(mut self, addr: SocketAddr) -> BesideSettings {
        self.platform = Some(addr);
        self
    }

    /// Sets how long a leaving daemon stays at least.
    pub fn with_linger(mut self, linger: Duration) -> BesideSettings {
        self.linger = linger;
        self
    }

    /// Keeps at most this much output for each request at each stage.
    pub fn with_replay_budget(mut self, bytes: usize) -> BesideSettings {
        self.replay_budget = bytes;
        self
    }

    /// Serves an engine.
    pub fn with_engine(mut self, addr: SocketAddr) -> BesideSettings {
        self.engines.push(addr);
        self
    }

    /// Serves an instance of a plain service.
    pub fn with_service(mut self, endpoint: ServiceEndpoint) -> BesideSettings {
        self.services.push(endpoint);
        self
    }

    /// Takes another kind of link.
    pub fn with_link_kind(mut self, kind: LinkKind) -> BesideSettings {
        self.link_kind = kind;
        self
    }

    /// Plans orders to engines so.
    pub fn with_planner(mut self, planner: PlannerConfig) -> BesideSettings {
        self.planner = planner;
        self
    }
}
