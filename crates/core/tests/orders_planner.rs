//! Planner tests: it repairs losses, makes no needless moves, and moves a serving engine only after the
//! grace period. Order book tests: pending orders count as loading, and refusals cause a backoff.

use sorrellock_core::clock::ManualClock;
use sorrellock_core::process::orders::{
    Demand, EngineSlot, Holding, Move, ORDER_TIMEOUT, OrderBook, Planner, PlannerConfig,
    REFUSAL_BACKOFF, ServiceLevels, SlotState,
};
use sorrellock_core::request::LayerRange;
use std::time::Duration;

const LAYERS: u16 = 24;
const STAGES: u16 = 3;
const GRACE: Duration = Duration::from_secs(10);

fn demands() -> Vec<Demand> {
    vec![Demand::new("lexis", LAYERS, STAGES, 1.0)]
}

fn slot(number: usize, place: &str) -> EngineSlot {
    EngineSlot::new(format!("engine-{number}"), place, 8, 800.0)
}

fn serving(number: usize, place: &str, stage: u16) -> EngineSlot {
    slot(number, place).with_state(SlotState::Serves(holding(stage)))
}

fn holding(stage: u16) -> Holding {
    Holding { model: "lexis".into(), layers: LayerRange::new(stage * 8, stage * 8 + 8) }
}

fn planner(clock: &ManualClock) -> Planner<ManualClock> {
    Planner::new(clock.clone(), PlannerConfig::new().with_grace(GRACE))
}

fn finish_loads(engines: &mut [EngineSlot], moves: &[Move]) {
    for order in moves {
        let engine = engines.iter_mut().find(|engine| engine.endpoint == order.endpoint).unwrap();
        engine.state = SlotState::Serves(order.to.clone());
    }
}

#[test]
fn empty_engines_are_spread_over_all_ranges_and_places() {
    let clock = ManualClock::new();
    let mut engines: Vec<_> = (0..6)
        .map(|number| slot(number, if number % 2 == 0 { "pasila" } else { "vantaa" }))
        .collect();

    let moves = planner(&clock).plan(&engines, &demands());
    finish_loads(&mut engines, &moves);

    assert_eq!(moves.len(), 6);
    for stage in 0..STAGES {
        let holders: Vec<_> =
            engines.iter().filter(|engine| engine.holding() == Some(&holding(stage))).collect();
        assert_eq!(holders.len(), 2, "stage {stage}");
        assert_ne!(holders[0].place, holders[1].place, "stage {stage}");
    }
}

#[test]
fn a_balanced_fleet_is_left_alone() {
    let clock = ManualClock::new();
    let engines: Vec<_> =
        (0..7).map(|number| serving(number, "pasila", number as u16 % 3)).collect();
    let mut planner = planner(&clock);

    planner.plan(&engines, &demands());
    clock.advance(GRACE * 2);
    let moves = planner.plan(&engines, &demands());

    assert_eq!(moves, []);
}

#[test]
fn a_serving_engine_is_moved_only_after_the_loss_has_lasted() {
    let clock = ManualClock::new();
    let mut engines: Vec<_> =
        (0..7).map(|number| serving(number, "pasila", [0, 0, 0, 1, 1, 2, 2][number])).collect();
    let mut planner = planner(&clock);
    planner.plan(&engines, &demands());
    engines.truncate(5);

    let at_once = planner.plan(&engines, &demands());
    clock.advance(GRACE);
    let later = planner.plan(&engines, &demands());

    assert_eq!(at_once, []);
    assert_eq!(later.len(), 1);
    assert_eq!(later[0].to, holding(2));
}

#[test]
fn an_engine_that_comes_back_in_time_costs_no_move() {
    let clock = ManualClock::new();
    let engines: Vec<_> =
        (0..4).map(|number| serving(number, "pasila", [0, 0, 1, 2][number])).collect();
    let mut planner = planner(&clock);
    planner.plan(&engines, &demands());

    let without = planner.plan(&engines[..3], &demands());
    clock.advance(GRACE / 2);
    let back = planner.plan(&engines, &demands());
    clock.advance(GRACE * 2);
    let later = planner.plan(&engines, &demands());

    assert_eq!((without, back, later), (vec![], vec![], vec![]));
    assert_eq!(planner.expected_back(), 0);
}

#[test]
fn a_spare_engine_takes_a_lost_ones_layers_at_once() {
    let clock = ManualClock::new();
    let mut engines: Vec<_> =
        (0..6).map(|number| serving(number, "pasila", number as u16 % 3)).collect();
    let mut planner = planner(&clock);
    planner.plan(&engines, &demands());
    engines.remove(2);
    engines.push(slot(9, "pasila"));

    let moves = planner.plan(&engines, &demands());

    assert_eq!(moves, [Move { endpoint: "engine-9".into(), to: holding(2) }]);
}

