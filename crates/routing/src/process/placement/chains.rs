//! Divides the engines of a data centre into chains that each hold the whole model.
//!
//! A chain's first engine takes only so many requests. Where the memory of a data centre holds more
//! requests than that, several chains use it better than one: the loss of an engine breaks the
//! streams of its own chain only, and the engines of another run its layers at once.

use crate::process::LayerRange;
use crate::process::placement::{PlannedEngine, covers, is_scarce};
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
/// The same below which a chain gets engines of another one.
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
    let count = chains_wanted(shape, engines, &held);
    let divided = (2..=count).rev().map(|count| divide_into(shape, count, &held, &empty));
    let holds_model = |chain: &Chain| memory(chain) >= chain_mb(shape, WEAK_CHAIN_ROOM);
    // Engines are whole: the memory of all may be enough for a chain that can't be made of them.
    let fits = divided.into_iter().find(|chains| chains.iter().all(holds_model));
    fits.unwrap_or_else(|| divide_into(shape, 1, &held, &empty))
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

/// How many chains the engines should make. A chain is never divided: only engines that are empty
/// make a further one.
fn chains_wanted(shape: &ModelShape, engines: &[PlannedEngine], held: &[PlannedEngine]) -> usize {
    let (all_mb, held_mb) = (memory(engines), memory(held));
    let kept = chains_made(shape, held).min(chains_with_room(shape, all_mb, KEPT_CHAIN_ROOM));
    let further = chains_with_room(shape, all_mb - held_mb, NEW_CHAIN_ROOM);
    (kept + further).clamp(1, MAX_CHAINS)
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
    engines.sort_by(|a, b| key(a).cmp(&key(b)).then_with(|| a.id.cmp(&b.id)));
    engines
}

fn by_memory(mut engines: Vec<PlannedEngine>) -> Vec<PlannedEngine> {
    engines.sort_by(|a, b| b.memory_mb.total_cmp(&a.memory_mb).then_with(|| a.id.cmp(&b.id)));
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
