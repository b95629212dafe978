//! Plans the chains of one data centre: the order of the engines and their layers.

use crate::process::placement::chains::memory;
use crate::process::placement::{
    ChainEngine, ChainPlan, Weights, cost_of, divide, divide_balanced, divide_into_chains,
};
use crate::process::{Incarnation, LayerRange, MAX_PARTS};
use crate::version::ModelShape;
use std::collections::BTreeMap;

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEngine {
    /// The engine, in its current incarnation.
    pub incarnation: Incarnation,
    /// Memory for layers and KV cache, in MB.
    pub memory_mb: f64,
    /// Factor on the step time: that of its card, times its slowness.
    pub step_factor: f64,
    /// The layers that it holds or is loading.
    pub held: LayerRange,
    /// Whether it is executing an order and accepts no other: releasing layers waits for passing streams,
    /// which takes seconds.
    pub is_pinned: bool,
    /// The chain that it belongs to, if known.
    pub chain: Option<usize>,
}

impl PlannedEngine {
    /// Returns the engine without layers and chain.
    pub fn emptied(self) -> PlannedEngine {
        PlannedEngine { held: LayerRange::default(), chain: None, ..self }
    }

    /// Returns the properties of the engine that a division depends on.
    pub fn in_chain(&self) -> ChainEngine {
        ChainEngine {
            memory_mb: self.memory_mb,
            step_factor: self.step_factor,
            held: self.held,
            is_pinned: self.is_pinned,
        }
    }
}

/// The layers that each engine of a data centre should hold.
pub type Placement = BTreeMap<Incarnation, LayerRange>;

/// The planned layers and chains of a data centre's engines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DataCentrePlan {
    /// Layers by engine.
    pub placement: Placement,
    /// Chain index by engine.
    pub chains: BTreeMap<Incarnation, usize>,
}

/// Maximum cost of a new division, as a share of the current one's, to replace a complete chain: each
/// move closes layers to new requests for a while.
const MAX_MOVE_COST: f64 = 0.8;

/// Returns whether the layers that engines hold or are loading cover the model.
pub fn covers(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    (0..shape.layers).all(|layer| engines.iter().any(|engine| engine.held.contains(layer)))
}

/// Smallest capacity of an engine, as a share of that of an even division, below which a chain should be
/// balanced at once.
const SCARCE_CAPACITY: f64 = 0.5;

/// Returns whether an engine limits the chain to far less capacity than an even division has.
pub fn is_scarce(shape: &ModelShape, chain: &[PlannedEngine]) -> bool {
    let even = memory(chain) / f64::from(shape.layers) - shape.layer_mb;
    let capacity = |engine: &PlannedEngine| {
        engine.memory_mb / f64::from(engine.held.len().max(1)) - shape.layer_mb
    };
    let held = chain.iter().filter(|engine| !engine.held.is_empty());
    held.map(capacity).fold(f64::INFINITY, f64::min) < even * SCARCE_CAPACITY
}

/// Plans the layers of each engine. Returns `None` if the engines can't hold the model. A chain with a
/// gap is repaired with few loads; one without is balanced. `is_idle` states that no streams pass through
/// the chains, as an engine failed and no other runs its layers.
pub fn plan_data_centre(
    shape: &ModelShape,
    engines: &[PlannedEngine],
    is_idle: bool,
) -> Option<DataCentrePlan> {
    let is_served = covers(shape, engines);
    let mut plan = DataCentrePlan::default();
    let mut has_chain = false;
    for (index, chain) in divide_into_chains(shape, engines).into_iter().enumerate() {
        plan.chains.extend(chain.iter().map(|engine| (engine.incarnation.clone(), index)));
        match plan_one_chain(shape, &chain, is_served, is_idle) {
            Some(planned) => {
                has_chain = true;
                plan.placement.extend(planned);
            }
            // The layers that its engines hold still serve the other chains.
            None => {
                plan.placement
                    .extend(chain.into_iter().map(|engine| (engine.incarnation, engine.held)));
            }
        }
    }
    has_chain.then_some(plan)
}

