//! What a model needs: its layers, cut into ranges, and its share of the work.

use crate::id::{Layer, ModelId};
use crate::request::LayerRange;
use serde::{Deserialize, Serialize};

/// What a model needs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// Its layers, cut into the ranges that engines hold, in order.
    pub ranges: Vec<LayerRange>,
    /// Its share of the work, above 0; only the ratio to the others counts.
    pub share: f64,
}

impl Demand {
    /// A model of `layers` layers, cut into `stages` ranges as even as they go.
    pub fn new(model: impl Into<ModelId>, layers: Layer, stages: u16, share: f64) -> Demand {
        let stages = stages.clamp(1, layers.max(1));
        let bound =
            |stage: u16| (u32::from(layers) * u32::from(stage) / u32::from(stages)) as Layer;
        let ranges = (0..stages).map(|stage| LayerRange::new(bound(stage), bound(stage + 1)));
        Demand { model: model.into(), ranges: ranges.collect(), share }
    }
}
