//! Rendezvous hashing: agreement, even distribution and few moved keys.

use sorrellock_core::process::membership::{rendezvous, rendezvous_several};
use std::collections::HashMap;

const KEYS: u32 = 4_000;

fn key(number: u32) -> [u8; 4] {
    number.to_le_bytes()
}

#[test]
fn order_of_candidates_does_not_matter() {
    let candidates: Vec<u64> = (1..=20).map(|n| n * 7919).collect();
    let reversed: Vec<u64> = candidates.iter().rev().copied().collect();

    for number in 0..KEYS {
        let named = rendezvous(&key(number), candidates.iter().copied());

        assert_eq!(named, rendezvous(&key(number), reversed.iter().copied()));
        assert_eq!(
            named,
            rendezvous_several(&key(number), candidates.iter().copied(), 3).first().copied()
        );
    }
}

#[test]
fn keys_spread_evenly() {
    let candidates: Vec<u64> = (1..=20).map(|n| n * 7919).collect();

    let mut keys_per_candidate: HashMap<u64, u32> = HashMap::new();
    for number in 0..KEYS {
        let named = rendezvous(&key(number), candidates.iter().copied()).unwrap();
        *keys_per_candidate.entry(named).or_default() += 1;
    }

    let even = KEYS / 20;
    assert!(
        keys_per_candidate.values().all(|count| (even / 2..even * 2).contains(count)),
        "{keys_per_candidate:?}"
    );
}

#[test]
fn only_the_keys_of_the_lost_candidate_move() {
    let all: Vec<u64> = (1..=20).map(|n| n * 7919).collect();
    let lost = all[7];
    let rest: Vec<u64> = all.iter().copied().filter(|id| *id != lost).collect();

    for number in 0..KEYS {
        let before = rendezvous(&key(number), all.iter().copied()).unwrap();
        let after = rendezvous(&key(number), rest.iter().copied()).unwrap();

        assert!(before == lost || before == after);
    }
}

#[test]
fn no_candidates_name_nobody() {
    assert_eq!(rendezvous(b"key", []), None);
}
