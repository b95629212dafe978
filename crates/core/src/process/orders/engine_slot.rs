//! An engine as the planner sees it.

use crate::id::{EndpointId, Layer, ModelId, Place};
use crate::request::LayerRange;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A model's layers in an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holding {
    /// The model.
    pub model: ModelId,
    /// The layers.
    pub layers: LayerRange,
}

impl fmt::Display for Holding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "layers {} to {} of {}", self.layers.first, self.layers.end, self.model)
    }
}

/// What an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// Nothing.
    Empty,
    /// These layers, and it serves them.
    Serves(Holding),
    /// It loads these layers, and serves nothing meanwhile.
    Loads(Holding),
}

/// An engine as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSlot {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its place.
    pub place: Place,
    /// The most layers that its memory takes.
    pub capacity: Layer,
    /// Layers that it runs a second, for one token each; differs by kind of accelerator.
    pub speed: f64,
    /// What it holds.
    pub state: SlotState,
}

impl EngineSlot {
    /// An empty engine.
    pub fn new(
        endpoint: impl Into<EndpointId>,
        place: impl Into<Place>,
        capacity: Layer,
        speed: f64,
    ) -> EngineSlot {
        let (endpoint, place) = (endpoint.into(), place.into());
        EngineSlot { endpoint, place, capacity, speed, state: SlotState::Empty }
    }

    /// The same engine with another state.
    pub fn with_state(mut self, state: SlotState) -> EngineSlot {
        self.state = state;
        self
    }

    /// What it holds or will hold.
    pub fn holding(&self) -> Option<&Holding> {
        match &self.state {
            SlotState::Empty => None,
            SlotState::Serves(holding) | SlotState::Loads(holding) => Some(holding),
        }
    }

    /// Whether it loads.
    pub fn is_loading(&self) -> bool {
        matches!(self.state, SlotState::Loads(_))
    }

    /// Whether its memory takes these layers.
    pub fn fits(&self, layers: LayerRange) -> bool {
        layers.count() <= usize::from(self.capacity)
    }
}
