//! A model engine: runs batches of steps over the layers that it holds.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::{Fence, Layer, ModelId, Position, TokenId};
use sorrellock_core::request::{Activations, LayerRange};
use std::fmt;
use std::time::Duration;

/// Names the KV cache of one request in one engine. A request that starts over there takes a new one.
pub type SessionId = String;

/// One step of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineStep {
    /// Whose KV cache to use; it is made when `first` is 0.
    pub session: SessionId,
    /// The first position. The session must be at exactly this one.
    pub first: Position,
    /// The input token at each position.
    pub tokens: Vec<TokenId>,
    /// Output of the layers before; empty where the layers begin at 0.
    pub activations: Activations,
    /// The layers to run.
    pub layers: LayerRange,
    /// Whether these are the model's last layers: choose a token for the last position.
    pub sample: bool,
    /// Higher goes first.
    pub priority: u8,
}

/// Steps to run together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// The steps, of different sessions.
    pub steps: Vec<EngineStep>,
}

/// A chosen token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sampled {
    /// The token.
    pub token: TokenId,
    /// Its text.
    pub text: String,
    /// Whether the answer ends with it.
    pub end_of_text: bool,
}

/// What a step gave.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StepOutput {
    /// Output of the layers, one block a position.
    Activations(Activations),
    /// The token chosen after the last position.
    Sampled(Sampled),
    /// The engine refused the step without running any of it.
    Refused(String),
}

/// What an engine says of its load; it lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Steps waiting.
    pub waiting: u32,
    /// Sessions whose KV cache is held.
    pub sessions: u32,
    /// Bytes of KV cache held.
    pub kv_bytes: u64,
}

/// What an engine is and holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineInfo {
    /// Its name.
    pub endpoint: String,
    /// The model loaded.
    pub model: ModelId,
    /// The layers held.
    pub layers: LayerRange,
    /// The most steps it runs together.
    pub max_batch: u32,
    /// The most layers that its memory takes; 0 if it does not say.
    #[serde(default)]
    pub capacity: Layer,
    /// Layers that it runs a second, for one token each; 0 if it does not say.
    #[serde(default)]
    pub speed: u32,
}

/// A change of an engine's prefix cache; these come late and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap means that some were lost.
    pub number: u64,
    /// Hash of the prefix.
    pub prefix: u64,
    /// Whether it came in, or went.
    pub stored: bool,
}

/// An order of the lead to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The lead's fencing number.
    pub fence: Fence,
    /// The model to load.
    pub model: ModelId,
    /// The layers to hold.
    pub layers: LayerRange,
    /// The adapter to load, if any.
    pub adapter: Option<String>,
    /// Version of the model.
    pub version: String,
}

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineError {
    /// It was never sent.
    NotSent {
        /// Step and peer.
        detail: String,
    },
    /// It was sent, and no answer came.
    NoAnswer {
        /// Step and peer.
        detail: String,
    },
    /// The engine refused it without running it.
    Refused {
        /// What the engine said.
        detail: String,
    },
}

impl fmt::Display for EngineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EngineError::NotSent { detail } => write!(f, "the engine was not reached: {detail}"),
            EngineError::NoAnswer { detail } => write!(f, "the engine gave no answer: {detail}"),
            EngineError::Refused { detail } => write!(f, "the engine refused: {detail}"),
        }
    }
}

impl std::error::Error for EngineError {}

/// A model engine. Calls block; each has a deadline of its own.
pub trait Engine: Send + Sync + 'static {
    /// What the engine is and holds.
    fn info(&self) -> Result<EngineInfo, EngineError>;

    /// Runs a batch; one output a step, in the same order.
    fn run(&self, batch: &Batch, deadline: Duration) -> Result<Vec<StepOutput>, EngineError>;

    /// Frees the KV caches of sessions; unknown ones are passed over.
    fn release(&self, sessions: &[SessionId]) -> Result<(), EngineError>;

    /// Cuts a session's KV cache back to the positions below `position`.
    fn truncate(&self, session: &str, position: Position) -> Result<(), EngineError>;

    /// Takes out a session's KV cache.
    fn export_kv(&self, session: &str) -> Result<Vec<u8>, EngineError>;

    /// Puts a KV cache in place under `session`.
    fn import_kv(&self, session: &str, kv: &[u8]) -> Result<(), EngineError>;

    /// The load, as of a while ago.
    fn load(&self) -> Result<LoadReport, EngineError>;

    /// Events of the prefix cache after number `after`.
    fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, EngineError>;

    /// Gives an order.
    fn order(&self, order: &Order) -> Result<(), EngineError>;
}
