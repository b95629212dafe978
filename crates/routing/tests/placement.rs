//! Tests memory, coverage and number of loads of placements, and compares divisions with an exact solver.

mod common;

use common::{empty_engines, engine, incarnation, shape};
use quickcheck::{TestResult, quickcheck};
use sorrellock_routing::process::placement::{
    ChainEngine, ChainPlan, Holding, Placement, PlannedEngine, Weights, cost_of, covers, divide,
    divide_balanced, next_steps, plan_data_centre, step_time_factor,
};
use sorrellock_routing::process::{Incarnation, LayerRange};
use sorrellock_routing::version::ModelShape;
use std::collections::BTreeMap;

fn after(engines: &[PlannedEngine], plan: &Placement) -> Vec<PlannedEngine> {
    let moved = |one: &PlannedEngine| PlannedEngine {
        held: plan.get(&one.incarnation).copied().unwrap_or(one.held),
        ..one.clone()
    };
    engines.iter().map(moved).collect()
}

fn loads(engines: &[PlannedEngine], plan: &Placement) -> u32 {
    let loaded = |one: &PlannedEngine| {
        let want = plan.get(&one.incarnation).copied().unwrap_or_default();
        want.len() - want.overlap(one.held)
    };
    engines.iter().map(loaded).sum()
}

fn assert_fits(shape: &ModelShape, engines: &[PlannedEngine]) {
    for one in engines {
        let used = f64::from(one.held.len()) * shape.layer_mb;
        assert!(
            used < one.memory_mb,
            "{} holds {:?} of {} MB",
            one.incarnation,
            one.held,
            one.memory_mb
        );
    }
}

#[test]
fn empty_engines_get_the_whole_model_with_room_for_requests_everywhere() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("h100", 1), ("a100", 1), ("l4", 5), ("t4", 7)]);

    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;

    let placed = after(&engines, &plan);
    assert!(covers(&shape, &placed));
    assert_fits(&shape, &placed);
    for one in &placed {
        let capacity = one.memory_mb / f64::from(one.held.len()) - shape.layer_mb;
        assert!(capacity > 1_000.0, "{} keeps {capacity} MB a layer", one.incarnation);
    }
}

#[test]
fn too_little_memory_has_no_plan() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("t4", 9)]);

    assert_eq!(plan_data_centre(&shape, &engines, false), None);
}

#[test]
fn a_gap_is_closed_by_an_empty_engine_alone_where_there_is_one() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("h100", 1), ("a100", 1), ("l4", 5), ("t4", 7)]);
    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;
    let mut placed = after(&engines, &plan);
    let lost =
        placed.iter().position(|one| one.incarnation.id == "l4-2").expect("it is one of them");
    let gap = placed.remove(lost).held;
    placed.push(engine(&shape, "l4-new", "l4", 0, 0));

    let plan = plan_data_centre(&shape, &placed, false).expect("the memory is enough").placement;

    assert_eq!(plan[&incarnation("l4-new")], gap);
    assert_eq!(loads(&placed, &plan), gap.len());
}

#[test]
fn an_empty_engine_takes_the_layers_of_a_lost_first_engine_before_it_becomes_a_further_one() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("h100", 1), ("a100", 1), ("l4", 5), ("t4", 7)]);
    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;
    let mut placed = after(&engines, &plan);
    let firsts = placed.iter().filter(|one| !one.held.is_empty() && one.held.from == 0).count();
    assert_eq!(firsts, 2);
    let lost = placed.iter().position(|one| one.held.from == 0 && one.held.len() > 10);
    placed.remove(lost.expect("the chain's own first engine"));
    placed.push(engine(&shape, "h100-new", "h100", 0, 0));

    for is_idle in [true, false] {
        let plan = plan_data_centre(&shape, &placed, is_idle).expect("the memory is enough");

        let is_moved = |one: &&PlannedEngine| plan.placement[&one.incarnation] != one.held;
        let moved: Vec<_> = placed.iter().filter(is_moved).collect();
        assert_eq!(moved.len(), 1, "{moved:?}");
        assert_eq!(moved[0].incarnation, incarnation("h100-new"));
    }
}

