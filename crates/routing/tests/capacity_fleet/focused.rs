//! One failure at a time.

use super::world::{World, capacity};
use std::time::Duration;

const SIZES: [usize; 4] = [8, 29, 68, 300];
/// Time until as many streams end as begin.
const WARM_UP: Duration = Duration::from_secs(8);

/// A fleet under a load at which capacity is scarce.
fn loaded(gateways: usize, factor: f64) -> World {
    let mut world = World::new(gateways, gateways as u64);
    world.run(capacity() * factor, WARM_UP);
    world.reset();
    world
}

fn lasts(gateways: usize) -> Duration {
    Duration::from_secs(if gateways > 100 { 7 } else { 10 })
}

#[track_caller]
fn check_bound(world: &World, gateways: usize) {
    let (tokens, streams) = world.fullest;
    assert!(tokens <= 1.0, "{gateways} gateways: {tokens} of the tokens");
    assert!(streams <= 1.0, "{gateways} gateways: {streams} of the streams");
}

#[track_caller]
fn check_use(world: &World, gateways: usize) {
    assert!(world.refused > 0, "it is scarce");
    assert!(world.used() >= 0.9, "{gateways} gateways: {} used", world.used());
}

#[test]
fn engines_are_never_over_filled_and_used_while_requests_wait() {
    for gateways in SIZES {
        for factor in [1.3, 2.0] {
            let mut world = loaded(gateways, factor);

            world.run(capacity() * factor, lasts(gateways));

            check_bound(&world, gateways);
            check_use(&world, gateways);
        }
    }
}

#[test]
fn a_burst_from_half_the_load_over_fills_no_engine() {
    for gateways in SIZES {
        let mut world = loaded(gateways, 0.5);

        world.run(capacity() * 2.5, lasts(gateways));

        check_bound(&world, gateways);
    }
}

#[test]
fn a_crowd_at_one_gateway_gets_the_capacity_that_others_leave() {
    for gateways in SIZES {
        let mut world = World::new(gateways, 1);
        world.crowd = 0.8;
        world.run(capacity() * 1.5, WARM_UP);
        world.reset();

        world.run(capacity() * 1.5, lasts(gateways));

        check_bound(&world, gateways);
        check_use(&world, gateways);
    }
}

#[test]
fn messages_that_are_lost_over_fill_no_engine() {
    for gateways in SIZES {
        let mut world = loaded(gateways, 1.5);
        world.loss = 0.2;

        world.run(capacity() * 1.5, lasts(gateways));

        check_bound(&world, gateways);
        check_use(&world, gateways);
    }
}

#[test]
fn a_keeper_that_dies_with_a_full_queue_is_replaced() {
    for gateways in SIZES {
        let mut world = loaded(gateways, 1.5);
        let keeper = world.keeper();
        world.restart(keeper);

        world.run(capacity() * 1.5, lasts(gateways));

        check_bound(&world, gateways);
        check_use(&world, gateways);
    }
}

#[test]
fn a_keeper_that_pauses_for_a_second_holds_up_nobody_for_longer() {
    for gateways in SIZES {
        let mut world = loaded(gateways, 1.5);
        let keeper = world.keeper();
        world.gateways[keeper].frozen_until = Some(world.now() + Duration::from_secs(1));

        world.run(capacity() * 1.5, lasts(gateways));

        check_bound(&world, gateways);
        check_use(&world, gateways);
    }
}

#[test]
fn gateways_that_are_cut_off_from_the_others_over_fill_no_engine() {
    for gateways in SIZES {
        let mut world = loaded(gateways, 1.5);
        world.cut_off = vec![0];

        world.run(capacity() * 1.5, lasts(gateways));

        check_bound(&world, gateways);
        check_use(&world, gateways);
    }
}

#[test]
fn gateways_that_start_one_after_the_other_over_fill_no_engine() {
    for gateways in SIZES {
        let mut world = loaded(gateways, 1.5);
        for index in 0..gateways.min(10) {
            world.restart(index);
            world.run(capacity() * 1.5, Duration::from_millis(400));
        }

        check_bound(&world, gateways);
    }
}

#[test]
fn a_seed_always_gives_the_same_course() {
    let course = || {
        let mut world = loaded(8, 1.5);
        world.restart(0);
        world.run(capacity() * 1.5, Duration::from_secs(2));
        (world.fullest, world.started, world.refused)
    };

    assert_eq!(course(), course());
}
