//! Divides the engines of a data centre into chains that each hold the whole model.
//!
//! A chain's first engine takes only so many requests. Where the memory of a data centre holds more
//! requests than that, several chains use it better than one: the loss of an engine breaks the
//! streams of its own chain only, and the engines of another run its layers at once.

use crate::process::LayerRange;
use crate::process::placement::{PlannedEngine, covers, divide_evenly, is_scarce, step_of};
use crate::version::ModelShape;
use std::cmp::Reverse;

/// The most chains in a data centre: with each the memory for KV cache shrinks by a model.
const MAX_CHAINS: usize = 4;
/// Room for requests that each of several new chains must have, as a share of the requests that
/// its first engine takes: with less, memory would bound the data centre and not its first engines.
const NEW_CHAIN_ROOM: f64 = 0.9;
/// The same below which chains that exist are joined into fewer. Layers are whole, and what rounding
/// takes grows as room shrinks: at three quarters by this sum, the engine with the least room has
/// half of it, and one chain has more room than two.
const KEPT_CHAIN_ROOM: f64 = 0.75;
/// Factor on the step of one chain up to which that of several may grow: a chain of cards that are
/// far slower than the fastest makes its streams late, and they take their room for longer. Where
/// two chains are 1.1 times slower than one, they are worth more (0.550 against 0.518, ten days);
/// where they are 1.5 to 2 times slower, less (0.376 against 0.415, eight days).
const MOST_SLOWER: f64 = 1.25;
/// Room, as a share of the requests of its first engine, below which a chain gets engines of another.
const WEAK_CHAIN_ROOM: f64 = 0.35;
/// Share of the layers that may be missing in a chain that is still known for one.
const GAPS_MOST: f64 = 0.25;

/// Engines that together hold the whole model, or should.
pub type Chain = Vec<PlannedEngine>;

/// Divides the engines of a data centre into chains. Engines stay in the chain that they are known
/// to be part of; others are taken by the layers that they hold, which also a lead does that knows
/// nothing yet; empty ones go where memory is least.
pub fn divide_into_chains(shape: &ModelShape, engines: &[PlannedEngine]) -> Vec<Chain> {
    let (held, empty): (Vec<_>, Vec<_>) =
        engines.iter().cloned().partition(|engine| !engine.held.is_empty());
    let kept = chains_kept(shape, engines, &held);
    let count = (kept + chains_further(shape, &empty)).clamp(1, MAX_CHAINS);
    let divided = (2..=count).rev().map(|count| divide_into(shape, count, &held, &empty));
    let holds_model = |chain: &Chain| memory(chain) >= chain_mb(shape, WEAK_CHAIN_ROOM);
    // Engines are whole: the memory of all may be enough for a chain that can't be made of them.
    let mut fitting = divided.into_iter().filter(|chains| chains.iter().all(holds_model));
    let one = || divide_into(shape, 1, &held, &empty);
    let pays = |chains: &Vec<Chain>| match held.is_empty() {
        true => mean_step(shape, chains) <= mean_step(shape, &one()) * MOST_SLOWER,
        false => chains.len() <= kept || is_fast_enough(shape, &empty, &held, kept),
    };
    fitting.find(pays).unwrap_or_else(one)
}

/// Whether a further chain of empty engines would be about as fast as those that there are.
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
    new_step <= by_layers.sum::<f64>() / layers.max(1.0) * MOST_SLOWER
}

/// Mean time of a step over new chains, as a factor on the model's.
fn mean_step(shape: &ModelShape, chains: &[Chain]) -> f64 {
    let steps = chains.iter().map(|chain| {
        let emptied = chain.iter().cloned().map(PlannedEngine::emptied);
        let engines: Vec<_> = emptied.map(|engine| engine.in_chain()).collect();
        let Some((plan, _)) = divide_evenly(shape, &engines) else { return f64::INFINITY };
        step_of(shape, &engines, &plan)
    });
    steps.sum::<f64>() / chains.len().max(1) as f64
}

/// Divides the engines into so many chains.
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
    for engine in by_layers(others) {
        let index = best_chain(&chains, engine.held);
        chains[index].push(engine);
    }
    for engine in by_memory(empty.to_vec()) {
        let least = (0..count).min_by(|a, b| memory(&chains[*a]).total_cmp(&memory(&chains[*b])));
        chains[least.unwrap_or_default()].push(engine);
    }
    help_weak_chains(shape, &mut chains);
    chains
}

/// Whether each chain of the engines that hold layers holds the whole model.
pub fn are_chains_whole(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    chains_that_hold(shape, engines).iter().all(|chain| covers(shape, chain))
}

/// Whether the engines would make more chains if they held nothing.
pub fn could_make_more_chains(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    let emptied: Vec<_> = engines.iter().cloned().map(PlannedEngine::emptied).collect();
    divide_into_chains(shape, &emptied).len() > divide_into_chains(shape, engines).len()
}

