//! Stateful fuzzing of membership: many state machines with random faults, compared with the truth.

mod common;

use common::fleet_sim::{FleetSim, TICKS_PER_S};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 20_261_202;
/// Number of ticks after the end of all faults within which all views must equal the truth.
const BOUND: usize = 40 * TICKS_PER_S;
const PLACES: usize = 3;

#[derive(Clone, Debug)]
enum Op {
    Join(usize),
    Kill(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Leave(usize),
    CutPlace(usize),
    SplitPlace(usize),
    Lose(u8),
    ListDown,
    Heal,
    Run(u8),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let number = usize::arbitrary(g);
        match u8::arbitrary(g) % 20 {
            0 => Op::Join(number),
            1 | 2 => Op::Kill(number),
            3 | 4 => Op::Restart(number),
            5 | 6 => Op::Pause(number),
            7 => Op::Resume(number),
            8 => Op::Leave(number),
            9 => Op::CutPlace(number),
            10 => Op::SplitPlace(number),
            11 => Op::Lose(u8::arbitrary(g)),
            12 => Op::ListDown,
            13 => Op::Heal,
            _ => Op::Run(u8::arbitrary(g)),
        }
    }
}

fn apply(sim: &mut FleetSim, op: &Op) {
    let at = |number: usize| number % sim.nodes.len();
    match *op {
        Op::Join(place) if sim.nodes.len() < 24 => {
            sim.join(place % PLACES);
        }
        Op::Join(_) => {}
        // The first process of each place is never killed, so that the others can contact it.
        Op::Kill(number) if at(number) >= PLACES => sim.kill(at(number)),
        Op::Kill(_) => {}
        Op::Restart(number) => sim.restart(at(number)),
        Op::Pause(number) => sim.pause(at(number)),
        Op::Resume(number) => sim.resume(at(number)),
        Op::Leave(number) => sim.leave(at(number)),
        Op::CutPlace(place) => {
            sim.cut_places.insert(place % PLACES);
        }
        Op::SplitPlace(place) => {
            sim.split_places.insert(place % PLACES);
        }
        Op::Lose(percent) => sim.loss = f64::from(percent % 50) / 100.0,
        Op::ListDown => sim.list_works = false,
        Op::Heal => sim.heal(),
        Op::Run(ticks) => sim.run(usize::from(ticks % 80)),
    }
}

fn all_agree_once_healed(ops: Vec<Op>, seed: u64) -> bool {
    let mut sim = FleetSim::started(seed, 12, PLACES);

    ops.iter().for_each(|op| apply(&mut sim, op));
    sim.heal();
    let agreed = sim.run_until_agreed(BOUND);

    if agreed.is_none() {
        println!("seed {seed}: {}", sim.disagreement().unwrap_or_default());
    }
    agreed.is_some()
}

#[test]
fn all_agree_within_bounded_rounds_once_healed() {
    let long = std::env::var("SORRELLOCK_FUZZ_LONG").is_ok();
    println!("seed {SEED}");

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(if long { 3_000 } else { 60 })
        .quickcheck(all_agree_once_healed as fn(Vec<Op>, u64) -> bool);
}
