//! The store returns from an older copy in a new era: all processes list again soon, but not all at once.

use crate::fleet::{Fleet, Scenario, Span};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);
/// Period in which the store is unavailable before it returns.
const OUTAGE: Span = Span { from: 20_000, lasts: 700 };
/// Time after its return within which all have listed: a second to take turns and a second to learn of the new era.
const LISTED_WITHIN: u64 = 2_000;

/// Runs a fleet until `lasts` after the return of the store; returns it with the number of calls since the return.
fn fleet_after_restore(count: usize, lasts: u64) -> (Fleet, u64) {
    let scenario =
        Scenario { silences: vec![OUTAGE], restores: vec![OUTAGE.end()], ..Scenario::default() };
    let mut fleet = Fleet::new(count, WITHIN, scenario, 1);
    fleet.run(OUTAGE.end());
    let before = fleet.calls;
    fleet.run(OUTAGE.end() + lasts);
    let calls = fleet.calls - before;
    (fleet, calls)
}

#[test]
fn all_processes_list_in_the_new_era_within_two_seconds() {
    for count in [1, 2, 6, 32, 100] {
        let (fleet, calls) = fleet_after_restore(count, LISTED_WITHIN);

        let listed = fleet.listed_everywhere(1).map(|at| at - OUTAGE.end());

        println!("{count} processes: listed after {listed:?} ms, {calls} calls in two seconds");
        assert!(listed.is_some_and(|after| after <= LISTED_WITHIN), "{count}: {listed:?}");
    }
}

#[test]
fn a_new_era_costs_each_process_no_more_than_a_list_and_what_an_outage_costs() {
    for count in [1, 6, 32, 100] {
        let (_, with_era) = fleet_after_restore(count, LISTED_WITHIN);
        let scenario = Scenario { silences: vec![OUTAGE], ..Scenario::default() };
        let mut fleet = Fleet::new(count, WITHIN, scenario, 1);
        fleet.run(OUTAGE.end());
        let before = fleet.calls;
        fleet.run(OUTAGE.end() + LISTED_WITHIN);

        let outage = fleet.calls - before;

        println!("{count} processes: {with_era} calls, {outage} after an outage alone");
        assert!(with_era <= outage + 2 * count as u64, "{count}: {with_era}, {outage}");
    }
}

#[test]
fn two_eras_within_a_moment_end_with_a_list_of_the_last() {
    let restores = vec![OUTAGE.end(), OUTAGE.end() + 300];
    let scenario = Scenario { silences: vec![OUTAGE], restores, ..Scenario::default() };
    let mut fleet = Fleet::new(6, WITHIN, scenario, 1);

    fleet.run(OUTAGE.end() + 300 + LISTED_WITHIN);

    assert!(fleet.listed_everywhere(2).is_some());
}
