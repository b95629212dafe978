//! What gateways know of the limits that endpoints name.

use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::limits::{EndpointLimits, LimitChange, RateLimit};
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

fn engine() -> Incarnation {
    Incarnation::new("engine", None)
}

fn limit(text: &str) -> RateLimit {
    text.parse().expect("a limit")
}

#[test]
fn a_limit_is_in_force_until_a_later_answer_does_not_name_it() {
    let mut limits = EndpointLimits::default();
    let now = Instant::now();
    let (engine, four) = (engine(), Some(limit("4")));

    let named = limits.on_answer(&engine, four, now, now);
    let again = limits.on_answer(&engine, four, now, now + MS);
    let overtaken = limits.on_answer(&engine, None, now, now + 2 * MS);
    let in_force = limits.limit(&engine);
    let withdrawn = limits.on_answer(&engine, None, now + 3 * MS, now + 4 * MS);

    assert_eq!(named, Some(LimitChange::Named(limit("4"))));
    assert_eq!(again, None);
    assert_eq!(overtaken, None, "it was sent before the limit was named");
    assert_eq!(in_force, four);
    assert_eq!(withdrawn, Some(LimitChange::Withdrawn));
    assert_eq!(limits.limit(&engine), None);
}

#[test]
fn another_gateway_follows_the_latest_report() {
    let (mut limits, mut other) = (EndpointLimits::default(), EndpointLimits::default());
    let now = Instant::now();
    let engine = engine();
    limits.on_answer(&engine, Some(limit("4")), now, now);
    let named = limits.reports(now + 100 * MS);
    limits.on_answer(&engine, None, now + 200 * MS, now + 300 * MS);
    let withdrawn = limits.reports(now + 400 * MS);

    let first = other.on_report(&named[0], now + 100 * MS);
    let second = other.on_report(&withdrawn[0], now + 400 * MS);
    let late = other.on_report(&named[0], now + 100 * MS);

    assert_eq!(first, Some(LimitChange::Named(limit("4"))));
    assert_eq!(second, Some(LimitChange::Withdrawn));
    assert_eq!(late, None);
    assert_eq!(other.limit(&engine), None);
    assert_eq!(other.reports(now + 400 * MS), [], "only what an endpoint said itself is passed on");
}

#[test]
fn a_limit_ends_with_its_endpoint_and_not_by_age() {
    let mut limits = EndpointLimits::default();
    let now = Instant::now();
    limits.on_answer(&engine(), Some(limit("0")), now, now);
    let later = now + Duration::from_secs(600);

    limits.retain(|_| true);
    let known = limits.limited(later).count();
    let reported = limits.reports(later).len();
    limits.retain(|_| false);

    assert_eq!((known, reported), (1, 0));
    assert_eq!(limits.limited(later).count(), 0);
}
