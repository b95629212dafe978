//! How well each range of layers is served: the planner raises the lowest.

use crate::process::orders::{Demand, EngineSlot, Holding};
use crate::request::LayerRange;
use std::collections::BTreeMap;

/// Index of a demand, and of a range in it.
pub type RangeIndex = (usize, usize);

/// Tokens a second that the holders of each range can run, over the model's share.
#[derive(Clone, Debug)]
pub struct ServiceLevels {
    levels: BTreeMap<RangeIndex, f64>,
}

impl ServiceLevels {
    /// The levels that these engines give, counting what loads as served.
    pub fn planned(engines: &[EngineSlot], demands: &[Demand]) -> ServiceLevels {
        ServiceLevels::of(engines, demands, |_| true)
    }

    /// The levels that these engines give now.
    pub fn current(engines: &[EngineSlot], demands: &[Demand]) -> ServiceLevels {
        ServiceLevels::of(engines, demands, |engine| !engine.is_loading())
    }

    fn of(
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
            let index = engine.holding().and_then(|holding| find(demands, holding));
            if let Some(index) = index {
                levels.add(index, contribution(engine, demands, index));
            }
        }
        levels
    }

    /// The level of a range.
    pub fn get(&self, index: RangeIndex) -> f64 {
        self.levels.get(&index).copied().unwrap_or_default()
    }

    /// Adds to the level of a range.
    pub fn add(&mut self, index: RangeIndex, by: f64) {
        *self.levels.entry(index).or_default() += by;
    }

    /// All ranges with their levels, the one served worst first.
    pub fn ascending(&self) -> Vec<(RangeIndex, f64)> {
        let mut levels: Vec<_> =
            self.levels.iter().map(|(index, level)| (*index, *level)).collect();
        levels.sort_by(|(_, a), (_, b)| a.total_cmp(b));
        levels
    }

    /// The range served worst, and its level.
    pub fn lowest(&self) -> Option<(RangeIndex, f64)> {
        let levels = self.levels.iter().map(|(index, level)| (*index, *level));
        levels.min_by(|(_, a), (_, b)| a.total_cmp(b))
    }
}

/// Which range of the demands a holding is.
pub fn find(demands: &[Demand], holding: &Holding) -> Option<RangeIndex> {
    let demand = demands.iter().position(|demand| demand.model == holding.model)?;
    let range = demands[demand].ranges.iter().position(|range| *range == holding.layers)?;
    Some((demand, range))
}

/// What an engine adds to the level of a range by holding it.
pub fn contribution(engine: &EngineSlot, demands: &[Demand], index: RangeIndex) -> f64 {
    let demand = &demands[index.0];
    let range: LayerRange = demand.ranges[index.1];
    engine.speed / range.count().max(1) as f64 / demand.share
}
