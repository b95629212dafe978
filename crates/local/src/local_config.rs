//! What a local fleet is made of.

use sorrellock_core::id::Layer;
use sorrellock_core::process::orders::PlannerConfig;
use sorrellock_daemon::LinkKind;
use sorrellock_daemon::beside::process::BesideSettings;
use std::time::Duration;

/// What a local fleet is made of.
#[derive(Clone, Debug)]
pub struct LocalConfig {
    /// What carries messages between its daemons.
    pub link_kind: LinkKind,
    /// Requests a second that each workspace may send.
    pub requests_per_s: f64,
    /// Stages of its one pipeline.
    pub stages: usize,
    /// Engines that hold the same layers.
    pub replicas: usize,
    /// Layers of its one model.
    pub layers: Layer,
    /// Entries.
    pub entries: usize,
    /// Instances of its one plain service.
    pub services: usize,
    /// Calls that run at once at an instance of the plain service.
    pub max_calls: usize,
    /// Time of a batch at an engine, whatever its size.
    pub batch_time: Duration,
    /// Time of each token of a batch at an engine.
    pub token_time: Duration,
    /// The most steps of a batch.
    pub max_batch: u32,
    /// Bytes of one activation.
    pub activation_bytes: usize,
    /// Bytes of output kept for replay, for each request at each stage.
    pub replay_budget: usize,
    /// How orders to engines are planned; none: engines get no orders.
    pub planner: Option<PlannerConfig>,
    /// Engines that hold nothing at first.
    pub spares: usize,
    /// Time from an order to an engine until it holds what was ordered.
    pub load_time: Duration,
}

impl LocalConfig {
    /// Three stages on six engines, one entry, one instance of the plain service.
    pub fn new() -> LocalConfig {
        LocalConfig {
            link_kind: LinkKind::default(),
            requests_per_s: 1_000.0,
            stages: 3,
            replicas: 2,
            layers: 12,
            entries: 1,
            services: 1,
            max_calls: BesideSettings::MAX_CALLS,
            batch_time: Duration::from_millis(2),
            token_time: Duration::from_micros(10),
            max_batch: 64,
            activation_bytes: 256,
            replay_budget: BesideSettings::REPLAY_BUDGET,
            planner: None,
            spares: 0,
            load_time: Duration::ZERO,
        }
    }

    /// Cuts the model into `stages` stages, each held by `replicas` engines.
    pub fn with_pipeline(mut self, stages: usize, replicas: usize) -> LocalConfig {
        self.stages = stages;
        self.replicas = replicas;
        self
    }

    /// Takes another kind of link.
    pub fn with_link_kind(mut self, kind: LinkKind) -> LocalConfig {
        self.link_kind = kind;
        self
    }

    /// Gives engines orders, and starts `spares` more that hold nothing.
    pub fn with_orders(mut self, planner: PlannerConfig, spares: usize) -> LocalConfig {
        self.planner = Some(planner);
        self.spares = spares;
        self
    }

    /// Makes engines take this long to load what was ordered.
    pub fn with_load_time(mut self, load_time: Duration) -> LocalConfig {
        self.load_time = load_time;
        self
    }

    /// Starts `entries` entries.
    pub fn with_entries(mut self, entries: usize) -> LocalConfig {
        self.entries = entries;
        self
    }

    /// Starts `services` instances of the plain service.
    pub fn with_services(mut self, services: usize) -> LocalConfig {
        self.services = services;
        self
    }

    /// Bounds the calls that run at once at an instance of the plain service.
    pub fn with_max_calls(mut self, calls: usize) -> LocalConfig {
        self.max_calls = calls;
        self
    }

    /// Bounds the requests a second of each workspace.
    pub fn with_requests_per_s(mut self, requests: f64) -> LocalConfig {
        self.requests_per_s = requests;
        self
    }

    /// Bounds the steps of a batch.
    pub fn with_max_batch(mut self, steps: u32) -> LocalConfig {
        self.max_batch = steps;
        self
    }

    /// Gives activations this size.
    pub fn with_activation_bytes(mut self, bytes: usize) -> LocalConfig {
        self.activation_bytes = bytes;
        self
    }

    /// Keeps at most this much output for each request at each stage.
    pub fn with_replay_budget(mut self, bytes: usize) -> LocalConfig {
        self.replay_budget = bytes;
        self
    }

    /// Sets the time of a batch, and of each of its tokens.
    pub fn with_times(mut self, batch: Duration, token: Duration) -> LocalConfig {
        self.batch_time = batch;
        self.token_time = token;
        self
    }
}

impl Default for LocalConfig {
    fn default() -> Self {
        LocalConfig::new()
    }
}