/// Plans the layers of one chain's engines. `is_served` states that each layer is held by some engine of
/// the data centre.
fn plan_one_chain(
    shape: &ModelShape,
    chain: &[PlannedEngine],
    is_served: bool,
    is_idle: bool,
) -> Option<Placement> {
    let (heads, engines) = extra_heads(shape, largest(chain));
    if let Some(mut placement) = plan_engines(shape, chain, engines, is_served, is_idle) {
        placement.extend(heads);
        return Some(placement);
    }
    if heads.is_empty() {
        return None;
    }
    // The others can't hold the missing layers, so additional first engines release theirs.
    plan_engines(shape, chain, largest(chain), is_served, is_idle)
}

/// Plans the layers of those `engines` of a chain that are to cover the model.
fn plan_engines(
    shape: &ModelShape,
    chain: &[PlannedEngine],
    engines: Vec<PlannedEngine>,
    is_served: bool,
    is_idle: bool,
) -> Option<Placement> {
    let has_empty = engines.iter().any(|engine| engine.held.is_empty());
    match (covers(shape, chain), is_served) {
        (true, _) => plan_chain(shape, engines, Weights::BALANCE),
        (false, false) if is_idle => plan_chain(shape, engines, Weights::REPAIR_IDLE),
        (false, false) => plan_chain(shape, engines, Weights::REPAIR),
        // Another chain runs the missing layers, so only an empty engine that can hold them moves at once.
        (false, true) if has_empty => plan_growth(shape, engines),
        (false, true) => plan_chain(shape, engines, Weights::BALANCE),
    }
}

/// Remaining requests, as a share of an engine's slots, from which an additional first engine is
/// worthwhile.
const HEADS_ROUNDING: f64 = 0.5;
/// Maximum number of first engines of a chain.
const MAX_HEADS: usize = 4;
/// Share of its memory that an additional first engine uses for layers; the rest holds its share of the
/// requests.
const HEAD_LAYERS_SHARE: f64 = 0.6;

/// Returns how many first engines, including its own, a chain with `free_mb` of memory for requests
/// should have.
pub(super) fn wanted_first_engines(shape: &ModelShape, free_mb: f64) -> usize {
    let requests = free_mb / shape.request_mb().max(1e-9);
    let wanted = (requests / f64::from(shape.slots.max(1)) + HEADS_ROUNDING).floor() as usize;
    wanted.clamp(1, MAX_HEADS)
}

/// Splits off the additional first engines of a chain: an engine accepts a limited number of requests as
/// the first of their path, where memory would hold more. Existing ones keep their layers; new ones are
/// the smallest empty engines. Returns their placement and the remaining engines.
fn extra_heads(
    shape: &ModelShape,
    mut engines: Vec<PlannedEngine>,
) -> (Placement, Vec<PlannedEngine>) {
    let free_mb = memory(&engines) - shape.model_mb();
    let wanted = wanted_first_engines(shape, free_mb) - 1;
    let mut heads = Placement::new();
    // The first engine with the most layers is the chain's own.
    let is_head = |engine: &PlannedEngine| !engine.held.is_empty() && engine.held.from == 0;
    engines.sort_by_key(|engine| (is_head(engine), std::cmp::Reverse(engine.held.len())));
    while heads.len() < wanted && engines.iter().filter(|engine| is_head(engine)).count() > 1 {
        let engine = engines.pop().expect("two are heads");
        heads.insert(engine.incarnation.clone(), engine.held);
    }
    // Empty engines take lost layers first.
    let has_gap = engines.iter().any(|engine| !engine.held.is_empty()) && !covers(shape, &engines);
    while heads.len() < wanted && engines.len() > 2 && !has_gap {
        let empty = (0..engines.len()).filter(|index| engines[*index].held.is_empty());
        let smallest = empty.min_by(|a, b| engines[*a].memory_mb.total_cmp(&engines[*b].memory_mb));
        let Some(smallest) = smallest else { break };
        let engine = engines.remove(smallest);
        let layers = (engine.memory_mb * HEAD_LAYERS_SHARE / shape.layer_mb).floor() as u32;
        heads.insert(engine.incarnation, LayerRange::new(0, layers.clamp(1, shape.layers)));
    }
    (heads, engines)
}

