//! Time to full service after a loss: the planner against a naive one that assigns all anew, and
//! against itself without patience (no grace, no bound on loads).
//!
//! The model: engines of one kind, each with room for one range. The weight store gives a fixed
//! number of layers a second in all, shared evenly by the engines that load; one engine takes no
//! more than a part of it. An engine that loads serves nothing. A lost engine is seen at once, and
//! an order takes no time: what noticing costs is measured elsewhere, and comes on top.

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
/// After how many seconds paused engines come back.
const PAUSE: u64 = 5;
/// Numbers of engines for slopes.
const SIZES: [usize; 5] = [100, 200, 400, 790, 1580];
/// Times that a cost is measured; the median is printed.
const REPEATS: usize = 15;
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

/// Runs a planner from a loss to full service, second by second; `back` come back after [`PAUSE`].
fn heal(
    planner: &mut impl Plan,
    clock: &ManualClock,
    mut engines: Vec<EngineSlot>,
    mut back: Vec<EngineSlot>,
    best: f64,
) -> Outcome {
    let demands = demands();
    let engines = &mut engines;
    let mut left: HashMap<String, f64> = HashMap::new();
    let mut moved = 0.0;
    let mut worst = f64::INFINITY;
    for second in 0..MOST_SECONDS {
        if second == PAUSE {
            engines.append(&mut back);
        }
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
        if back.is_empty() && left.is_empty() && level >= best * FULL {
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
fn serving(planner: &mut impl Plan, count: usize) -> Vec<EngineSlot> {
    let (demands, mut engines) = (demands(), empty_engines(count));
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

/// What is lost.
#[derive(Clone, Copy, PartialEq)]
enum Loss {
    /// One engine that holds a range served worst.
    Instance,
    /// A rack of a place.
    Rack,
    /// A place.
    Place,
}

impl Loss {
    const ALL: [(&str, Loss); 3] =
        [("instance", Loss::Instance), ("rack", Loss::Rack), ("place", Loss::Place)];

    /// Takes the lost engines out.
    fn take_from(self, engines: &mut Vec<EngineSlot>) -> Vec<EngineSlot> {
        let prefix = match self {
            Loss::Instance => worst_served(engines),
            Loss::Rack => "place-3/rack-2/".to_owned(),
            Loss::Place => "place-3/".to_owned(),
        };
        let is_lost = |engine: &EngineSlot| engine.endpoint.starts_with(&prefix);
        let lost: Vec<_> = engines.iter().filter(|engine| is_lost(engine)).cloned().collect();
        assert!(!lost.is_empty(), "a loss that loses nothing measures nothing");
        engines.retain(|engine| !is_lost(engine));
        lost
    }
}

fn worst_served(engines: &[EngineSlot]) -> String {
    let demands = demands();
    let levels = ServiceLevels::current(engines, &demands);
    let ((demand, range), _) = levels.lowest().expect("there are demands");
    let layers = demands[demand].ranges[range];
    let holding = Holding { model: demands[demand].model.clone(), layers };
    let holder = engines.iter().find(|engine| engine.holding() == Some(&holding));
    holder.expect("each range is held").endpoint.clone()
}

/// What becomes of the lost engines.
#[derive(Clone, Copy, PartialEq)]
enum After {
    /// As many come, empty.
    Replaced,
    /// Nothing comes.
    Gone,
    /// They come back with what they held, after [`PAUSE`].
    Back,
}

impl After {
    const ALL: [(&str, After); 3] =
        [("replaced", After::Replaced), ("lost", After::Gone), ("paused", After::Back)];
}

fn replacements(lost: &[EngineSlot]) -> Vec<EngineSlot> {
    let spare = |engine: &EngineSlot| {
        let (place, layers) = (engine.place.clone(), LAYERS / STAGES);
        EngineSlot::new(format!("new/{}", engine.endpoint), place, layers, 1000.0)
    };
    lost.iter().map(spare).collect()
}

fn main() {
    let mut held = true;
    for (loss_name, loss) in Loss::ALL {
        for (after_name, after) in After::ALL {
            let label = format!("plan.{loss_name}_{after_name}");
            held &= compare(&label, loss, after);
        }
    }
    for engines in SIZES {
        print_slopes(engines);
    }
    if !held {
        eprintln!("a planner did not come back to full service, or was beaten by the naive one");
        std::process::exit(1);
    }
}

/// Prints the figures of all planners; tells whether ours came back, and was beaten by no naive one.
fn compare(label: &str, loss: Loss, after: After) -> bool {
    let ours = run(PlannerConfig::new(), ENGINES, loss, after);
    let naive = run_naive(loss, after);
    let impatient = run(impatient(), ENGINES, loss, after);
    for (suffix, outcome) in [("", &ours), (".naive", &naive), (".impatient", &impatient)] {
        println!("figure {label}.full_service_s{suffix} {} s", outcome.seconds);
        println!("figure {label}.layers_loaded{suffix} {:.0} layers", outcome.layers_moved);
        println!("figure {label}.lowest_level{suffix} {:.0} tokens/s", outcome.lowest);
    }
    ours.seconds < MOST_SECONDS
        && ours.seconds <= naive.seconds
        && ours.layers_moved <= naive.layers_moved
}

fn impatient() -> PlannerConfig {
    PlannerConfig::new().with_grace(Duration::ZERO).with_max_loads(usize::MAX)
}

/// Time to full service, and the planner's own cost, against the number of engines.
fn print_slopes(engines: usize) {
    let outcome = run(PlannerConfig::new(), engines, Loss::Rack, After::Replaced);
    println!("figure plan.rack_replaced.full_service_s.{engines} {} s", outcome.seconds);
    let (clock, demands, fleet) = (ManualClock::new(), demands(), empty_engines(engines));
    let mut planner = Planner::new(clock.clone(), PlannerConfig::new());
    let first = median_ms(|| {
        let mut planner = Planner::new(clock.clone(), PlannerConfig::new());
        planner.plan(&fleet, &demands);
    });
    println!("figure plan.first_plan_ms.{engines} {first:.2} ms");
    let fleet = serving(&mut planner, engines);
    let idle = median_ms(|| assert!(planner.plan(&fleet, &demands).is_empty()));
    println!("figure plan.idle_plan_ms.{engines} {idle:.2} ms");
}

fn median_ms(mut f: impl FnMut()) -> f64 {
    let mut times: Vec<f64> = (0..REPEATS)
        .map(|_| {
            let start = Instant::now();
            f();
            start.elapsed().as_secs_f64() * 1e3
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[REPEATS / 2]
}

fn run(cfg: PlannerConfig, engines: usize, loss: Loss, after: After) -> Outcome {
    let clock = ManualClock::new();
    let mut planner = Planner::new(clock.clone(), cfg);
    heal_loss(&mut planner, &clock, engines, loss, after)
}

fn run_naive(loss: Loss, after: After) -> Outcome {
    heal_loss(&mut Naive::default(), &ManualClock::new(), ENGINES, loss, after)
}

fn heal_loss(
    planner: &mut impl Plan,
    clock: &ManualClock,
    engines: usize,
    loss: Loss,
    after: After,
) -> Outcome {
    let mut fleet = serving(planner, engines);
    let lost = loss.take_from(&mut fleet);
    let mut back = Vec::new();
    match after {
        After::Replaced => fleet.extend(replacements(&lost)),
        After::Gone => {}
        After::Back => back = lost,
    }
    let best = best_level(fleet.len() + back.len());
    heal(planner, clock, fleet, back, best)
}
