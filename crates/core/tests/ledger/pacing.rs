//! Tests of a holder's write rate: limited to its share of the budget, and lower while the store is overloaded.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::ledger::Pacer;
use std::time::Duration;

const MAX_RATE: f64 = 12.5;

/// Returns the number of writes that start within `seconds`; `outcome` reports the result of each to the pacer.
fn writes(
    pacer: &mut Pacer<ManualClock>,
    clock: &ManualClock,
    seconds: u64,
    outcome: impl Fn(&mut Pacer<ManualClock>),
) -> u32 {
    let end = clock.now() + Duration::from_secs(seconds);
    let mut count = 0;
    while clock.now() < end {
        if pacer.next().is_none_or(|at| at <= clock.now()) {
            pacer.on_start();
            count += 1;
            outcome(pacer);
        }
        clock.advance(Duration::from_millis(1));
    }
    count
}

#[test]
fn a_holder_stays_within_its_share() {
    let clock = ManualClock::new();
    let mut pacer = Pacer::new(MAX_RATE, clock.clone());

    let count = writes(&mut pacer, &clock, 10, Pacer::on_success);

    assert!((120..=126).contains(&count), "{count} writes in 10 s");
}

#[test]
fn a_store_that_refuses_is_asked_ever_less() {
    let clock = ManualClock::new();
    let mut pacer = Pacer::new(MAX_RATE, clock.clone());

    writes(&mut pacer, &clock, 10, Pacer::on_overload);
    let count = writes(&mut pacer, &clock, 10, Pacer::on_overload);

    assert!(count <= 3, "{count} writes in 10 s");
}

#[test]
fn a_slow_store_is_asked_less_and_a_good_one_again_in_full() {
    let clock = ManualClock::new();
    let mut pacer = Pacer::new(MAX_RATE, clock.clone());
    let slow = |pacer: &mut Pacer<ManualClock>| {
        clock.advance(Duration::from_millis(400));
        pacer.on_success();
    };

    writes(&mut pacer, &clock, 10, slow);
    let slowed = pacer.rate();
    writes(&mut pacer, &clock, 60, Pacer::on_success);

    assert!(slowed < MAX_RATE / 4.0, "{slowed}");
    assert_eq!(pacer.rate(), MAX_RATE);
}

#[test]
fn the_return_of_a_store_brings_no_burst() {
    let clock = ManualClock::new();
    let mut pacer = Pacer::new(MAX_RATE, clock.clone());

    pacer.on_outage();
    let first_second = writes(&mut pacer, &clock, 1, Pacer::on_success);

    assert!(first_second <= 5, "{first_second} writes in the first second");
}
