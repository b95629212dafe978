//! A pipeline: a model served by engines that hold ranges of its layers.

use crate::id::{Layer, ModelId, ServiceId};
use crate::version::check::{check_name, check_range};
use crate::version::{FieldError, Item, PageId};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Accepted numbers of layers.
pub const LAYERS: RangeInclusive<Layer> = 1..=4096;

/// Accepted values of `share`.
pub const SHARES: RangeInclusive<u32> = 1..=1_000_000;

/// A pipeline, which callers select by its name in the field `model` of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pipeline {
    /// The name of the pipeline.
    pub id: ServiceId,
    /// The model that its engines run.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: Layer,
    /// Number of layer ranges into which the model is split over the engines; with 0, the engines get no orders.
    #[serde(default)]
    pub stages: u16,
    /// Share of the engines' capacity; only the ratio to other pipelines matters.
    #[serde(default = "default_share")]
    pub share: u32,
}

impl Pipeline {
    /// Creates a pipeline whose engines get no orders.
    pub fn new(id: impl Into<ServiceId>, model: impl Into<ModelId>, layers: Layer) -> Pipeline {
        let (id, model) = (id.into(), model.into());
        Pipeline { id, model, layers, stages: 0, share: default_share() }
    }

    /// Splits the model into `stages` ranges of layers, which engines are ordered to load.
    pub fn with_stages(mut self, stages: u16) -> Pipeline {
        self.stages = stages;
        self
    }
}

fn default_share() -> u32 {
    1
}

impl Item for Pipeline {
    fn name(&self) -> String {
        self.id.clone()
    }

    fn page(&self) -> PageId {
        PageId::Pipelines
    }

    fn check(&self) -> Result<(), FieldError> {
        let subject = format!("pipeline {}", self.id);
        check_name(&subject, "name", &self.id)?;
        check_name(&subject, "model", &self.model)?;
        check_range(&subject, "layers", self.layers, LAYERS)?;
        check_range(&subject, "stages", self.stages, 0..=self.layers)?;
        check_range(&subject, "share", self.share, SHARES)
    }
}
