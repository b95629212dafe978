//! Divides the engines of a data centre into chains that each hold the whole model.
//!
//! A chain's first engine accepts a limited number of requests. Where the memory of a data centre holds
//! more requests than that, several chains use it better than one: the loss of an engine breaks only the
//! streams of its own chain, and the engines of another chain run its layers at once.

use crate::process::LayerRange;
use crate::process::placement::{
    PlannedEngine, covers, divide_balanced, is_scarce, step_time_factor,
};
use crate::version::ModelShape;
use std::cmp::Reverse;

/// Maximum number of chains in a data centre: each one reduces the memory for KV cache by one model.
const MAX_CHAINS: usize = 4;
/// Minimum capacity of each of several new chains, as a share of the requests that its first engine
/// accepts: with less, memory would limit the data centre instead of its first engines.
const MIN_NEW_CHAIN_CAPACITY: f64 = 0.9;
/// Minimum capacity of existing chains, as the same share; below it they are merged into fewer. Layers
/// can't be split, and rounding takes a larger part of a smaller capacity: at three quarters by this
/// sum, the engine with the least capacity has half of it, and one chain has more capacity than two.
const MIN_KEPT_CHAIN_CAPACITY: f64 = 0.75;
/// Maximum ratio of the mean step time of several chains to that of one: a chain of cards that are far
/// slower than the fastest makes its streams late, and they occupy their capacity for longer. Where two
/// chains are 1.1 times slower than one, they score higher (0.550 against 0.518 over ten days); where
/// they are 1.5 to 2 times slower, lower (0.376 against 0.415 over eight days).
const MAX_SLOWDOWN: f64 = 1.25;
/// Capacity, as a share of the requests of its first engine, below which a chain gets engines of another.
const WEAK_CHAIN_CAPACITY: f64 = 0.35;
/// Maximum share of layers that may be missing for engines to still count as a chain.
const MAX_GAPS: f64 = 0.25;

/// Engines that together hold the model, or are planned to.
pub type Chain = Vec<PlannedEngine>;

/// Divides the engines of a data centre into chains. Engines stay in the chain that they are known to
/// belong to. Others are assigned by the layers that they hold, so that a new lead without that
/// knowledge finds chains, too; empty ones join the chain with the least memory.
pub fn divide_into_chains(shape: &ModelShape, engines: &[PlannedEngine]) -> Vec<Chain> {
    let (held, empty): (Vec<_>, Vec<_>) =
        engines.iter().cloned().partition(|engine| !engine.held.is_empty());
    let kept = kept_chain_count(shape, engines, &held);
    let count = (kept + additional_chain_count(shape, &empty)).clamp(1, MAX_CHAINS);
    let divided = (2..=count).rev().map(|count| divide_into(shape, count, &held, &empty));
    let has_capacity = |chain: &Chain| memory(chain) >= chain_mb(shape, WEAK_CHAIN_CAPACITY);
    // An engine belongs to one chain only: the total memory may suffice for more chains than whole engines
    // can form.
    let mut fitting = divided.into_iter().filter(|chains| chains.iter().all(has_capacity));
    let one = || divide_into(shape, 1, &held, &empty);
    let is_worthwhile = |chains: &Vec<Chain>| match held.is_empty() {
        true => mean_step(shape, chains) <= mean_step(shape, &one()) * MAX_SLOWDOWN,
        false => chains.len() <= kept || is_fast_enough(shape, &empty, &held, kept),
    };
    fitting.find(is_worthwhile).unwrap_or_else(one)
}

/// Returns whether an additional chain of empty engines would be about as fast as the existing ones.
fn is_fast_enough(
    shape: &ModelShape,
    empty: &[PlannedEngine],
    held: &[PlannedEngine],
    kept: usize,
) -> bool {
    let by_memory = empty.iter().map(|engine| engine.step_factor * engine.memory_mb);
    let new_step = by_memory.sum::<f64>() / memory(empty).max(1.0);
    let by_layers = held.iter().map(|engine| engine.step_factor * f64::from(engine.held.len()));
    let layers = f64::from(shape.layers) * kept.max(1) as f64;
    new_step <= by_layers.sum::<f64>() / layers.max(1.0) * MAX_SLOWDOWN
}

