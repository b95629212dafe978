//! The planner: which engine is to load which layers next.
//!
//! It raises the range served worst, one engine at a time, and moves no more weights than that
//! needs: the weight store is rate-limited. An engine that serves is moved only after a loss has
//! lasted, as an instance that was merely paused comes back with what it held.

use crate::clock::Clock;
use crate::id::EndpointId;
use crate::process::orders::board::Board;
use crate::process::orders::{Demand, EngineSlot, Holding};
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
        self.observe(engines);
        let loading = engines.iter().filter(|engine| engine.is_loading()).count();
        let room = self.cfg.max_loads.saturating_sub(loading);
        let expected = self.lost.values().map(|(_, slot)| slot);
        let mut board = Board::new(engines, expected, demands, self.cfg.min_gain);
        let next = std::iter::from_fn(|| board.next_move());
        next.take(room).collect()
    }

    /// How many lost engines are still expected back.
    pub fn expected_back(&self) -> usize {
        self.lost.len()
    }

    /// Notes who is there and who is lost, and plans nothing. Whoever may become a lead does this
    /// all along, so that it knows whom to expect back.
    pub fn observe(&mut self, engines: &[EngineSlot]) {
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
