//! Fleets of the sizes that are planned for.

use super::world::{Size, World};
use std::time::Duration;

const SIZES: [(usize, f64); 3] = [(8, 40.0), (68, 120.0), (420, 400.0)];

fn calm(gateways: usize, per_s: f64) -> Size {
    Size { gateways, engines: 4, per_s, loss: 0.0, disturbances_per_s: 0.0 }
}

#[test]
fn fleets_of_any_size_keep_to_a_limit_and_use_it() {
    for (gateways, per_s) in SIZES {
        let size = Size { loss: 0.1, ..calm(gateways, per_s) };
        let mut world = World::new(size, 1);
        world.run(Duration::from_secs(2));

        world.name(0, Some("4.3"));
        world.run(Duration::from_secs(5));
        let since = world.now;
        world.run(Duration::from_secs(15));

        assert_eq!(world.worst(), None, "{size:?}");
        // It takes 64 in this time.
        let used = world.requests_since(0, since);
        assert!(used >= 45, "{size:?}: {used}");
        assert_eq!(world.refused, 0, "{size:?}: others have room");
    }
}

#[test]
fn requests_for_permits_grow_with_the_limit_and_not_with_the_fleet() {
    for (gateways, per_s) in SIZES {
        let mut world = World::new(calm(gateways, per_s), 1);
        world.run(Duration::from_secs(2));
        world.name(0, Some("4.3"));
        world.run(Duration::from_secs(5));

        let before = world.asked;
        world.run(Duration::from_secs(10));

        let per_s = (world.asked - before) as f64 / 10.0;
        println!("{gateways} gateways ask {per_s} times a second");
        assert!(per_s < 100.0, "{gateways} gateways ask {per_s} times a second");
    }
}

#[test]
fn a_limit_of_zero_lets_a_request_through_now_and_then() {
    let mut world = World::new(calm(8, 40.0), 1);
    world.run(Duration::from_secs(2));

    world.name(0, Some("0"));
    world.run(Duration::from_secs(3));
    let since = world.now;
    world.run(Duration::from_secs(20));
    let used = world.requests_since(0, since);
    world.name(0, None);
    world.run(Duration::from_secs(8));
    let withdrawn = world.now;
    world.run(Duration::from_secs(4));

    assert_eq!(world.worst(), None);
    assert!((2..=6).contains(&used), "{used}");
    // A quarter of forty a second.
    let after = world.requests_since(0, withdrawn);
    assert!(after > 25, "{after} in 4 s once the limit was withdrawn");
}

#[test]
fn where_all_engines_are_at_their_limits_requests_are_refused() {
    let mut world = World::new(calm(8, 40.0), 1);
    world.run(Duration::from_secs(2));

    (0..4).for_each(|engine| world.name(engine, Some("2")));
    world.run(Duration::from_secs(20));

    assert_eq!(world.worst(), None);
    // 800 requests come, of which 160 are allowed, and some before the limits are known.
    assert!(world.refused > 500, "{}", world.refused);
}

#[test]
fn limits_hold_while_the_gateways_that_grant_permits_are_parted_or_restarted_in_turn() {
    for gateways in [5, 6, 24, 31, 68] {
        let mut bound = 0;
        for limit in ["0", "0.3", "4.3", "40"] {
            for seed in 0..5 {
                let size = Size { loss: 0.05, ..calm(gateways, 240.0) };
                let mut world = World::new(size, seed);
                world.run(Duration::from_secs(2));
                world.name(0, Some(limit));
                world.run(Duration::from_secs(3));
                for _ in 0..25 {
                    world.disturb_keeper(0);
                    world.run(Duration::from_millis(900));
                }

                let worst = world.worst();
                assert_eq!(worst, None, "{gateways} gateways, limit {limit}, seed {seed}");
                bound += world.bound_requests(0);
            }
        }
        assert!(bound > 100, "{gateways} gateways: {bound} requests that a limit binds");
    }
}

#[test]
fn gateways_that_all_begin_apart_from_each_other_grant_no_more_than_the_limit_together() {
    for (gateways, per_s) in SIZES {
        let mut world = World::new(calm(gateways, per_s), 1);
        world.run(Duration::from_secs(2));
        world.name(0, Some("40"));
        world.run(Duration::from_secs(5));

        world.restart_all_apart(Duration::from_secs(20));
        // Each learns of the limit by an answer.
        world.run(Duration::from_secs(8));
        let since = world.now;
        world.run(Duration::from_secs(8));

        let granted = world.requests_since(0, since);
        assert!(granted <= 480, "{gateways} gateways: {granted}");
    }
}
