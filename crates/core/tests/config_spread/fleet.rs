//! Focused tests of whole fleets: start from peers, change of watchers, network partitions, and idle load.

use crate::focused::weight;
use crate::world::World;
use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::Revision;
use sorrellock_core::version::{Column, Spread, Workspace};
use sorrellock_ports::config::{ConfigStore, RowEdit};
use std::time::Duration;

/// Upper bound of every wait, in simulated time.
const SOON: Duration = Duration::from_secs(5);
const PLACES: [&str; 3] = ["pasila", "vantaa", "espoo"];

/// Creates a fleet with a first change in force at all daemons.
fn settled(count: usize) -> World {
    let mut world = World::new(&PLACES, count, 7);
    let operator = ConfigStore::new(world.store.clone(), "anna");
    operator.add_workspace(Workspace::new("treasury", "key", Vec::new())).unwrap();
    set(&world, "2");
    let in_force = |spread: &Spread<ManualClock>| spread.is_ready() && weight(spread) == 2.0;
    let all = world.until(SOON, |world| world.up().all(|(_, spread)| in_force(spread)));
    assert!(all.is_some());
    world
}

fn set(world: &World, weight: &str) -> Revision {
    let operator = ConfigStore::new(world.store.clone(), "anna");
    let edit = RowEdit::new("treasury", "match").with_cell(Column::Weight, weight);
    operator.set(&[edit], None).unwrap().into_result().unwrap().revision()
}

#[test]
fn a_new_daemon_starts_from_its_peers_while_the_store_is_down() {
    let mut world = settled(6);
    world.store.set_down(true);

    world.start(4);
    let ready = world.until(SOON, |world| world.spread(4).is_ready());

    assert!(ready.is_some());
    assert_eq!(weight(world.spread(4)), 2.0);
}

#[test]
fn a_change_is_in_force_everywhere_in_bounded_time() {
    let mut world = settled(30);

    let revision = set(&world, "3");
    let all = |world: &World| {
        world.up().all(|(_, spread)| weight(spread) == 3.0 && spread.applied() >= revision)
    };

    // Updates are pushed: periodic comparisons alone take longer.
    assert!(world.until(Duration::from_millis(1_500), all).is_some());
}

#[test]
fn two_daemons_a_place_watch_and_others_take_over() {
    let mut world = settled(12);
    let watchers = |world: &World| -> Vec<usize> {
        world.up().filter(|(_, spread)| spread.is_watching()).map(|(number, _)| number).collect()
    };
    let before = watchers(&world);

    before.iter().for_each(|number| world.kill(*number));
    world.steps(100);
    let after = watchers(&world);
    set(&world, "3");
    let all = world.until(SOON, |world| world.up().all(|(_, spread)| weight(spread) == 3.0));

    assert_eq!((before.len(), after.len()), (6, 6));
    assert!(after.iter().all(|number| !before.contains(number)));
    assert!(all.is_some());
}

#[test]
fn a_place_cut_off_goes_on_from_the_store_and_one_without_store_from_the_others() {
    let mut world = settled(9);
    world.is_partitioned = true;
    world.steps(50);

    set(&world, "3");

    let all = world.until(SOON, |world| world.up().all(|(_, spread)| weight(spread) == 3.0));
    assert!(all.is_some());
}

#[test]
fn an_idle_fleet_makes_few_calls_and_messages() {
    let mut world = settled(30);
    let (calls, messages) = (world.store_calls, world.messages);

    world.steps(3_000);

    let seconds = 60;
    let (calls, messages) = (world.store_calls - calls, world.messages - messages);
    // In each of three data centres, one watcher starts a watch every two seconds, so that a silence of the store that
    // lost all watches is detected in time, and the other one every ten seconds. Each of thirty daemons sends one
    // summary per second, each watcher one more, and those that differ are answered.
    assert!(calls <= 3 * (seconds / 2 + seconds / 10 + 1), "{calls} calls");
    assert!(messages <= 3 * seconds * (30 + 6), "{messages} messages");
}
