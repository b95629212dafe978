//! Messages of orders to engines.

use serde::{Deserialize, Serialize};
use sorrellock_core::id::{EndpointId, Fence, ModelId};
use sorrellock_core::process::orders::FenceError;
use sorrellock_core::request::LayerRange;
use std::fmt;

/// An order of a lead to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The lead's fencing number.
    pub fence: Fence,
    /// The model to load.
    pub model: ModelId,
    /// The layers to hold.
    pub layers: LayerRange,
    /// The adapter to load, if any.
    pub adapter: Option<String>,
    /// Version of the model; empty for the one that the weight store holds as current.
    pub version: String,
    /// The engine.
    pub endpoint: EndpointId,
}

/// Why an order was not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderRefusal {
    /// The guard refused its fencing number.
    Fence(FenceError),
    /// Who leads can't be read from the store, so no number can be judged.
    StoreDown(String),
    /// The engine has an order in hand.
    Busy,
    /// The daemon is leaving.
    Leaving,
    /// No such engine here.
    NoSuchEndpoint,
    /// The engine refused, or failed: its words.
    Engine(String),
}

impl fmt::Display for OrderRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OrderRefusal::Fence(err) => err.fmt(f),
            OrderRefusal::StoreDown(detail) => write!(f, "who leads can't be read: {detail}"),
            OrderRefusal::Busy => write!(f, "the engine has an order in hand"),
            OrderRefusal::Leaving => write!(f, "the daemon is leaving"),
            OrderRefusal::NoSuchEndpoint => write!(f, "there is no such engine here"),
            OrderRefusal::Engine(words) => write!(f, "the engine failed: {words}"),
        }
    }
}

/// What became of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderResult {
    /// The daemon took it; the engine gets it once its work has ended.
    Taken,
    /// It was not done.
    Refused(OrderRefusal),
}

/// The answer to an order. A refusal may follow on [`OrderResult::Taken`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The fencing number of the order.
    pub fence: Fence,
    /// The engine.
    pub endpoint: EndpointId,
    /// What became of it.
    pub result: OrderResult,
}

/// Messages of orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderMessage {
    /// From a lead to the daemon beside the engine.
    Order(OrderRequest),
    /// Back to the lead.
    Answer(OrderAnswer),
}
