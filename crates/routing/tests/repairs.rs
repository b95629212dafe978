//! Data centres that lose layers: which of them move the layers that they have left, and what they have once the lost engines are back.

mod common;

use common::{empty_engines, incarnation, shape};
use sorrellock_routing::process::LayerRange;
use sorrellock_routing::process::placement::{
    Holding, PlannedEngine, Repairs, covers, next_steps, placement_capacity, plan_data_centre,
};
use sorrellock_routing::version::ModelShape;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const STEP: Duration = Duration::from_millis(100);
/// Time to load a layer.
const LOAD_PER_LAYER: Duration = Duration::from_millis(100);
/// Time for which streams pass through layers that an engine gives up.
const STREAMS_PASS: Duration = Duration::from_secs(8);
/// Time until an engine that ended is back, without layers.
const DOWN: Duration = Duration::from_secs(3);
/// Time after the last return in which data centres have their capacity again.
const SETTLES_WITHIN: Duration = Duration::from_secs(6);
/// Share of its capacity that a data centre then has.
const SETTLED_SHARE: f64 = 0.95;

/// An engine of the simulation.
#[derive(Clone)]
struct Engine {
    planned: PlannedEngine,
    /// The layers that it loads, and when it has them.
    order: Option<(LayerRange, Instant)>,
    /// It has ended, and is back then.
    back_at: Option<Instant>,
}

impl Engine {
    fn after_its_order(&self) -> PlannedEngine {
        let held = self.order.map_or(self.planned.held, |(layers, _)| layers);
        PlannedEngine { held, is_pinned: self.order.is_some(), ..self.planned.clone() }
    }
}

/// A data centre of the simulation.
struct DataCentre {
    name: &'static str,
    engines: Vec<Engine>,
    plan: Option<BTreeMap<sorrellock_routing::process::Incarnation, LayerRange>>,
    whole_capacity: f64,
}

impl DataCentre {
    fn new(name: &'static str, shape: &ModelShape, cards: &[(&str, usize)]) -> DataCentre {
        let mut engines = empty_engines(shape, cards);
        let plan =
            plan_data_centre(shape, &engines, false).expect("the memory is enough").placement;
        let whole_capacity = placement_capacity(shape, &engines, &plan);
        for engine in &mut engines {
            engine.held = plan.get(&engine.incarnation).copied().unwrap_or_default();
        }
        let engine = |planned| Engine { planned, order: None, back_at: None };
        let engines = engines.into_iter().map(engine).collect();
        DataCentre { name, engines, plan: None, whole_capacity }
    }

    fn living(&self) -> Vec<PlannedEngine> {
        let living = self.engines.iter().filter(|engine| engine.back_at.is_none());
        living.map(Engine::after_its_order).collect()
    }

    /// Returns its engines with the layers that they can run.
    fn ready(&self) -> Vec<PlannedEngine> {
        let living = self.engines.iter().filter(|engine| engine.back_at.is_none());
        living.map(|engine| engine.planned.clone()).collect()
    }

    fn serves(&self, shape: &ModelShape) -> bool {
        covers(shape, &self.ready())
    }

    /// Returns its capacity as a share of that before the loss; 0 while layers are missing.
    fn share(&self, shape: &ModelShape) -> f64 {
        let living = self.ready();
        if !covers(shape, &living) {
            return 0.0;
        }
        let held = living.iter().map(|one| (one.incarnation.clone(), one.held)).collect();
        placement_capacity(shape, &living, &held) / self.whole_capacity
    }

    /// Ends the engine with the most layers.
    fn lose_largest(&mut self, now: Instant) {
        let largest = self.engines.iter_mut().max_by_key(|engine| engine.planned.held.len());
        let largest = largest.expect("there are engines");
        largest.back_at = Some(now + DOWN);
        largest.planned.held = LayerRange::default();
        largest.planned.incarnation =
            incarnation(&format!("{}-back", largest.planned.incarnation.id));
    }

    fn step(
        &mut self,
        shape: &ModelShape,
        repairs: &mut Repairs,
        is_served_elsewhere: bool,
        now: Instant,
    ) {
        for engine in &mut self.engines {
            if engine.back_at.is_some_and(|at| at <= now) {
                engine.back_at = None;
            }
            if let Some((layers, _)) = engine.order.filter(|(_, done_at)| *done_at <= now) {
                engine.planned.held = layers;
                engine.order = None;
            }
        }
        let living = self.living();
        if self.serves(shape) {
            repairs.on_serving(self.name);
        }
        if covers(shape, &living) {
            // Its layers are held, or are being loaded.
        } else if let Some(plan) = plan_data_centre(shape, &living, true) {
            let share = placement_capacity(shape, &living, &plan.placement) / self.whole_capacity;
            if repairs.allows(self.name, share, is_served_elsewhere, now) {
                self.plan = Some(plan.placement);
            }
        }
        self.order(shape, now);
    }

