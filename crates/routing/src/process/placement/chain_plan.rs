//! Divides the layers of a model among a chain of engines in a given order.

use crate::process::LayerRange;
use crate::process::placement::wanted_first_engines;
use crate::version::ModelShape;

/// The properties of an engine that the division of layers depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainEngine {
    /// Memory for layers and KV cache, in MB.
    pub memory_mb: f64,
    /// Factor on the step time: that of its card, times its slowness.
    pub step_factor: f64,
    /// The layers that it holds or is loading.
    pub held: LayerRange,
    /// Whether it must keep these layers.
    pub is_pinned: bool,
}

/// A division of the layers and its cost, which is comparable for the same engines only.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainPlan {
    /// The layers of each engine, in the order of the chain; some may be empty.
    pub ranges: Vec<LayerRange>,
    /// Cost of the division; lower is better.
    pub cost: f64,
}

/// Weights of layer loads, step time and free capacity in the cost of a division.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Cost of loading one layer. The scarcity terms add up to about one per engine.
    pub load: f64,
    /// Weight of step time against scarcity: the higher, the more layers fast cards hold.
    pub step_time: f64,
    /// Exponent of the scarcity of capacity.
    pub scarcity_power: i32,
    /// Whether engines keep their current layers beside the new ones: releasing layers waits up to eight
    /// seconds for the streams that pass through them.
    pub keeps_held: bool,
    /// Minimum capacity that an engine keeps, in requests of usual size.
    pub min_requests: f64,
}

impl Weights {
    /// Weights for a chain without gaps. The engine with the least capacity limits the whole chain; the
    /// fourth power approximates a maximum and is still additive. A move of a tenth of 80 layers must reduce
    /// the scarcity of one engine by about a fifth.
    pub const BALANCE: Weights = Weights {
        load: 0.025,
        step_time: 0.5,
        scarcity_power: 4,
        keeps_held: false,
        min_requests: 4.0,
    };
    /// Weights for a gap left by a failed engine whose streams ended with it: layers move at once, as no
    /// streams pass through them.
    pub const REPAIR_IDLE: Weights = Weights { keeps_held: false, ..Weights::REPAIR };
    /// Weights for a chain with a gap. Streams wait for each load, about 0.2 s per layer, while capacity can
    /// be balanced later. A neighbour takes up to about three layers before the next one shares the load, and
    /// keeps enough capacity to be useful in a path: an engine that takes 12 streams is full within a second.
    pub const REPAIR: Weights = Weights {
        load: 1.0,
        step_time: 0.5,
        scarcity_power: 2,
        keeps_held: true,
        min_requests: 30.0,
    };
}

/// Step-time weights that [`divide_balanced`] tries. Mean score over 15 days with faults on cards whose
/// speeds differ sevenfold, by a single weight: 0.650 (0.5), 0.660 (6), 0.679 (30), 0.706 (120), 0.716
/// (500), 0.684 (2,000). Where few cards are fast, a high weight costs half of the capacity for steps that
/// are hardly shorter: 0.575 -> 0.527 at 200 over nine days.
const STEP_TIME_WEIGHTS: [f64; 4] = [0.5, 30.0, 200.0, 500.0];

/// Factor by which the score of a faster division must exceed that of one with evenly spread capacity,
/// as an even division is less affected by the loss of an engine.
const FASTER_MARGIN: f64 = 1.25;

/// Returns the division with the best score of capacity and step time, and the weights that led to it.
///
/// The request rate of a chain is its capacity divided by the time that each request occupies it, which
/// is proportional to the step time; the share of requests affected by a fault grows with that time as
/// well. Hence half the capacity is acceptable if steps get shorter by a factor of 1.4. Capacity beyond
/// the slots of first engines has no use.
pub fn divide_balanced(
    shape: &ModelShape,
    engines: &[ChainEngine],
) -> Option<(ChainPlan, Weights)> {
    let weights = STEP_TIME_WEIGHTS.map(|step_time| Weights { step_time, ..Weights::BALANCE });
    let plans = weights.iter().filter_map(|weights| {
        let plan = divide(shape, engines, *weights)?;
        let margin = if *weights == Weights::BALANCE { FASTER_MARGIN } else { 1.0 };
        Some((score(shape, engines, &plan) * margin, plan, *weights))
    });
    let best = plans.max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, plan, weights)| (plan, weights))
}

/// Returns the step time of a division, as a factor on the model's step time.
pub fn step_time_factor(shape: &ModelShape, engines: &[ChainEngine], plan: &ChainPlan) -> f64 {
    let each = engines.iter().zip(&plan.ranges);
    let layers = each.map(|(engine, range)| f64::from(range.len()) * engine.step_factor);
    layers.sum::<f64>() / f64::from(shape.layers.max(1))
}

fn score(shape: &ModelShape, engines: &[ChainEngine], plan: &ChainPlan) -> f64 {
    let holding = engines.iter().zip(&plan.ranges).filter(|(_, range)| !range.is_empty());
    let capacity =
        holding.map(|(engine, range)| engine.memory_mb / f64::from(range.len()) - shape.layer_mb);
    let min_capacity = capacity.fold(useful_capacity(shape, engines), f64::min);
    min_capacity / step_time_factor(shape, engines, plan).max(f64::MIN_POSITIVE).powi(2)
}

