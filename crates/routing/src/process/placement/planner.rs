//! Plans the chains of one data centre: order of the engines and their layers.

use crate::process::placement::chains::memory;
use crate::process::placement::{
    ChainEngine, ChainPlan, Weights, cost_of, divide, divide_evenly, divide_into_chains,
};
use crate::process::{Incarnation, LayerRange, MAX_PARTS};
use crate::version::ModelShape;
use std::collections::BTreeMap;

/// An engine that can hold layers.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedEngine {
    /// The engine, in its present incarnation.
    pub incarnation: Incarnation,
    /// Memory for layers and KV cache, in MB.
    pub memory_mb: f64,
    /// Factor on the time of a step: that of its card, times its slowness.
    pub step_factor: f64,
    /// The layers that it holds or loads.
    pub held: LayerRange,
    /// It has an order under way, and takes no other: giving layers up waits for the streams that
    /// pass, for seconds.
    pub is_pinned: bool,
    /// The chain that it is part of, if that is known.
    pub chain: Option<usize>,
}

impl PlannedEngine {
    /// The engine as if it held nothing and were part of no chain.
    pub fn emptied(self) -> PlannedEngine {
        PlannedEngine { held: LayerRange::default(), chain: None, ..self }
    }

    /// The engine as the division of a chain sees it.
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

/// What the engines of a data centre should do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DataCentrePlan {
    /// The layers of each.
    pub placement: Placement,
    /// The chain of each.
    pub chains: BTreeMap<Incarnation, usize>,
}

/// A whole chain is given up for another only if that costs this share of it or less: each move
/// closes layers to new requests for a while.
const WORTH_MOVING: f64 = 0.8;

/// Whether the layers that engines hold or load cover the model.
pub fn covers(shape: &ModelShape, engines: &[PlannedEngine]) -> bool {
    (0..shape.layers).all(|layer| engines.iter().any(|engine| engine.held.contains(layer)))
}

/// Room of the scarcest engine, against that of an even division, below which a chain should be
/// balanced at once.
const SCARCE: f64 = 0.5;

/// Whether an engine has so little room that it bounds its chain far below an even division.
pub fn is_scarce(shape: &ModelShape, chain: &[PlannedEngine]) -> bool {
    let even = memory(chain) / f64::from(shape.layers) - shape.layer_mb;
    let room = |engine: &PlannedEngine| {
        engine.memory_mb / f64::from(engine.held.len().max(1)) - shape.layer_mb
    };
    let held = chain.iter().filter(|engine| !engine.held.is_empty());
    held.map(room).fold(f64::INFINITY, f64::min) < even * SCARCE
}

/// The layers that each engine should hold; nothing where they can't hold the model. A chain with
/// a gap is closed with few loads; one without is balanced. `is_idle`: no streams pass through the
/// chains, as an engine died and no other runs its layers.
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
        match plan_one(shape, &chain, is_served, is_idle) {
            Some(planned) => {
                has_chain = true;
                plan.placement.extend(planned);
            }
            // What its engines hold still serves the other chains.
            None => {
                plan.placement
                    .extend(chain.into_iter().map(|engine| (engine.incarnation, engine.held)));
            }
        }
    }
    has_chain.then_some(plan)
}

/// The layers of the engines of one chain. `is_served`: all layers are held by an engine of the data
/// centre.
fn plan_one(
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
    // The others can't hold what is missing: further first engines give theirs up.
    plan_engines(shape, chain, largest(chain), is_served, is_idle)
}

/// The layers of those `engines` of a chain that make it whole.
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
        // Another chain runs what is missing, so that only an empty engine that fits moves at once.
        (false, true) if has_empty => plan_growth(shape, engines),
        (false, true) => plan_chain(shape, engines, Weights::BALANCE),
    }
}

/// Room for requests from which on a further first engine pays, as a multiple of an engine's slots.
const HEADS_ROUNDING: f64 = 0.5;
/// The most first engines of a chain.
const MAX_HEADS: usize = 4;
/// Share of its memory that a further first engine gives to layers: the rest holds its share of
/// the requests.
const HEAD_LAYERS_SHARE: f64 = 0.6;

/// How many first engines a chain with so much memory for requests should have, its own included.
pub(super) fn first_engines_wanted(shape: &ModelShape, free_mb: f64) -> usize {
    let requests = free_mb / shape.request_mb().max(1e-9);
    let wanted = (requests / f64::from(shape.slots.max(1)) + HEADS_ROUNDING).floor() as usize;
    wanted.clamp(1, MAX_HEADS)
}

