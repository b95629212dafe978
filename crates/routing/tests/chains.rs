//! Tests that a data centre gets as many chains as memory allows, that each covers the model, and that
//! leads with different knowledge find the same chains.

mod common;

use common::{empty_engines, engine, incarnation, shape};
use quickcheck::quickcheck;
use sorrellock_routing::process::placement::{
    Chain, DataCentrePlan, PlannedEngine, are_chains_whole, could_make_more_chains, covers,
    divide_into_chains, plan_data_centre,
};
use sorrellock_routing::version::ModelShape;
use std::collections::BTreeSet;

/// A model whose requests need about half of the memory that those of [`shape`] need.
fn light_shape() -> ModelShape {
    ModelShape { kv_token_bytes: 328_000.0, ..shape(80) }
}

/// Returns engines with memory for two chains.
fn two_chains_of_engines(shape: &ModelShape) -> Vec<PlannedEngine> {
    empty_engines(shape, &[("h100", 1), ("a100", 1), ("l4", 8), ("t4", 11)])
}

fn plan(shape: &ModelShape, engines: &[PlannedEngine]) -> DataCentrePlan {
    plan_data_centre(shape, engines, false).expect("the memory is enough")
}

/// Returns the engines after a plan is carried out, as seen by a lead that knows no chains.
fn placed(engines: &[PlannedEngine], plan: &DataCentrePlan) -> Vec<PlannedEngine> {
    let moved = |one: &PlannedEngine| PlannedEngine {
        held: plan.placement[&one.incarnation],
        chain: None,
        ..one.clone()
    };
    engines.iter().map(moved).collect()
}

/// Returns the engines after a plan is carried out, as seen by the lead that made the plan.
fn known(engines: &[PlannedEngine], plan: &DataCentrePlan) -> Vec<PlannedEngine> {
    let known =
        |one: PlannedEngine| PlannedEngine { chain: Some(plan.chains[&one.incarnation]), ..one };
    placed(engines, plan).into_iter().map(known).collect()
}

fn ids(chain: &Chain) -> BTreeSet<&str> {
    chain.iter().map(|engine| engine.incarnation.id.as_str()).collect()
}

#[test]
fn much_memory_makes_two_chains_that_are_whole_each_by_itself() {
    let shape = light_shape();
    let engines = two_chains_of_engines(&shape);

    let plan = plan(&shape, &engines);

    let placed = placed(&engines, &plan);
    for index in 0..2 {
        let is_in = |one: &&PlannedEngine| plan.chains[&one.incarnation] == index;
        let chain: Vec<_> = placed.iter().filter(is_in).cloned().collect();
        assert!(covers(&shape, &chain), "chain {index}: {plan:?}");
    }
    assert!(are_chains_whole(&shape, &placed));
}

#[test]
fn little_memory_makes_one_chain() {
    let shape = shape(80);
    let engines = empty_engines(&shape, &[("h100", 1), ("a100", 1), ("l4", 5), ("t4", 7)]);

    assert_eq!(divide_into_chains(&shape, &engines).len(), 1);
    assert!(!could_make_more_chains(&shape, &engines));
}

#[test]
fn engines_that_cant_be_divided_evenly_make_one_chain() {
    let shape = light_shape();
    let mut engines = empty_engines(&shape, &[("h100", 3)]);
    engines.iter_mut().for_each(|engine| engine.memory_mb = 130_000.0);

    let chains = divide_into_chains(&shape, &engines);

    assert_eq!(chains.len(), 1, "two of 390 GB would fit, but not of three engines");
}

#[test]
fn a_lead_that_knows_nothing_finds_as_many_chains_as_there_are() {
    let shape = light_shape();
    let engines = two_chains_of_engines(&shape);
    let placed = placed(&engines, &plan(&shape, &engines));

    let chains = divide_into_chains(&shape, &placed);

    assert_eq!(chains.len(), 2);
    assert!(chains.iter().all(|chain| covers(&shape, chain)));
}

#[test]
fn a_chain_that_lost_an_engine_gives_its_part_to_an_empty_one_and_nothing_else_moves() {
    let shape = light_shape();
    let engines = two_chains_of_engines(&shape);
    let mut placed = placed(&engines, &plan(&shape, &engines));
    let lost =
        placed.iter().position(|one| one.incarnation.id == "l4-3").expect("it is one of them");
    let gap = placed.remove(lost).held;
    placed.push(engine(&shape, "l4-new", "l4", 0, 0));

    let plan = plan(&shape, &placed);

    assert_eq!(plan.placement[&incarnation("l4-new")], gap);
    for one in placed.iter().filter(|one| one.incarnation.id != "l4-new") {
        assert_eq!(plan.placement[&one.incarnation], one.held, "{}", one.incarnation);
    }
}

