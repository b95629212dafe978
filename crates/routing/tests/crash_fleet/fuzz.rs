//! Random fleets, loads and disturbances.

use super::focused::{MIN_INNOCENTS_PER_HELD, play, worst_later_sends};
use super::world::Size;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// How often a request may be sent later than the window after its third crash.
const MAX_LATER_SENDS: usize = 3;

fn draw(rng: &mut StdRng) -> Size {
    Size {
        gateways: rng.random_range(2..40),
        engines: rng.random_range(3..40),
        per_s: rng.random_range(10.0..150.0),
        crashing: rng.random_range(1..4),
        repeats_per_s: rng.random_range(0.2..8.0),
        loss: rng.random_range(0.0..0.3),
        disturbances_per_s: rng.random_range(0.0..2.0),
        other_crashes_per_s: rng.random_range(0.0..0.5),
        bad_part_per_s: 0.0,
    }
}

#[test]
fn a_request_that_crashes_engines_is_held_back_by_disturbed_fleets() {
    let seeds = if std::env::var("SORRELLOCK_FUZZ_LONG").is_ok() { 2_000 } else { 60 };
    let (mut innocents, mut held, mut refused, mut crashes) = (0, 0, 0, 0);
    let mut parts = 0;

    for seed in 0..seeds {
        let size = draw(&mut StdRng::seed_from_u64(seed));
        let world = play(size, seed, Duration::from_secs(30));
        let later = worst_later_sends(&world);
        assert!(later <= MAX_LATER_SENDS, "seed {seed}: {later} later sends, {size:?}");
        innocents += world.innocents;
        parts += world.innocents_held.iter().filter(|one| one.is_part()).count();
        held += world.innocents_held.len();
        refused += world.innocents_refused;
        crashes += world.courses.values().map(|course| course.crashes.len()).sum::<usize>();
    }

    println!(
        "{innocents} innocent requests, {held} held back, {refused} refused; {crashes} crashes, {parts} of the held are parts"
    );
    assert!(held * MIN_INNOCENTS_PER_HELD <= innocents as usize, "{held} held of {innocents}");
}