/// Takes engines out of the chain that are first engines beside the chain's own: an engine takes
/// only so many requests as the first of their path, where memory would hold more. Engines that are
/// such keep their layers; new ones are the smallest that are empty.
fn extra_heads(
    shape: &ModelShape,
    mut engines: Vec<PlannedEngine>,
) -> (Placement, Vec<PlannedEngine>) {
    let free_mb = memory(&engines) - shape.model_mb();
    let wanted = first_engines_wanted(shape, free_mb) - 1;
    let mut heads = Placement::new();
    // The one that holds most of the first layers is the chain's own.
    let is_head = |engine: &PlannedEngine| !engine.held.is_empty() && engine.held.from == 0;
    engines.sort_by_key(|engine| (is_head(engine), std::cmp::Reverse(engine.held.len())));
    while heads.len() < wanted && engines.iter().filter(|engine| is_head(engine)).count() > 1 {
        let engine = engines.pop().expect("two are heads");
        heads.insert(engine.incarnation.clone(), engine.held);
    }
    while heads.len() < wanted && engines.len() > 2 {
        let empty = (0..engines.len()).filter(|index| engines[*index].held.is_empty());
        let smallest = empty.min_by(|a, b| engines[*a].memory_mb.total_cmp(&engines[*b].memory_mb));
        let Some(smallest) = smallest else { break };
        let engine = engines.remove(smallest);
        let layers = (engine.memory_mb * HEAD_LAYERS_SHARE / shape.layer_mb).floor() as u32;
        heads.insert(engine.incarnation, LayerRange::new(0, layers.clamp(1, shape.layers)));
    }
    (heads, engines)
}

/// The layers of each engine of the chain.
fn plan_chain(
    shape: &ModelShape,
    engines: Vec<PlannedEngine>,
    weights: Weights,
) -> Option<Placement> {
    let is_first = engines.iter().all(|engine| engine.held.is_empty());
    let ordered = in_order(shape, engines, weights);
    if is_first {
        let (plan, _) = divide_evenly(shape, &seen(&ordered))?;
        return Some(placement(&ordered, &plan.ranges));
    }
    if weights == Weights::BALANCE
        && let Some((plan, weights)) = divide_evenly(shape, &seen(&ordered))
    {
        return Some(keep_or_move(shape, &ordered, plan, weights));
    }
    let plan = divide(shape, &seen(&ordered), weights);
    let moving = Weights { keeps_held: false, ..weights };
    let scarce = Weights { least_requests: Weights::BALANCE.least_requests, ..weights };
    let any = Weights { keeps_held: false, ..scarce };
    let plan = plan
        .or_else(|| divide(shape, &seen(&ordered), moving))
        .or_else(|| divide(shape, &seen(&ordered), scarce))
        .or_else(|| divide(shape, &unpinned(&ordered), any))?;
    Some(keep_or_move(shape, &ordered, plan, Weights::BALANCE))
}

/// The layers of a chain's engines where none gives layers up and all keep much room.
fn plan_growth(shape: &ModelShape, engines: Vec<PlannedEngine>) -> Option<Placement> {
    let ordered = in_order(shape, engines, Weights::REPAIR);
    let plan = divide(shape, &seen(&ordered), Weights::REPAIR)?;
    Some(placement(&ordered, &plan.ranges))
}

/// The engines in the order of their layers, and each empty one where the chain gains most.
fn in_order(
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

/// The engines as if each would take an order.
fn unpinned(engines: &[PlannedEngine]) -> Vec<ChainEngine> {
    seen(engines).into_iter().map(|engine| ChainEngine { is_pinned: false, ..engine }).collect()
}

/// At most as many engines as a path may have parts, those with the most memory.
fn largest(engines: &[PlannedEngine]) -> Vec<PlannedEngine> {
    let mut engines = engines.to_vec();
    engines.sort_by(|a, b| {
        b.memory_mb.total_cmp(&a.memory_mb).then_with(|| a.incarnation.cmp(&b.incarnation))
    });
    engines.truncate(MAX_PARTS);
    engines
}

/// Puts each empty engine where the chain gains most.
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
            divide(shape, &seen(&tried), weights).map_or(f64::INFINITY, |plan| plan.cost)
        };
        let costs: Vec<f64> = (0..=chain.len()).map(cost_at).collect();
        let best = (0..costs.len()).min_by(|a, b| costs[*a].total_cmp(&costs[*b]));
        chain.insert(best.unwrap_or(chain.len()), engine);
    }
    chain
}

/// The plan, or what is held now if that is whole and the plan gains too little.
fn keep_or_move(
    shape: &ModelShape,
    chain: &[PlannedEngine],
    plan: ChainPlan,
    weights: Weights,
) -> Placement {
    let held: Vec<LayerRange> = chain.iter().map(|engine| engine.held).collect();
    let now = cost_of(shape, &seen(chain), &held, weights);
    if covers(shape, chain) && plan.cost > now * WORTH_MOVING {
        return placement(chain, &held);
    }
    placement(chain, &plan.ranges)
}

fn seen(engines: &[PlannedEngine]) -> Vec<ChainEngine> {
    engines.iter().map(PlannedEngine::in_chain).collect()
}

fn placement(engines: &[PlannedEngine], ranges: &[LayerRange]) -> Placement {
    let each = engines.iter().zip(ranges);
    each.map(|(engine, range)| (engine.incarnation.clone(), *range)).collect()
}
