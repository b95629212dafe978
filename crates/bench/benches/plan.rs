//! Time to full service after a loss: the planner against a naive one that assigns all anew.
//!
//! The weight store is a stand-in: it gives a fixed number of layers a second in all, shared
//! evenly by the engines that load. An engine that loads serves nothing.

use sorrellock_core::clock::ManualClock;
use sorrellock_core::process::orders::{
    Demand, EngineSlot, Holding, Move, Planner, PlannerConfig, ServiceLevels, SlotState,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Engines of the target.
const ENGINES: usize = 790;
/// Data centres of the target.
const PLACES: usize = 7;
/// Racks in a data centre.
const RACKS: usize = 8;
/// Models in steady use.
const MODELS: u16 = 6;
/// Layers of a model, and stages that it is cut into.
const LAYERS: u16 = 64;
const STAGES: u16 = 8;
/// Layers a second that the weight store gives in all, and the most that one engine takes.
const STORE_LAYERS_PER_S: f64 = 40.0;
const ENGINE_LAYERS_PER_S: f64 = 4.0;
/// Full service: this part of the best level that the engines left can give.
const FULL: f64 = 0.95;
/// A run that takes longer has failed.
const MOST_SECONDS: u64 = 7200;

/// Decides what to load.
trait Plan {
    fn plan(&mut self, engines: &[EngineSlot], demands: &[Demand]) -> Vec<Move>;
}

impl Plan for Planner<ManualClock> {
    fn plan(&mut self, engines: &[EngineSlot], demands: &[Demand]) -> Vec<Move> {
        Planner::plan(self, engines, demands)
    }
}

/// Assigns all ranges anew over the engines in order of name, whenever the engines are others.
#[derive(Default)]
struct Naive {
    names: Vec<String>,
}

impl Plan for Naive {
    fn plan(&mut self, engines: &[EngineSlot], demands: &[Demand]) -> Vec<Move> {
        let names: Vec<_> = engines.iter().map(|engine| engine.endpoint.clone()).collect();
        if names == self.names {
            return Vec::new();
        }
        self.names = names;
        let ranges: Vec<Holding> = demands
            .iter()
            .flat_map(|demand| {
                demand
                    .ranges
                    .iter()
                    .map(|layers| Holding { model: demand.model.clone(), layers: *layers })
            })
            .collect();
        let wanted = engines
            .iter()
            .enumerate()
            .map(|(index, engine)| (engine, &ranges[index % ranges.len()]));
        wanted
            .filter(|(engine, to)| engine.holding() != Some(to))
            .map(|(engine, to)| Move { endpoint: engine.endpoint.clone(), to: to.clone() })
            .collect()
    }
}

struct Outcome {
    seconds: u64,
    layers_moved: f64,
    lowest: f64,
}

/// Runs a planner from a loss to full service, second by second.
fn heal(
    planner: &mut impl Plan,
    clock: &ManualClock,
    engines: &mut [EngineSlot],
    best: f64,
) -> Outcome {
    let demands = demands();
    let mut left: HashMap<String, f64> = HashMap::new();
    let mut moved = 0.0;
    let mut worst = f64::INFINITY;
    for second in 0..MOST_SECONDS {
        for order in planner.plan(engines, &demands) {
            let engine = engines.iter_mut().find(|engine| engine.endpoint == order.endpoint);
            let engine = engine.expect("orders go to engines that are there");
            let layers = order.to.layers.count() as f64;
            engine.state = SlotState::Loads(order.to);
            left.insert(engine.endpoint.clone(), layers);
            moved += layers;
        }
        let level =
            ServiceLevels::current(engines, &demands).lowest().map_or(0.0, |(_, level)| level);
        worst = worst.min(level);
        if left.is_empty() && level >= best * FULL {
            return Outcome { seconds: second, layers_moved: moved, lowest: worst };
        }
        load(engines, &mut left);
        clock.advance(Duration::from_secs(1));
    }
    Outcome { seconds: MOST_SECONDS, layers_moved: moved, lowest: worst }
}

/// One second of the weight store.
fn load(engines: &mut [EngineSlot], left: &mut HashMap<String, f64>) {
    let share = (STORE_LAYERS_PER_S / left.len().max(1) as f64).min(ENGINE_LAYERS_PER_S);
    left.values_mut().for_each(|layers| *layers -= share);
    for engine in engines.iter_mut() {
        let done = left.get(&engine.endpoint).is_some_and(|layers| *layers <= 0.0);
        if let (true, SlotState::Loads(holding)) = (done, engine.state.clone()) {
            engine.state = SlotState::Serves(holding);
            left.remove(&engine.endpoint);
        }
    }
}

fn demands() -> Vec<Demand> {
    (0..MODELS).map(|model| Demand::new(format!("model-{model}"), LAYERS, STAGES, 1.0)).collect()
}

fn empty_engines(count: usize) -> Vec<EngineSlot> {
    let engine = |number: usize| {
        let (place, rack) = (number % PLACES, number / PLACES % RACKS);
        let name = format!("place-{place}/rack-{rack}/engine-{number:03}");
        EngineSlot::new(name, format!("place-{place}"), LAYERS / STAGES, 1000.0)
    };
    (0..count).map(engine).collect()
}

/// A fleet in full service, as a planner has laid it out.
fn serving(planner: &mut impl Plan) -> Vec<EngineSlot> {
    let (demands, mut engines) = (demands(), empty_engines(ENGINES));
    loop {
        let moves = planner.plan(&engines, &demands);
        if moves.is_empty() {
            return engines;
        }
        for order in moves {
            let engine = engines.iter_mut().find(|engine| engine.endpoint == order.endpoint);
            engine.expect("orders go to engines that are there").state =
                SlotState::Serves(order.to);
        }
    }
}

/// The best lowest level that this many even engines can give.
fn best_level(engines: usize) -> f64 {
    let ranges = usize::from(MODELS * STAGES);
    (engines / ranges) as f64 * 1000.0 / f64::from(LAYERS / STAGES)
}

/// Loses the engines whose names begin so; replacements come empty, if any come.
fn lose(engines: &mut Vec<EngineSlot>, prefix: &str, replaced: bool) -> usize {
    let before = engines.len();
    engines.retain(|engine| !engine.endpoint.starts_with(prefix));
    let lost = before - engines.len();
    if replaced {
        let spare = |number: usize| {
            EngineSlot::new(format!("new/{prefix}/{number:03}"), "place-0", LAYERS / STAGES, 1000.0)
        };
        engines.extend((0..lost).map(spare));
    }
    lost
}

fn main() {
    let mut held = true;
    for (name, prefix) in [
        ("instance", "place-3/rack-2/engine-024"),
        ("rack", "place-3/rack-2"),
        ("place", "place-3"),
    ] {
        for replaced in [true, false] {
            let label = if replaced {
                format!("plan.{name}_replaced")
            } else {
                format!("plan.{name}_lost")
            };
            held &= compare(&label, prefix, replaced);
        }
    }
    for engines in [100, 200, 400, 790] {
        let start = Instant::now();
        let mut planner = Planner::new(ManualClock::new(), PlannerConfig::new());
        planner.plan(&empty_engines(engines), &demands());
        println!(
            "figure plan.first_plan_ms.{engines} {:.2} ms",
            start.elapsed().as_secs_f64() * 1e3
        );
    }
    if !held {
        eprintln!("a planner did not come back to full service, or took longer than the naive one");
        std::process::exit(1);
    }
}

/// Prints both planners' figures; tells whether ours came back, and no later than the naive one.
fn compare(label: &str, prefix: &str, replaced: bool) -> bool {
    let clock = ManualClock::new();
    let mut planner = Planner::new(clock.clone(), PlannerConfig::new());
    let ours = run(&mut planner, &clock, prefix, replaced);
    let naive = run(&mut Naive::default(), &clock, prefix, replaced);
    for (suffix, outcome) in [("", &ours), (".naive", &naive)] {
        println!("figure {label}.full_service_s{suffix} {} s", outcome.seconds);
        println!("figure {label}.layers_loaded{suffix} {:.0} layers", outcome.layers_moved);
        println!("figure {label}.lowest_level{suffix} {:.0} tokens/s", outcome.lowest);
    }
    ours.seconds < MOST_SECONDS && ours.seconds <= naive.seconds
}

fn run(planner: &mut impl Plan, clock: &ManualClock, prefix: &str, replaced: bool) -> Outcome {
    let mut engines = serving(planner);
    lose(&mut engines, prefix, replaced);
    let best = best_level(engines.len());
    heal(planner, clock, &mut engines, best)
}