#[test]
fn engines_stay_in_the_chain_that_they_are_known_in_while_layers_move() {
    let shape = light_shape();
    let engines = two_chains_of_engines(&shape);
    let first = plan(&shape, &engines);
    let mut moving = known(&engines, &first);
    // In the middle of a transition, an engine holds old and new layers.
    moving[5].held.to = (moving[5].held.to + 5).min(80);

    let chains = divide_into_chains(&shape, &moving);

    for (index, chain) in chains.iter().enumerate() {
        assert!(chain.iter().all(|one| first.chains[&one.incarnation] == index));
    }
}

#[test]
fn a_chain_with_too_little_memory_gets_engines_of_the_other() {
    let shape = light_shape();
    let engines = two_chains_of_engines(&shape);
    let first = plan(&shape, &engines);
    let mut left = known(&engines, &first);
    let is_lost = |one: &PlannedEngine| {
        first.chains[&one.incarnation] == 0 && one.incarnation.id.starts_with("l4")
    };
    let mut lost = 0;
    left.retain(|one| {
        lost += u32::from(is_lost(one));
        !is_lost(one) || lost > 3
    });

    let chains = divide_into_chains(&shape, &left);

    let memory = |chain: &Chain| chain.iter().map(|one| one.memory_mb).sum::<f64>();
    assert_eq!(chains.len(), 2);
    for chain in &chains {
        assert!(memory(chain) > 80.0 * shape.layer_mb, "{:?}", ids(chain));
    }
}

#[test]
fn engines_that_joined_late_could_make_more_chains() {
    let shape = light_shape();
    let early = empty_engines(&shape, &[("l4", 10)]);
    let mut all = placed(&early, &plan(&shape, &early));
    all.extend(empty_engines(&shape, &[("h100", 1), ("t4", 8)]));

    assert!(could_make_more_chains(&shape, &all));
}

#[test]
fn slow_cards_make_no_chain_beside_one_of_fast_cards() {
    let shape = light_shape();
    let engines = empty_engines(&shape, &[("h100", 4), ("l4", 13)]);

    let plan = plan(&shape, &engines);

    assert!(plan.chains.values().all(|chain| *chain == 0), "{plan:?}");
}

#[test]
fn slow_spare_engines_make_no_further_chain() {
    let shape = light_shape();
    let engines = empty_engines(&shape, &[("h100", 4), ("l4", 13)]);
    let first = plan(&shape, &engines);

    let chains = divide_into_chains(&shape, &known(&engines, &first));

    assert_eq!(chains.len(), 1);
}

quickcheck! {
    /// Each engine is in exactly one chain, whatever layers the engines hold.
    fn each_engine_is_in_one_chain(held: Vec<(u8, u8)>) -> bool {
        let shape = light_shape();
        let engines: Vec<PlannedEngine> = held.iter().take(24).enumerate().map(|(index, held)| {
            let from = u32::from(held.0) % 80;
            engine(&shape, &index.to_string(), "l4", from, (from + u32::from(held.1) % 12).min(80))
        }).collect();

        let chains = divide_into_chains(&shape, &engines);

        let all: Vec<&str> = chains.iter().flat_map(ids).collect();
        let distinct: BTreeSet<&str> = all.iter().copied().collect();
        all.len() == engines.len() && distinct.len() == engines.len()
    }
}

/// The load: 400 requests a second, of 3.3 s each.
#[test]
fn a_thousand_engines_make_as_many_chains_as_their_requests_need() {
    let shape = light_shape();
    let engines = empty_engines(&shape, &[("a100", 60), ("l4", 450), ("t4", 490)]);
    let requests_at_once = 1_320;

    let plan = plan(&shape, &engines);

    let chains: BTreeSet<usize> = plan.chains.values().copied().collect();
    let accepted = chains.len() as u32 * shape.slots;
    assert!(accepted >= requests_at_once, "{} chains accept {accepted}", chains.len());
    // A chain uses the largest of its engines; the others are spare.
    let has_layers = |one: &&PlannedEngine| plan.placement.contains_key(&one.incarnation);
    let used: Vec<_> = engines.iter().filter(has_layers).cloned().collect();
    let placed = placed(&used, &plan);
    for index in chains {
        let is_in = |one: &&PlannedEngine| plan.chains[&one.incarnation] == index;
        let chain: Vec<_> = placed.iter().filter(is_in).cloned().collect();
        assert!(covers(&shape, &chain), "chain {index} lacks layers");
    }
}

/// After the loss of all gateways the new lead knows only which layers the engines hold.
#[test]
fn a_lead_that_knows_nothing_moves_no_layers_of_many_chains() {
    let shape = light_shape();
    let engines = empty_engines(&shape, &[("a100", 60), ("l4", 450), ("t4", 490)]);
    let before = plan(&shape, &engines);
    let (used, spare): (Vec<_>, Vec<_>) =
        engines.into_iter().partition(|one| before.placement.contains_key(&one.incarnation));
    let held: Vec<_> = placed(&used, &before).into_iter().chain(spare).collect();

    let after = plan(&shape, &held);

    let is_moved = |one: &&PlannedEngine| {
        after.placement.get(&one.incarnation).is_some_and(|range| *range != one.held)
    };
    assert_eq!(held.iter().filter(is_moved).count(), 0, "of {} engines with layers", used.len());
}
