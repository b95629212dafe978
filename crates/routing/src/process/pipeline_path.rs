//! Paths through engines that together hold every layer once.

use crate::process::{DataCentre, Incarnation, LayerRange};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// An engine that may be part of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The engine, in the life that holds the layers.
    pub life: Incarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The layers that it can run now.
    pub layers: LayerRange,
    /// What one layer of it costs, in ms of a decoding step: pace and suspicion included.
    pub layer_cost: f64,
    /// KV cache that fits beside its layers, in tokens times layers.
    pub kv_room: f64,
}

/// One engine's part of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct PathPart {
    /// The engine, in the life that the path was made for.
    pub life: Incarnation,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The layers that it runs.
    pub layers: LayerRange,
}

/// A path that runs each layer once and in order.
#[derive(Clone, Debug, PartialEq)]
pub struct PipelinePath {
    /// The data centre of its first engine.
    pub data_centre: DataCentre,
    /// Its parts, in order of layers; never empty.
    pub parts: Vec<PathPart>,
    /// Tokens that fit into the part with the least room.
    pub token_room: f64,
    /// Time of one step over all layers, without other requests, in ms.
    pub step_ms: f64,
    /// How often the path changes the data centre.
    pub crossings: u32,
}

impl PipelinePath {
    /// The engine that requests are sent to.
    pub fn first(&self) -> &PathPart {
        &self.parts[0]
    }

    /// Whether a life of an engine is part of the path.
    pub fn uses(&self, life: &Incarnation) -> bool {
        self.parts.iter().any(|part| part.life == *life)
    }
}

/// The most parts that engines take in a path.
pub const MAX_PARTS: usize = 32;

/// What leaving a data centre adds to a path's cost, in ms of a step. It is far above any step of
/// a model, so that a path crosses only where no path inside one data centre exists.
const CROSSING_COST: f64 = 10_000.0;
/// What each part adds to a path's cost, in ms of a step: its hop and the wait for its pass.
const PART_COST: f64 = 0.5;

/// What each other path through an engine adds to the cost of a layer there, in ms of a step. It is
/// above the step of an engine ten times slower than its kind, so that paths share the layers that
/// are held nowhere else, and those only.
const SHARED_COST: f64 = 2.0;
/// What running a layer at an engine of mean room adds to a path's cost, in ms of a step; with less
/// room it costs as much more. The engine with the least room bounds the whole path.
const SCARCITY_COST: f64 = 0.5;

/// How many paths go through each engine.
type Uses = HashMap<Incarnation, u32>;

/// The cheapest path over all `layers`, if the holders can make one.
pub fn cheapest_path(holders: &[Holder], layers: u32) -> Option<PipelinePath> {
    distinct_path(holders.to_vec(), layers, None, &Uses::new())
}

/// A path for each engine that holds the first layer: an engine takes only so many requests as the
/// first of their path. Paths share engines as little as they can: the loss of one then breaks few
/// streams, and each has its memory for itself.
pub fn paths_by_head(holders: &[Holder], layers: u32) -> Vec<PipelinePath> {
    let mut heads: Vec<_> = holders.iter().filter(|holder| holder.layers.contains(0)).collect();
    heads.sort_by_key(|head| (Reverse(head.layers.len()), &head.life));
    let mut uses = Uses::new();
    let mut paths = Vec::new();
    for head in heads {
        let Some(path) = distinct_path(holders.to_vec(), layers, Some(&head.life), &uses) else {
            continue;
        };
        for part in &path.parts {
            *uses.entry(part.life.clone()).or_default() += 1;
        }
        paths.push(path);
    }
    paths
}

/// The cheapest path without engines that it would leave and come back to: what such an engine
/// holds covers all in between, so the engine in between is left out.
fn distinct_path(
    mut holders: Vec<Holder>,
    layers: u32,
    head: Option<&Incarnation>,
    uses: &Uses,
) -> Option<PipelinePath> {
    loop {
        let head = head.and_then(|life| holders.iter().position(|holder| holder.life == *life));
        let path = path_from(&holders, layers, head, uses)?;
        let comes_back =
            |at: &usize| path.parts[at + 1..].iter().any(|part| part.life == path.parts[*at].life);
        let Some(first) = (0..path.parts.len()).find(comes_back) else {
            return (path.parts.len() <= MAX_PARTS).then_some(path);
        };
        holders.retain(|holder| holder.life != path.parts[first + 1].life);
    }
}

