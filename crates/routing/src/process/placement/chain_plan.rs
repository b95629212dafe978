//! Divides the layers of a model over a chain of engines in a given order.

use crate::process::LayerRange;
use crate::process::placement::first_engines_wanted;
use crate::version::ModelShape;

/// An engine of the chain, as the division sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ChainEngine {
    /// Memory for layers and KV cache, in MB.
    pub memory_mb: f64,
    /// Factor on the time of a step: that of its card, times its slowness.
    pub step_factor: f64,
    /// The layers that it holds or loads.
    pub held: LayerRange,
    /// It keeps these layers.
    pub is_pinned: bool,
}

/// A division of the layers and what it costs; comparable for the same engines only.
#[derive(Clone, Debug, PartialEq)]
pub struct ChainPlan {
    /// The layers of each engine, in the order of the chain; some may be empty.
    pub ranges: Vec<LayerRange>,
    /// Lower is better.
    pub cost: f64,
}

/// How a division weighs loads against room.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Weights {
    /// Cost of loading one layer. Scarcity adds up to about one for each engine.
    pub load: f64,
    /// Weight of a step's time against scarcity: with more, fast cards hold more layers.
    pub step_time: f64,
    /// Exponent of the scarcity of room.
    pub scarcity_power: i32,
    /// Engines keep what they hold beside what they take: giving layers up waits for the streams
    /// that pass through them, for up to eight seconds.
    pub keeps_held: bool,
    /// The least room that an engine is left with, as usual requests.
    pub least_requests: f64,
}

impl Weights {
    /// For a chain that is whole: the engine with the least room bounds the whole chain, and the
    /// fourth power comes close to a maximum and still adds up. A move of a tenth of 80 layers must
    /// gain about a fifth of one engine's scarcity.
    pub const BALANCE: Weights = Weights {
        load: 0.025,
        step_time: 0.5,
        scarcity_power: 4,
        keeps_held: false,
        least_requests: 4.0,
    };
    /// For a gap whose engine died, its streams with it: layers move at once, as nothing passes
    /// through them.
    pub const REPAIR_IDLE: Weights = Weights { keeps_held: false, ..Weights::REPAIR };
    /// For a chain with a gap: streams wait for each load, some 0.2 s a layer, while room can be
    /// evened out later. A neighbour takes up to about three layers before the next one shares, and
    /// keeps room that is worth a path: one that takes 12 streams is full within a second.
    pub const REPAIR: Weights = Weights {
        load: 1.0,
        step_time: 0.5,
        scarcity_power: 2,
        keeps_held: true,
        least_requests: 30.0,
    };
}

/// Weights of a step's time that a balance tries. Mean worth of 15 days with faults on cards that differ
/// sevenfold, by this weight alone: 0.650 (0.5), 0.660 (6), 0.679 (30), 0.706 (120), 0.716 (500), 0.684
/// (2,000). Where few cards are fast, a high weight costs half of the room for steps that are hardly
/// shorter: 0.575 -> 0.527 at 200, nine days.
const STEP_TIMES_TRIED: [f64; 4] = [0.5, 30.0, 200.0, 500.0];

/// Factor by which a faster division must be worth more than one that spreads room evenly: what is even
/// bears the loss of an engine better.
const FASTER_MARGIN: f64 = 1.25;

/// The division of a chain whose room and steps are best together, with the weights that it goes by.
///
/// Requests that a chain serves in a second are its room over the time for which each takes its place,
/// and that is as long as the steps; the share of them that meet a fault grows with it once more. So
/// room may halve where steps get shorter by a factor of 1.4. Room beyond the slots of first engines is
/// of no use.
pub fn divide_evenly(shape: &ModelShape, engines: &[ChainEngine]) -> Option<(ChainPlan, Weights)> {
    let weights = STEP_TIMES_TRIED.map(|step_time| Weights { step_time, ..Weights::BALANCE });
    let plans = weights.iter().filter_map(|weights| {
        let plan = divide(shape, engines, *weights)?;
        let margin = if *weights == Weights::BALANCE { FASTER_MARGIN } else { 1.0 };
        Some((worth(shape, engines, &plan) * margin, plan, *weights))
    });
    let best = plans.max_by(|a, b| a.0.total_cmp(&b.0));
    best.map(|(_, plan, weights)| (plan, weights))
}