/// Whether a chain has an engine that bounds it far below an even division.
pub fn is_any_chain_scarce(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    chains_that_hold(shape, engines).iter().any(|chain| is_scarce(shape, chain))
}

fn chains_that_hold(shape: &ModelShape, engines: &[PlannedEngine]) -> Vec<Chain> {
    let holding = engines.iter().filter(|engine| !engine.held.is_empty());
    divide_into_chains(shape, &holding.cloned().collect::<Vec<_>>())
}

/// How many of the chains that there are should stay.
fn chains_kept(shape: &ModelShape, engines: &[PlannedEngine], held: &[PlannedEngine]) -> usize {
    chains_made(shape, held).min(chains_with_room(shape, memory(engines), KEPT_CHAIN_ROOM))
}

/// How many further chains empty engines could make. A chain is never divided.
fn chains_further(shape: &ModelShape, empty: &[PlannedEngine]) -> usize {
    chains_with_room(shape, memory(empty), NEW_CHAIN_ROOM)
}

/// How many chains there are: as far as is known, or as often as most layers are held.
fn chains_made(shape: &ModelShape, held: &[PlannedEngine]) -> usize {
    if let Some(last) = held.iter().filter_map(|engine| engine.chain).max() {
        return last + 1;
    }
    let holders = |layer: u32| held.iter().filter(|engine| engine.held.contains(layer)).count();
    let mut counts: Vec<usize> = (0..shape.layers).map(holders).collect();
    counts.sort_unstable();
    counts.get((f64::from(shape.layers) * GAPS_MOST) as usize).copied().unwrap_or_default()
}

/// How many chains have each room for this share of the requests of its first engine.
fn chains_with_room(shape: &ModelShape, memory_mb: f64, share: f64) -> usize {
    (memory_mb / chain_mb(shape, share).max(1.0)).floor() as usize
}

/// Memory of the model's layers, and of this share of the requests of a chain's first engine.
fn chain_mb(shape: &ModelShape, share: f64) -> f64 {
    shape.model_mb() + shape.request_mb() * share * f64::from(shape.slots.max(1))
}

/// Memory of engines together, in MB.
pub(super) fn memory(engines: &[PlannedEngine]) -> f64 {
    engines.iter().map(|engine| engine.memory_mb).sum()
}

/// In the order of their layers. Of several first engines those with the most layers are the
/// chains' own.
fn by_layers(mut engines: Vec<PlannedEngine>) -> Vec<PlannedEngine> {
    let key = |engine: &PlannedEngine| (engine.held.from, Reverse(engine.held.to));
    engines.sort_by(|a, b| key(a).cmp(&key(b)).then_with(|| a.incarnation.cmp(&b.incarnation)));
    engines
}

fn by_memory(mut engines: Vec<PlannedEngine>) -> Vec<PlannedEngine> {
    engines.sort_by(|a, b| {
        b.memory_mb.total_cmp(&a.memory_mb).then_with(|| a.incarnation.cmp(&b.incarnation))
    });
    engines
}

/// The chain that ends nearest before the layers; where all go further, the shortest.
fn best_chain(chains: &[Chain], held: LayerRange) -> usize {
    let end = |chain: &Chain| chain.iter().map(|engine| engine.held.to).max().unwrap_or_default();
    let before = (0..chains.len()).filter(|index| end(&chains[*index]) <= held.from);
    let nearest = before.max_by_key(|index| (end(&chains[*index]), Reverse(*index)));
    let shortest = || (0..chains.len()).min_by_key(|index| end(&chains[*index]));
    nearest.or_else(shortest).unwrap_or_default()
}

/// Moves engines from the chain with the most memory to one that has too little for the model. They
/// bring the layers that they hold, which still serve the chain that they leave.
fn help_weak_chains(shape: &ModelShape, chains: &mut [Chain]) {
    for _ in 0..chains.iter().map(Vec::len).sum() {
        let by_memory = |a: &usize, b: &usize| memory(&chains[*a]).total_cmp(&memory(&chains[*b]));
        let Some(least) = (0..chains.len()).min_by(by_memory) else { return };
        let Some(most) = (0..chains.len()).max_by(by_memory) else { return };
        if memory(&chains[least]) >= chain_mb(shape, WEAK_CHAIN_ROOM) {
            return;
        }
        let gap = memory(&chains[most]) - memory(&chains[least]);
        let left = |engine: &PlannedEngine| (gap - 2.0 * engine.memory_mb).abs();
        let movable = (0..chains[most].len()).filter(|at| !chains[most][*at].is_pinned);
        let best =
            movable.min_by(|a, b| left(&chains[most][*a]).total_cmp(&left(&chains[most][*b])));
        let Some(best) = best.filter(|at| left(&chains[most][*at]) < gap) else { return };
        let engine = chains[most].remove(best);
        chains[least].push(engine);
    }
}
