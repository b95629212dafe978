//! Paths through engines that together run every layer once.

use super::path_search::PathSearch;
use crate::process::{DataCentre, Incarnation, LayerRange};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

/// An engine that may be part of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct Holder {
    /// The engine, in the incarnation that holds the layers.
    pub incarnation: Incarnation,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// The layers that it can run now.
    pub layers: LayerRange,
    /// Cost of one of its layers, in ms of a decoding step: pace and suspicion included.
    pub layer_cost: f64,
    /// KV cache that fits beside its layers, in tokens times layers.
    pub kv_capacity: f64,
}

/// One engine's part of a path.
#[derive(Clone, Debug, PartialEq)]
pub struct PathPart {
    /// The engine, in the incarnation that the path was built for.
    pub incarnation: Incarnation,
    /// Address that it listens on.
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
    /// Tokens that fit into the part with the least capacity.
    pub token_capacity: f64,
    /// Duration of one step over all layers, without other requests, in ms.
    pub step_ms: f64,
    /// Number of changes of data centre along the path.
    pub crossings: u32,
}

impl PipelinePath {
    /// Returns the engine that requests are sent to.
    pub fn first(&self) -> &PathPart {
        &self.parts[0]
    }

    /// Returns whether an incarnation of an engine is part of the path.
    pub fn uses(&self, incarnation: &Incarnation) -> bool {
        self.parts.iter().any(|part| part.incarnation == *incarnation)
    }
}

/// Maximum number of parts that engines accept in a path.
pub const MAX_PARTS: usize = 32;

/// Number of paths through each engine.
pub(super) type PathCounts = HashMap<Incarnation, u32>;

/// Returns the cheapest path over all `layers`, if the holders can form one.
pub fn cheapest_path(holders: &[Holder], layers: u32) -> Option<PipelinePath> {
    distinct_path(holders.iter().collect(), layers, None, &PathCounts::new())
}

/// Returns a path for each engine that holds the first layer: an engine accepts only a limited number of requests
/// as the first of their path. Paths share as few engines as possible: the loss of one then breaks few streams,
/// and each path has the memory of its engines for itself.
pub fn paths_by_head(holders: &[Holder], layers: u32) -> Vec<PipelinePath> {
    let mut heads: Vec<_> = holders.iter().filter(|holder| holder.layers.contains(0)).collect();
    heads.sort_by_key(|head| (Reverse(head.layers.len()), &head.incarnation));
    let mut uses = PathCounts::new();
    let mut paths = Vec::new();
    for head in heads {
        let Some(path) =
            distinct_path(holders.iter().collect(), layers, Some(&head.incarnation), &uses)
        else {
            continue;
        };
        for part in &path.parts {
            *uses.entry(part.incarnation.clone()).or_default() += 1;
        }
        paths.push(path);
    }
    paths
}

/// Returns the cheapest path that begins with a given part, so that requests running there can continue over it.
pub fn path_with_first(holders: &[Holder], layers: u32, first: &PathPart) -> Option<PipelinePath> {
    let head = holders.iter().find(|holder| holder.incarnation == first.incarnation)?;
    if first.layers.to >= layers {
        return None;
    }
    let mut others: Vec<&Holder> =
        holders.iter().filter(|holder| holder.incarnation != first.incarnation).collect();
    let rest = distinct_rest(&mut others, layers, first.layers.to)?;
    let capacity = head.kv_capacity / f64::from(first.layers.len());
    let crosses = u32::from(rest.data_centre != head.data_centre);
    Some(PipelinePath {
        data_centre: head.data_centre.clone(),
        token_capacity: rest.token_capacity.min(capacity),
        step_ms: rest.step_ms + f64::from(first.layers.len()) * head.layer_cost,
        crossings: rest.crossings + crosses,
        parts: std::iter::once(first.clone()).chain(rest.parts).collect(),
    })
    .filter(|path| path.parts.len() <= MAX_PARTS)
}

/// Returns the cheapest path that returns to no engine it has left: such an engine holds all layers in between,
/// so the engine in between is left out.
fn distinct_path(
    mut holders: Vec<&Holder>,
    layers: u32,
    head: Option<&Incarnation>,
    uses: &PathCounts,
) -> Option<PipelinePath> {
    loop {
        let head = head.and_then(|incarnation| {
            holders.iter().position(|holder| holder.incarnation == *incarnation)
        });
        let path = PathSearch::new(&holders, layers, uses).run(head)?;
        let Some(between) = detour_engine(&path) else {
            return (path.parts.len() <= MAX_PARTS).then_some(path);
        };
        holders.retain(|holder| holder.incarnation != between);
    }
}

/// Does the same for the layers from `begin` on.
fn distinct_rest(holders: &mut Vec<&Holder>, layers: u32, begin: u32) -> Option<PipelinePath> {
    loop {
        let search = PathSearch::new(holders, layers, &PathCounts::new()).with_begin(begin);
        let path = search.run(None)?;
        let Some(between) = detour_engine(&path) else { return Some(path) };
        holders.retain(|holder| holder.incarnation != between);
    }
}

/// Returns the engine that follows one to which the path later returns, if there is any.
fn detour_engine(path: &PipelinePath) -> Option<Incarnation> {
    let is_revisited = |at: &usize| {
        path.parts[at + 1..].iter().any(|part| part.incarnation == path.parts[*at].incarnation)
    };
    let first = (0..path.parts.len()).find(is_revisited)?;
    Some(path.parts[first + 1].incarnation.clone())
}
