//! What a stream does if no other run has begun.

use sorrellock_routing::request::{FailoverStep, NoRun, after_no_run};
use std::time::{Duration, Instant};

const CAUSES: [NoRun; 3] = [NoRun::NoCapacity, NoRun::NoBudget, NoRun::NoRetry];

#[test]
fn a_stream_that_has_a_run_is_never_aborted() {
    let now = Instant::now();

    for why in CAUSES {
        for until in [now, now + Duration::from_secs(1)] {
            let step = after_no_run(true, why, now, until);

            assert_ne!(step, FailoverStep::Abort, "{why:?}");
        }
    }
}

#[test]
fn a_stream_that_has_a_run_tries_again_while_another_one_may_begin() {
    let now = Instant::now();

    for why in [NoRun::NoCapacity, NoRun::NoBudget] {
        let step = after_no_run(true, why, now, now + Duration::from_secs(1));

        assert!(matches!(step, FailoverStep::Retry(wait) if !wait.is_zero()), "{why:?}");
    }
    assert_eq!(
        after_no_run(true, NoRun::NoRetry, now, now + Duration::from_secs(1)),
        FailoverStep::KeepRun
    );
}

#[test]
fn a_stream_without_a_run_waits_for_capacity_alone() {
    let now = Instant::now();
    let until = now + Duration::from_secs(1);

    let steps = CAUSES.map(|why| after_no_run(false, why, now, until));

    assert!(matches!(steps[0], FailoverStep::Retry(_)));
    assert_eq!(steps[1..], [FailoverStep::Abort, FailoverStep::Abort]);
}

#[test]
fn no_retry_is_made_after_the_deadline() {
    let now = Instant::now();

    for why in CAUSES {
        assert_eq!(after_no_run(true, why, now, now), FailoverStep::KeepRun, "{why:?}");
        assert_eq!(after_no_run(false, why, now, now), FailoverStep::Abort, "{why:?}");
    }
}
