//! Decides whether a data centre that lost layers moves the layers that it has left, or waits for the lost engine to return.

use crate::process::LayerRange;
use crate::process::placement::{Placement, PlannedEngine};
use crate::version::ModelShape;
use std::time::Instant;

/// The data centres of one service that lost layers.
#[derive(Debug, Default)]
pub struct Repairs;

impl Repairs {
    /// Records that a data centre serves: its engines hold all layers, and load none that it lacks.
    pub fn on_serving(&mut self, _data_centre: &str) {}

    /// Returns whether a data centre that lacks layers is repaired now.
    pub fn allows(
        &mut self,
        _data_centre: &str,
        _repaired_share: f64,
        _is_served_elsewhere: bool,
        _now: Instant,
    ) -> bool {
        true
    }
}

/// Returns the capacity that engines have for requests with the layers of a placement, in MB a layer: that of the engine with the least.
pub fn placement_capacity(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    placement: &Placement,
) -> f64 {
    let layers = |engine: &PlannedEngine| {
        placement.get(&engine.incarnation).copied().unwrap_or(LayerRange::default()).len()
    };
    let holding = engines.iter().filter(|engine| layers(engine) > 0);
    let capacity =
        |engine: &PlannedEngine| engine.memory_mb / f64::from(layers(engine)) - shape.layer_mb;
    holding.map(capacity).fold(f64::INFINITY, f64::min)
}
