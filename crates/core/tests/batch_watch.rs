//! The batch watch detects an engine that hangs, and does not attribute a pause of its own process to
//! the engine.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::request::{BatchWatch, LOOK_INTERVAL, StepTimes};
use std::time::Duration;

/// Typical time of a batch of one token.
const USUAL: Duration = Duration::from_millis(1);
/// Longer than the time after which a batch of such an engine counts as stuck.
const PAUSE: Duration = Duration::from_millis(200);

fn stuck_after() -> Duration {
    let mut times = StepTimes::default();
    times.note(1, USUAL);
    times.stuck_after(1)
}

/// Checks every `interval` for the duration `time`, and returns how long the batch was watched.
fn look_for(
    watch: &mut BatchWatch,
    clock: &ManualClock,
    interval: Duration,
    time: Duration,
) -> Duration {
    let end = clock.now() + time;
    loop {
        clock.advance(interval);
        let watched = watch.look(clock.now());
        if clock.now() >= end {
            return watched;
        }
    }
}

#[test]
fn an_engine_that_hangs_is_found_on_time() {
    let clock = ManualClock::new();
    let mut watch = BatchWatch::new(clock.now());

    let watched = look_for(&mut watch, &clock, LOOK_INTERVAL, stuck_after());

    assert!(watched >= stuck_after(), "{watched:?}");
}

#[test]
fn an_engine_that_hangs_is_found_by_late_looks_too() {
    let (clock, late) = (ManualClock::new(), 5 * LOOK_INTERVAL);
    let mut watch = BatchWatch::new(clock.now());

    let watched = look_for(&mut watch, &clock, late, 3 * stuck_after());

    assert!(watched >= stuck_after(), "{watched:?}");
}

#[test]
fn a_pause_of_the_watch_is_not_put_down_to_the_engine() {
    let clock = ManualClock::new();
    let mut watch = BatchWatch::new(clock.now());
    look_for(&mut watch, &clock, LOOK_INTERVAL, 2 * LOOK_INTERVAL);

    clock.advance(PAUSE);
    let watched = watch.look(clock.now());

    assert!(PAUSE > stuck_after());
    assert!(watched < stuck_after(), "{watched:?} counted of a pause of {PAUSE:?}");
}

#[test]
fn a_pause_before_the_first_look_is_not_put_down_to_the_engine() {
    let clock = ManualClock::new();
    let mut watch = BatchWatch::new(clock.now());

    clock.advance(PAUSE);
    let watched = watch.look(clock.now());

    assert!(watched < stuck_after(), "{watched:?} counted of a pause of {PAUSE:?}");
}
