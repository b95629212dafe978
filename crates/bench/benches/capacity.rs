//! What a decision on scarce capacity costs, and the memory of a request that waits.

use sorrellock_bench::figure;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::process::admission::{CapacityDemand, CapacityQueue, Placement, QueueBounds};
use std::hint::black_box;
use std::time::{Duration, Instant};

const WAITING: u64 = 2_000;
const PATHS: usize = 200;
const CYCLES: u64 = 20_000;

fn main() {
    let mut queue =
        CapacityQueue::new(SystemClock, QueueBounds::new().with_requests(1 << 20, 1 << 20));
    for ticket in 0..WAITING {
        black_box(queue.offer(&demand(ticket)).is_ok());
    }
    let mut utilization = [0.5_f64; PATHS];
    let mut took: Vec<Duration> = Vec::new();
    for ticket in WAITING..WAITING + CYCLES {
        let began = Instant::now();
        black_box(queue.offer(&demand(ticket)).is_ok());
        let mut is_placed = false;
        black_box(queue.dispatch(|_, _| {
            // One request fits, after a look at all paths.
            let best = (0..PATHS).min_by(|a, b| utilization[*a].total_cmp(&utilization[*b]));
            utilization[best.unwrap_or_default()] += 1e-6;
            if std::mem::replace(&mut is_placed, true) {
                Placement::Full
            } else {
                Placement::Placed
            }
        }));
        took.push(began.elapsed());
    }
    took.sort();
    let us = |share: f64| took[(took.len() as f64 * share) as usize].as_secs_f64() * 1e6;
    figure("capacity.decide.p50", us(0.5), "us");
    figure("capacity.decide.p99", us(0.99), "us");
    figure("capacity.waiting", queue.len() as f64, "requests");
}

fn demand(ticket: u64) -> CapacityDemand {
    CapacityDemand {
        ticket,
        workspace: format!("workspace-{}", ticket % 24),
        rank: (ticket % 5) as u8,
        is_resumed: false,
        request: ticket,
        tokens: 900.0,
        bytes: 800,
        max_wait: Duration::from_secs(1_000),
    }
}
