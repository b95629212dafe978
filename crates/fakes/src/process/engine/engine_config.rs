//! Settings of a stand-in engine.

use sorrellock_core::id::{Layer, ModelId};
use sorrellock_core::request::LayerRange;
use sorrellock_ports::api::EngineInfo;
use std::net::SocketAddr;
use std::time::Duration;

/// Steps that an engine runs together, by default.
pub const DEFAULT_MAX_BATCH: u32 = 32;
/// Bytes of an activation, by default.
pub const DEFAULT_ACTIVATION_BYTES: u32 = 64;
/// Fewest bytes of an activation.
pub const MIN_ACTIVATION_BYTES: u32 = 8;
/// Sessions that an engine has memory for, by default.
pub const DEFAULT_MAX_SESSIONS: usize = 4_096;
/// Blocks in the prefix cache, by default.
pub const DEFAULT_PREFIX_BLOCKS: usize = 1_024;

/// Layers a second that an engine of speed 1 tells of.
const SPEED_OF_ONE: f64 = 1000.0;

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Where to listen; port 0 takes a free one.
    pub addr: SocketAddr,
    /// Its name.
    pub endpoint: String,
    /// The model loaded.
    pub model: ModelId,
    /// The layers held.
    pub layers: LayerRange,
    /// The most layers that there is memory for.
    pub capacity: Layer,
    /// Time from an order to other layers until they are held.
    pub load_time: Duration,
    /// The most steps that it runs together.
    pub max_batch: u32,
    /// Bytes of an activation, at least 8.
    pub activation_bytes: u32,
    /// Time that each batch takes.
    pub base: Duration,
    /// Time that each token takes on top of it.
    pub per_token: Duration,
    /// Time that each layer of each token takes on top of it.
    pub per_token_layer: Duration,
    /// Speed of this kind of accelerator: times are divided by it.
    pub speed: f64,
    /// Sessions that there is memory for.
    pub max_sessions: usize,
    /// Blocks of 16 tokens in the prefix cache; 0 for none.
    pub prefix_blocks: usize,
    /// How old a load report is.
    pub load_lag: Duration,
    /// How late a cache event comes.
    pub event_lag: Duration,
    /// Each n-th cache event is lost; 0 for none.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are taken.
    pub ignore_fences: bool,
    /// Tokens divisible by this end the answer; 0 for none.
    pub end_of_text_every: u32,
}

impl EngineConfig {
    /// An engine that holds `layers` of `model`, takes no time, and never ends a text.
    pub fn new(addr: SocketAddr, model: impl Into<ModelId>, layers: LayerRange) -> EngineConfig {
        EngineConfig {
            addr,
            endpoint: "engine".into(),
            model: model.into(),
            layers,
            capacity: layers.count() as Layer,
            load_time: Duration::ZERO,
            max_batch: DEFAULT_MAX_BATCH,
            activation_bytes: DEFAULT_ACTIVATION_BYTES,
            base: Duration::ZERO,
            per_token: Duration::ZERO,
            per_token_layer: Duration::ZERO,
            speed: 1.0,
            max_sessions: DEFAULT_MAX_SESSIONS,
            prefix_blocks: DEFAULT_PREFIX_BLOCKS,
            load_lag: Duration::ZERO,
            event_lag: Duration::ZERO,
            event_gap: 0,
            ignore_fences: false,
            end_of_text_every: 0,
        }
    }

    /// Names the engine.
    pub fn with_endpoint(mut self, endpoint: impl Into<String>) -> EngineConfig {
        self.endpoint = endpoint.into();
        self
    }

    /// Has memory for `capacity` layers, and takes `load_time` to load others.
    pub fn with_loading(mut self, capacity: Layer, load_time: Duration) -> EngineConfig {
        self.capacity = capacity;
        self.load_time = load_time;
        self
    }

    /// Runs at most this many steps together.
    pub fn with_max_batch(mut self, steps: u32) -> EngineConfig {
        self.max_batch = steps;
        self
    }

    /// Gives activations this size.
    pub fn with_activation_bytes(mut self, bytes: u32) -> EngineConfig {
        self.activation_bytes = bytes.max(MIN_ACTIVATION_BYTES);
        self
    }

    /// Makes a batch take `base`, and `per_token` for each token.
    pub fn with_times(mut self, base: Duration, per_token: Duration) -> EngineConfig {
        self.base = base;
        self.per_token = per_token;
        self
    }

    /// Makes each layer of each token take this long.
    pub fn with_layer_time(mut self, per_token_layer: Duration) -> EngineConfig {
        self.per_token_layer = per_token_layer;
        self
    }

    /// Divides all times by `speed`.
    pub fn with_speed(mut self, speed: f64) -> EngineConfig {
        self.speed = speed;
        self
    }

    /// Has memory for this many sessions.
    pub fn with_max_sessions(mut self, sessions: usize) -> EngineConfig {
        self.max_sessions = sessions;
        self
    }

    /// Keeps this many blocks in the prefix cache.
    pub fn with_prefix_blocks(mut self, blocks: usize) -> EngineConfig {
        self.prefix_blocks = blocks;
        self
    }

    /// Reports the load of this long ago.
    pub fn with_load_lag(mut self, lag: Duration) -> EngineConfig {
        self.load_lag = lag;
        self
    }

    /// Tells of cache events this much later, and loses each `gap`-th; 0 loses none.
    pub fn with_cache_events(mut self, lag: Duration, gap: u64) -> EngineConfig {
        self.event_lag = lag;
        self.event_gap = gap;
        self
    }

    /// Takes orders with an old fencing number, as some engines do.
    pub fn with_fences_ignored(mut self) -> EngineConfig {
        self.ignore_fences = true;
        self
    }

    /// Ends an answer with each token divisible by `every`; 0 for none.
    pub fn with_end_of_text_every(mut self, every: u32) -> EngineConfig {
        self.end_of_text_every = every;
        self
    }

    /// What the engine tells of itself.
    pub(crate) fn info(&self) -> EngineInfo {
        EngineInfo {
            endpoint: self.endpoint.clone(),
            model: self.model.clone(),
            layers: self.layers,
            max_batch: self.max_batch,
            capacity: self.capacity,
            speed: (self.speed * SPEED_OF_ONE) as u32,
        }
    }

    /// Time that a batch takes of `tokens` tokens, which run `token_layers` layers in all; the
    /// bound of what the engine can do.
    pub fn batch_time(&self, tokens: u32, token_layers: u32) -> Duration {
        let time = self.base + self.per_token * tokens + self.per_token_layer * token_layers;
        time.div_f64(self.speed)
    }
}
