//! Whether streams wait for the repair of layers that their path has lost.

mod common;

use common::shape;
use sorrellock_routing::process::{
    is_repair_overdue, is_repair_worth_waiting, repair_left, repair_time,
};
use std::time::Duration;

/// Time to find a dead engine.
const DETECTION_TIME: Duration = Duration::from_millis(150);
/// Silence after which callers leave a stream.
const CALLERS_LEAVE: Duration = Duration::from_secs(2);

#[test]
fn a_stream_waits_for_a_few_layers_and_not_for_many() {
    let shape = shape(80);

    let waits = |missing| is_repair_worth_waiting(&shape, missing, DETECTION_TIME);

    assert!(waits(3));
    assert!(waits(7));
    assert!(!waits(12));
    assert!(!waits(26));
}

#[test]
fn the_longest_repair_that_is_waited_for_ends_before_callers_leave() {
    let shape = shape(80);
    let waited_for = (1..=shape.layers)
        .filter(|missing| is_repair_worth_waiting(&shape, *missing, DETECTION_TIME))
        .max()
        .expect("some are waited for");

    let silent = DETECTION_TIME + repair_time(&shape, waited_for);

    assert!(!is_repair_overdue(silent));
    assert!(silent + Duration::from_millis(500) < CALLERS_LEAVE);
}

#[test]
fn a_stream_that_was_silent_for_long_goes_on_elsewhere() {
    let shape = shape(80);

    let waits = is_repair_worth_waiting(&shape, 1, Duration::from_secs(1));

    assert!(!waits);
    assert!(is_repair_overdue(Duration::from_millis(1_200)));
}

#[test]
fn what_is_left_of_a_repair_falls_with_time_and_is_never_nothing_while_it_lasts() {
    let shape = shape(80);
    let whole = repair_time(&shape, 26);

    let left = |elapsed| repair_left(&shape, 26, elapsed);

    assert_eq!(left(Duration::ZERO), whole);
    assert_eq!(left(whole / 4), whole - whole / 4);
    assert_eq!(left(whole * 4), whole * 2, "one that is overdue takes longer still");
    assert!(left(whole) >= whole / 2);
}
