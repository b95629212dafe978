//! The stall detector nudges, then probes, and blames only stages that stay silent or cannot continue.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::request::{StageProgress, StallAction, StallDetector};
use std::time::Duration;

const STAGES: u16 = 3;
const INTERVAL: Duration = Duration::from_millis(10);

/// Returns the detector of a request that has received tokens at a steady pace.
fn flowing(clock: &ManualClock) -> StallDetector {
    let mut detector = StallDetector::new(clock.now());
    for _ in 0..20 {
        clock.advance(INTERVAL);
        detector.on_token(clock.now());
    }
    detector
}

/// Advances the clock until the detector returns an action, and returns it with the elapsed time.
fn next_action(detector: &mut StallDetector, clock: &ManualClock) -> (StallAction, Duration) {
    let start = clock.now();
    loop {
        clock.advance(Duration::from_millis(1));
        let action = detector.check(clock.now(), STAGES);
        if action != StallAction::Wait || clock.now() - start > Duration::from_secs(60) {
            return (action, clock.now() - start);
        }
    }
}

fn answer(detector: &mut StallDetector, stages: &[u16], stuck: bool) {
    for stage in stages {
        detector.on_progress(&StageProgress { stage: *stage, next: 7, stuck });
    }
}

#[test]
fn nudges_then_asks_then_blames_the_silent() {
    let clock = ManualClock::new();
    let mut detector = flowing(&clock);

    let (first, after) = next_action(&mut detector, &clock);
    let (second, _) = next_action(&mut detector, &clock);
    answer(&mut detector, &[0, 2], false);
    let mut last = next_action(&mut detector, &clock).0;
    while last == StallAction::Probe {
        last = next_action(&mut detector, &clock).0;
    }

    assert_eq!(first, StallAction::Nudge);
    assert!(after <= 6 * INTERVAL, "missed progress is measured against its own pace: {after:?}");
    assert_eq!(second, StallAction::Probe);
    assert_eq!(last, StallAction::Blame(vec![1]));
}

#[test]
fn blames_a_stage_that_cannot_go_on() {
    let clock = ManualClock::new();
    let mut detector = flowing(&clock);
    next_action(&mut detector, &clock);
    next_action(&mut detector, &clock);

    answer(&mut detector, &[0, 1], false);
    answer(&mut detector, &[2], true);
    let (action, _) = next_action(&mut detector, &clock);

    assert_eq!(action, StallAction::Blame(vec![2]));
}

#[test]
fn blames_nobody_when_all_answer_and_grows_patient() {
    let clock = ManualClock::new();
    let mut detector = flowing(&clock);
    let mut waits = Vec::new();

    for _ in 0..4 {
        let (nudge, after) = next_action(&mut detector, &clock);
        waits.push(after);
        let (probe, _) = next_action(&mut detector, &clock);
        answer(&mut detector, &[0, 1, 2], false);

        assert_eq!((nudge, probe), (StallAction::Nudge, StallAction::Probe));
    }

    assert!(waits.is_sorted() && waits[3] > 3 * waits[0], "{waits:?}");
}

#[test]
fn blames_nobody_after_a_pause_of_its_own() {
    let clock = ManualClock::new();
    let mut detector = flowing(&clock);
    next_action(&mut detector, &clock);
    next_action(&mut detector, &clock);

    clock.advance(Duration::from_secs(3));
    let action = detector.check(clock.now(), STAGES);
    let (next, _) = next_action(&mut detector, &clock);

    assert_eq!(action, StallAction::Wait);
    assert_eq!(next, StallAction::Nudge);
}
