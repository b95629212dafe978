//! The planner decides which engine loads which layers next.
//!
//! It raises the lowest service level, one engine at a time, and moves no more weights than that
//! needs, because the weight store is rate-limited. A serving engine is moved only after a loss has
//! lasted for the grace period, because an instance that was only paused returns with its layers.

use crate::clock::Clock;
use crate::id::EndpointId;
use crate::process::orders::plan_state::PlanState;
use crate::process::orders::{Demand, EngineSlot, Holding};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Settings of a [`Planner`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlannerConfig {
    /// Maximum number of engines that load at the same time.
    pub max_loads: usize,
    /// How long a lost engine is expected back before a serving one may replace it.
    pub grace: Duration,
    /// Factor by which the move of a serving engine must raise the lowest level.
    pub min_gain: f64,
    /// Maximum number of lost engines that are remembered.
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

    /// Creates a config with the defaults.
    pub fn new() -> PlannerConfig {
        PlannerConfig {
            max_loads: PlannerConfig::MAX_LOADS,
            grace: PlannerConfig::GRACE,
            min_gain: PlannerConfig::MIN_GAIN,
            max_lost: PlannerConfig::MAX_LOST,
        }
    }

    /// Sets the maximum number of engines that load at the same time.
    pub fn with_max_loads(mut self, loads: usize) -> PlannerConfig {
        self.max_loads = loads;
        self
    }

    /// Sets how long a lost engine is expected back.
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

/// A planned load of layers by an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The engine.
    pub endpoint: EndpointId,
    /// The layers to load.
    pub to: Holding,
}

/// Plans moves from successive snapshots of the fleet.
#[derive(Debug)]
pub struct Planner<C> {
    clock: C,
    cfg: PlannerConfig,
    present: HashMap<EndpointId, EngineSlot>,
    lost: HashMap<EndpointId, (Instant, EngineSlot)>,
}

impl<C: Clock> Planner<C> {
    /// Creates a planner that knows no engines.
    pub fn new(clock: C, cfg: PlannerConfig) -> Planner<C> {
        Planner { clock, cfg, present: HashMap::new(), lost: HashMap::new() }
    }

    /// Returns the moves to order now. `engines` has to hold current states, with engines that
    /// have an order but haven't started on it as loading.
    pub fn plan(&mut self, engines: &[EngineSlot], demands: &[Demand]) -> Vec<Move> {
        self.observe(engines);
        let loading = engines.iter().filter(|engine| engine.is_loading()).count();
        let free_loads = self.cfg.max_loads.saturating_sub(loading);
        let expected = self.lost.values().map(|(_, slot)| slot);
        let mut state = PlanState::new(engines, expected, demands, self.cfg.min_gain);
        let next = std::iter::from_fn(|| state.next_move());
        next.take(free_loads).collect()
    }

    /// Returns the number of lost engines that are still expected back.
    pub fn expected_back(&self) -> usize {
        self.lost.len()
    }

    /// Records which engines are present and which are lost, without planning. A daemon that may
    /// become lead calls this all the time, so that it knows which engines to expect back.
    pub fn observe(&mut self, engines: &[EngineSlot]) {
        let now = self.clock.now();
        let current: HashMap<_, _> =
            engines.iter().map(|engine| (engine.endpoint.clone(), engine.clone())).collect();
        let previous = std::mem::replace(&mut self.present, current);
        for (endpoint, slot) in previous {
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
