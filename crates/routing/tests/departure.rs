//! Streams on a path with a leaving engine: how many are moved, and how many at once.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_routing::process::Departure;
use std::time::{Duration, Instant};

const SERVES_FOR: Duration = Duration::from_secs(4);
const STREAMS: usize = 200;
/// Maximum time that a stream has left: three seconds on average.
const MAX_REMAINING: Duration = Duration::from_secs(6);
/// An engine that takes over a part reads the prompts of streams that moved within this time together.
const BATCH: Duration = Duration::from_millis(100);

/// Returns when the streams that are still running move, counted from when the leave is known.
fn moves(seed: u64) -> Vec<Duration> {
    let mut rng = StdRng::seed_from_u64(seed);
    let known = Instant::now();
    let departure = Departure::new(known, SERVES_FOR);
    let remaining_times = (0..STREAMS).map(|_| {
        let remaining = MAX_REMAINING.mul_f64(rng.random_range(0.0..1.0));
        let move_at = departure.move_at(rng.random_range(0.0..1.0)) - known;
        (move_at < remaining).then_some(move_at)
    });
    remaining_times.flatten().collect()
}

#[test]
fn streams_that_end_before_the_engine_does_are_not_moved() {
    for seed in 0..20 {
        let moved = moves(seed).len();

        assert!((STREAMS / 2..STREAMS * 3 / 4).contains(&moved), "seed {seed}: {moved} moved");
    }
}

#[test]
fn moves_come_one_after_the_other() {
    for seed in 0..20 {
        let moves = moves(seed);
        let at_once = |from: &Duration| {
            moves.iter().filter(|at| (*from..*from + BATCH).contains(*at)).count()
        };
        let max_at_once = moves.iter().map(at_once).max().expect("some move");

        assert!(max_at_once <= STREAMS / 6, "seed {seed}: {max_at_once} at once");
    }
}

#[test]
fn all_streams_move_before_the_engine_exits_if_its_leave_is_known_a_second_late() {
    let left = Instant::now();
    let known = left + Duration::from_secs(1);

    for serves_for in [2, 3, 4].map(Duration::from_secs) {
        let last = Departure::new(known, serves_for).move_at(1.0);

        assert!(last + Duration::from_millis(500) <= left + serves_for, "{serves_for:?}");
    }
}

#[test]
fn streams_move_at_once_if_the_engine_exits_soon() {
    let known = Instant::now();

    assert_eq!(Departure::new(known, Duration::from_secs(1)).move_at(1.0), known);
}

#[test]
fn a_spread_out_of_range_moves_no_stream_later() {
    let known = Instant::now();
    let departure = Departure::new(known, SERVES_FOR);

    assert_eq!(departure.move_at(7.0), departure.move_at(1.0));
}
