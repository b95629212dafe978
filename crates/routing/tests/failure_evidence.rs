//! When a gateway accepts another one's report that an engine failed.

use sorrellock_routing::process::FailureEvidence;
use std::time::Duration;

/// Longest usual time between two passes of a path under load.
const PASS: Duration = Duration::from_millis(110);
/// How long a path has had no event when a gateway has found an engine of it silent: the time until it counts as
/// idle, and a probe's timeout.
const IDLE_AT_FINDING: Duration = Duration::from_millis(75 + 90);

#[test]
fn a_path_that_waits_for_its_next_pass_is_not_broken_by_a_timeout_at_another_gateway() {
    assert!(FailureEvidence::NoAnswer.min_idle() > PASS);
}

#[test]
fn a_path_through_a_silent_engine_is_broken_as_soon_as_that_is_found() {
    assert!(FailureEvidence::NoAnswer.min_idle() <= IDLE_AT_FINDING);
}

#[test]
fn a_refused_connection_counts_sooner_than_silence() {
    assert!(FailureEvidence::Refused.min_idle() < FailureEvidence::NoAnswer.min_idle());
}
