//! Compares membership with a naive version, in which every process sends a heartbeat to all others in
//! every tick: the same faults must lead to the same views.

mod common;

use common::fleet_sim::{FleetSim, TICKS_PER_S};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::id::Incarnation;
use std::collections::{BTreeMap, BTreeSet};

const SEED: u64 = 41;
/// Ticks of silence after which the naive version considers a process gone.
const SILENCE: u64 = 3 * TICKS_PER_S as u64;

/// The tick of the last heartbeat that each process received from each other one.
#[derive(Default)]
struct Naive {
    last_contact: BTreeMap<Incarnation, BTreeMap<Incarnation, u64>>,
    now: u64,
}

impl Naive {
    /// Sends a heartbeat of each running process to all that it can reach.
    fn tick(&mut self, sim: &FleetSim) {
        self.now += 1;
        let acting: Vec<_> = sim.nodes.iter().filter(|node| node.running && !node.paused).collect();
        for from in &acting {
            for to in &acting {
                let cut = from.place != to.place
                    && (sim.cut_places.contains(&from.place) || sim.cut_places.contains(&to.place));
                if !cut && !from.leaving {
                    let last_contact = self.last_contact.entry(to.peer.incarnation).or_default();
                    last_contact.insert(from.peer.incarnation, self.now);
                }
            }
        }
    }

    fn live(&self, of: Incarnation) -> BTreeSet<Incarnation> {
        let Some(last_contact) = self.last_contact.get(&of) else { return BTreeSet::new() };
        let recent = last_contact.iter().filter(|(_, at)| self.now - **at < SILENCE);
        recent.map(|(incarnation, _)| *incarnation).collect()
    }
}

fn run(sim: &mut FleetSim, naive: &mut Naive, ticks: usize) {
    for _ in 0..ticks {
        sim.tick();
        naive.tick(sim);
    }
}

fn assert_same(sim: &FleetSim, naive: &Naive, round: usize) {
    for node in sim.nodes.iter().filter(|node| node.running && !node.paused) {
        let view = node.membership.view();
        let live: BTreeSet<_> = view.live().map(|fact| fact.peer.incarnation).collect();
        assert_eq!(live, naive.live(node.peer.incarnation), "round {round}");
    }
}

#[test]
fn ends_in_the_views_of_the_naive_version() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let mut sim = FleetSim::started(SEED, 18, 3);
    let mut naive = Naive::default();

    for round in 0..12 {
        for _ in 0..2 {
            let index = rng.random_range(3..sim.nodes.len());
            match rng.random_range(0..6) {
                0 => sim.kill(index),
                1 | 2 => sim.restart(index),
                3 => sim.pause(index),
                4 => sim.leave(index),
                _ => drop(sim.cut_places.insert(rng.random_range(0..3))),
            }
        }
        run(&mut sim, &mut naive, 20 * TICKS_PER_S);
        assert_same(&sim, &naive, round);
        sim.heal();
        run(&mut sim, &mut naive, 20 * TICKS_PER_S);
        assert_same(&sim, &naive, round);
    }
}
