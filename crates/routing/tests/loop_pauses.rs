//! Recording of the event loop's pauses.

use sorrellock_routing::process::LoopPauses;
use std::time::{Duration, Instant};

const INTERVAL: Duration = Duration::from_millis(15);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Returns a loop that is idle until `at`, when its timer is set.
fn loop_at(at: Instant) -> LoopPauses {
    let mut pauses = LoopPauses::default();
    pauses.on_timer_set(at, at + INTERVAL);
    pauses
}

#[test]
fn a_loop_that_never_ran_has_no_pause() {
    let now = Instant::now();

    assert_eq!(LoopPauses::default().longest_lag_since(now, now + ms(500)), Duration::ZERO);
}

#[test]
fn a_timer_that_fires_late_shows_a_pause() {
    let began = Instant::now();
    let mut pauses = loop_at(began);

    let lag = pauses.on_timer_fired(began + INTERVAL + ms(85));

    assert_eq!(lag, ms(85));
    assert_eq!(pauses.longest_lag_since(began, began + ms(200)), ms(85));
}

#[test]
fn the_resolution_of_timers_is_no_pause() {
    let began = Instant::now();
    let mut pauses = loop_at(began);

    pauses.on_timer_fired(began + INTERVAL + ms(2));

    assert_eq!(pauses.longest_lag_since(began, began + ms(200)), Duration::ZERO);
}

/// After a pause, the caller may run before the timer does.
#[test]
fn a_pause_counts_before_the_timer_has_fired() {
    let began = Instant::now();
    let pauses = loop_at(began);

    assert_eq!(pauses.longest_lag_since(began, began + INTERVAL + ms(85)), ms(85));
}

#[test]
fn a_timer_that_is_not_due_shows_no_pause() {
    let began = Instant::now();
    let pauses = loop_at(began);

    assert_eq!(pauses.longest_lag_since(began, began + ms(10)), Duration::ZERO);
}

#[test]
fn a_pause_counts_as_far_as_it_lies_in_the_span() {
    let began = Instant::now();
    let mut pauses = loop_at(began);
    let ended = began + INTERVAL + ms(85);
    pauses.on_timer_fired(ended);

    assert_eq!(pauses.longest_lag_since(ended - ms(20), ended + ms(100)), ms(20));
    assert_eq!(pauses.longest_lag_since(ended, ended + ms(100)), Duration::ZERO);
}

#[test]
fn the_longest_of_several_pauses_counts() {
    let began = Instant::now();
    let mut pauses = LoopPauses::default();
    let mut now = began;
    for lag in [30, 85, 50] {
        pauses.on_timer_set(now, now + INTERVAL);
        now += INTERVAL + ms(lag);
        pauses.on_timer_fired(now);
    }

    assert_eq!(pauses.longest_lag_since(began, now), ms(85));
    assert_eq!(pauses.longest_lag_since(now - ms(50), now), ms(50));
}

/// A timer of 15 ms that was 85 ms late: the loop was paused for 85 to 100 ms.
#[test]
fn the_sum_counts_late_timers_from_when_they_were_set() {
    let began = Instant::now();
    let mut pauses = loop_at(began);

    pauses.on_timer_fired(began + ms(100));

    assert_eq!(pauses.total_since(began, began + ms(200)), ms(100));
    assert_eq!(pauses.total_since(began + ms(70), began + ms(200)), ms(30));
}

#[test]
fn all_pauses_count_in_the_sum() {
    let began = Instant::now();
    let mut pauses = LoopPauses::default();
    let mut now = began;
    for lag in [30, 2, 50] {
        pauses.on_timer_set(now, now + INTERVAL);
        now += INTERVAL + ms(lag);
        pauses.on_timer_fired(now);
    }
    pauses.on_timer_set(now, now + INTERVAL);

    assert_eq!(pauses.total_since(began, now), ms(45 + 65));
    assert_eq!(pauses.total_since(began, now + INTERVAL + ms(2)), ms(45 + 65));
    assert_eq!(pauses.total_since(began, now + INTERVAL + ms(40)), ms(45 + 65 + 55));
}

#[test]
fn pauses_of_long_ago_are_forgotten() {
    let began = Instant::now();
    let mut pauses = loop_at(began);
    pauses.on_timer_fired(began + INTERVAL + ms(85));
    let later = began + Duration::from_secs(120);
    pauses.on_timer_set(later - INTERVAL, later);

    pauses.on_timer_fired(later);

    assert_eq!(pauses.longest_lag_since(began, later), Duration::ZERO);
}
