//! Stateful fuzzing with seeded schedules of faults, checked by an oracle that counts runs per key.

use crate::oracle::Outcome;
use crate::world::World;
use sorrellock_core::process::ledger::HolderCounts;
use std::env;

const STEPS: usize = 6_000;
const SEEDS: u64 = 300;
/// Number of seeds if SORRELLOCK_FUZZ_LONG is set.
const LONG_SEEDS: u64 = 20_000;

#[derive(Debug, Default)]
struct Totals {
    done: u64,
    not_run: u64,
    unknown: u64,
    mismatch: u64,
    refused_earlier: u64,
    holders: HolderCounts,
}

impl Totals {
    fn add(&mut self, world: &World) {
        let count = |end| world.oracle.counts.get(&end).copied().unwrap_or_default();
        self.done += count(Outcome::Done);
        self.not_run += count(Outcome::NotRun);
        self.unknown += count(Outcome::Unknown);
        self.mismatch += count(Outcome::Mismatch);
        self.refused_earlier += world.daemons.iter().map(|b| b.refused_earlier).sum::<u64>();
        for counts in world.holder_counts() {
            self.holders.conflicts += counts.conflicts;
            self.holders.answers_lost += counts.answers_lost;
            self.holders.settled += counts.settled;
            self.holders.existing += counts.existing;
            self.holders.lookups += counts.lookups;
            self.holders.archives += counts.archives;
            self.holders.merges += counts.merges;
            self.holders.swept += counts.swept;
            self.holders.stale_reads += counts.stale_reads;
            self.holders.downs += counts.downs;
        }
    }

    /// Checks that the schedules reached every outcome and fault that the test is meant to cover.
    fn check_coverage(&self) {
        let covered = [
            ("done", self.done),
            ("not run", self.not_run),
            ("unknown", self.unknown),
            ("mismatch", self.mismatch),
            ("refused for an earlier incarnation", self.refused_earlier),
            ("conflicts", self.holders.conflicts),
            ("answers lost", self.holders.answers_lost),
            ("settled", self.holders.settled),
            ("existing", self.holders.existing),
            ("lookups", self.holders.lookups),
            ("archives", self.holders.archives),
            ("merges", self.holders.merges),
            ("swept", self.holders.swept),
            ("stale reads", self.holders.stale_reads),
            ("downs", self.holders.downs),
        ];
        for (what, times) in covered {
            assert!(times > 0, "no schedule covered: {what}; {self:?}");
        }
    }
}

#[test]
fn each_key_runs_at_most_once_under_any_schedule() {
    let long = env::var_os("SORRELLOCK_FUZZ_LONG").is_some();
    let seeds = if long { LONG_SEEDS } else { SEEDS };
    let mut totals = Totals::default();

    for seed in 0..seeds {
        println!("seed {seed}");
        let mut world = World::new(seed);
        (0..STEPS).for_each(|_| world.step());
        let drained = world.drain();
        assert!(drained, "seed {seed}: no final outcome for {:?}", world.open());
        let missing = world.missing_objects();
        assert!(missing.is_empty(), "seed {seed}: heads refer to {missing:?}, which are gone");
        totals.add(&world);
    }

    println!("{totals:?}");
    totals.check_coverage();
}
