//! What a process still accepts after its stop signal, and when refused callers retry.

use sorrellock_routing::process::Leaving;
use std::time::{Duration, Instant};

fn leaving(signalled: Instant) -> Leaving {
    Leaving { signalled, ends: signalled + Duration::from_millis(7_500) }
}

#[test]
fn what_usually_ends_in_time_is_taken_while_the_balancer_still_sends() {
    let signalled = Instant::now();
    let leaving = leaving(signalled);
    let (longest, now) = (Duration::from_secs(20), signalled + Duration::from_secs(2));

    let unknown = leaving.takes_stream(Duration::ZERO, longest, now);
    let short = leaving.takes_stream(Duration::from_millis(3_600), longest, now);
    let long = leaving.takes_stream(Duration::from_millis(3_700), longest, now);

    assert!(unknown);
    assert!(short);
    assert!(!long);
}

#[test]
fn a_stream_that_may_outlast_the_process_is_not_taken_later() {
    let signalled = Instant::now();
    let leaving = leaving(signalled);

    let takes = leaving.takes_stream(
        Duration::from_secs(2),
        Duration::from_secs(20),
        signalled + Duration::from_secs(3),
    );

    assert!(!takes);
}

#[test]
fn a_request_that_ends_before_the_process_is_taken_to_the_last() {
    let signalled = Instant::now();
    let leaving = leaving(signalled);
    let longest = Duration::from_millis(1_200);

    let in_time = leaving.takes_stream(Duration::ZERO, longest, leaving.ends - longest);
    let too_late = leaving.takes_stream(
        Duration::ZERO,
        longest,
        leaving.ends - longest + Duration::from_millis(1),
    );

    assert!(in_time);
    assert!(!too_late);
}

#[test]
fn nothing_is_taken_after_the_end_however_short_the_time_was() {
    let signalled = Instant::now();
    let leaving = Leaving { signalled, ends: signalled + Duration::from_millis(1_000) };

    let takes = leaving.takes_stream(Duration::ZERO, Duration::from_secs(20), leaving.ends);

    assert!(!takes);
}

#[test]
fn a_call_is_taken_as_long_as_its_service_usually_answers_before_the_end() {
    let signalled = Instant::now();
    let leaving = leaving(signalled);
    let before_end = |ms| leaving.ends - Duration::from_millis(ms);
    let table = [
        // Usual time, longest time, time before the exit, whether it is accepted; all in ms.
        (60, 4_000, 1_000, true),
        (60, 4_000, 999, false),
        (400, 4_000, 1_600, true),
        (400, 4_000, 1_599, false),
        (2_000, 4_000, 4_000, true),
        (2_000, 4_000, 3_999, false),
        (60, 300, 300, true),
    ];

    for (usual, longest, at, expected) in table {
        let (usual, longest) = (Duration::from_millis(usual), Duration::from_millis(longest));
        let takes = leaving.takes_call(usual, longest, before_end(at));
        assert_eq!(takes, expected, "{usual:?} of {longest:?}, {at} ms before the end");
    }
}

#[test]
fn a_stream_goes_on_elsewhere_unless_the_process_ends_before_its_next_event() {
    let leaving = leaving(Instant::now());

    let in_time = leaving.resumes(leaving.ends - Duration::from_millis(500));
    let too_late = leaving.resumes(leaving.ends - Duration::from_millis(499));

    assert!(in_time);
    assert!(!too_late);
}

fn seconds(all: &[f64]) -> Vec<Duration> {
    all.iter().copied().map(Duration::from_secs_f64).collect()
}

#[test]
fn callers_retry_at_once_if_half_of_the_data_centre_is_ready() {
    let leaving = leaving(Instant::now());

    let wait = leaving.retry_delay(&seconds(&[0.0, 3.0, 0.0]), &seconds(&[9.0]), leaving.signalled);

    assert_eq!(wait, Duration::ZERO);
}

#[test]
fn callers_retry_when_half_of_the_data_centre_is_detected_as_ready() {
    let leaving = leaving(Instant::now());

    let wait =
        leaving.retry_delay(&seconds(&[0.0, 3.0, 4.0]), &seconds(&[0.0, 0.0]), leaving.signalled);

    assert_eq!(wait, Duration::from_secs(3 + 1));
}

#[test]
fn callers_go_elsewhere_once_it_is_seen_that_none_is_ready_in_their_data_centre() {
    let leaving = leaving(Instant::now());
    let elsewhere = seconds(&[0.0, 0.0]);
    let wait_at = |ms, near: &[f64]| {
        leaving.retry_delay(
            &seconds(near),
            &elsewhere,
            leaving.signalled + Duration::from_millis(ms),
        )
    };

    let unseen = wait_at(500, &[]);
    let seen = wait_at(2_200, &[]);
    // The other process was signalled a second later: its successor is ready 8 s from then.
    let other_unseen = wait_at(2_200, &[8.0]);

    assert_eq!(unseen, Duration::from_millis(1_700));
    assert_eq!(seen, Duration::ZERO);
    assert_eq!(other_unseen, Duration::from_millis(1_200));
}

#[test]
fn callers_of_a_lone_process_retry_at_its_successor() {
    let leaving = leaving(Instant::now());

    let wait = leaving.retry_delay(&[], &[], leaving.ends - Duration::from_secs(2));

    assert_eq!(wait, Duration::from_millis(2_000 + 1_500 + 1_000));
}
