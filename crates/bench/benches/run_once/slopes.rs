//! Slopes: bytes and put time of a head against its records, and what a retained key costs.

use crate::figure;
use crate::store::{beside, claim, start_holders, start_platform};
use sorrellock_core::process::ledger::{
    ArchiveId, ArchiveRef, Batch, Head, HolderConfig, Record, SHARDS, head_key, shard_of,
};
use sorrellock_fakes::FakePlatform;
use sorrellock_ports::api::{ObjectStore, Precondition};
use sorrellock_ports::client::HttpObjectStore;
use std::fs;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

/// Records of a head, for the slope.
const HEADS: [usize; 4] = [0, 256, 512, 1_024];
/// Puts of each head; their median counts.
const PUTS: usize = 15;
/// Merged archives of a shard, for the slope; 369 is a day at 560 a second over 16 shards.
/// The most come first, as memory that was freed before would hide what they take.
const ARCHIVES: [u32; 3] = [369, 100, 0];
/// Records of a merged archive.
const ARCHIVE_RECORDS: u32 = 8_192;

pub fn run() {
    let platform = start_platform();
    platform.set_rates(0, 0);
    platform.set_latency(Duration::ZERO);
    let store = HttpObjectStore::new(platform.addr());
    for records in HEADS {
        let value = head(records).encode();
        let name = format!("run_once.head.{records}");
        figure(&format!("{name}.bytes"), value.len() as f64, "B");
        figure(&format!("{name}.put_ms"), median_put_ms(&store, &value), "ms");
    }
}

/// What a retained key costs. To be run first: see [`ARCHIVES`].
pub fn run_retained() {
    let platform = start_platform();
    for archives in ARCHIVES {
        retained(&platform, archives);
    }
}

fn head(records: usize) -> Head {
    let record = |number: usize| {
        let claim = claim(u64::MAX - 7, number as u64 + 1_000_000, number as u64, 0);
        let (key, fingerprint, owner) = (claim.key, claim.fingerprint, claim.owner);
        let mut target = claim.target;
        target.incarnation = u64::MAX - number as u64;
        Record { key, fingerprint, attempt: 1, target, owner }
    };
    let batches = (0..records).collect::<Vec<_>>();
    let batches = batches.chunks(3).map(|numbers| Batch {
        base: 1 << 40,
        at_ms: 1_800_000_000_000,
        records: numbers.iter().map(|number| record(*number)).collect(),
    });
    Head { batches: batches.collect(), ..Head::default() }
}

fn median_put_ms(store: &HttpObjectStore, value: &[u8]) -> f64 {
    let key = format!("slope/{}", value.len());
    let mut version = store.put(&key, value, Precondition::Absent).expect("a put");
    let mut took: Vec<Duration> = (0..PUTS)
        .map(|_| {
            let start = Instant::now();
            version = store.put(&key, value, Precondition::Version(version)).expect("a put");
            start.elapsed()
        })
        .collect();
    took.sort();
    took[PUTS / 2].as_secs_f64() * 1_000.0
}

/// Takes over a shard that remembers so many merged archives: time, and memory of the holder.
fn retained(platform: &FakePlatform, archives: u32) {
    let shard = shard_of(&claim(11, 1, 1, 0).key, SHARDS);
    let id = |number: u32| ArchiveId { writer: 55, number };
    let mut state = u64::from(archives) + 1;
    for number in 0..archives {
        let mut keys: Vec<u64> = (0..ARCHIVE_RECORDS).map(|_| next(&mut state)).collect();
        keys.sort_unstable();
        let value: Vec<u8> = keys.iter().flat_map(|key| key.to_le_bytes()).collect();
        platform.put_direct(&id(number).index_key(shard), &value);
    }
    let last_ms = u64::MAX / 2;
    let merged = (0..archives).map(|number| ArchiveRef {
        id: id(number),
        records: ARCHIVE_RECORDS,
        last_ms,
    });
    let head = Head { merged: merged.collect(), ..Head::default() };
    platform.put_direct(&head_key(shard), &head.encode());

    let (tx, rx) = channel();
    let before = resident_bytes();
    let holders = start_holders(platform, 56, HolderConfig::new(), &tx);
    let start = Instant::now();
    holders.claim(beside(0), claim(11, 1, 1, 0));
    let answered = rx.recv_timeout(Duration::from_secs(20)).is_ok();
    let took = start.elapsed().as_secs_f64() * 1_000.0;
    let grown = resident_bytes().saturating_sub(before) as f64;
    let keys = f64::from(archives * ARCHIVE_RECORDS);
    let name = format!("run_once.retained.{}", archives * ARCHIVE_RECORDS);
    figure(&format!("{name}.takeover_ms"), if answered { took } else { f64::NAN }, "ms");
    figure(&format!("{name}.head_bytes"), head.encode().len() as f64, "B");
    if archives == ARCHIVES[0] {
        figure(&format!("{name}.bytes_per_key"), grown / keys, "B");
    }
    drop(holders);
}

fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    *state ^ (*state >> 29)
}

/// Resident memory of this process, stand-in included.
fn resident_bytes() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or_default() * 4_096
}
