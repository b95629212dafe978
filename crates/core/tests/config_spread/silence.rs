//! After the store was silent for any length of time, a change must be in force at all daemons in time.
//!
//! Guards against a fault first seen at another interface of the product: changes that the store had acknowledged came
//! into force up to nine seconds after a silence of three. A change reaches all watchers at once, so that they start
//! their next watches together; these calls fall into the silence and are never answered. Only the time limit of the
//! watch itself detected that. These tests run the same scenario with daemons on a manual clock.

use crate::focused::weight;
use crate::world::World;
use sorrellock_core::version::{Column, Workspace};
use sorrellock_ports::config::{ConfigStore, RowEdit};
use std::time::Duration;

/// Time within which an accepted change must be in force at all daemons.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(4);
const PLACES: [&str; 3] = ["pasila", "vantaa", "espoo"];

fn set(world: &World, weight: f64) {
    let operator = ConfigStore::new(world.store.clone(), "anna");
    let edit = RowEdit::new("treasury", "match").with_cell(Column::Weight, weight.to_string());
    operator.set(&[edit], None).unwrap().into_result().unwrap();
}

fn until_all_have(world: &mut World, wanted: f64) -> Option<Duration> {
    let all = |world: &World| world.up().all(|(_, spread)| weight(spread) == wanted);
    world.until(IN_FORCE_WITHIN, all)
}

/// Creates a fleet with a first change in force at all daemons.
fn settled(seed: u64) -> World {
    let mut world = World::new(&PLACES, 12, seed);
    let operator = ConfigStore::new(world.store.clone(), "anna");
    operator.add_workspace(Workspace::new("treasury", "key", Vec::new())).unwrap();
    set(&world, 2.0);
    assert!(until_all_have(&mut world, 2.0).is_some());
    world
}

#[test]
fn a_change_after_a_silence_of_any_length_is_in_force_everywhere_in_time() {
    for silence_ms in [100, 300, 1_000, 3_000, 6_000, 9_000, 12_000, 15_000, 30_000] {
        let mut worst = Duration::ZERO;
        for steps_before in 0..12 {
            let mut world = settled(steps_before);
            set(&world, 3.0);
            world.steps(steps_before);

            world.silence(Duration::from_millis(silence_ms));
            set(&world, 4.0);

            let took = until_all_have(&mut world, 4.0);
            let after = format!("after {silence_ms} ms, begun {steps_before} steps after a change");
            assert!(took.is_some(), "not in force {IN_FORCE_WITHIN:?} {after}");
            worst = worst.max(took.unwrap_or_default());
        }
        println!("after {silence_ms} ms of silence: in force everywhere {worst:?} at most");
    }
}
