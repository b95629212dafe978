//! Random fleets, loads, limits and disturbances.

use super::world::{Size, World};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

fn draw(rng: &mut StdRng) -> Size {
    Size {
        gateways: rng.random_range(1..60),
        engines: rng.random_range(1..6),
        per_s: rng.random_range(5.0..200.0),
        loss: rng.random_range(0.0..0.3),
        disturbances_per_s: rng.random_range(0.0..1.0),
    }
}

#[test]
fn limits_that_engines_name_change_and_withdraw_hold_for_disturbed_fleets() {
    let seeds = if std::env::var("SORRELLOCK_FUZZ_LONG").is_ok() { 2_000 } else { 60 };

    for seed in 0..seeds {
        let mut rng = StdRng::seed_from_u64(seed);
        let size = draw(&mut rng);
        let mut world = World::new(size, seed);
        world.run(Duration::from_secs(2));
        for _ in 0..5 {
            let engine = rng.random_range(0..size.engines);
            let limits = [None, Some("0"), Some("0.7"), Some("2"), Some("4.3"), Some("12")];
            world.name(engine, *limits.choose(&mut rng).expect("some"));
            world.run(Duration::from_millis(rng.random_range(500..12_000)));
        }

        let worst = world.worst();
        assert_eq!(worst, None, "seed {seed}: requests in 4 s and those allowed, {size:?}");
    }
}