    fn order(&mut self, shape: &ModelShape, now: Instant) {
        let Some(plan) = &self.plan else { return };
        let living = self.engines.iter().filter(|engine| engine.back_at.is_none());
        let holding = |engine: &Engine| Holding {
            ready: engine.planned.held,
            max_layers: (engine.planned.memory_mb / shape.layer_mb) as u32 - 1,
            is_busy: engine.order.is_some(),
        };
        let holdings =
            living.map(|engine| (engine.planned.incarnation.clone(), holding(engine))).collect();
        for step in next_steps(plan, &holdings, shape.layers, true) {
            let engine =
                self.engines.iter_mut().find(|one| one.planned.incarnation == step.incarnation);
            let engine = engine.expect("it was planned for");
            let loaded = step.layers.len() - step.layers.overlap(engine.planned.held);
            let waits = if step.releases_layers { STREAMS_PASS } else { Duration::ZERO };
            engine.order = Some((step.layers, now + waits + LOAD_PER_LAYER * loaded));
        }
    }
}

/// Three data centres that each have one chain.
fn fleet(shape: &ModelShape) -> Vec<DataCentre> {
    vec![
        DataCentre::new("north", shape, &[("h100", 1), ("a100", 1), ("l4", 5), ("t4", 7)]),
        DataCentre::new("south", shape, &[("a100", 1), ("l4", 8), ("t4", 3)]),
        DataCentre::new("west", shape, &[("a100", 2), ("l4", 4), ("t4", 7)]),
    ]
}

fn run(
    shape: &ModelShape,
    fleet: &mut [DataCentre],
    repairs: &mut Repairs,
    from: Instant,
    to: Instant,
) {
    let mut now = from;
    while now < to {
        for index in 0..fleet.len() {
            let is_other = |other: &usize| *other != index;
            let is_served_elsewhere =
                (0..fleet.len()).filter(is_other).any(|other| fleet[other].serves(shape));
            fleet[index].step(shape, repairs, is_served_elsewhere, now);
        }
        now += STEP;
    }
}

#[test]
fn data_centres_whose_first_engines_end_together_have_their_capacity_once_these_are_back() {
    let shape = shape(80);
    let (mut fleet, mut repairs, began) = (fleet(&shape), Repairs::default(), Instant::now());

    for (index, data_centre) in fleet.iter_mut().enumerate() {
        data_centre.lose_largest(began + STEP * 2 * index as u32);
    }
    let last_return = began + STEP * 4 + DOWN;
    run(&shape, &mut fleet, &mut repairs, began, last_return + SETTLES_WITHIN);

    let shares: Vec<f64> = fleet.iter().map(|data_centre| data_centre.share(&shape)).collect();
    let settled = shares.iter().filter(|share| **share >= SETTLED_SHARE).count();
    // One is repaired at once, so that callers are served meanwhile.
    assert!(settled >= 2, "{shares:?}");
    assert!(shares.iter().all(|share| *share > 0.0), "{shares:?}");
}

#[test]
fn a_data_centre_that_lost_its_first_engine_beside_others_has_its_capacity_once_it_is_back() {
    let shape = shape(80);
    for lost in 0..3 {
        let (mut fleet, mut repairs, began) = (fleet(&shape), Repairs::default(), Instant::now());

        fleet[lost].lose_largest(began);
        run(&shape, &mut fleet, &mut repairs, began, began + DOWN + SETTLES_WITHIN);

        let shares: Vec<f64> = fleet.iter().map(|data_centre| data_centre.share(&shape)).collect();
        assert!(shares.iter().all(|share| *share >= SETTLED_SHARE), "{shares:?}");
    }
}

#[test]
fn a_loss_that_costs_little_is_repaired_at_once() {
    let (mut repairs, now) = (Repairs::default(), Instant::now());

    assert!(repairs.allows("north", 0.6, true, now));
}

#[test]
fn an_engine_that_does_not_return_is_replaced_by_the_others() {
    let (mut repairs, now) = (Repairs::default(), Instant::now());

    let at_once = repairs.allows("north", 0.3, true, now);
    let soon = repairs.allows("north", 0.3, true, now + Duration::from_secs(4));
    let late = repairs.allows("north", 0.3, true, now + Duration::from_secs(5));

    assert_eq!((at_once, soon, late), (false, false, true));
}

#[test]
fn where_no_data_centre_serves_only_the_one_that_is_left_with_the_most_is_repaired() {
    let (mut repairs, now) = (Repairs::default(), Instant::now());
    repairs.allows("north", 0.2, true, now);
    repairs.allows("south", 0.4, true, now);

    let south = repairs.allows("south", 0.4, false, now);
    let north = repairs.allows("north", 0.2, false, now);
    let north_with_more = repairs.allows("north", 0.45, false, now);
    repairs.on_serving("south");
    let again = repairs.allows("south", 0.3, true, now);

    assert_eq!((south, north, north_with_more, again), (true, false, false, false));
}

#[test]
fn a_data_centre_without_engines_holds_up_no_other_one() {
    let (mut repairs, now) = (Repairs::default(), Instant::now());
    repairs.allows("south", 0.4, false, now);
    let before = repairs.allows("north", 0.2, false, now);

    repairs.retain(|name| name != "south");

    assert!(!before);
    assert!(repairs.allows("north", 0.2, false, now));
}
