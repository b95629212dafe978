//! Work done for workspaces against their weights, under overload by all of them.

use crate::figure;
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::admission::{AdmissionQueue, Demand, Ended, QueueBounds, Verdict};
use sorrellock_core::version::Class;
use sorrellock_local::Dice;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

const SLOTS: usize = 32;
const REQUESTS: u64 = 60_000;
/// Weight of each workspace, and the mean work of its requests.
const WORKSPACES: [(f64, f64); 6] =
    [(1.0, 50.0), (1.0, 800.0), (2.0, 50.0), (2.0, 300.0), (4.0, 1000.0), (4.0, 100.0)];
/// Requests that each workspace keeps waiting.
const DEPTH: usize = 20;
/// Time of one token.
const TOKEN: Duration = Duration::from_micros(500);

/// Gives a slot to one request after another.
trait Queue {
    fn offer(&mut self, ticket: u64, workspace: usize, prompt: f64);
    fn end(&mut self, ticket: u64, work: f64);
    fn started(&mut self) -> Vec<u64>;
}

struct Fair {
    clock: ManualClock,
    queue: AdmissionQueue<ManualClock>,
    started: Vec<u64>,
}

impl Queue for Fair {
    fn offer(&mut self, ticket: u64, workspace: usize, prompt: f64) {
        let demand = Demand {
            ticket,
            workspace: format!("workspace-{workspace}"),
            class: Class::Routine,
            weight: WORKSPACES[workspace].0,
            known_work: prompt,
            max_extra_work: 1e6,
            bytes: 0,
            deadline: self.clock.now() + Duration::from_secs(1_000_000),
        };
        if self.queue.offer(demand) == Verdict::Start {
            self.started.push(ticket);
        }
    }

    fn end(&mut self, ticket: u64, work: f64) {
        self.queue.finish(ticket, Ended::Ran { work });
    }

    fn started(&mut self) -> Vec<u64> {
        while let Some(ticket) = self.queue.start_next() {
            self.started.push(ticket);
        }
        std::mem::take(&mut self.started)
    }
}

#[derive(Default)]
struct Fifo {
    waiting: VecDeque<u64>,
    running: usize,
}

impl Queue for Fifo {
    fn offer(&mut self, ticket: u64, _workspace: usize, _prompt: f64) {
        self.waiting.push_back(ticket);
    }

    fn end(&mut self, _ticket: u64, _work: f64) {
        self.running -= 1;
    }

    fn started(&mut self) -> Vec<u64> {
        let count = (SLOTS - self.running).min(self.waiting.len());
        self.running += count;
        self.waiting.drain(..count).collect()
    }
}

/// The largest deviation of a workspace's part of the work from its part of the weights, in percent
/// of the latter.
fn run(queue: &mut impl Queue, clock: &ManualClock) -> f64 {
    let mut dice = Dice::new(11);
    let mut ends: BinaryHeap<Reverse<(Instant, u64)>> = BinaryHeap::new();
    let mut of: Vec<(usize, f64)> = Vec::new();
    let mut waiting = [0; WORKSPACES.len()];
    let mut done = [0.0; WORKSPACES.len()];
    while (of.len() as u64) < REQUESTS {
        for workspace in 0..WORKSPACES.len() {
            while waiting[workspace] < DEPTH {
                let mean = WORKSPACES[workspace].1;
                let prompt = mean / 4.0;
                let work = prompt + dice.below((mean * 1.5) as u64) as f64;
                of.push((workspace, work));
                waiting[workspace] += 1;
                queue.offer(of.len() as u64 - 1, workspace, prompt);
            }
        }
        for ticket in queue.started() {
            let (workspace, work) = of[ticket as usize];
            waiting[workspace] -= 1;
            ends.push(Reverse((clock.now() + TOKEN.mul_f64(work), ticket)));
        }
        let Some(Reverse((at, ticket))) = ends.pop() else { continue };
        clock.advance(at.saturating_duration_since(clock.now()));
        let (workspace, work) = of[ticket as usize];
        done[workspace] += work;
        queue.end(ticket, work);
    }
    error(&done)
}

fn error(done: &[f64]) -> f64 {
    let weights: f64 = WORKSPACES.iter().map(|(weight, _)| weight).sum();
    let all: f64 = done.iter().sum();
    let deviation = |(done, (weight, _)): (&f64, &(f64, f64))| {
        (done / all / (weight / weights) - 1.0).abs() * 100.0
    };
    done.iter().zip(&WORKSPACES).map(deviation).fold(0.0, f64::max)
}

/// Measures; whether the error is as promised.
pub fn measure() -> bool {
    let clock = ManualClock::new();
    let queue = AdmissionQueue::new(clock.clone(), SLOTS, QueueBounds::new());
    let fair = run(&mut Fair { clock: clock.clone(), queue, started: Vec::new() }, &clock);
    let naive = run(&mut Fifo::default(), &ManualClock::new());
    figure("share.weight_error_percent", fair, "%");
    figure("share.weight_error_percent.naive", naive, "%");
    fair < 5.0
}
