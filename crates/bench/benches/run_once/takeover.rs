//! Takeovers: from a claim at a holder that knows nothing of its shard to the claim's answer.

use crate::figure;
use crate::store::{claim, start_holders, start_platform};
use hdrhistogram::Histogram;
use sorrellock_core::process::ledger::{HolderConfig, SHARDS, shard_of};
use sorrellock_core::request::Peer;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// How often all shards are taken over.
const ROUNDS: u64 = 8;
/// Records that each shard holds before.
const RECORDS: u64 = 700;
/// How long an answer may take.
const WAIT: Duration = Duration::from_secs(10);

pub fn run() {
    let platform = start_platform();
    platform.set_rates(0, 0);
    fill(&platform);
    platform.set_rates(200, 2_000);
    let mut took: Histogram<u64> =
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("a histogram can be made");
    for round in 0..ROUNDS {
        let (tx, rx) = channel();
        let holders = start_holders(&platform, 100 + round, HolderConfig::new(), &tx);
        let start = Instant::now();
        let mut shards: Vec<bool> = vec![false; usize::from(SHARDS)];
        for key in 1_000_000 * (round + 1).. {
            let claim = claim(9, key, key, 0);
            let shard = usize::from(shard_of(&claim.key, SHARDS));
            if !std::mem::replace(&mut shards[shard], true) {
                holders.claim(from(), claim);
            }
            if shards.iter().all(|claimed| *claimed) {
                break;
            }
        }
        for _ in 0..SHARDS {
            let Ok((at, _)) = rx.recv_timeout(WAIT) else { break };
            took.saturating_record((at - start).as_micros() as u64);
        }
    }
    let ms = |quantile: f64| took.value_at_quantile(quantile) as f64 / 1_000.0;
    figure("run_once.takeover_ms.p50", ms(0.5), "ms");
    figure("run_once.takeover_ms.p99", ms(0.99), "ms");
}

/// Commits records to all shards, without a limit on the writes.
fn fill(platform: &sorrellock_fakes::FakePlatform) {
    let (tx, rx) = channel();
    let cfg = HolderConfig::new().with_writes_per_s(1_000.0);
    let holders = start_holders(platform, 99, cfg, &tx);
    let all = RECORDS * u64::from(SHARDS);
    for key in 0..all {
        holders.claim(from(), claim(8, key + 1, 500_000 + key, 0));
        if key % 512 == 511 {
            (0..512).for_each(|_| drop(rx.recv_timeout(WAIT)));
        }
    }
    (0..all % 512).for_each(|_| drop(rx.recv_timeout(WAIT)));
}

fn from() -> Peer {
    crate::store::beside(0)
}
