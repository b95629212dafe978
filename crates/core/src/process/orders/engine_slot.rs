//! Engines as input of the planner.

use crate::id::{EndpointId, Layer, ModelId, Place};
use crate::request::LayerRange;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A range of a model's layers that an engine holds or loads.
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

/// Which layers an engine holds or loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SlotState {
    /// It holds no layers.
    Empty,
    /// It holds these layers and serves them.
    Serves(Holding),
    /// It is loading these layers and serves nothing until they are loaded.
    Loads(Holding),
}

/// State and capabilities of an engine, as input of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSlot {
    /// The engine.
    pub endpoint: EndpointId,
    /// The place where it runs.
    pub place: Place,
    /// Maximum number of layers that fit its memory.
    pub capacity: Layer,
    /// Layers that it runs per second, for one token each. Depends on the kind of accelerator.
    pub speed: f64,
    /// Which layers it holds or loads.
    pub state: SlotState,
}

impl EngineSlot {
    /// Creates an engine that holds nothing.
    pub fn new(
        endpoint: impl Into<EndpointId>,
        place: impl Into<Place>,
        capacity: Layer,
        speed: f64,
    ) -> EngineSlot {
        let (endpoint, place) = (endpoint.into(), place.into());
        EngineSlot { endpoint, place, capacity, speed, state: SlotState::Empty }
    }

    /// Sets the state.
    pub fn with_state(mut self, state: SlotState) -> EngineSlot {
        self.state = state;
        self
    }

    /// Returns the layers that it holds or loads.
    pub fn holding(&self) -> Option<&Holding> {
        match &self.state {
            SlotState::Empty => None,
            SlotState::Serves(holding) | SlotState::Loads(holding) => Some(holding),
        }
    }

    /// Returns whether it is loading layers.
    pub fn is_loading(&self) -> bool {
        matches!(self.state, SlotState::Loads(_))
    }

    /// Returns whether these layers fit its memory.
    pub fn fits(&self, layers: LayerRange) -> bool {
        layers.count() <= usize::from(self.capacity)
    }
}
