//! Settings of a daemon that runs next to endpoints.

use sorrellock_core::id::{EndpointId, Place, ServiceId};
use sorrellock_core::process::ledger::HolderConfig;
use sorrellock_core::process::orders::PlannerConfig;
use sorrellock_wire::connection::LinkKind;
use std::net::SocketAddr;
use std::time::Duration;

/// Instance of a plain service that a daemon serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEndpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// The service that it is an instance of.
    pub service: ServiceId,
    /// Address on which the instance listens.
    pub addr: SocketAddr,
}

/// Settings of a daemon that runs next to endpoints.
#[derive(Clone, Debug)]
pub struct BesideSettings {
    /// The place of the instance.
    pub place: Place,
    /// Address on which to listen for other daemons.
    pub link: SocketAddr,
    /// Transport for messages to other daemons. Must be the same in the whole fleet.
    pub link_kind: LinkKind,
    /// Address of the operators' listener, if there is one.
    pub operators: Option<SocketAddr>,
    /// Address to which metrics are sent, if at all.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's object API and list of instances. Without it, the daemon waits for peers to
    /// contact it.
    pub platform: Option<SocketAddr>,
    /// Addresses of the engines that the daemon serves.
    pub engines: Vec<SocketAddr>,
    /// Plain services that the daemon serves.
    pub services: Vec<ServiceEndpoint>,
    /// Max bytes of output kept for replay, per request and stage.
    pub replay_budget: usize,
    /// Max bytes of output kept for replay, for all requests at this daemon.
    pub daemon_replay_budget: usize,
    /// Max open requests per engine.
    pub max_sessions: usize,
    /// Max concurrent calls per plain service.
    pub max_calls: usize,
    /// Max queued calls per plain service.
    pub call_queue: usize,
    /// How long an `Idempotency-Key` is retained. Must be the same at all daemons.
    pub key_retention: Duration,
    /// Minimum time that a leaving daemon keeps running, to refuse work from peers that have not yet learned that it is
    /// leaving.
    pub linger: Duration,
    /// Settings of the planner of engine orders, used where this daemon is the lead.
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

    /// Creates the default settings, without endpoints.
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

    /// Sets the address of the platform, from which peers are discovered.
    pub fn with_platform(mut self, addr: SocketAddr) -> BesideSettings {
        self.platform = Some(addr);
        self
    }

    /// Sets the minimum time that a leaving daemon keeps running.
    pub fn with_linger(mut self, linger: Duration) -> BesideSettings {
        self.linger = linger;
        self
    }

    /// Sets the max bytes of output kept for replay, per request and stage.
    pub fn with_replay_budget(mut self, bytes: usize) -> BesideSettings {
        self.replay_budget = bytes;
        self
    }

    /// Adds an engine.
    pub fn with_engine(mut self, addr: SocketAddr) -> BesideSettings {
        self.engines.push(addr);
        self
    }

    /// Adds an instance of a plain service.
    pub fn with_service(mut self, endpoint: ServiceEndpoint) -> BesideSettings {
        self.services.push(endpoint);
        self
    }

    /// Sets the transport to other daemons.
    pub fn with_link_kind(mut self, kind: LinkKind) -> BesideSettings {
        self.link_kind = kind;
        self
    }

    /// Sets the settings of the planner of engine orders.
    pub fn with_planner(mut self, planner: PlannerConfig) -> BesideSettings {
        self.planner = planner;
        self
    }
}
