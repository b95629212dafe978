//! Which requests may be sent again, and which outcome a caller receives.

mod common;

use common::incarnation;
use quickcheck::quickcheck;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::retries::{RetryBounds, RetryWindow};
use sorrellock_routing::request::{AbandonedOutcome, Attempts, Evidence};
use sorrellock_routing::version::Semantics;
use std::time::{Duration, Instant};

const STREAM: Semantics = Semantics::Stream { resumable: true };

#[test]
fn a_request_that_may_have_run_is_sent_again_only_if_it_may_repeat() {
    let mut once = Attempts::new(Semantics::NonIdempotent, 3);
    let mut idempotent = Attempts::new(Semantics::Idempotent, 3);

    once.on_failed(&incarnation("a"), Evidence::MayHaveRun);
    idempotent.on_failed(&incarnation("a"), Evidence::MayHaveRun);

    assert!(!once.may_send());
    assert!(idempotent.may_send());
}

#[test]
fn not_run_is_reported_only_if_the_request_ran_nowhere() {
    let mut attempts = Attempts::new(Semantics::NonIdempotent, 3);

    attempts.on_failed(&incarnation("a"), Evidence::NotSent);
    attempts.on_failed(&incarnation("a"), Evidence::NotRun);
    assert_eq!(attempts.abandoned_outcome(false), AbandonedOutcome::NotRun);
    attempts.on_failed(&incarnation("b"), Evidence::MayHaveRun);

    assert_eq!(attempts.abandoned_outcome(false), AbandonedOutcome::Unknown);
    assert_eq!(attempts.abandoned_outcome(true), AbandonedOutcome::TimedOut);
}

#[test]
fn an_endpoint_counts_once_and_one_that_is_lost_not_at_all() {
    let mut attempts = Attempts::new(STREAM, 2);

    attempts.on_failed(&incarnation("a"), Evidence::MayHaveRun);
    attempts.on_failed(&incarnation("b"), Evidence::MayHaveRun);
    assert!(!attempts.may_send());
    assert!(attempts.may_send_to(&incarnation("a")), "it is no further endpoint");
    assert!(!attempts.may_send_to(&incarnation("c")));
    attempts.forget_lost(|lost| *lost == incarnation("b"));

    assert!(attempts.may_send_to(&incarnation("c")));
}

#[test]
fn an_endpoint_that_started_again_is_another_one_and_what_ran_before_counts_as_run() {
    let [before, after] = [1, 2].map(|started| Incarnation::new("a", Some(started)));
    let mut stream = Attempts::new(STREAM, 1);
    let mut once = Attempts::new(Semantics::NonIdempotent, 2);

    stream.on_failed(&before, Evidence::MayHaveRun);
    once.on_failed(&before, Evidence::MayHaveRun);

    assert!(stream.may_send_to(&before));
    assert!(
        !stream.may_send_to(&after),
        "the previous incarnation counts until it is known to be over"
    );
    stream.forget_lost(|incarnation| *incarnation == before);
    assert!(stream.may_send_to(&after));
    once.forget_lost(|incarnation| *incarnation == before);
    assert!(!once.may_send_to(&after));
    assert_eq!(once.abandoned_outcome(false), AbandonedOutcome::Unknown);
}

#[test]
fn the_number_of_sends_is_limited() {
    let mut attempts = Attempts::new(STREAM, 2);

    for _ in 0..4 {
        assert!(attempts.may_send_to(&incarnation("a")));
        attempts.on_failed(&incarnation("a"), Evidence::NotRun);
    }

    assert!(!attempts.may_send_to(&incarnation("a")));
}

#[test]
fn a_process_that_just_began_spends_nothing_of_the_slack() {
    let bounds = RetryBounds { window: Duration::from_secs(10), ratio: 0.2, slack: 200.0 };
    let began = Instant::now();
    let mut window = RetryWindow::new(bounds, began);

    let paid = (0..100).filter(|_| window.try_spend(began, 1)).count();

    assert_eq!(paid, 0);
}

#[test]
fn checking_the_budget_spends_nothing_and_predicts_the_next_send() {
    let bounds = RetryBounds { window: Duration::from_secs(10), ratio: 0.0, slack: 5.0 };
    let began = Instant::now();
    let now = began + bounds.window;
    let mut window = RetryWindow::new(bounds, began);

    let checks = (0..10).filter(|_| window.may_spend(now, 1)).count();
    let paid = (0..10).filter(|_| window.try_spend(now, 1)).count();

    assert_eq!(checks, 10);
    assert_eq!(paid, 4);
    assert!(!window.may_spend(now, 1));
}

quickcheck! {
    /// All gateways together stay within the bounds in any window, whichever of them sends and when.
    fn the_budget_holds_over_all_gateways_in_any_window(asks: Vec<(u8, u8, bool)>) -> bool {
        let bounds = RetryBounds { window: Duration::from_secs(10), ratio: 0.2, slack: 20.0 };
        let began = Instant::now();
        let gateways = 3;
        let mut windows: Vec<RetryWindow> =
            (0..gateways).map(|_| RetryWindow::new(bounds, began)).collect();
        let mut now = began + bounds.window;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (gap, who, is_request) in asks {
            now += Duration::from_millis(u64::from(gap) * 8);
            let window = &mut windows[usize::from(who) % gateways];
            if is_request {
                window.on_request(now);
                requests.push(now);
            } else if window.try_spend(now, gateways) {
                repeats.push(now);
            }
        }
        repeats.iter().all(|start| {
            let within = |all: &[Instant], from: Instant| {
                all.iter().filter(|at| **at >= from && **at < from + bounds.window).count() as f64
            };
            // Requests of the window or the one before it count for the budget.
            let paying = within(&requests, *start) + within(&requests, *start - bounds.window);
            within(&repeats, *start) <= bounds.ratio * paying + bounds.slack
        })
    }
}
