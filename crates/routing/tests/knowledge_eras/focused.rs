//! Single courses, each with its point.

use crate::course::{Course, Event};
use crate::fleet::Fleet;

fn course(events: &[(u64, Event)]) -> Course {
    Course { gateways: 3, seed: 1, events: events.to_vec() }
}

#[test]
fn an_endpoint_that_leaves_after_the_store_came_back_is_known_to_leave() {
    let events = [
        (0, Event::Joins),
        (2_000, Event::ComesBack { away: 500, ago: 4_000 }),
        (1_000, Event::Leaves(0)),
    ];

    assert_eq!(Fleet::play(&course(&events)), Ok(()));
}

#[test]
fn a_leave_that_the_copy_lacks_binds() {
    let events = [(500, Event::Leaves(0)), (1_000, Event::ComesBack { away: 300, ago: 3_000 })];

    assert_eq!(Fleet::play(&course(&events)), Ok(()));
}

#[test]
fn an_endpoint_that_joined_since_the_copy_is_back() {
    let events = [(0, Event::Joins), (1_500, Event::ComesBack { away: 300, ago: 3_000 })];

    assert_eq!(Fleet::play(&course(&events)), Ok(()));
}

#[test]
fn a_gateway_that_is_cut_off_is_led_into_the_new_era_and_leads_nobody_back() {
    let events = [
        (0, Event::IsCut { gateway: 2, lasts: 9_000 }),
        (500, Event::Leaves(1)),
        (1_000, Event::ComesBack { away: 300, ago: 3_000 }),
        (500, Event::Leaves(2)),
    ];

    assert_eq!(Fleet::play(&course(&events)), Ok(()));
}

#[test]
fn two_restores_right_after_one_another_end_with_the_last() {
    let events = [
        (500, Event::Leaves(0)),
        (1_000, Event::ComesBack { away: 300, ago: 3_000 }),
        (600, Event::ComesBack { away: 100, ago: 2_000 }),
        (100, Event::Leaves(1)),
    ];

    assert_eq!(Fleet::play(&course(&events)), Ok(()));
}
