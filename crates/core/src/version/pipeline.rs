//! A pipeline: a model served by engines that hold ranges of its layers.

use crate::id::{Layer, ModelId, ServiceId};
use crate::version::check::{check_name, check_range};
use crate::version::{FieldError, Item, PageId};
use serde::{Deserialize, Serialize};
use std::ops::RangeInclusive;

/// Numbers of layers taken.
pub const LAYERS: RangeInclusive<Layer> = 1..=4096;

/// What callers name as `model`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pipeline {
    /// Its name.
    pub id: ServiceId,
    /// The model that its engines run.
    pub model: ModelId,
    /// How many layers the model has.
    pub layers: Layer,
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
        check_range(&subject, "layers", self.layers, LAYERS)
    }
}
