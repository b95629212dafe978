//! Differential tests: the ledger without faults against a naive one in a single process.

use crate::dice::Dice;
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
enum Fate {
    Granted(Attempt),
    Existing(Attempt, Peer),
    Mismatch,
    Refused,
}

/// A ledger that is a map in memory.
#[derive(Default)]
struct Naive {
    keys: HashMap<RecordKey, (Fingerprint, Attempt, RequestKey, Peer)>,
}

impl Naive {
    fn claim(&mut self, claim: &Claim) -> Fate {
        let next = (claim.fingerprint, claim.after + 1, claim.owner, claim.target);
        let Some((body, attempt, owner, target)) = self.keys.get(&claim.key).cloned() else {
            if claim.after > 0 {
                return Fate::Refused;
            }
            self.keys.insert(claim.key, next);
            return Fate::Granted(1);
        };
        if body != claim.fingerprint {
            return Fate::Mismatch;
        }
        if attempt < claim.after {
            return Fate::Refused;
        }
        if attempt == claim.after {
            self.keys.insert(claim.key, next);
            return Fate::Granted(attempt + 1);
        }
        if owner == claim.owner && attempt == claim.after + 1 {
            return Fate::Granted(attempt);
        }
        Fate::Existing(attempt, target)
    }
}

fn peer(number: usize) -> Peer {
    let addr = SocketAddr::from(([10, 0, 0, 9], 1000 + number as u16));
    Peer { addr, incarnation: number as u64 }
}

fn random_claim(dice: &mut Dice, number: usize) -> Claim {
    let key = number / 6 + dice.below(20);
    let key = if dice.percent(20) { dice.below(key + 1) } else { key };
    let body = if dice.percent(5) { "other" } else { "usual" };
    Claim {
        owner: RequestKey { entry: 7, sequence: 1 + dice.below(number + 1) as u64 },
        key: record_key("pharmacy", &key.to_string()),
        fingerprint: fingerprint(&[body.as_bytes()]),
        after: if dice.percent(70) { 0 } else { dice.below(3) as Attempt },
        target: peer(dice.below(5)),
    }
}

fn fate(answer: ClaimAnswer) -> Fate {
    match answer {
        ClaimAnswer::Granted(stamp) => Fate::Granted(stamp.attempt),
        ClaimAnswer::Existing { stamp, target } => Fate::Existing(stamp.attempt, target),
        ClaimAnswer::Mismatch => Fate::Mismatch,
        ClaimAnswer::Refused { .. } => Fate::Refused,
    }
}

/// Drives a holder with a store without faults until it is idle.
fn settle(holder: &mut Holder<ManualClock>, store: &mut Store, clock: &ManualClock) {
    let mut dice = Dice::new(0);
    loop {
        match holder.next(0) {
            HolderStep::Call(call) => holder.on_reply(store.apply(&call, &mut dice, false)),
            HolderStep::WaitUntil(_) => clock.advance(Duration::from_millis(5)),
            HolderStep::Idle => return,
        }
    }
}

#[test]
fn the_ledger_answers_as_a_naive_one() {
    for seed in 0..8 {
        println!("seed {seed}");
        let (clock, mut dice) = (ManualClock::new(), Dice::new(seed));
        let (mut store, mut naive) = (Store::default(), Naive::default());
        let cfg = HolderConfig::new().with_sizes(6, 30, 1_000);
        let mut holder = Holder::new(0, 1, cfg, clock.clone());

        for number in 0..1_500 {
            if dice.percent(1) {
                holder = Holder::new(0, 1_000 + number as u64, cfg, clock.clone());
            }
            let claim = random_claim(&mut dice, number);
            let expected = naive.claim(&claim);
            holder.claim(peer(99), claim.clone());
            settle(&mut holder, &mut store, &clock);
            let answers = holder.take_answers();

            assert_eq!(answers.len(), 1, "seed {seed}, claim {number}");
            assert_eq!(fate(answers[0].answer.clone()), expected, "seed {seed}: {claim:?}");
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
    settle(&mut holder, &mut store, &clock);
    let fates: Vec<Fate> =
        holder.take_answers().into_iter().map(|answered| fate(answered.answer)).collect();

    let granted = fates.iter().filter(|fate| **fate == Fate::Granted(1)).count();
    let existing = fates.iter().filter(|fate| **fate == Fate::Existing(1, peer(0))).count();
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
    let mut ask = |claim: Claim, now_ms: u64| -> Fate {
        holder.claim(peer(99), claim);
        let mut dice = Dice::new(0);
        loop {
            match holder.next(now_ms) {
                HolderStep::Call(call) => holder.on_reply(store.apply(&call, &mut dice, false)),
                HolderStep::WaitUntil(_) => clock.advance(Duration::from_millis(20)),
                HolderStep::Idle => break,
            }
        }
        fate(holder.take_answers().remove(0).answer)
    };

    for key in 0..40 {
        assert_eq!(ask(claim(key, key as u64), 1_000), Fate::Granted(1));
    }
    let within = ask(claim(0, 100), 30_000);
    let past = ask(claim(0, 101), 100_000);
    for key in 100..110 {
        ask(claim(key, key as u64), 100_000);
    }

    assert_eq!(within, Fate::Existing(1, peer(1)));
    assert_eq!(past, Fate::Granted(1));
    let objects = store.list("ledger/").len();
    assert!(objects <= 12, "{objects} objects are left of the keys past their retention");
}
