//! Tests of how long a request waits for the holder of its key.

use crate::net::{DAEMON, peer};
use sorrellock_core::process::ledger::{KeyedRun, KeyedStep, MAX_CLAIMS};
use sorrellock_core::request::RequestKey;

/// Returns a request that has claimed its key.
fn claiming() -> KeyedRun {
    let owner = RequestKey { entry: 1, sequence: 1 };
    let mut run = KeyedRun::new(owner, [7; 16], [8; 16]);
    run.claim(peer(DAEMON, 0, 2));
    run
}

#[test]
fn links_that_close_use_up_no_claims() {
    let mut run = claiming();

    let again: Vec<KeyedStep> = (0..10 * MAX_CLAIMS).map(|_| run.on_holder_lost()).collect();

    assert!(again.iter().all(|step| matches!(step, KeyedStep::Claim(_))));
    assert!(matches!(run.on_wait_over(), KeyedStep::Claim(_)));
}

#[test]
fn a_holder_that_stays_silent_ends_the_request_as_not_run() {
    let mut run = claiming();

    let last = (0..MAX_CLAIMS).map(|_| run.on_wait_over()).last();

    assert!(matches!(last, Some(KeyedStep::NotRun(_))), "{last:?}");
}
