//! Fuzz test of pipeline requests: random schedules of steps, losses, duplicates, reorderings, kills,
//! freezes, wakes, drains and repairs over several requests and replicas. An oracle checks that each
//! layer ran every emitted token once, in order, from the tokens before it, that each request ends, and
//! that everything is freed.

mod pipeline;

use pipeline::world::{Tally, World};
use std::panic::{AssertUnwindSafe, catch_unwind};

/// The first seed; a failure prints the failing seed.
const SEED: u64 = 20_261_202;
/// Number of schedules in CI.
const SCHEDULES: u64 = 2_000;
/// Exclusive upper bound of the steps with faults in a schedule.
const STEPS: u64 = 3_000;

#[test]
fn whatever_fails_each_layer_runs_once_a_token_in_order() {
    let long = std::env::var("SORRELLOCK_FUZZ_LONG").ok().and_then(|count| count.parse().ok());
    let schedules: u64 = long.unwrap_or(SCHEDULES);
    let mut sum = Tally::default();

    for seed in SEED..SEED + schedules {
        let run = || {
            let mut world = World::new(seed);
            world.run((seed * 37 % STEPS) as usize);
            world.tally
        };
        let tally = catch_unwind(AssertUnwindSafe(run));
        let tally = tally.unwrap_or_else(|_| panic!("the schedule of seed {seed} failed"));
        add(&mut sum, &tally);
    }

    println!("{schedules} schedules from seed {SEED}: {sum:?}");
    assert!(sum.attempts > 2 * sum.requests, "the schedules made repairs necessary: {sum:?}");
}

fn add(sum: &mut Tally, one: &Tally) {
    sum.requests += one.requests;
    sum.tokens += one.tokens;
    sum.attempts += one.attempts;
    sum.kills += one.kills;
    sum.freezes += one.freezes;
    sum.drains += one.drains;
    sum.lost += one.lost;
    sum.repeated += one.repeated;
    sum.closed += one.closed;
    sum.pauses += one.pauses;
}
