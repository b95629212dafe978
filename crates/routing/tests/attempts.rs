//! Which requests may be sent again, and which outcome a caller receives.

mod common;

use common::incarnation;
use quickcheck::quickcheck;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::retries::{RetryBounds, RetryWindow, Share, Sharers};
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
    attempts.forget_ended(|ended| *ended == incarnation("b"), |_| true);

    assert!(attempts.may_send_to(&incarnation("c")));
}

#[test]
fn an_endpoint_that_still_runs_a_request_counts_while_its_entry_is_missing() {
    let mut attempts = Attempts::new(STREAM, 2);
    let is_listed = |endpoint: &Incarnation| *endpoint != incarnation("a");

    attempts.on_failed(&incarnation("a"), Evidence::MayHaveRun);
    attempts.on_failed(&incarnation("b"), Evidence::MayHaveRun);
    attempts.forget_ended(|_| false, is_listed);
    let while_it_runs = attempts.may_send_to(&incarnation("c"));
    attempts.on_broken_off(&incarnation("a"));
    attempts.on_broken_off(&incarnation("b"));
    attempts.forget_ended(|_| false, is_listed);

    assert!(!while_it_runs, "a third endpoint, where two are allowed and both may run it");
    assert!(attempts.may_send_to(&incarnation("c")), "it has no entry and broke the connection");
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
    stream.forget_ended(|incarnation| *incarnation == before, |_| true);
    assert!(stream.may_send_to(&after));
    once.forget_ended(|incarnation| *incarnation == before, |_| true);
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

const WHOLE: Share = Share { fraction: 1.0, rounding: 0.0 };

#[test]
fn a_process_spends_nothing_of_the_slack_until_its_predecessors_repeats_are_out_of_the_window() {
    let bounds = RetryBounds { window: Duration::from_secs(10), ratio: 0.2, slack: 200.0 };
    let began = Instant::now();
    let mut sharers = Sharers::new("gateway-0", began);
    sharers.on_list(1, began);
    sharers.on_list(1, began + Duration::from_secs(3));
    let mut paid_at = |age: Duration| {
        let mut window = RetryWindow::new(bounds);
        let share = sharers.share(bounds.window, began + age);
        (0..100).filter(|_| window.try_spend(began + age, share)).count()
    };

    assert_eq!([Duration::ZERO, bounds.window].map(&mut paid_at), [0, 0]);
    assert_eq!(paid_at(bounds.window + Duration::from_secs(2)), 100);
}

#[test]
fn a_process_that_the_store_told_nothing_since_its_start_has_no_share() {
    let began = Instant::now();
    let mut sharers = Sharers::new("gateway-0", began);
    let (window, later) = (Duration::from_secs(10), began + Duration::from_secs(60));

    sharers.on_list(1, began + Duration::from_millis(50));
    let before = sharers.share(window, later);
    sharers.on_list(4, later);

    assert_eq!((before.fraction, sharers.share(window, later).fraction), (0.0, 0.25));
}

#[test]
fn gateways_that_left_the_list_share_until_what_they_used_is_out_of_the_window() {
    let began = Instant::now();
    let mut sharers = Sharers::new("gateway-0", began);
    let at = |seconds| began + Duration::from_secs(seconds);

    sharers.on_list(6, at(50));
    sharers.on_list(2, at(60));

    assert_eq!([60, 64, 66].map(|seconds| sharers.count(at(seconds))), [6, 6, 2]);
}

#[test]
fn checking_the_budget_spends_nothing_and_predicts_the_next_send() {
    let bounds = RetryBounds { window: Duration::from_secs(10), ratio: 0.0, slack: 5.0 };
    let now = Instant::now();
    let mut window = RetryWindow::new(bounds);

    let checks = (0..10).filter(|_| window.may_spend(now, WHOLE)).count();
    let paid = (0..10).filter(|_| window.try_spend(now, WHOLE)).count();

    assert_eq!(checks, 10);
    assert_eq!(paid, 4);
    assert!(!window.may_spend(now, WHOLE));
}

quickcheck! {
    /// All gateways together stay within the bounds in any window, whichever of them sends and when.
    fn the_budget_holds_over_all_gateways_in_any_window(asks: Vec<(u8, u8, bool)>) -> bool {
        let bounds = RetryBounds { window: Duration::from_secs(10), ratio: 0.2, slack: 20.0 };
        let began = Instant::now();
        let gateways = 3;
        let mut windows: Vec<RetryWindow> =
            (0..gateways).map(|_| RetryWindow::new(bounds)).collect();
        let mut now = began + bounds.window;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (gap, who, is_request) in asks {
            now += Duration::from_millis(u64::from(gap) * 8);
            let window = &mut windows[usize::from(who) % gateways];
            if is_request {
                window.on_request(now);
                requests.push(now);
            } else if window.try_spend(now, Share { fraction: 1.0 / gateways as f64, rounding: 0.0 }) {
                repeats.push(now);
            }
        }
        repeats.iter().all(|start| {
            let within = |all: &[Instant], from: Instant| {
                all.iter().filter(|at| **at >= from && **at < from + bounds.window).count() as f64
            };
            // The requests of the window, the one before it or the one half a window before it count.
            let earlier = [Duration::ZERO, bounds.window / 2, bounds.window];
            let paying = earlier.map(|earlier| within(&requests, *start - earlier));
            let paying = paying.into_iter().fold(0.0, f64::max);
            within(&repeats, *start) <= bounds.ratio * paying + bounds.slack
        })
    }
}
