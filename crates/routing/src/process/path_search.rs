//! Searches for the cheapest path by dynamic programming over layers and the engines that run them.

use super::pipeline_path::PathCounts;
use crate::process::{DataCentre, Holder, LayerRange, PathPart, PipelinePath};

/// Cost of leaving a data centre, in ms of a step. It is far above any step of a model, so that a path crosses
/// only if no path inside one data centre exists.
const CROSSING_COST: f64 = 10_000.0;
/// Cost of each part of a path, in ms of a step: its hop and the wait for its pass.
const PART_COST: f64 = 0.5;

/// Cost that each other path through an engine adds to a layer there, in ms of a step. It is above the step of an
/// engine ten times slower than its kind, so that paths share only layers that are held nowhere else.
const SHARED_COST: f64 = 2.0;
/// Cost of running a layer at an engine of mean capacity, in ms of a step; it grows as the capacity shrinks. The
/// engine with the least capacity bounds the whole path.
const SCARCITY_COST: f64 = 0.5;

/// A cost, and the holder whose run it belongs to.
type Run = (f64, usize);

/// The two cheapest runs that end at a layer in one data centre.
#[derive(Clone, Copy, Default)]
struct CheapestEnds {
    first: Option<Run>,
    second: Option<Run>,
}

impl CheapestEnds {
    fn add(&mut self, run: Run) {
        if self.first.is_none_or(|(min_cost, _)| run.0 < min_cost) {
            self.second = self.first.replace(run);
        } else if self.second.is_none_or(|(min_cost, _)| run.0 < min_cost) {
            self.second = Some(run);
        }
    }

    /// Returns the cheapest run of another holder.
    fn other_than(&self, holder: usize) -> Option<Run> {
        if self.first.is_some_and(|(_, from)| from == holder) { self.second } else { self.first }
    }
}

/// A shortest-path search over states (layer, holder): each holder's run of layers may begin and end anywhere
/// within the layers that it holds. `O(layers * holders * data centres)`.
pub(super) struct PathSearch<'a> {
    holders: &'a [&'a Holder],
    /// The first layer to run.
    begin: usize,
    layers: usize,
    /// Cost of a layer, by holder.
    layer_costs: Vec<f64>,
    /// The data centre of each holder, as an index.
    data_centres: Vec<usize>,
    data_centre_count: usize,
    /// By layer and holder: the lowest cost of running all earlier layers with that holder as the last to run.
    best: Vec<f64>,
    /// By layer and holder: the holder that runs the preceding layer on that path.
    previous: Vec<Option<usize>>,
}

