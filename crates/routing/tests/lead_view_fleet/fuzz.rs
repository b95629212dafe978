//! Random changes, leads, freezes and restarts.

use super::world::{Size, World};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

fn draw(rng: &mut StdRng) -> Size {
    Size {
        gateways: rng.random_range(2..40),
        engines: rng.random_range(1..900),
        loss: rng.random_range(0.0..0.4),
    }
}

#[test]
fn all_gateways_have_the_view_of_the_lead_once_it_is_calm() {
    let seeds = if std::env::var("SORRELLOCK_FUZZ_LONG").is_ok() { 2_000 } else { 60 };

    for seed in 0..seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let size = draw(&mut rng);
        let mut world = World::new(size, seed);
        for _ in 0..12 {
            let index = rng.random_range(0..size.gateways);
            match rng.random_range(0..5) {
                0 => world.change_lead(index),
                1 => world.restart(index),
                2 => world.freeze(index, Duration::from_millis(rng.random_range(100..5_000))),
                3 => world.replace(rng.random_range(0..size.engines)),
                _ => world.change(rng.random_range(1..size.engines + 1)),
            }
            world.run(Duration::from_millis(rng.random_range(25..1_500)));
        }

        world.run(Duration::from_secs(9));

        assert_eq!(world.differing(), 0, "seed {seed}: {size:?}");
    }
}
