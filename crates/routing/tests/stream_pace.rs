//! How long streams take, estimated from earlier answers.

use sorrellock_routing::process::StreamPace;
use std::time::Duration;

#[test]
fn nothing_is_expected_before_the_first_answer() {
    let pace = StreamPace::default();

    assert_eq!(pace.usual(500.0), Duration::ZERO);
}

#[test]
fn a_stream_is_expected_to_take_its_share_of_the_usual_time() {
    let mut pace = StreamPace::default();
    pace.on_answered(100.0, Duration::from_secs(2));

    assert_eq!(pace.usual(50.0), Duration::from_secs(1));
    assert_eq!(pace.usual(300.0), Duration::from_secs(6));
}

#[test]
fn an_estimate_that_was_far_off_moves_the_pace_a_little() {
    let mut pace = StreamPace::default();
    for _ in 0..40 {
        pace.on_answered(100.0, Duration::from_secs(2));
    }

    pace.on_answered(1.0, Duration::from_secs(2));

    let usual = pace.usual(100.0).as_secs_f64();
    assert!(usual > 2.0 && usual < 2.2, "{usual}");
}

#[test]
fn the_pace_follows_engines_that_turn_slow() {
    let mut pace = StreamPace::default();
    pace.on_answered(100.0, Duration::from_secs(2));

    for _ in 0..60 {
        pace.on_answered(100.0, Duration::from_secs(4));
    }

    assert!(pace.usual(100.0) > Duration::from_millis(3_800), "{pace:?}");
}
