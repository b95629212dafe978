//! When the suspicion of an engine breaks a path.

use sorrellock_routing::process::PathHealth;
use std::time::{Duration, Instant};

fn suspected_path() -> PathHealth {
    let mut health = PathHealth::default();
    health.set_suspected(true);
    health
}

#[test]
fn a_suspicion_breaks_no_path_that_brings_events() {
    let mut health = suspected_path();

    let breaks = health.break_if_suspected(false);

    assert!(!breaks);
    assert!(!health.is_broken());
}

#[test]
fn a_suspicion_breaks_a_path_once_it_is_idle() {
    let mut health = suspected_path();
    health.break_if_suspected(false);

    let breaks = health.break_if_suspected(true);

    assert!(breaks);
    assert!(health.is_broken());
    assert!(!health.break_if_suspected(true), "it breaks once");
}

#[test]
fn an_idle_path_that_is_not_suspected_does_not_break() {
    let mut health = PathHealth::default();

    health.break_if_suspected(true);

    assert!(!health.is_broken());
}

#[test]
fn an_event_restores_a_broken_path_and_the_same_suspicion_does_not_break_it_again() {
    let mut health = suspected_path();
    health.break_if_suspected(true);

    let is_restored = health.on_event(Instant::now());
    health.set_suspected(true);
    health.break_if_suspected(true);

    assert!(is_restored);
    assert!(!health.is_broken());
}

#[test]
fn a_new_suspicion_after_one_was_withdrawn_counts() {
    let mut health = suspected_path();
    health.on_event(Instant::now());

    health.set_suspected(false);
    health.set_suspected(true);
    health.break_if_suspected(true);

    assert!(health.is_broken());
}

#[test]
fn an_event_on_a_path_that_serves_restores_nothing() {
    let mut health = PathHealth::default();
    let now = Instant::now();

    let is_restored = health.on_event(now);

    assert!(!is_restored);
    assert!(health.trusts_reports(now), "nothing was refuted");
}

#[test]
fn reports_of_others_are_not_trusted_right_after_an_event_refuted_a_suspicion() {
    let mut health = suspected_path();
    let now = Instant::now();

    health.on_event(now);

    assert!(!health.trusts_reports(now + Duration::from_millis(100)));
    assert!(health.trusts_reports(now + Duration::from_secs(2)));
}