/// Returns the free memory per layer, in MB, that an even division would have and first engines can fill.
fn useful_capacity(shape: &ModelShape, engines: &[ChainEngine]) -> f64 {
    let memory: f64 = engines.iter().map(|engine| engine.memory_mb).sum();
    let layers = f64::from(shape.layers);
    let even_capacity = (memory / layers - shape.layer_mb).max(0.0);
    let heads = wanted_first_engines(shape, memory - shape.model_mb());
    let max_requests = heads as f64 * f64::from(shape.slots);
    even_capacity.min(max_requests * shape.request_mb() / layers)
}

/// Divides all layers among the engines in their order. Returns `None` if they can't hold the layers.
///
/// Dynamic programming over (engine, first unassigned layer), `O(engines * layers^2)`.
pub fn divide(shape: &ModelShape, engines: &[ChainEngine], weights: Weights) -> Option<ChainPlan> {
    let layers = shape.layers as usize;
    let costs = EngineCosts::new(shape, engines, weights);
    let mut best = vec![vec![f64::INFINITY; layers + 1]; engines.len() + 1];
    let mut taken = vec![vec![0u32; layers + 1]; engines.len() + 1];
    best[0][0] = 0.0;
    for (index, engine) in engines.iter().enumerate() {
        let max_count = costs.max_layers(index);
        for from in 0..=layers {
            let so_far = best[index][from];
            if so_far.is_infinite() {
                continue;
            }
            for count in 0..=max_count.min(layers as u32 - from as u32) {
                let range = LayerRange::new(from as u32, from as u32 + count);
                let cost = so_far + costs.of(index, engine, range);
                let to = from + count as usize;
                if cost < best[index + 1][to] {
                    best[index + 1][to] = cost;
                    taken[index + 1][to] = count;
                }
            }
        }
    }
    let cost = best[engines.len()][layers];
    cost.is_finite().then(|| ChainPlan { ranges: backtrack(&taken, engines.len(), layers), cost })
}

/// Returns the cost of a division into the given ranges.
pub fn cost_of(
    shape: &ModelShape,
    engines: &[ChainEngine],
    ranges: &[LayerRange],
    weights: Weights,
) -> f64 {
    let costs = EngineCosts::new(shape, engines, weights);
    let each = engines.iter().zip(ranges).enumerate();
    each.map(|(index, (engine, range))| costs.of(index, engine, *range)).sum()
}

fn backtrack(taken: &[Vec<u32>], engines: usize, layers: usize) -> Vec<LayerRange> {
    let mut ranges = vec![LayerRange::default(); engines];
    let mut to = layers;
    for index in (0..engines).rev() {
        let count = taken[index + 1][to] as usize;
        ranges[index] = LayerRange::new((to - count) as u32, to as u32);
        to -= count;
    }
    ranges
}

/// The cost of each number of layers on each engine.
struct EngineCosts {
    /// Cost by engine and number of layers.
    by_count: Vec<Vec<f64>>,
    weights: Weights,
}

impl EngineCosts {
    fn new(shape: &ModelShape, engines: &[ChainEngine], weights: Weights) -> EngineCosts {
        let layers = f64::from(shape.layers);
        let useful_capacity = useful_capacity(shape, engines);
        let mean_step = engines.iter().map(|engine| engine.step_factor).sum::<f64>()
            / engines.len().max(1) as f64;
        let row = |engine: &ChainEngine| {
            let max_count = (engine.memory_mb / shape.layer_mb).floor() as u32;
            let counts = (0..=max_count.min(shape.layers)).map(|count| {
                let scarcity = scarcity(shape, engine, count, useful_capacity, weights);
                let time = f64::from(count) * engine.step_factor / (layers * mean_step.max(1e-9));
                scarcity + weights.step_time * time
            });
            counts.take_while(|cost| cost.is_finite()).collect()
        };
        let by_count = engines.iter().map(row).collect();
        EngineCosts { by_count, weights }
    }

    fn max_layers(&self, index: usize) -> u32 {
        self.by_count[index].len().saturating_sub(1) as u32
    }

    fn of(&self, index: usize, engine: &ChainEngine, range: LayerRange) -> f64 {
        if engine.is_pinned && range != engine.held && !(range.is_empty() && engine.held.is_empty())
        {
            return f64::INFINITY;
        }
        let kept = if self.weights.keeps_held { range.hull(engine.held) } else { range };
        let Some(cost) = self.by_count[index].get(kept.len() as usize) else {
            return f64::INFINITY;
        };
        let loaded = kept.len() - kept.overlap(engine.held);
        cost + f64::from(loaded) * self.weights.load
    }
}

/// Returns the scarcity of capacity on an engine with `count` layers: 1 if it has exactly the usable
/// capacity per layer, infinite if it has less than the minimum.
fn scarcity(
    shape: &ModelShape,
    engine: &ChainEngine,
    count: u32,
    useful_capacity: f64,
    weights: Weights,
) -> f64 {
    if count == 0 {
        return 0.0;
    }
    let capacity = engine.memory_mb / f64::from(count) - shape.layer_mb;
    let min_capacity = weights.min_requests * shape.usual_tokens() * shape.kv_mb_per_token_layer();
    if capacity < min_capacity {
        return f64::INFINITY;
    }
    (useful_capacity / capacity).powi(weights.scarcity_power)
}