#[test]
fn a_range_whose_lost_engine_was_replaced_is_no_donor() {
    let clock = ManualClock::new();
    let mut engines: Vec<_> =
        (0..8).map(|number| serving(number, "pasila", [0, 0, 0, 1, 1, 1, 2, 2][number])).collect();
    let mut planner = planner(&clock);
    planner.plan(&engines, &demands());
    engines.remove(0);
    engines.remove(2);
    engines.push(slot(8, "pasila"));
    engines.push(slot(9, "pasila"));

    let mut moves = planner.plan(&engines, &demands());
    finish_loads(&mut engines, &moves);
    moves.extend(planner.plan(&engines, &demands()));

    assert_eq!(moves.len(), 2, "the spare engines are enough: {moves:?}");
    assert!(moves.iter().all(|order| ["engine-8", "engine-9"].contains(&&*order.endpoint)));
}

#[test]
fn no_more_engines_load_at_a_time_than_allowed() {
    let clock = ManualClock::new();
    let mut engines: Vec<_> = (0..12).map(|number| slot(number, "pasila")).collect();
    let cfg = PlannerConfig::new().with_max_loads(4);
    let mut planner = Planner::new(clock.clone(), cfg);

    let first = planner.plan(&engines, &demands());
    for order in &first {
        let engine = engines.iter_mut().find(|engine| engine.endpoint == order.endpoint).unwrap();
        engine.state = SlotState::Loads(order.to.clone());
    }
    let second = planner.plan(&engines, &demands());

    assert_eq!((first.len(), second.len()), (4, 0));
}

#[test]
fn layers_that_fit_no_engine_are_not_ordered() {
    let clock = ManualClock::new();
    let engines = vec![EngineSlot::new("small", "pasila", 4, 800.0)];

    let moves = planner(&clock).plan(&engines, &demands());

    assert_eq!(moves, []);
}

#[test]
fn random_fleets_settle_near_the_best_even_level_without_endless_moves() {
    let seed = 7;
    println!("seed {seed}");
    let mut random = Random(seed);
    for _ in 0..60 {
        let clock = ManualClock::new();
        let stages = 1 + random.below(6) as u16;
        let layers = stages * (1 + random.below(8) as u16);
        let demands = vec![Demand::new("lexis", layers, stages, 1.0)];
        let count = stages as usize * 2 + random.below(20);
        let mut engines: Vec<_> = (0..count)
            .map(|number| EngineSlot::new(format!("engine-{number}"), "pasila", layers, 100.0))
            .collect();
        let mut planner = Planner::new(clock.clone(), PlannerConfig::new());
        let mut moves = 0;

        for _ in 0..60 {
            let planned = planner.plan(&engines, &demands);
            moves += planned.len();
            finish_loads(&mut engines, &planned);
            clock.advance(PlannerConfig::GRACE);
        }

        let levels = ServiceLevels::current(&engines, &demands);
        let per_stage = f64::from(layers / stages);
        let best = (count / usize::from(stages)) as f64 * 100.0 / per_stage;
        assert!(levels.lowest().unwrap().1 >= best * 0.99, "{count} engines, {stages} stages");
        assert_eq!(moves, count);
    }
}

fn order(number: usize) -> Move {
    Move { endpoint: format!("engine-{number}"), to: holding(0) }
}

#[test]
fn a_pending_order_counts_as_loading_until_it_is_confirmed_or_times_out() {
    let clock = ManualClock::new();
    let mut book = OrderBook::new(clock.clone());
    let empty_engines = || vec![slot(0, "pasila"), slot(1, "pasila")];
    book.on_given(&order(0));
    book.on_given(&order(1));

    let mut pending = empty_engines();
    book.apply(&mut pending);
    let mut confirmed = vec![serving(0, "pasila", 0), slot(1, "pasila")];
    book.apply(&mut confirmed);
    let mut after_confirmation = empty_engines();
    book.apply(&mut after_confirmation);
    clock.advance(ORDER_TIMEOUT);
    let mut timed_out = empty_engines();
    book.apply(&mut timed_out);

    let loading =
        |slots: &[EngineSlot]| slots.iter().map(EngineSlot::is_loading).collect::<Vec<_>>();
    assert_eq!(loading(&pending), [true, true]);
    assert_eq!(loading(&confirmed), [false, true]);
    assert_eq!(loading(&after_confirmation), [false, true]);
    assert_eq!(loading(&timed_out), [false, false]);
}

#[test]
fn the_backoff_of_an_engine_doubles_with_each_refusal() {
    let clock = ManualClock::new();
    let mut book = OrderBook::new(clock.clone());
    let mut capacities = Vec::new();

    for _ in 0..2 {
        book.on_given(&order(0));
        book.on_refused(&"engine-0".into());
        for _ in 0..2 {
            let mut engines = vec![slot(0, "pasila")];
            book.apply(&mut engines);
            capacities.push(engines[0].capacity);
            clock.advance(REFUSAL_BACKOFF);
        }
    }

    assert_eq!(capacities, [0, 8, 0, 0]);
}

struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.0 >> 33) as usize % bound
    }
}