#[test]
fn while_streams_pass_a_gap_is_closed_without_releasing_layers() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("h100", 1), ("a100", 1), ("l4", 5), ("t4", 7)]);
    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;
    let mut placed = after(&engines, &plan);
    let lost =
        placed.iter().position(|one| one.incarnation.id == "t4-3").expect("it is one of them");
    let gap = placed.remove(lost).held;

    let plan = plan_data_centre(&shape, &placed, false).expect("the memory is enough").placement;
    let steps = next_steps(&plan, &holdings(&shape, &placed), shape.layers, false);

    assert!(loads(&placed, &plan) <= gap.len(), "{plan:?}");
    for step in &steps {
        let held = placed
            .iter()
            .find(|one| one.incarnation == step.incarnation)
            .expect("it was planned")
            .held;
        assert_eq!(step.layers.hull(held), step.layers, "{} gives layers up", step.incarnation);
        assert!(step.is_urgent);
    }
}

#[test]
fn an_engine_that_the_plan_leaves_empty_gets_no_order() {
    let shape = ModelShape { kv_token_bytes: 918_000.0, ..shape(80) };
    let engines = empty_engines(&shape, &[("h100", 5), ("l4", 6)]);
    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;
    let placed = after(&engines, &plan);
    let spare = placed.iter().find(|one| one.held.is_empty()).expect("fast engines are enough");

    let steps = next_steps(&plan, &holdings(&shape, &engines), shape.layers, false);

    assert!(steps.iter().all(|step| step.incarnation != spare.incarnation), "{steps:?}");
}

/// Returns the minimum capacity per layer, in MB, and the step time factor of a division.
fn capacity_and_step(shape: &ModelShape, engines: &[ChainEngine], plan: &ChainPlan) -> (f64, f64) {
    let holding = engines.iter().zip(&plan.ranges).filter(|(_, range)| !range.is_empty());
    let capacity =
        holding.map(|(one, range)| one.memory_mb / f64::from(range.len()) - shape.layer_mb);
    (capacity.fold(f64::INFINITY, f64::min), step_time_factor(shape, engines, plan))
}

fn in_chain(engines: &[PlannedEngine]) -> Vec<ChainEngine> {
    engines.iter().map(PlannedEngine::in_chain).collect()
}

#[test]
fn fast_cards_hold_the_model_where_there_are_enough_of_them() {
    let shape = shape(80);
    let engines = in_chain(&empty_engines(&shape, &[("h100", 5), ("l4", 10)]));
    let by_memory = divide(&shape, &engines, Weights::BALANCE).expect("the memory is enough");

    let (plan, _) = divide_balanced(&shape, &engines).expect("the memory is enough");

    let (_, slow) = capacity_and_step(&shape, &engines, &by_memory);
    let (_, fast) = capacity_and_step(&shape, &engines, &plan);
    assert!(fast < slow / 2.0, "{fast} against {slow}");
}

#[test]
fn a_single_fast_card_does_not_reduce_the_capacity_of_its_chain() {
    let shape = shape(80);
    let engines = in_chain(&empty_engines(&shape, &[("a100", 1), ("l4", 9), ("t4", 4)]));
    let by_memory = divide(&shape, &engines, Weights::BALANCE).expect("the memory is enough");

    let (plan, _) = divide_balanced(&shape, &engines).expect("the memory is enough");

    let (wide, _) = capacity_and_step(&shape, &engines, &by_memory);
    let (capacity, _) = capacity_and_step(&shape, &engines, &plan);
    assert!(capacity > wide * 0.8, "{capacity} against {wide} MB");
}

#[test]
fn an_additional_first_engine_releases_its_layers_where_the_others_cant_cover_the_model() {
    let shape = ModelShape { kv_token_bytes: 80_000.0, ..shape(80) };
    let engines = [
        engine(&shape, "first", "h100", 0, 40),
        engine(&shape, "further", "h100", 0, 20),
        engine(&shape, "small", "l4", 70, 80),
    ];

    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;

    assert!(covers(&shape, &after(&engines, &plan)), "{plan:?}");
}

#[test]
fn an_engine_with_an_order_under_way_keeps_it_in_the_plan() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("a100", 5), ("l4", 4)]);
    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;
    let mut placed = after(&engines, &plan);
    let pinned =
        placed.iter().position(|one| one.incarnation.id == "a100-2").expect("it is one of them");
    placed[pinned].is_pinned = true;
    let lost =
        placed.iter().position(|one| one.incarnation.id == "l4-1").expect("it is one of them");
    let kept = placed[pinned].clone();
    placed.remove(lost);

    let plan = plan_data_centre(&shape, &placed, true).expect("the memory is enough").placement;

    assert_eq!(plan[&kept.incarnation], kept.held);
    assert!(covers(&shape, &after(&placed, &plan)));
}