/// Plans the layers of each engine of a chain.
fn plan_chain(
    shape: &ModelShape,
    engines: Vec<PlannedEngine>,
    weights: Weights,
) -> Option<Placement> {
    let is_new = engines.iter().all(|engine| engine.held.is_empty());
    let ordered = chain_order(shape, engines, weights);
    if is_new {
        let (plan, _) = divide_balanced(shape, &chain_engines(&ordered))?;
        return Some(placement(&ordered, &plan.ranges));
    }
    if weights == Weights::BALANCE
        && let Some((plan, weights)) = divide_balanced(shape, &chain_engines(&ordered))
    {
        return Some(keep_or_move(shape, &ordered, plan, weights));
    }
    let plan = divide(shape, &chain_engines(&ordered), weights);
    let moving = Weights { keeps_held: false, ..weights };
    let scarce = Weights { min_requests: Weights::BALANCE.min_requests, ..weights };
    let any = Weights { keeps_held: false, ..scarce };
    let plan = plan
        .or_else(|| divide(shape, &chain_engines(&ordered), moving))
        .or_else(|| divide(shape, &chain_engines(&ordered), scarce))
        .or_else(|| divide(shape, &unpinned(&ordered), any))?;
    Some(keep_or_move(shape, &ordered, plan, Weights::BALANCE))
}

/// Plans the layers of a chain's engines so that none releases layers and all keep ample capacity.
fn plan_growth(shape: &ModelShape, engines: Vec<PlannedEngine>) -> Option<Placement> {
    let ordered = chain_order(shape, engines, Weights::REPAIR);
    let plan = divide(shape, &chain_engines(&ordered), Weights::REPAIR)?;
    Some(placement(&ordered, &plan.ranges))
}

/// Sorts engines by their layers, with each empty one where it reduces the cost of the chain most.
fn chain_order(
    shape: &ModelShape,
    engines: Vec<PlannedEngine>,
    weights: Weights,
) -> Vec<PlannedEngine> {
    let (mut chain, new): (Vec<_>, Vec<_>) =
        engines.into_iter().partition(|engine| !engine.held.is_empty());
    chain.sort_by(|a, b| {
        (a.held.from, a.held.to, &a.incarnation).cmp(&(b.held.from, b.held.to, &b.incarnation))
    });
    if chain.is_empty() { new } else { with_new_engines(shape, chain, new, weights) }
}

/// Returns the engines as if all accepted orders.
fn unpinned(engines: &[PlannedEngine]) -> Vec<ChainEngine> {
    chain_engines(engines)
        .into_iter()
        .map(|engine| ChainEngine { is_pinned: false, ..engine })
        .collect()
}

/// Returns the engines with the most memory, at most as many as a path may have parts.
fn largest(engines: &[PlannedEngine]) -> Vec<PlannedEngine> {
    let mut engines = engines.to_vec();
    engines.sort_by(|a, b| {
        b.memory_mb.total_cmp(&a.memory_mb).then_with(|| a.incarnation.cmp(&b.incarnation))
    });
    engines.truncate(MAX_PARTS);
    engines
}

/// Inserts each empty engine where it reduces the cost of the chain most.
fn with_new_engines(
    shape: &ModelShape,
    mut chain: Vec<PlannedEngine>,
    new: Vec<PlannedEngine>,
    weights: Weights,
) -> Vec<PlannedEngine> {
    for engine in new {
        let cost_at = |position: usize| {
            let mut tried = chain.clone();
            tried.insert(position, engine.clone());
            divide(shape, &chain_engines(&tried), weights).map_or(f64::INFINITY, |plan| plan.cost)
        };
        let costs: Vec<f64> = (0..=chain.len()).map(cost_at).collect();
        let best = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        chain.insert(best.unwrap_or(chain.len()), engine);
    }
    chain
}

/// Returns the planned layers, or the current ones if they are complete and the plan reduces the cost too
/// little.
fn keep_or_move(
    shape: &ModelShape,
    chain: &[PlannedEngine],
    plan: ChainPlan,
    weights: Weights,
) -> Placement {
    let held: Vec<LayerRange> = chain.iter().map(|engine| engine.held).collect();
    let now = cost_of(shape, &chain_engines(chain), &held, weights);
    if covers(shape, chain) && plan.cost > now * MAX_MOVE_COST {
        return placement(chain, &held);
    }
    placement(chain, &plan.ranges)
}

fn chain_engines(engines: &[PlannedEngine]) -> Vec<ChainEngine> {
    engines.iter().map(PlannedEngine::in_chain).collect()
}

fn placement(engines: &[PlannedEngine], ranges: &[LayerRange]) -> Placement {
    let each = engines.iter().zip(ranges);
    each.map(|(engine, range)| (engine.incarnation.clone(), *range)).collect()
}