/// Returns the mean step time of new chains, as a factor on the model's step time.
fn mean_step(shape: &ModelShape, chains: &[Chain]) -> f64 {
    let steps = chains.iter().map(|chain| {
        let emptied = chain.iter().cloned().map(PlannedEngine::emptied);
        let engines: Vec<_> = emptied.map(|engine| engine.in_chain()).collect();
        let Some((plan, _)) = divide_balanced(shape, &engines) else { return f64::INFINITY };
        step_time_factor(shape, &engines, &plan)
    });
    steps.sum::<f64>() / chains.len().max(1) as f64
}

/// Divides the engines into `count` chains.
fn divide_into(
    shape: &ModelShape,
    count: usize,
    held: &[PlannedEngine],
    empty: &[PlannedEngine],
) -> Vec<Chain> {
    let mut chains = vec![Chain::new(); count];
    let (known, others): (Vec<_>, Vec<_>) =
        held.iter().cloned().partition(|engine| engine.chain.is_some_and(|index| index < count));
    for engine in known {
        let index = engine.chain.unwrap_or_default();
        chains[index].push(engine);
    }
    for engine in sorted_by_layers(others) {
        let index = chain_to_extend(&chains, engine.held);
        chains[index].push(engine);
    }
    for engine in sorted_by_memory(empty.to_vec()) {
        let smallest =
            (0..count).min_by(|a, b| memory(&chains[*a]).total_cmp(&memory(&chains[*b])));
        chains[smallest.unwrap_or_default()].push(engine);
    }
    reinforce_weak_chains(shape, &mut chains);
    chains
}

/// Returns whether each chain of the engines that hold layers covers the whole model.
pub fn are_chains_whole(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    non_empty_chains(shape, engines).iter().all(|chain| covers(shape, chain))
}

/// Returns whether the engines would form more chains if they were empty.
pub fn could_make_more_chains(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    let emptied: Vec<_> = engines.iter().cloned().map(PlannedEngine::emptied).collect();
    divide_into_chains(shape, &emptied).len() > divide_into_chains(shape, engines).len()
}

/// Returns whether an engine limits its chain to far less capacity than an even division has.
pub fn is_any_chain_scarce(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    non_empty_chains(shape, engines).iter().any(|chain| is_scarce(shape, chain))
}

fn non_empty_chains(shape: &ModelShape, engines: &[PlannedEngine]) -> Vec<Chain> {
    let holding = engines.iter().filter(|engine| !engine.held.is_empty());
    divide_into_chains(shape, &holding.cloned().collect::<Vec<_>>())
}

/// Returns how many of the existing chains should remain.
fn kept_chain_count(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    held: &[PlannedEngine],
) -> usize {
    existing_chain_count(shape, held).min(chains_that_fit(
        shape,
        memory(engines),
        MIN_KEPT_CHAIN_CAPACITY,
    ))
}

/// Returns how many additional chains empty engines could form. Existing chains are never split.
fn additional_chain_count(shape: &ModelShape, empty: &[PlannedEngine]) -> usize {
    chains_that_fit(shape, memory(empty), MIN_NEW_CHAIN_CAPACITY)
}

/// Returns the number of existing chains: as many as are known, or else the number of engines that hold
/// each layer, not counting the share of layers with the fewest holders.
fn existing_chain_count(shape: &ModelShape, held: &[PlannedEngine]) -> usize {
    if let Some(last) = held.iter().filter_map(|engine| engine.chain).max() {
        return last + 1;
    }
    let holders = |layer: u32| held.iter().filter(|engine| engine.held.contains(layer)).count();
    let mut counts: Vec<usize> = (0..shape.layers).map(holders).collect();
    counts.sort_unstable();
    counts.get((f64::from(shape.layers) * MAX_GAPS) as usize).copied().unwrap_or_default()
}

