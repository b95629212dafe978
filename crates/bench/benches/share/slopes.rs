//! What sharing costs by itself: a decision, a message, a workspace.

use crate::figure;
use sorrellock_core::clock::{Clock, ManualClock, SystemClock};
use sorrellock_core::process::admission::{AdmissionQueue, Demand, Ended, QueueBounds};
use sorrellock_core::process::grants::{
    Amount, Keeper, KeeperView, LimitKey, LimitTable, Limits, Spend, StartLevel,
};
use sorrellock_core::process::membership::rendezvous;
use sorrellock_core::version::Class;
use sorrellock_local::Dice;
use std::fs;
use std::hint::black_box;
use std::time::{Duration, Instant};

const CYCLES: u64 = 100_000;
/// The target: workspaces, requests a second, entries.
const WORKSPACES: u64 = 18_000;
const REQUESTS_PER_S: u64 = 2_800;
const ENTRIES: u64 = 10;

/// Microseconds to admit and end one request, with `waiting` requests of `workspaces` workspaces.
fn admission_us(workspaces: u64, waiting: u64) -> f64 {
    let bounds = QueueBounds::new().with_requests(1 << 20, 1 << 20);
    let mut queue = AdmissionQueue::new(SystemClock, 64, bounds);
    let demand = |ticket: u64| Demand {
        ticket,
        workspace: format!("workspace-{}", ticket % workspaces),
        class: Class::Routine,
        weight: 1.0 + (ticket % 5) as f64,
        known_work: 100.0,
        max_extra_work: 100.0,
        bytes: 0,
        deadline: SystemClock.now() + Duration::from_secs(100_000),
    };
    let mut running: Vec<u64> = Vec::new();
    for ticket in 0..waiting {
        if queue.offer(demand(ticket)) == sorrellock_core::process::admission::Verdict::Start {
            running.push(ticket);
        }
    }
    let start = Instant::now();
    for ticket in waiting..waiting + CYCLES {
        black_box(queue.offer(demand(ticket)));
        let ended = running.pop().unwrap_or(ticket);
        queue.finish(ended, Ended::Ran { work: 150.0 });
        running.extend(queue.start_next());
    }
    start.elapsed().as_secs_f64() * 1e6 / CYCLES as f64
}

fn rss_mb() -> f64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: f64 = statm.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default();
    pages * 4096.0 / 1e6
}

/// The target's load over ten entries in simulated time: messages, processor time and memory.
fn grants_at_target() {
    const SECONDS: u64 = 10;
    let clock = ManualClock::new();
    let before = rss_mb();
    let limits = Limits { rate: Amount::new(1000.0, 1e6), in_flight: 1000 };
    let mut tables: Vec<_> = (0..ENTRIES).map(|_| LimitTable::new(clock.clone())).collect();
    let keeper = |_| Keeper::new(clock.clone(), StartLevel::Full);
    let mut keepers: Vec<_> = (0..ENTRIES).map(keeper).collect();
    let (mut dice, mut asks, mut remote) = (Dice::new(3), 0, 0);
    let mut running = std::collections::VecDeque::new();
    let start = Instant::now();
    for step in 0..SECONDS * REQUESTS_PER_S {
        clock.advance(Duration::from_micros(1_000_000 / REQUESTS_PER_S));
        let entry = dice.below(ENTRIES);
        let key = key(dice.below(WORKSPACES));
        let mut touched = vec![key.clone()];
        let by = keeping(&key);
        let spend = tables[entry as usize].arrive(&key, limits, 500.0, by);
        if spend == Spend::Allowed {
            running.push_back((entry, key));
        }
        if running.len() > 1000 {
            let (entry, key) = running.pop_front().unwrap();
            tables[entry as usize].end(&key, 500.0, 480.0);
        }
        let mut at = entry;
        if step % (REQUESTS_PER_S / 10 / ENTRIES) == 0 {
            at = (step / (REQUESTS_PER_S / 10 / ENTRIES)) % ENTRIES;
            touched = tables[at as usize].keys();
        }
        for key in touched {
            let by = keeping(&key);
            let Some(ask) = tables[at as usize].ask(&key, 0, by) else { continue };
            let named = by.keeper.unwrap() - 1;
            asks += 1;
            remote += u64::from(named != at);
            if let Some(grant) = keepers[named as usize].answer(at + 1, &ask, limits) {
                tables[at as usize].take(named + 1, &grant);
            }
        }
    }
    let seconds = SECONDS as f64;
    figure("share.target.asks_per_s", asks as f64 / seconds, "1/s");
    let messages = 2.0 * remote as f64 / seconds / ENTRIES as f64;
    figure("share.target.messages_per_s_an_entry", 2.0 * messages, "1/s");
    let busy = start.elapsed().as_secs_f64() / seconds / ENTRIES as f64 * 100.0;
    figure("share.target.cpu_percent_an_entry", busy, "%");
    figure("share.target.memory_mb_an_entry", (rss_mb() - before) / ENTRIES as f64, "MB");
    let accounts: usize = keepers.iter().map(Keeper::accounts).sum();
    figure("share.target.accounts_an_entry", accounts as f64 / ENTRIES as f64, "1");
}

fn key(workspace: u64) -> LimitKey {
    LimitKey { workspace: format!("workspace-{workspace}"), kind: "default".into() }
}

fn keeping(key: &LimitKey) -> KeeperView {
    let keeper = rendezvous(key.to_string().as_bytes(), 1..=ENTRIES);
    KeeperView { keeper, entries: ENTRIES as usize }
}

/// Measures.
pub fn measure() {
    for (workspaces, waiting) in [(100, 1000), (1000, 1000), (18_000, 1000), (18_000, 16_000)] {
        let name = format!("share.admission_us.{workspaces}_workspaces.{waiting}_waiting");
        figure(&name, admission_us(workspaces, waiting), "us");
    }
    grants_at_target();
}
