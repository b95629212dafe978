//! The spread among many state machines on a paused clock: time, messages and store calls of a
//! change by number of daemons. A message takes 0 to 80 ms, a call to the store up to 60 ms.

use crate::figure;
use crate::world::World;
use hdrhistogram::Histogram;
use sorrellock_core::version::{Column, SpreadSettings, Workspace};
use sorrellock_ports::config::{ConfigStore, RowEdit};
use std::time::Duration;

/// Seven data centres.
const PLACES: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
/// Numbers of daemons; the target is 420.
const SIZES: [usize; 3] = [105, 210, 420];
/// Measured too where this variable of the environment is set: it takes a while.
const LONG: (&str, usize) = ("SORRELLOCK_BENCH_LONG", 840);
/// Changes measured.
const CHANGES: u32 = 5;
/// Longest time that a change may take, on the paused clock.
const MOST: Duration = Duration::from_secs(15);
/// Steps without a change, for what an idle fleet costs: ten seconds.
const IDLE_STEPS: u64 = 500;
const WORKSPACE: &str = "treasury";

/// Whether each change came into force everywhere.
pub(crate) fn measure() -> bool {
    let long = std::env::var_os(LONG.0).map(|_| LONG.1);
    let mut sizes = SIZES.into_iter().chain(long);
    let sizes = sizes.all(|count| measure_size(count, SpreadSettings::WATCHERS, ""));
    // Naive: every daemon watches the store itself.
    sizes && measure_size(420, usize::MAX, ".naive")
}

fn measure_size(count: usize, watchers: usize, suffix: &str) -> bool {
    let mut world = World::new(&PLACES, 0, 1);
    world.settings = SpreadSettings::new().with_watchers(watchers);
    let mut world = world.with_daemons(&PLACES, count);
    set(&world, 1);
    if world.until(MOST, |world| world.up().all(|(_, spread)| spread.is_ready())).is_none() {
        return false;
    }
    let (calls, messages) = (world.store_calls, world.messages);
    world.steps(IDLE_STEPS);
    let per_s = |now: u64, before: u64| (now - before) as f64 / 10.0;
    let label = |what: &str| format!("model.{what}.{count}{suffix}");
    figure(&label("idle_store_calls_per_s"), per_s(world.store_calls, calls), "1/s");
    let per_daemon = per_s(world.messages, messages) / count as f64;
    figure(&label("idle_messages_per_s_daemon"), per_daemon, "1/s");
    let mut times = Histogram::<u64>::new(3).unwrap();
    let (calls, messages) = (world.store_calls, world.messages);
    for weight in 2..2 + CHANGES {
        let Some(mut spread) = spread_of(&mut world, weight) else { return false };
        spread.drain(..).for_each(|ms| times.record(ms).unwrap());
    }
    figure(&label("in_force_ms.p50"), times.value_at_quantile(0.5) as f64, "ms");
    figure(&label("in_force_ms.p99"), times.value_at_quantile(0.99) as f64, "ms");
    figure(&label("in_force_ms.max"), times.max() as f64, "ms");
    let calls = (world.store_calls - calls) as f64 / f64::from(CHANGES);
    figure(&label("store_calls_per_change"), calls, "calls");
    let messages = (world.messages - messages) as f64 / f64::from(CHANGES) / count as f64;
    figure(&label("messages_per_change_daemon"), messages, "messages");
    true
}

/// Changes the weight, and gives for each daemon after how many milliseconds it was in force.
fn spread_of(world: &mut World, weight: u32) -> Option<Vec<u64>> {
    set(world, weight);
    let mut times = Vec::new();
    let mut waited = Duration::ZERO;
    let in_force = |world: &World| {
        let has = |weight_now: f64| weight_now == f64::from(weight);
        world.up().filter(|(_, s)| has(s.view().row(WORKSPACE, "match").weight)).count()
    };
    while times.len() < world.daemons.len() {
        if waited > MOST {
            return None;
        }
        world.steps(1);
        waited += crate::world::STEP;
        times.resize(in_force(world), waited.as_millis() as u64);
    }
    Some(times)
}

fn set(world: &World, weight: u32) {
    let operator = ConfigStore::new(world.store.clone(), "operator");
    if weight == 1 {
        operator.add_workspace(Workspace::new(WORKSPACE, "key", Vec::new())).unwrap();
    }
    let edit = RowEdit::new(WORKSPACE, "match").with_cell(Column::Weight, weight.to_string());
    operator.set(&[edit], None).unwrap();
}
