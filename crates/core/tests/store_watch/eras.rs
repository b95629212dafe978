//! The store comes back from an older copy of itself, in a new era: all list anew, soon, and not all at once.

use crate::fleet::{Course, Fleet, Span};
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(2);
/// The store is away before it comes back.
const AWAY: Span = Span { from: 20_000, lasts: 700 };
/// All have listed by then, counted from its return: a second to take turns, and a second to hear of it.
const LISTED_WITHIN: u64 = 2_000;

/// A fleet that has seen the store come back, until so long after it.
fn fleet_after_restore(count: usize, lasts: u64) -> (Fleet, u64) {
    let course = Course { silences: vec![AWAY], restores: vec![AWAY.end()], ..Course::default() };
    let mut fleet = Fleet::new(count, WITHIN, course, 1);
    fleet.run(AWAY.end());
    let before = fleet.calls;
    fleet.run(AWAY.end() + lasts);
    let calls = fleet.calls - before;
    (fleet, calls)
}

#[test]
fn all_processes_list_in_the_new_era_within_two_seconds() {
    for count in [1, 2, 6, 32, 100] {
        let (fleet, calls) = fleet_after_restore(count, LISTED_WITHIN);

        let listed = fleet.listed_everywhere(1).map(|at| at - AWAY.end());

        println!("{count} processes: listed after {listed:?} ms, {calls} calls in two seconds");
        assert!(listed.is_some_and(|after| after <= LISTED_WITHIN), "{count}: {listed:?}");
    }
}

#[test]
fn a_new_era_costs_each_process_no_more_than_a_list_and_what_an_outage_costs() {
    for count in [1, 6, 32, 100] {
        let (_, with_era) = fleet_after_restore(count, LISTED_WITHIN);
        let course = Course { silences: vec![AWAY], ..Course::default() };
        let mut fleet = Fleet::new(count, WITHIN, course, 1);
        fleet.run(AWAY.end());
        let before = fleet.calls;
        fleet.run(AWAY.end() + LISTED_WITHIN);

        let outage = fleet.calls - before;

        println!("{count} processes: {with_era} calls, {outage} after an outage alone");
        assert!(with_era <= outage + 2 * count as u64, "{count}: {with_era}, {outage}");
    }
}

#[test]
fn two_eras_within_a_moment_end_with_a_list_of_the_last() {
    let restores = vec![AWAY.end(), AWAY.end() + 300];
    let course = Course { silences: vec![AWAY], restores, ..Course::default() };
    let mut fleet = Fleet::new(6, WITHIN, course, 1);

    fleet.run(AWAY.end() + 300 + LISTED_WITHIN);

    assert!(fleet.listed_everywhere(2).is_some());
}
