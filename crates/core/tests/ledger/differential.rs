//! Differential tests: the ledger without faults against a naive one in a single process.

use crate::rng::Rng;
use crate::store::Store;
use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::Attempt;
use sorrellock_core::process::ledger::{
    Claim, ClaimAnswer, Fingerprint, Holder, HolderConfig, HolderStep, RecordKey, fingerprint,
    record_key,
};
use sorrellock_core::request::{Peer, RequestKey};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The answer to a claim, without versions.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ClaimOutcome {
    Granted(Attempt),
    Existing(Attempt, Peer),
    Mismatch,
    Refused,
}

/// A ledger that is a map in memory.
#[derive(Default)]
struct NaiveLedger {
    keys: HashMap<RecordKey, (Fingerprint, Attempt, RequestKey, Peer)>,
}

impl NaiveLedger {
    fn claim(&mut self, claim: &Claim) -> ClaimOutcome {
        let next = (claim.fingerprint, claim.after + 1, claim.owner, claim.target);
        let Some((body, attempt, owner, target)) = self.keys.get(&claim.key).cloned() else {
            if claim.after > 0 {
                return ClaimOutcome::Refused;
            }
            self.keys.insert(claim.key, next);
            return ClaimOutcome::Granted(1);
        };
        if body != claim.fingerprint {
            return ClaimOutcome::Mismatch;
        }
        if attempt < claim.after {
            return ClaimOutcome::Refused;
        }
        if attempt == claim.after {
            self.keys.insert(claim.key, next);
            return ClaimOutcome::Granted(attempt + 1);
        }
        if owner == claim.owner && attempt == claim.after + 1 {
            return ClaimOutcome::Granted(attempt);
        }
        ClaimOutcome::Existing(attempt, target)
    }
}

fn peer(number: usize) -> Peer {
    let addr = SocketAddr::from(([10, 0, 0, 9], 1000 + number as u16));
    Peer { addr, incarnation: number as u64 }
}

fn random_claim(rng: &mut Rng, number: usize) -> Claim {
    let key = number / 6 + rng.below(20);
    let key = if rng.percent(20) { rng.below(key + 1) } else { key };
    let body = if rng.percent(5) { "other" } else { "usual" };
    Claim {
        owner: RequestKey { entry: 7, sequence: 1 + rng.below(number + 1) as u64 },
        key: record_key("pharmacy", &key.to_string()),
        fingerprint: fingerprint(&[body.as_bytes()]),
        after: if rng.percent(70) { 0 } else { rng.below(3) as Attempt },
        target: peer(rng.below(5)),
    }
}

fn claim_outcome(answer: ClaimAnswer) -> ClaimOutcome {
    match answer {
        ClaimAnswer::Granted(stamp) => ClaimOutcome::Granted(stamp.attempt),
        ClaimAnswer::Existing { stamp, target } => ClaimOutcome::Existing(stamp.attempt, target),
        ClaimAnswer::Mismatch => ClaimOutcome::Mismatch,
        ClaimAnswer::Refused { .. } => ClaimOutcome::Refused,
    }
}

/// Drives a holder with a store without faults until it is idle.
fn run_until_idle(holder: &mut Holder<ManualClock>, store: &mut Store, clock: &ManualClock) {
    let mut rng = Rng::new(0);
    loop {
        match holder.next(0) {
            HolderStep::Call(call) => holder.on_reply(store.apply(&call, &mut rng, false)),
            HolderStep::WaitUntil(_) => clock.advance(Duration::from_millis(5)),
            HolderStep::Idle => return,
        }
    }
}

#[test]
fn the_ledger_answers_as_a_naive_one() {
    for seed in 0..8 {
        println!("seed {seed}");
        let (clock, mut rng) = (ManualClock::new(), Rng::new(seed));
        let (mut store, mut naive) = (Store::default(), NaiveLedger::default());
        let cfg = HolderConfig::new().with_sizes(6, 30, 1_000);
        let mut holder = Holder::new(0, 1, cfg, clock.clone());

        for number in 0..1_500 {
            if rng.percent(1) {
                holder = Holder::new(0, 1_000 + number as u64, cfg, clock.clone());
            }
            let claim = random_claim(&mut rng, number);
            let expected = naive.claim(&claim);
            holder.claim(peer(99), claim.clone());
            run_until_idle(&mut holder, &mut store, &clock);
            let answers = holder.take_answers();

            assert_eq!(answers.len(), 1, "seed {seed}, claim {number}");
            assert_eq!(
                claim_outcome(answers[0].answer.clone()),
                expected,
                "seed {seed}: {claim:?}"
            );
        }
    }
}

#[test]
fn claims_of_one_put_are_granted_once_a_key() {
    let clock = ManualClock::new();
    let mut store = Store::default();
    let mut holder = Holder::new(0, 1, HolderConfig::new(), clock.clone());
    let claims: Vec<Claim> = (0..10u64)
        .map(|number| Claim {
            owner: RequestKey { entry: 7, sequence: number },
            key: record_key("pharmacy", "one"),
            fingerprint: fingerprint(&[b"usual"]),
            after: 0,
            target: peer(number as usize),
        })
        .collect();

    claims.into_iter().for_each(|claim| holder.claim(peer(99), claim));
    run_until_idle(&mut holder, &mut store, &clock);
    let claim_outcomes: Vec<ClaimOutcome> =
        holder.take_answers().into_iter().map(|answered| claim_outcome(answered.answer)).collect();

    let granted = claim_outcomes
        .iter()
        .filter(|claim_outcome| **claim_outcome == ClaimOutcome::Granted(1))
        .count();
    let existing = claim_outcomes
        .iter()
        .filter(|claim_outcome| **claim_outcome == ClaimOutcome::Existing(1, peer(0)))
        .count();
    assert_eq!((granted, existing), (1, 9));
}

#[test]
fn a_key_past_its_retention_is_new_and_its_archive_goes() {
    let clock = ManualClock::new();
    let mut store = Store::default();
    let retention = Duration::from_secs(60);
    let cfg = HolderConfig::new().with_sizes(2, 4, 10).with_retention(retention);
    let mut holder = Holder::new(0, 1, cfg, clock.clone());
    let claim = |key: usize, sequence: u64| Claim {
        owner: RequestKey { entry: 7, sequence },
        key: record_key("pharmacy", &key.to_string()),
        fingerprint: fingerprint(&[b"usual"]),
        after: 0,
        target: peer(1),
    };
    let mut claim_at = |claim: Claim, now_ms: u64| -> ClaimOutcome {
        holder.claim(peer(99), claim);
        let mut rng = Rng::new(0);
        loop {
            match holder.next(now_ms) {
                HolderStep::Call(call) => holder.on_reply(store.apply(&call, &mut rng, false)),
                HolderStep::WaitUntil(_) => clock.advance(Duration::from_millis(20)),
                HolderStep::Idle => break,
            }
        }
        claim_outcome(holder.take_answers().remove(0).answer)
    };

    for key in 0..40 {
        assert_eq!(claim_at(claim(key, key as u64), 1_000), ClaimOutcome::Granted(1));
    }
    let within = claim_at(claim(0, 100), 30_000);
    let past = claim_at(claim(0, 101), 100_000);
    for key in 100..110 {
        claim_at(claim(key, key as u64), 100_000);
    }

    assert_eq!(within, ClaimOutcome::Existing(1, peer(1)));
    assert_eq!(past, ClaimOutcome::Granted(1));
    let objects = store.list("ledger/").len();
    assert!(objects <= 12, "{objects} objects are left of the keys past their retention");
}
