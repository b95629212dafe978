//! Fuzz tests of the fair queue, against a naive model and against exact shares by weight.

use quickcheck::{Arbitrary, Gen};
use sorrellock_core::process::{FairQueue, Queued};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const SEED: u64 = 0x5eed_0001;
const NAMES: [&str; 4] = ["a", "b", "c", "d"];

/// Number of fuzz rounds; `SORRELLOCK_FUZZ_LONG` sets many.
fn rounds() -> u64 {
    if std::env::var_os("SORRELLOCK_FUZZ_LONG").is_some() { 20_000 } else { 300 }
}

#[derive(Clone, Copy, Debug)]
enum Op {
    Push { workspace: usize, cost: u8 },
    Pop,
    Finish { pick: usize, correction: i8 },
    Remove { pick: usize },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let workspace = usize::arbitrary(g) % NAMES.len();
        match u8::arbitrary(g) % 8 {
            0..=3 => Op::Push { workspace, cost: u8::arbitrary(g).max(1) },
            4 | 5 => Op::Pop,
            6 => Op::Finish { pick: usize::arbitrary(g), correction: i8::arbitrary(g) },
            _ => Op::Remove { pick: usize::arbitrary(g) },
        }
    }
}

fn weight(workspace: usize) -> f64 {
    [1.0, 2.0, 3.0, 0.5][workspace]
}

fn queued(ticket: u64, workspace: usize, cost: f64, now: Instant) -> Queued {
    let deadline = now + Duration::from_secs(60);
    Queued { ticket, weight: weight(workspace), known: 0.0, cost, bytes: 1, deadline }
}

/// Naive model of the same scheduling rule.
#[derive(Default)]
struct Naive {
    virtual_time: f64,
    finish: [f64; 4],
    waiting: [BTreeMap<u64, f64>; 4],
}

impl Naive {
    fn push(&mut self, workspace: usize, ticket: u64, cost: f64) {
        if self.waiting[workspace].is_empty() {
            self.finish[workspace] = self.finish[workspace].max(self.virtual_time);
        }
        self.waiting[workspace].insert(ticket, cost);
    }

    fn pop(&mut self) -> Option<u64> {
        let waiting = (0..4).filter(|workspace| !self.waiting[*workspace].is_empty());
        let next = waiting.min_by(|a, b| self.finish[*a].total_cmp(&self.finish[*b]))?;
        let (ticket, cost) = self.waiting[next].pop_first()?;
        self.virtual_time = self.virtual_time.max(self.finish[next]);
        self.finish[next] += cost / weight(next);
        Some(ticket)
    }

    fn remove(&mut self, ticket: u64) -> bool {
        self.waiting.iter_mut().any(|waiting| waiting.remove(&ticket).is_some())
    }
}

#[test]
fn the_order_is_that_of_a_naive_queue() {
    println!("seed {SEED:#x}");
    for round in 0..rounds() {
        let mut g = Gen::from_size_and_seed(200, SEED + round);
        let ops = Vec::<Op>::arbitrary(&mut g);
        let (mut queue, mut naive) = (FairQueue::new(), Naive::default());
        let now = Instant::now();
        let (mut tickets, mut started) = (0, Vec::new());

        for op in ops {
            match op {
                Op::Push { workspace, cost } => {
                    tickets += 1;
                    let queued = queued(tickets, workspace, f64::from(cost), now);
                    queue.push(NAMES[workspace], queued);
                    naive.push(workspace, tickets, f64::from(cost));
                }
                Op::Pop => {
                    let popped = queue.pop();
                    let ticket = popped.as_ref().map(|(_, queued)| queued.ticket);
                    assert_eq!(ticket, naive.pop(), "round {round}");
                    started.extend(popped.map(|(workspace, _)| workspace));
                }
                Op::Finish { pick, correction } if !started.is_empty() => {
                    let workspace = started.swap_remove(pick % started.len());
                    let index = NAMES.iter().position(|name| *name == workspace).unwrap();
                    queue.finish(&workspace, weight(index), f64::from(correction));
                    naive.finish[index] += f64::from(correction) / weight(index);
                }
                Op::Remove { pick } if tickets > 0 => {
                    let ticket = pick as u64 % tickets + 1;
                    assert_eq!(queue.remove(ticket).is_some(), naive.remove(ticket));
                }
                Op::Finish { .. } | Op::Remove { .. } => {}
            }
            let waiting: usize = naive.waiting.iter().map(BTreeMap::len).sum();
            let work: f64 = naive.waiting.iter().flat_map(BTreeMap::values).sum();
            assert_eq!((queue.len(), queue.bytes()), (waiting, waiting as u64), "round {round}");
            assert!((queue.backlog() - work).abs() < 1e-6, "round {round}");
        }
    }
}

#[test]
fn work_is_shared_by_weight_to_within_a_request_each() {
    println!("seed {SEED:#x}");
    for round in 0..rounds() {
        let mut g = Gen::from_size_and_seed(400, SEED + round);
        let (mut queue, now) = (FairQueue::new(), Instant::now());
        let mut done = [0.0; 4];
        let mut largest = [0.0_f64; 4];
        for ticket in 0..400 {
            let workspace = ticket as usize % 4;
            let cost = f64::from(u8::arbitrary(&mut g).max(1));
            queue.push(NAMES[workspace], queued(ticket, workspace, cost, now));
        }

        for _ in 0..100 {
            let (name, queued) = queue.pop().unwrap();
            let workspace = NAMES.iter().position(|known| *known == name).unwrap();
            let actual = f64::from(u8::arbitrary(&mut g).max(1));
            queue.finish(&name, weight(workspace), actual - queued.cost);
            done[workspace] += actual;
            largest[workspace] = largest[workspace].max(actual);
        }

        for a in 0..4 {
            for b in 0..4 {
                let difference = (done[a] / weight(a) - done[b] / weight(b)).abs();
                let bound = largest[a] / weight(a) + largest[b] / weight(b);
                assert!(difference <= bound + 1e-6, "round {round}: {done:?}, bound {bound}");
            }
        }
    }
}