/// A shortest path over states (layer, holder): each holder's run of layers may begin and end
/// anywhere within what it holds. `O(layers * holders^2)`.
fn path_from(
    holders: &[Holder],
    layers: u32,
    head: Option<usize>,
    uses: &Uses,
) -> Option<PipelinePath> {
    let layers = layers as usize;
    let mean_room = holders.iter().map(|holder| holder.kv_room).sum::<f64>() / holders.len() as f64;
    let layer_cost = |holder: &Holder| {
        let scarcity = mean_room.max(1.0) / holder.kv_room.max(1.0);
        let uses = uses.get(&holder.life).copied().unwrap_or_default();
        holder.layer_cost + SCARCITY_COST * scarcity + SHARED_COST * f64::from(uses)
    };
    let layer_costs: Vec<f64> = holders.iter().map(layer_cost).collect();
    // best[l][h]: the least cost of running layers 0..l with holder h the last to run.
    let mut best = vec![vec![f64::INFINITY; holders.len()]; layers + 1];
    let mut before: Vec<Vec<Option<usize>>> = vec![vec![None; holders.len()]; layers + 1];
    for layer in 0..layers {
        let entry = cheapest_entry(&best[layer], holders, layer);
        let entries: Vec<_> = (0..holders.len()).map(entry).collect();
        for (index, holder) in holders.iter().enumerate() {
            let may_begin = layer > 0 || head.is_none_or(|head| head == index);
            if !holder.layers.contains(layer as u32) || !may_begin {
                continue;
            }
            let go_on = best[layer][index];
            let (join, from) = entries[index];
            let (cost, from) = if go_on <= join { (go_on, Some(index)) } else { (join, from) };
            best[layer + 1][index] = cost + layer_costs[index];
            before[layer + 1][index] = from;
        }
    }
    let last = (0..holders.len()).min_by(|a, b| best[layers][*a].total_cmp(&best[layers][*b]))?;
    if best[layers][last].is_infinite() {
        return None;
    }
    Some(build(holders, &before, layers, last))
}

/// Tells for a holder the cheapest way to begin a run at `layer`, and whose run ends there.
fn cheapest_entry<'a>(
    ends: &'a [f64],
    holders: &'a [Holder],
    layer: usize,
) -> impl Fn(usize) -> (f64, Option<usize>) + 'a {
    move |to| {
        if layer == 0 {
            return (PART_COST, None);
        }
        let mut cheapest = (f64::INFINITY, None);
        for (from, cost) in ends.iter().enumerate() {
            if from == to || cost.is_infinite() {
                continue;
            }
            let crosses = holders[from].data_centre != holders[to].data_centre;
            let total = cost + PART_COST + if crosses { CROSSING_COST } else { 0.0 };
            if total < cheapest.0 {
                cheapest = (total, Some(from));
            }
        }
        cheapest
    }
}

fn build(
    holders: &[Holder],
    before: &[Vec<Option<usize>>],
    layers: usize,
    last: usize,
) -> PipelinePath {
    let mut runs: Vec<(usize, LayerRange)> = Vec::new();
    let (mut layer, mut at) = (layers, last);
    let mut to = layers;
    loop {
        let from = before[layer][at];
        layer -= 1;
        if from != Some(at) {
            runs.push((at, LayerRange::new(layer as u32, to as u32)));
            to = layer;
        }
        match from {
            Some(holder) => at = holder,
            None => break,
        }
    }
    runs.reverse();
    let token_room = |run: &(usize, LayerRange)| holders[run.0].kv_room / f64::from(run.1.len());
    let crosses = |pair: &[(usize, LayerRange)]| {
        holders[pair[0].0].data_centre != holders[pair[1].0].data_centre
    };
    PipelinePath {
        data_centre: holders[runs[0].0].data_centre.clone(),
        token_room: runs.iter().map(token_room).fold(f64::INFINITY, f64::min),
        step_ms: runs.iter().map(|run| f64::from(run.1.len()) * holders[run.0].layer_cost).sum(),
        crossings: runs.windows(2).filter(|pair| crosses(pair)).count() as u32,
        parts: runs.iter().map(|run| part(&holders[run.0], run.1)).collect(),
    }
}

fn part(holder: &Holder, layers: LayerRange) -> PathPart {
    PathPart { life: holder.life.clone(), addr: holder.addr, layers }
}
