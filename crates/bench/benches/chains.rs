//! What a data centre still serves right after the loss of any one engine, before a layer is loaded:
//! the planned chains against one chain of all engines.
//!
//! The model: engines of four kinds as they are in use, on two sizes of a data centre. Streams are
//! spread evenly over the paths; the engine with the least room bounds them all.

// The model and the engines are those of the tests of the decisions.
#[path = "../../routing/tests/common/mod.rs"]
mod common;

use sorrellock_bench::figure;
use sorrellock_routing::process::placement::{
    DataCentrePlan, PlannedEngine, Weights, divide, plan_data_centre,
};
use sorrellock_routing::process::{Holder, Incarnation, LayerRange, PipelinePath, paths_by_head};
use sorrellock_routing::version::{Card, ModelShape};
use std::collections::HashMap;

/// Kinds of engines: name, memory in MB, factors of a step and of prefill.
const KINDS: [(&str, f64, f64, f64); 4] = [
    ("h100", 72_000.0, 1.4, 1.0),
    ("a100s", 36_000.0, 3.1, 3.2),
    ("l4", 22_000.0, 16.0, 8.2),
    ("t4", 14_000.0, 15.0, 15.0),
];

/// A data centre: its name, the engines of each kind, and KV cache of a token in bytes.
struct Site {
    name: &'static str,
    counts: [usize; 4],
    kv_token_bytes: f64,
}

const SITES: [Site; 2] = [
    Site { name: "small", counts: [1, 1, 5, 7], kv_token_bytes: 590_000.0 },
    Site { name: "large", counts: [1, 1, 8, 11], kv_token_bytes: 328_000.0 },
];

fn main() {
    for site in &SITES {
        measure(site);
    }
}

fn measure(site: &Site) {
    let shape = shape(site.kv_token_bytes);
    let engines = engines(&shape, site);
    let plan = plan_data_centre(&shape, &engines, false).expect("the memory is enough");
    let copies = plan.chains.values().max().map_or(0, |last| last + 1);
    let print = |what: &str, value: f64, unit: &str| {
        figure(&format!("chains.{}.{what}", site.name), value, unit);
    };
    print("copies", copies as f64, "chains");
    report(&shape, &engines, &placed(&plan), &print, "");
    report(&shape, &engines, &one_chain(&shape, &engines), &print, "naive.");
    let left = after_each_loss(&shape, &engines, &placed(&plan));
    assert!(copies < 2 || left.iter().all(|streams| *streams > 0.0), "a loss stops both chains");
}

/// Streams with all engines, and after each single loss.
fn report(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    held: &HashMap<Incarnation, LayerRange>,
    print: &impl Fn(&str, f64, &str),
    prefix: &str,
) {
    let left = after_each_loss(shape, engines, held);
    print(&format!("{prefix}streams"), streams(shape, &holders(shape, engines, held)), "streams");
    let least = left.iter().copied().fold(f64::INFINITY, f64::min);
    print(&format!("{prefix}streams_after_worst_loss"), least, "streams");
    let mean = left.iter().sum::<f64>() / left.len() as f64;
    print(&format!("{prefix}streams_after_loss.mean"), mean, "streams");
}

fn after_each_loss(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    held: &HashMap<Incarnation, LayerRange>,
) -> Vec<f64> {
    let without = |lost: &PlannedEngine| {
        let left: Vec<_> =
            engines.iter().filter(|one| one.incarnation != lost.incarnation).cloned().collect();
        streams(shape, &holders(shape, &left, held))
    };
    engines.iter().map(without).collect()
}

/// Streams that fit on the paths over these holders, spread evenly.
fn streams(shape: &ModelShape, holders: &[Holder]) -> f64 {
    let paths = paths_by_head(holders, shape.layers);
    let most = |holder: &Holder| {
        let layers: u32 = paths.iter().map(|path| layers_at(path, &holder.incarnation)).sum();
        holder.kv_capacity / shape.usual_tokens() / f64::from(layers)
    };
    let by_room = holders.iter().map(most).fold(f64::INFINITY, f64::min);
    by_room.min(f64::from(shape.slots)).floor() * paths.len() as f64
}

fn layers_at(path: &PipelinePath, incarnation: &Incarnation) -> u32 {
    path.parts
        .iter()
        .filter(|part| part.incarnation == *incarnation)
        .map(|part| part.layers.len())
        .sum()
}

fn placed(plan: &DataCentrePlan) -> HashMap<Incarnation, LayerRange> {
    plan.placement.iter().map(|(id, range)| (id.clone(), *range)).collect()
}

/// All engines in one chain, in order of name.
fn one_chain(shape: &ModelShape, engines: &[PlannedEngine]) -> HashMap<Incarnation, LayerRange> {
    let seen: Vec<_> = engines.iter().map(PlannedEngine::in_chain).collect();
    let plan = divide(shape, &seen, Weights::BALANCE).expect("the memory is enough");
    engines.iter().map(|engine| engine.incarnation.clone()).zip(plan.ranges).collect()
}

fn holders(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    held: &HashMap<Incarnation, LayerRange>,
) -> Vec<Holder> {
    let holder = |engine: &PlannedEngine| {
        let layers = held[&engine.incarnation];
        let card = shape.card(engine.incarnation.id.split('-').next()?)?;
        (!layers.is_empty()).then(|| Holder {
            incarnation: engine.incarnation.clone(),
            addr: ([127, 0, 0, 1], 1).into(),
            data_centre: "north".into(),
            layers,
            layer_cost: card.step_factor * shape.step_ms / f64::from(shape.layers),
            kv_capacity: shape.kv_capacity(card, layers.len()),
        })
    };
    engines.iter().filter_map(holder).collect()
}

fn engines(shape: &ModelShape, site: &Site) -> Vec<PlannedEngine> {
    let counts = KINDS.iter().zip(site.counts).map(|((name, ..), count)| (*name, count));
    common::empty_engines(shape, &counts.collect::<Vec<_>>())
}

fn shape(kv_token_bytes: f64) -> ModelShape {
    let card = |(name, memory_mb, step_factor, prefill_factor): &(&str, f64, f64, f64)| Card {
        name: (*name).into(),
        memory_mb: *memory_mb,
        step_factor: *step_factor,
        prefill_factor: *prefill_factor,
    };
    ModelShape { kv_token_bytes, cards: KINDS.iter().map(card).collect(), ..common::shape(80) }
}
