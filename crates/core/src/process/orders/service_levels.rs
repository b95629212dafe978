//! Service level of each range of layers. The planner raises the lowest one.

use crate::process::orders::{Demand, EngineSlot, Holding};
use crate::request::LayerRange;
use std::collections::BTreeMap;

/// Index of a demand, and index of a range within it.
pub type RangeIndex = (usize, usize);

/// Tokens per second that the holders of each range can run, divided by the model's share.
#[derive(Clone, Debug)]
pub struct ServiceLevels {
    levels: BTreeMap<RangeIndex, f64>,
}

impl ServiceLevels {
    /// Computes the levels of these engines, with loading engines counted as serving.
    pub fn planned(engines: &[EngineSlot], demands: &[Demand]) -> ServiceLevels {
        ServiceLevels::from_engines(engines, demands, |_| true)
    }

    /// Computes the levels of these engines without the loading ones.
    pub fn current(engines: &[EngineSlot], demands: &[Demand]) -> ServiceLevels {
        ServiceLevels::from_engines(engines, demands, |engine| !engine.is_loading())
    }

    fn from_engines(
        engines: &[EngineSlot],
        demands: &[Demand],
        counts: impl Fn(&EngineSlot) -> bool,
    ) -> ServiceLevels {
        let mut levels = ServiceLevels { levels: BTreeMap::new() };
        for (index, demand) in demands.iter().enumerate() {
            let ranges = (0..demand.ranges.len()).map(|range| ((index, range), 0.0));
            levels.levels.extend(ranges);
        }
        for engine in engines.iter().filter(|engine| counts(engine)) {
            let index = engine.holding().and_then(|holding| find_range(demands, holding));
            if let Some(index) = index {
                levels.add(index, contribution(engine, demands, index));
            }
        }
        levels
    }

    /// Returns the level of a range, or 0 for one that no demand contains.
    pub fn get(&self, index: RangeIndex) -> f64 {
        self.levels.get(&index).copied().unwrap_or_default()
    }

    /// Adds `delta` to the level of a range.
    pub fn add(&mut self, index: RangeIndex, delta: f64) {
        *self.levels.entry(index).or_default() += delta;
    }

    /// Returns all ranges with their levels, lowest level first.
    pub fn ascending(&self) -> Vec<(RangeIndex, f64)> {
        let mut levels: Vec<_> =
            self.levels.iter().map(|(index, level)| (*index, *level)).collect();
        levels.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        levels
    }

    /// Returns the range with the lowest level, and that level.
    pub fn lowest(&self) -> Option<(RangeIndex, f64)> {
        let levels = self.levels.iter().map(|(index, level)| (*index, *level));
        levels.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }
}

/// Returns the index of the range that a holding matches exactly, if any.
pub fn find_range(demands: &[Demand], holding: &Holding) -> Option<RangeIndex> {
    let demand = demands.iter().position(|demand| demand.model == holding.model)?;
    let range = demands[demand].ranges.iter().position(|range| *range == holding.layers)?;
    Some((demand, range))
}

/// Returns what an engine adds to the level of a range by holding it.
pub fn contribution(engine: &EngineSlot, demands: &[Demand], index: RangeIndex) -> f64 {
    let demand = &demands[index.0];
    let range: LayerRange = demand.ranges[index.1];
    engine.speed / range.count().max(1) as f64 / demand.share
}
