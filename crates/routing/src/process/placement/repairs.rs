//! Decides whether a data centre that lost layers moves the layers that it has left, or waits for the lost engine to return.

use crate::process::DataCentre;
use crate::process::placement::{Placement, PlannedEngine};
use crate::version::ModelShape;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Share of its capacity from which a data centre is repaired at once. Below it, all engines hold more layers than they should, and each needs the
/// streams that pass through it to end before it holds its own part again.
const MIN_REPAIRED_SHARE: f64 = 0.5;
/// Time in which an engine that crashed is usually back.
const RETURN_LIMIT: Duration = Duration::from_secs(5);

/// A data centre that lost layers which no other of its engines holds.
#[derive(Clone, Copy, Debug)]
struct Loss {
    since: Instant,
    /// Capacity after the repair, as a share of that before the loss.
    repaired_share: f64,
    /// Once begun, a repair isn't taken back.
    is_begun: bool,
}

/// The data centres of one service that lost layers.
///
/// Guards against engines of all data centres that end together and are back within seconds: where each data centre moves its remaining layers to close the
/// gap, all are left with a fraction of their capacity for as long as streams pass, although the engines are back.
#[derive(Debug, Default)]
pub struct Repairs {
    losses: BTreeMap<DataCentre, Loss>,
}

impl Repairs {
    /// Records that a data centre serves: its engines hold all layers, and load none that it lacks.
    pub fn on_serving(&mut self, data_centre: &str) {
        self.losses.remove(data_centre);
    }

    /// Drops data centres that have no engines any more.
    pub fn retain(&mut self, is_current: impl Fn(&DataCentre) -> bool) {
        self.losses.retain(|name, _| is_current(name));
    }

    /// Returns whether a data centre that lacks layers is repaired now. `repaired_share`: its capacity after that, as a share of that before the loss. Where
    /// no other data centre serves, the one that is left with the most is repaired.
    pub fn allows(
        &mut self,
        data_centre: &str,
        repaired_share: f64,
        is_served_elsewhere: bool,
        now: Instant,
    ) -> bool {
        let new = Loss { since: now, repaired_share, is_begun: false };
        let loss = self.losses.entry(data_centre.to_owned()).or_insert(new);
        loss.repaired_share = repaired_share;
        let loss = *loss;
        let is_allowed = loss.is_begun
            || repaired_share >= MIN_REPAIRED_SHARE
            || now.duration_since(loss.since) >= RETURN_LIMIT
            || (!is_served_elsewhere && self.keeps_most(data_centre));
        if is_allowed && let Some(loss) = self.losses.get_mut(data_centre) {
            loss.is_begun = true;
        }
        is_allowed
    }

    /// Returns whether a data centre is left with the most capacity of those that lost layers, and no other one's repair has begun.
    fn keeps_most(&self, data_centre: &str) -> bool {
        let is_other_begun =
            self.losses.iter().any(|(name, loss)| loss.is_begun && name != data_centre);
        let most =
            self.losses.iter().max_by(|a, b| a.1.repaired_share.total_cmp(&b.1.repaired_share));
        !is_other_begun && most.is_some_and(|(name, _)| name == data_centre)
    }
}

/// Returns the capacity that engines have for requests with the layers of a placement, in MB a layer: that of the engine with the least.
pub fn placement_capacity(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    placement: &Placement,
) -> f64 {
    let layers = |engine: &PlannedEngine| {
        placement.get(&engine.incarnation).copied().unwrap_or_default().len()
    };
    let holding = engines.iter().filter(|engine| layers(engine) > 0);
    let capacity =
        |engine: &PlannedEngine| engine.memory_mb / f64::from(layers(engine)) - shape.layer_mb;
    holding.map(capacity).fold(f64::INFINITY, f64::min)
}