/// Returns how many chains the memory suffices for if each holds this share of its first engine's
/// requests.
fn chains_that_fit(shape: &ModelShape, memory_mb: f64, share: f64) -> usize {
    (memory_mb / chain_mb(shape, share).max(1.0)).floor() as usize
}

/// Returns the memory for the model's layers and for this share of a first engine's requests, in MB.
fn chain_mb(shape: &ModelShape, share: f64) -> f64 {
    shape.model_mb() + shape.request_mb() * share * f64::from(shape.slots.max(1))
}

/// Returns the total memory of engines, in MB.
pub(super) fn memory(engines: &[PlannedEngine]) -> f64 {
    engines.iter().map(|engine| engine.memory_mb).sum()
}

/// Sorts engines by their layers. Those with the most layers come first among several first engines, as
/// they are the chains' own.
fn sorted_by_layers(mut engines: Vec<PlannedEngine>) -> Vec<PlannedEngine> {
    let key = |engine: &PlannedEngine| (engine.held.from, Reverse(engine.held.to));
    engines.sort_by(|a, b| key(a).cmp(&key(b)).then_with(|| a.incarnation.cmp(&b.incarnation)));
    engines
}

fn sorted_by_memory(mut engines: Vec<PlannedEngine>) -> Vec<PlannedEngine> {
    engines.sort_by(|a, b| {
        b.memory_mb.total_cmp(&a.memory_mb).then_with(|| a.incarnation.cmp(&b.incarnation))
    });
    engines
}

/// Returns the chain whose end is nearest before the layers. If all reach further, returns the one with the fewest first
/// engines, the shortest among several.
fn chain_to_extend(chains: &[Chain], held: LayerRange) -> usize {
    let end = |chain: &Chain| chain.iter().map(|engine| engine.held.to).max().unwrap_or_default();
    let before = (0..chains.len()).filter(|index| end(&chains[*index]) <= held.from);
    let nearest = before.max_by_key(|index| (end(&chains[*index]), Reverse(*index)));
    let heads = |chain: &Chain| chain.iter().filter(|engine| engine.held.from == 0).count();
    let fewest_heads =
        || (0..chains.len()).min_by_key(|index| (heads(&chains[*index]), end(&chains[*index])));
    nearest.or_else(fewest_heads).unwrap_or_default()
}

/// Moves engines from the chain with the most memory to one that has too little for the model. They keep
/// their layers, which still serve the chain that they leave.
fn reinforce_weak_chains(shape: &ModelShape, chains: &mut [Chain]) {
    for _ in 0..chains.iter().map(Vec::len).sum() {
        let by_memory = |a: &usize, b: &usize| memory(&chains[*a]).total_cmp(&memory(&chains[*b]));
        let Some(smallest) = (0..chains.len()).min_by(by_memory) else { return };
        let Some(largest) = (0..chains.len()).max_by(by_memory) else { return };
        if memory(&chains[smallest]) >= chain_mb(shape, WEAK_CHAIN_CAPACITY) {
            return;
        }
        let gap = memory(&chains[largest]) - memory(&chains[smallest]);
        let gap_after = |engine: &PlannedEngine| (gap - 2.0 * engine.memory_mb).abs();
        let movable = (0..chains[largest].len()).filter(|at| !chains[largest][*at].is_pinned);
        let best = movable.min_by(|a, b| {
            gap_after(&chains[largest][*a]).total_cmp(&gap_after(&chains[largest][*b]))
        });
        let Some(best) = best.filter(|at| gap_after(&chains[largest][*at]) < gap) else { return };
        let engine = chains[largest].remove(best);
        chains[smallest].push(engine);
    }
}