/// Time of a step over a division, as a factor on the model's.
pub fn step_of(shape: &ModelShape, engines: &[ChainEngine], plan: &ChainPlan) -> f64 {
    let each = engines.iter().zip(&plan.ranges);
    let layers = each.map(|(engine, range)| f64::from(range.len()) * engine.step_factor);
    layers.sum::<f64>() / f64::from(shape.layers.max(1))
}

fn worth(shape: &ModelShape, engines: &[ChainEngine], plan: &ChainPlan) -> f64 {
    let holding = engines.iter().zip(&plan.ranges).filter(|(_, range)| !range.is_empty());
    let room =
        holding.map(|(engine, range)| engine.memory_mb / f64::from(range.len()) - shape.layer_mb);
    let least = room.fold(useful_room(shape, engines), f64::min);
    least / step_of(shape, engines, plan).max(f64::MIN_POSITIVE).powi(2)
}

/// Room for each layer, in MB, that an even division would have and first engines can fill.
fn useful_room(shape: &ModelShape, engines: &[ChainEngine]) -> f64 {
    let memory: f64 = engines.iter().map(|engine| engine.memory_mb).sum();
    let layers = f64::from(shape.layers);
    let even_room = (memory / layers - shape.layer_mb).max(0.0);
    let heads = first_engines_wanted(shape, memory - shape.model_mb());
    let most_requests = heads as f64 * f64::from(shape.slots);
    even_room.min(most_requests * shape.request_mb() / layers)
}

/// Divides all layers over the engines in their order; nothing if they can't hold them.
///
/// Dynamic programming over (engine, first layer not yet given out), `O(engines * layers^2)`.
pub fn divide(shape: &ModelShape, engines: &[ChainEngine], weights: Weights) -> Option<ChainPlan> {
    let layers = shape.layers as usize;
    let costs = EngineCosts::new(shape, engines, weights);
    let mut best = vec![vec![f64::INFINITY; layers + 1]; engines.len() + 1];
    let mut taken = vec![vec![0u32; layers + 1]; engines.len() + 1];
    best[0][0] = 0.0;
    for (index, engine) in engines.iter().enumerate() {
        let most = costs.max_layers(index);
        for from in 0..=layers {
            let so_far = best[index][from];
            if so_far.is_infinite() {
                continue;
            }
            for count in 0..=most.min(layers as u32 - from as u32) {
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
    cost.is_finite().then(|| ChainPlan { ranges: trace(&taken, engines.len(), layers), cost })
}

/// What the ranges that the engines hold now would cost as a division.
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

fn trace(taken: &[Vec<u32>], engines: usize, layers: usize) -> Vec<LayerRange> {
    let mut ranges = vec![LayerRange::default(); engines];
    let mut to = layers;
    for index in (0..engines).rev() {
        let count = taken[index + 1][to] as usize;
        ranges[index] = LayerRange::new((to - count) as u32, to as u32);
        to -= count;
    }
    ranges
}

/// The cost of each count of layers at each engine.
struct EngineCosts {
    /// By engine and count of layers.
    by_count: Vec<Vec<f64>>,
    weights: Weights,
}

impl EngineCosts {
    fn new(shape: &ModelShape, engines: &[ChainEngine], weights: Weights) -> EngineCosts {
        let layers = f64::from(shape.layers);
        let useful_room = useful_room(shape, engines);
        let mean_step = engines.iter().map(|engine| engine.step_factor).sum::<f64>()
            / engines.len().max(1) as f64;
        let row = |engine: &ChainEngine| {
            let most = (engine.memory_mb / shape.layer_mb).floor() as u32;
            let counts = (0..=most.min(shape.layers)).map(|count| {
                let scarcity = scarcity(shape, engine, count, useful_room, weights);
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

/// How scarce room is at an engine with so many layers, 1 where it has the room that is of use.
fn scarcity(
    shape: &ModelShape,
    engine: &ChainEngine,
    count: u32,
    useful_room: f64,
    weights: Weights,
) -> f64 {
    if count == 0 {
        return 0.0;
    }
    let room = engine.memory_mb / f64::from(count) - shape.layer_mb;
    let least = weights.least_requests * shape.usual_tokens() * shape.kv_mb_per_token_layer();
    if room < least {
        return f64::INFINITY;
    }
    (useful_room / room).powi(weights.scarcity_power)
}
