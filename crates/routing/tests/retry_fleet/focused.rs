//! One kind of disturbance each, on fleets of several sizes.

use super::world::{Size, World};
use std::time::Duration;

const DOWN: Duration = Duration::from_millis(300);

/// Gateways, requests a second at each, and ms between messages.
const SIZES: [(usize, f64, u64); 5] =
    [(6, 6.0, 100), (32, 1.0, 240), (32, 10.0, 240), (68, 3.0, 500), (300, 1.0, 2_000)];

fn worlds() -> impl Iterator<Item = World> {
    SIZES.into_iter().map(|(gateways, per_s, ms)| {
        let send_interval = Duration::from_millis(ms);
        World::new(Size { gateways, per_s, send_interval, loss: 0.05 }, 1)
    })
}

/// Runs a fleet until it is settled, and lets its requests fail from then on.
fn settle_and_fail(world: &mut World) {
    world.run(Duration::from_secs(30));
    world.are_failing = true;
    world.run(Duration::from_secs(12));
}

/// Plays a scenario on fleets of all sizes, and checks the repeats of each.
fn assert_within_budget(scenario: impl Fn(&mut World)) {
    let worst = worlds().map(|mut world| {
        scenario(&mut world);
        (world.size.gateways, world.worst())
    });
    let worst: Vec<(usize, f64)> = worst.collect();
    let is_within = worst.iter().all(|(_, share)| *share <= 1.0);
    assert!(is_within, "gateways, and the share of the repeats allowed: {worst:.2?}");
}

/// Checks that a fleet uses at least half of the budget in the next window.
fn assert_uses_half(world: &mut World) {
    let since = world.now;
    world.run(Duration::from_secs(10));
    let (used, allowed) = (world.repeats_since(since) as f64, world.allowed(since));
    assert!(used >= 0.5 * allowed, "{:?}: {used} of {allowed}", world.size);
}

#[test]
fn a_settled_fleet_keeps_to_the_budget_and_uses_half_of_it() {
    assert_within_budget(|world| {
        settle_and_fail(world);
        assert_uses_half(world);
    });
}

#[test]
fn repeats_of_processes_that_ended_count_in_the_window_of_their_successors() {
    assert_within_budget(|world| {
        settle_and_fail(world);

        world.restart_all(DOWN);
        world.run(Duration::from_secs(25));
    });
}

#[test]
fn processes_that_begin_again_and_again_keep_to_the_budget() {
    assert_within_budget(|world| {
        settle_and_fail(world);

        for _ in 0..8 {
            world.restart_all(DOWN);
            world.run(Duration::from_secs(3));
        }
        world.run(Duration::from_secs(15));
    });
}

#[test]
fn processes_that_begin_one_after_the_other_keep_to_the_budget() {
    assert_within_budget(|world| {
        settle_and_fail(world);

        for gateway in 0..world.size.gateways.min(32) {
            world.restart(gateway, DOWN);
            world.run(Duration::from_millis(700));
        }
    });
}

#[test]
fn processes_that_begin_without_others_or_the_store_in_reach_keep_to_the_budget() {
    assert_within_budget(|world| {
        settle_and_fail(world);

        world.cut_off(0..world.size.gateways);
        world.restart_all(DOWN);
        world.run(Duration::from_secs(40));
    });
}

#[test]
fn a_third_that_begins_without_the_others_in_reach_keeps_to_the_budget() {
    assert_within_budget(|world| {
        settle_and_fail(world);

        let third = world.size.gateways / 3;
        world.cut_off(0..third);
        (0..third).for_each(|gateway| world.restart(gateway, DOWN));
        world.run(Duration::from_secs(30));
        world.heal();
        world.run(Duration::from_secs(15));
    });
}

#[test]
fn halves_that_begin_apart_from_each_other_beside_a_silent_store_keep_to_the_budget() {
    assert_within_budget(|world| {
        settle_and_fail(world);

        for gateway in 0..world.size.gateways {
            world.set_group(gateway, gateway % 2);
            world.set_reaches_store(gateway, false);
        }
        world.restart_all(DOWN);
        world.run(Duration::from_secs(30));
    });
}

#[test]
fn a_first_start_that_loses_the_store_after_a_second_keeps_to_the_budget() {
    assert_within_budget(|world| {
        world.are_failing = true;
        for gateway in 0..world.size.gateways {
            world.set_group(gateway, gateway + 1);
            world.restart(gateway, Duration::from_millis(20 * gateway as u64));
        }

        world.run(Duration::from_secs(1));
        world.cut_off(0..world.size.gateways);
        world.run(Duration::from_secs(30));
    });
}

#[test]
fn a_fleet_that_has_begun_again_uses_half_of_the_budget_once_it_has_settled() {
    for mut world in worlds() {
        settle_and_fail(&mut world);
        world.restart_all(DOWN);
        world.run(Duration::from_secs(25));

        assert_uses_half(&mut world);
    }
}
