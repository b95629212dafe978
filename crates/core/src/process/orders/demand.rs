//! Demand of a model: its layers, split into ranges, and its share of the work.

use crate::id::{Layer, ModelId};
use crate::request::LayerRange;
use serde::{Deserialize, Serialize};

/// The ranges of layers that engines have to hold for a model, and the model's share of the work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// Its layers in order, split into the ranges that engines hold.
    pub ranges: Vec<LayerRange>,
    /// Its share of the work, above 0. Only the ratio to other models' shares matters.
    pub share: f64,
}

impl Demand {
    /// Creates the demand of a model with `layers` layers, split as evenly as possible into `stages` ranges.
    pub fn new(model: impl Into<ModelId>, layers: Layer, stages: u16, share: f64) -> Demand {
        let stages = stages.clamp(1, layers.max(1));
        let bound =
            |stage: u16| (u32::from(layers) * u32::from(stage) / u32::from(stages)) as Layer;
        let ranges = (0..stages).map(|stage| LayerRange::new(bound(stage), bound(stage + 1)));
        Demand { model: model.into(), ranges: ranges.collect(), share }
    }
}
