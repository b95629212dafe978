//! Working state of the planner while it computes a plan. Each engine's range is looked up once, and
//! levels and holder counts are updated with every move, so that a move costs one pass over the engines.

use crate::id::Place;
use crate::process::orders::{
    Demand, EngineSlot, Holding, Move, RangeIndex, ServiceLevels, contribution, find_range,
};
use std::collections::HashMap;

/// The engines and service levels of a plan in progress, with the moves chosen so far.
pub(super) struct PlanState<'a> {
    demands: &'a [Demand],
    min_gain: f64,
    engines: Vec<PlannedEngine<'a>>,
    /// Levels from the engines that are present, serving or loading.
    planned: ServiceLevels,
    /// Levels from the engines that are present and from the lost ones that are expected back.
    expected: ServiceLevels,
    /// Number of engines in a place that hold or load a range.
    holders: HashMap<(&'a Place, RangeIndex), usize>,
}

/// An engine and the range that it holds or loads, if any demand contains it.
struct PlannedEngine<'a> {
    slot: &'a EngineSlot,
    range: Option<RangeIndex>,
    is_loading: bool,
}

/// An engine that a move can take, with the values that it is compared by.
#[derive(Clone, Copy)]
struct Donor {
    index: usize,
    /// The lower of the two levels that the move changes, as they are after it.
    level: f64,
    /// Number of engines in the same place that hold the target range.
    holders: usize,
}

impl<'a> PlanState<'a> {
    /// Creates the state from the engines that are present and the lost ones that are expected back.
    pub(super) fn new(
        engines: &'a [EngineSlot],
        lost: impl Iterator<Item = &'a EngineSlot>,
        demands: &'a [Demand],
        min_gain: f64,
    ) -> PlanState<'a> {
        let none = ServiceLevels::planned(&[], demands);
        let (planned, expected) = (none.clone(), none);
        let holders = HashMap::new();
        let mut state =
            PlanState { demands, min_gain, engines: Vec::new(), planned, expected, holders };
        for slot in engines {
            let range = slot.holding().and_then(|holding| find_range(demands, holding));
            state.engines.push(PlannedEngine { slot, range, is_loading: slot.is_loading() });
            if let Some(range) = range {
                state.adjust(slot, range, 1.0);
            }
        }
        for slot in lost {
            let range = slot.holding().and_then(|holding| find_range(demands, holding));
            if let Some(range) = range {
                state.expected.add(range, contribution(slot, demands, range));
            }
        }
        state
    }

    /// Returns the best move and applies it to this state. Idle engines are used before serving ones.
    pub(super) fn next_move(&mut self) -> Option<Move> {
        let (donor, target) = self.idle_donor().or_else(|| self.serving_donor())?;
        let engine = &mut self.engines[donor];
        let (slot, from) = (engine.slot, engine.range);
        engine.range = Some(target);
        engine.is_loading = true;
        if let Some(from) = from {
            self.adjust(slot, from, -1.0);
        }
        self.adjust(slot, target, 1.0);
        let demand = &self.demands[target.0];
        let to = Holding { model: demand.model.clone(), layers: demand.ranges[target.1] };
        Some(Move { endpoint: slot.endpoint.clone(), to })
    }

    /// Returns an engine that holds no range in demand, and the range with the lowest level that fits it.
    fn idle_donor(&self) -> Option<(usize, RangeIndex)> {
        let is_idle = |engine: &PlannedEngine| engine.range.is_none() && !engine.is_loading;
        if !self.engines.iter().any(is_idle) {
            return None;
        }
        let targets = self.planned.ascending();
        let found = |(target, level)| {
            let donor = self.best_donor(target, level, &self.planned, is_idle)?;
            Some((donor, target))
        };
        targets.into_iter().find_map(found)
    }

    /// Returns an engine that serves another range, and the range with the lowest level, counting
    /// lost engines that are expected back. The move has to raise that level by the factor `min_gain`.
    fn serving_donor(&self) -> Option<(usize, RangeIndex)> {
        let (target, level) = self.expected.lowest()?;
        let serves = |engine: &PlannedEngine| {
            engine.range.is_some_and(|range| range != target) && !engine.is_loading
        };
        let min_level = level * self.min_gain;
        let donor = self.best_donor(target, min_level, &self.expected, serves)?;
        Some((donor, target))
    }

    /// Returns the index of the best eligible engine whose move leaves both levels that it changes
    /// above `min_level`: the one with the highest lower level after the move, and among equals
    /// one in the place with the fewest holders of the range.
    fn best_donor(
        &self,
        target: RangeIndex,
        min_level: f64,
        levels: &ServiceLevels,
        is_eligible: impl Fn(&PlannedEngine) -> bool,
    ) -> Option<usize> {
        let layers = self.demands[target.0].ranges[target.1];
        let mut best: Option<Donor> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if !is_eligible(engine) || !engine.slot.fits(layers) {
                continue;
            }
            let level = self.level_after_move(engine, target, levels);
            let holders = self.holders.get(&(&engine.slot.place, target)).copied().unwrap_or(0);
            let donor = Donor { index, level, holders };
            if level > min_level && best.is_none_or(|best| donor.is_better_than(&best)) {
                best = Some(donor);
            }
        }
        best.map(|donor| donor.index)
    }

    /// Returns the lower of the two levels that a move changes, as they are after it. A lost engine
    /// that is expected back counts for the target range only. If it counted for the source range too,
    /// a range whose lost engine has been replaced would look oversupplied and lose a serving engine.
    fn level_after_move(
        &self,
        engine: &PlannedEngine,
        target: RangeIndex,
        levels: &ServiceLevels,
    ) -> f64 {
        let target_level = levels.get(target) + contribution(engine.slot, self.demands, target);
        let source_level = engine.range.map_or(f64::INFINITY, |from| {
            self.planned.get(from) - contribution(engine.slot, self.demands, from)
        });
        target_level.min(source_level)
    }

    /// Adds an engine to a range (`sign` 1) or removes it (`sign` -1).
    fn adjust(&mut self, slot: &'a EngineSlot, range: RangeIndex, sign: f64) {
        let delta = sign * contribution(slot, self.demands, range);
        self.planned.add(range, delta);
        self.expected.add(range, delta);
        let holders = self.holders.entry((&slot.place, range)).or_default();
        *holders = holders.saturating_add_signed(sign as isize);
    }
}

impl Donor {
    fn is_better_than(&self, other: &Donor) -> bool {
        match self.level.total_cmp(&other.level) {
            std::cmp::Ordering::Equal => self.holders < other.holders,
            order => order.is_gt(),
        }
    }
}
