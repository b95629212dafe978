//! Whether silence tells anything of the endpoint that was asked.

use sorrellock_routing::process::is_held_up;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(180);

#[test]
fn silence_until_the_limit_tells_of_the_endpoint() {
    let took = LIMIT + Duration::from_millis(8);

    assert!(!is_held_up(LIMIT, took));
}

/// A gateway that was busy with a burst ended questions of 180 ms after 460, and took sixteen engines
/// that were well for dead.
#[test]
fn silence_far_beyond_the_limit_tells_of_the_process_that_asked() {
    let took = Duration::from_millis(460);

    assert!(is_held_up(LIMIT, took));
}
