//! Disturbances of all kinds at random.

use super::world::{Size, World};
use quickcheck::quickcheck;
use rand::RngExt;
use std::time::Duration;

/// Number of disturbances of a run.
const ROUNDS: usize = 12;

fn disturb(world: &mut World) {
    let gateways = world.size.gateways;
    let first = world.rng.random_range(0..gateways);
    let last = world.rng.random_range(first..gateways) + 1;
    let down = Duration::from_millis(world.rng.random_range(20..3_000));
    match world.rng.random_range(0..7) {
        0 => world.restart_all(down),
        1 => (first..last).for_each(|gateway| world.restart(gateway, down)),
        2 => {
            world.cut_off(first..last);
            (first..last).for_each(|gateway| world.restart(gateway, down));
        }
        3 => (first..last).for_each(|gateway| world.set_reaches_store(gateway, false)),
        4 => (first..last).for_each(|gateway| world.set_group(gateway, 1)),
        5 => world.load = world.rng.random_range(0.2..3.0),
        _ => world.heal(),
    }
}

quickcheck! {
    fn the_budget_holds_whatever_begins_ends_and_is_cut_off(seed: u64, gateways: u8) -> bool {
        let gateways = usize::from(gateways % 40) + 2;
        let size = Size {
            gateways,
            per_s: 60.0 / gateways as f64,
            send_interval: Duration::from_millis(240),
            loss: 0.1,
        };
        let mut world = World::new(size, seed);
        world.run(Duration::from_secs(15));
        world.are_failing = true;
        for _ in 0..ROUNDS {
            disturb(&mut world);
            let pause = world.rng.random_range(200..9_000);
            world.run(Duration::from_millis(pause));
        }
        let worst = world.worst();
        if worst > 1.0 {
            eprintln!("seed {seed}, {gateways} gateways: {worst:.2} of the repeats allowed");
        }
        worst <= 1.0
    }
}
