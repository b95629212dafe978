//! A pipeline: a model served by engines that hold ranges of its layers.

use crate::id::{Layer, ModelId, ServiceId};
use serde::{Deserialize, Serialize};

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
