//! What a process that was told to end still takes.

use sorrellock_routing::process::Leaving;
use std::time::{Duration, Instant};

fn leaving(told: Instant) -> Leaving {
    Leaving { told, ends: told + Duration::from_millis(7_500) }
}

#[test]
fn whatever_comes_is_taken_while_the_balancer_still_sends() {
    let told = Instant::now();
    let leaving = leaving(told);

    let takes = leaving.takes(Duration::from_secs(20), told + Duration::from_secs(2));

    assert!(takes);
}

#[test]
fn a_stream_that_may_outlast_the_process_is_not_taken_later() {
    let told = Instant::now();
    let leaving = leaving(told);

    let takes = leaving.takes(Duration::from_secs(20), told + Duration::from_secs(3));

    assert!(!takes);
}

#[test]
fn a_request_that_ends_before_the_process_is_taken_to_the_last() {
    let told = Instant::now();
    let leaving = leaving(told);
    let longest = Duration::from_millis(1_200);

    let in_time = leaving.takes(longest, leaving.ends - longest);
    let too_late = leaving.takes(longest, leaving.ends - longest + Duration::from_millis(1));

    assert!(in_time);
    assert!(!too_late);
}