#[test]
fn more_requests_than_slots_give_a_data_centre_several_first_engines() {
    let mut shape = shape(80);
    shape.kv_token_bytes = 300_000.0;
    let engines = empty_engines(&shape, &[("h100", 1), ("a100", 1), ("l4", 8), ("t4", 11)]);

    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough").placement;

    let heads = plan.values().filter(|range| !range.is_empty() && range.from == 0).count();
    assert!(heads >= 2, "{plan:?}");
    assert_fits(&shape, &after(&engines, &plan));
}

fn holdings(shape: &ModelShape, engines: &[PlannedEngine]) -> BTreeMap<Incarnation, Holding> {
    let holding = |one: &PlannedEngine| Holding {
        ready: one.held,
        max_layers: (one.memory_mb / shape.layer_mb) as u32,
        is_busy: false,
    };
    engines.iter().map(|one| (one.incarnation.clone(), holding(one))).collect()
}

/// Returns the minimum cost over all divisions by trying each one.
fn exact(
    shape: &ModelShape,
    engines: &[ChainEngine],
    from: u32,
    ranges: &mut Vec<LayerRange>,
) -> f64 {
    if ranges.len() == engines.len() {
        let is_whole = from == shape.layers;
        let cost = || cost_of(shape, engines, ranges, Weights::BALANCE);
        return if is_whole { cost() } else { f64::INFINITY };
    }
    let mut best = f64::INFINITY;
    for to in from..=shape.layers {
        ranges.push(LayerRange::new(from, to));
        best = best.min(exact(shape, engines, to, ranges));
        ranges.pop();
    }
    best
}

quickcheck! {
    /// The division has the minimum cost of all divisions.
    fn a_division_is_as_good_as_an_exact_solver(memory: Vec<u8>, held: Vec<u8>) -> TestResult {
        let shape = shape(7);
        let engines: Vec<ChainEngine> = memory.iter().take(4).enumerate().map(|(index, memory)| {
            let from = u32::from(held.get(index).copied().unwrap_or(0) % 7);
            ChainEngine {
                memory_mb: 2_000.0 + f64::from(*memory) * 60.0,
                step_factor: 1.0 + f64::from(*memory % 5),
                held: LayerRange::new(from, (from + 2).min(7)),
                is_pinned: false,
            }
        }).collect();
        if engines.is_empty() {
            return TestResult::discard();
        }
        let found = divide(&shape, &engines, Weights::BALANCE);
        let best = exact(&shape, &engines, 0, &mut Vec::new());
        TestResult::from_bool(match found {
            Some(plan) => (plan.cost - best).abs() < 1e-9 * best.max(1.0),
            None => best.is_infinite(),
        })
    }

    /// A complete chain stays complete at each step from one plan to another.
    fn moves_of_a_whole_chain_never_uncover_a_layer(cuts: (u8, u8), to: (u8, u8)) -> bool {
        let ranges = |(a, b): (u8, u8)| {
            let (a, b) = (u32::from(a % 13), u32::from(b % 13));
            let (low, high) = (a.min(b), a.max(b));
            [LayerRange::new(0, low), LayerRange::new(low, high), LayerRange::new(high, 12)]
        };
        let ids = ["a", "b", "c"];
        let mut now: BTreeMap<Incarnation, Holding> = ids.iter().zip(ranges(cuts)).map(|(id, range)| {
            (incarnation(id), Holding { ready: range, max_layers: 12, is_busy: false })
        }).collect();
        let plan: Placement =
            ids.iter().zip(ranges(to)).map(|(id, range)| (incarnation(id), range)).collect();
        for _ in 0..20 {
            for step in next_steps(&plan, &now, 12, false) {
                now.get_mut(&step.incarnation).expect("it is one of them").ready = step.layers;
                let is_whole =
                    (0..12).all(|layer| now.values().any(|held| held.ready.contains(layer)));
                if !is_whole {
                    return false;
                }
            }
        }
        plan.iter().all(|(incarnation, want)| now[incarnation].ready == *want || want.is_empty())
    }
}