impl<'a> PathSearch<'a> {
    pub(super) fn new(holders: &'a [&'a Holder], layers: u32, uses: &PathCounts) -> PathSearch<'a> {
        let layers = layers as usize;
        let mean_capacity =
            holders.iter().map(|holder| holder.kv_capacity).sum::<f64>() / holders.len() as f64;
        let layer_cost = |holder: &&Holder| {
            let scarcity = mean_capacity.max(1.0) / holder.kv_capacity.max(1.0);
            let uses = uses.get(&holder.incarnation).copied().unwrap_or_default();
            holder.layer_cost + SCARCITY_COST * scarcity + SHARED_COST * f64::from(uses)
        };
        let mut names: Vec<&DataCentre> = Vec::new();
        let data_centre_index = |holder: &&'a Holder| {
            let name = &holder.data_centre;
            names.iter().position(|known| *known == name).unwrap_or_else(|| {
                names.push(name);
                names.len() - 1
            })
        };
        let data_centres: Vec<usize> = holders.iter().map(data_centre_index).collect();
        PathSearch {
            holders,
            begin: 0,
            layers,
            layer_costs: holders.iter().map(layer_cost).collect(),
            data_centres,
            data_centre_count: names.len(),
            best: vec![f64::INFINITY; (layers + 1) * holders.len()],
            previous: vec![None; (layers + 1) * holders.len()],
        }
    }

    /// Restricts the search to the layers from `begin` on.
    pub(super) fn with_begin(self, begin: u32) -> PathSearch<'a> {
        PathSearch { begin: begin as usize, ..self }
    }

    /// Returns the cheapest path; `head`, if given, is the first to run.
    pub(super) fn run(mut self, head: Option<usize>) -> Option<PipelinePath> {
        for layer in self.begin..self.layers {
            self.extend(layer, head);
        }
        let ends = self.row(self.layers);
        let last = (0..ends.len()).min_by(|a, b| ends[*a].total_cmp(&ends[*b]))?;
        if ends[last].is_infinite() {
            return None;
        }
        Some(self.path(self.runs(last)))
    }

    /// Extends the paths by `layer` at each holder that holds it.
    fn extend(&mut self, layer: usize, head: Option<usize>) {
        let ends = self.cheapest_ends(layer);
        let len = self.holders.len();
        for at in 0..len {
            let may_begin = layer > self.begin || head.is_none_or(|head| head == at);
            if !self.holders[at].layers.contains(layer as u32) || !may_begin {
                continue;
            }
            let continued = self.best[layer * len + at];
            let (joined, from) = self.cheapest_start(layer, at, &ends);
            let (cost, from) =
                if continued <= joined { (continued, Some(at)) } else { (joined, from) };
            self.best[(layer + 1) * len + at] = cost + self.layer_costs[at];
            self.previous[(layer + 1) * len + at] = from;
        }
    }

    /// Returns the cheapest runs that end at `layer`, by data centre.
    fn cheapest_ends(&self, layer: usize) -> Vec<CheapestEnds> {
        let mut ends = vec![CheapestEnds::default(); self.data_centre_count];
        for (from, cost) in self.row(layer).iter().enumerate() {
            if cost.is_finite() {
                ends[self.data_centres[from]].add((*cost, from));
            }
        }
        ends
    }

    /// Returns the lowest cost of beginning a run of holder `to` at `layer`, and the holder whose run ends there.
    fn cheapest_start(
        &self,
        layer: usize,
        to: usize,
        ends: &[CheapestEnds],
    ) -> (f64, Option<usize>) {
        if layer == self.begin {
            return (PART_COST, None);
        }
        let joins = ends.iter().enumerate().filter_map(|(data_centre_index, ends)| {
            let (cost, from) = ends.other_than(to)?;
            let crossing =
                if data_centre_index == self.data_centres[to] { 0.0 } else { CROSSING_COST };
            Some((cost + PART_COST + crossing, from))
        });
        let cheapest = joins.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        cheapest.map_or((f64::INFINITY, None), |(cost, from)| (cost, Some(from)))
    }

    fn row(&self, layer: usize) -> &[f64] {
        let len = self.holders.len();
        &self.best[layer * len..(layer + 1) * len]
    }

    /// Returns the runs of the path that ends at holder `last`, in order of layers.
    fn runs(&self, last: usize) -> Vec<(usize, LayerRange)> {
        let len = self.holders.len();
        let mut runs: Vec<(usize, LayerRange)> = Vec::new();
        let (mut layer, mut at, mut to) = (self.layers, last, self.layers);
        loop {
            let from = self.previous[layer * len + at];
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
        runs
    }

    fn path(&self, runs: Vec<(usize, LayerRange)>) -> PipelinePath {
        let token_capacity =
            |run: &(usize, LayerRange)| self.holders[run.0].kv_capacity / f64::from(run.1.len());
        let step_ms =
            |run: &(usize, LayerRange)| f64::from(run.1.len()) * self.holders[run.0].layer_cost;
        let crosses = |pair: &[(usize, LayerRange)]| {
            self.data_centres[pair[0].0] != self.data_centres[pair[1].0]
        };
        PipelinePath {
            data_centre: self.holders[runs[0].0].data_centre.clone(),
            token_capacity: runs.iter().map(token_capacity).fold(f64::INFINITY, f64::min),
            step_ms: runs.iter().map(step_ms).sum(),
            crossings: runs.windows(2).filter(|pair| crosses(pair)).count() as u32,
            parts: runs.iter().map(|run| part(self.holders[run.0], run.1)).collect(),
        }
    }
}

fn part(holder: &Holder, layers: LayerRange) -> PathPart {
    PathPart { incarnation: holder.incarnation.clone(), addr: holder.addr, layers }
}
