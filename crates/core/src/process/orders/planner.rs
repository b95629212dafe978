//! The planner: which engine is to load which layers next.
//!
//! It raises the range served worst, one engine at a time, and moves no more weights than that
//! needs: the weight store is rate-limited. An engine that serves is moved only after a loss has
//! lasted, as an instance that was merely paused comes back with what it held.

use crate::clock::Clock;
use crate::id::EndpointId;
use crate::process::orders::{
    Demand, EngineSlot, Holding, RangeIndex, ServiceLevels, SlotState, contribution, find,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a planner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// The most engines that load at a time.
    pub max_loads: usize,
    /// How long a lost engine is expected back before a serving one takes its layers.
    pub grace: Duration,
    /// By which factor a move of a serving engine must raise the lowest level.
    pub min_gain: f64,
    /// The most engines remembered as lost.
    pub max_lost: usize,
}

impl PlannerConfig {
    /// Default of `max_loads`.
    pub const MAX_LOADS: usize = 32;
    /// Default of `grace`.
    pub const GRACE: Duration = Duration::from_secs(10);
    /// Default of `min_gain`.
    pub const MIN_GAIN: f64 = 1.05;
    /// Default of `max_lost`.
    pub const MAX_LOST: usize = 4096;

    /// The defaults.
    pub fn new() -> PlannerConfig {
        PlannerConfig {
            max_loads: PlannerConfig::MAX_LOADS,
            grace: PlannerConfig::GRACE,
            min_gain: PlannerConfig::MIN_GAIN,
            max_lost: PlannerConfig::MAX_LOST,
        }
    }

    /// Lets at most this many engines load at a time.
    pub fn with_max_loads(mut self, loads: usize) -> PlannerConfig {
        self.max_loads = loads;
        self
    }

    /// Expects a lost engine back for this long.
    pub fn with_grace(mut self, grace: Duration) -> PlannerConfig {
        self.grace = grace;
        self
    }
}

impl Default for PlannerConfig {
    fn default() -> Self {
        PlannerConfig::new()
    }
}

/// An engine that is to load layers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub endpoint: EndpointId,
    /// What it is to load.
    pub to: Holding,
}

/// Plans moves, one look at the fleet after another.
#[derive(Debug)]
pub struct Planner<C> {
    clock: C,
    cfg: PlannerConfig,
    present: HashMap<EndpointId, EngineSlot>,
    lost: HashMap<EndpointId, (Instant, EngineSlot)>,
}

impl<C: Clock> Planner<C> {
    /// A planner that has seen no engine.
    pub fn new(clock: C, cfg: PlannerConfig) -> Planner<C> {
        Planner { clock, cfg, present: HashMap::new(), lost: HashMap::new() }
    }

    /// The moves to order now. The caller gives each engine's state as of now, so that a move that
    /// was ordered and not yet begun shows as loading.
    pub fn plan(&mut self, engines: &[EngineSlot], demands: &[Demand]) -> Vec<Move> {
        self.note_lost(engines);
        let loading = engines.iter().filter(|engine| engine.is_loading()).count();
        let room = self.cfg.max_loads.saturating_sub(loading);
        let mut board = Board { engines: engines.to_vec(), demands, min_gain: self.cfg.min_gain };
        let mut moves = Vec::new();
        while moves.len() < room {
            let next = board.next_move(Donors::Empty, &[]).or_else(|| {
                let expected: Vec<EngineSlot> =
                    self.lost.values().map(|(_, slot)| slot.clone()).collect();
                board.next_move(Donors::All, &expected)
            });
            let Some(next) = next else { break };
            moves.push(next);
        }
        moves
    }

    /// How many lost engines are still expected back.
    pub fn expected_back(&self) -> usize {
        self.lost.len()
    }

    fn note_lost(&mut self, engines: &[EngineSlot]) {
        let now = self.clock.now();
        let seen: HashMap<_, _> =
            engines.iter().map(|engine| (engine.endpoint.clone(), engine.clone())).collect();
        let before = std::mem::replace(&mut self.present, seen);
        for (endpoint, slot) in before {
            if !self.present.contains_key(&endpoint) && self.lost.len() < self.cfg.max_lost {
                self.lost.insert(endpoint, (now, slot));
            }
        }
        let (present, grace) = (&self.present, self.cfg.grace);
        self.lost.retain(|endpoint, (since, _)| {
            !present.contains_key(endpoint) && now.duration_since(*since) < grace
        });
    }
}

/// Which engines may be moved.
#[derive(Clone, Copy, PartialEq)]
enum Donors {
    /// Those that hold nothing, or nothing that is wanted.
    Empty,
    /// Those that serve too.
    All,
}

/// The engines while a plan is made.
struct Board<'a> {
    engines: Vec<EngineSlot>,
    demands: &'a [Demand],
    min_gain: f64,
}

impl Board<'_> {
    /// The best move, which it makes on the board. `expected` are lost engines that still count.
    fn next_move(&mut self, donors: Donors, expected: &[EngineSlot]) -> Option<Move> {
        let mut levels = ServiceLevels::planned(&self.engines, self.demands);
        for slot in expected {
            let index = slot.holding().and_then(|holding| find(self.demands, holding));
            if let Some(index) = index {
                levels.add(index, contribution(slot, self.demands, index));
            }
        }
        let (target, lowest) = levels.lowest()?;
        let donor = self.best_donor(donors, target, lowest, &levels)?;
        let demand = &self.demands[target.0];
        let to = Holding { model: demand.model.clone(), layers: demand.ranges[target.1] };
        let engine = &mut self.engines[donor];
        engine.state = SlotState::Loads(to.clone());
        Some(Move { endpoint: engine.endpoint.clone(), to })
    }

    /// Of the engines that raise the lowest level enough, the one that leaves the lowest of the
    /// two ranges highest; among equals one in a place with few holders of the range.
    fn best_donor(
        &self,
        donors: Donors,
        target: RangeIndex,
        lowest: f64,
        levels: &ServiceLevels,
    ) -> Option<usize> {
        let range = self.demands[target.0].ranges[target.1];
        let mut best: Option<(usize, f64, usize)> = None;
        for (index, engine) in self.engines.iter().enumerate() {
            if engine.is_loading() || !engine.fits(range) {
                continue;
            }
            let serves = engine.holding().and_then(|holding| find(self.demands, holding));
            if serves == Some(target) || (serves.is_some() && donors == Donors::Empty) {
                continue;
            }
            let raised = lowest + contribution(engine, self.demands, target);
            let left = serves.map_or(f64::INFINITY, |from| {
                levels.get(from) - contribution(engine, self.demands, from)
            });
            let result = raised.min(left);
            let enough = if serves.is_some() { lowest * self.min_gain } else { lowest };
            if result <= enough {
                continue;
            }
            if best.is_some_and(|(_, most, _)| result < most) {
                continue;
            }
            let holders = self.holders_in(&engine.place, target);
            let better = best.is_none_or(|(_, most, fewest)| result > most || holders < fewest);
            if better {
                best = Some((index, result, holders));
            }
        }
        best.map(|(index, ..)| index)
    }

    fn holders_in(&self, place: &str, target: RangeIndex) -> usize {
        let holds = |engine: &&EngineSlot| {
            let index = engine.holding().and_then(|holding| find(self.demands, holding));
            engine.place == place && index == Some(target)
        };
        self.engines.iter().filter(holds).count()
    }
}
