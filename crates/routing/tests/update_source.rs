//! Which gateway is queried by one that knows less than others.

use sorrellock_routing::process::{Known, Revision, UpdateSources};
use std::time::{Duration, Instant};

fn known(config: u64, endpoints_at: u64) -> Known {
    Known { config, endpoints_at: Revision::new(0, endpoints_at) }
}

#[test]
fn the_gateway_with_the_newest_configuration_is_queried_first() {
    let candidates = [("a", known(14, 99)), ("b", known(33, 60)), ("c", known(16, 102))];

    let chosen =
        UpdateSources::default().choose(known(14, 60), candidates.into_iter(), Instant::now());

    assert_eq!(chosen, Some("b"));
}

#[test]
fn no_gateway_is_queried_that_knows_nothing_more() {
    let candidates = [("a", known(14, 60)), ("b", known(3, 50))];

    let chosen =
        UpdateSources::default().choose(known(14, 60), candidates.into_iter(), Instant::now());

    assert_eq!(chosen, None);
}

#[test]
fn a_gateway_that_failed_is_avoided_for_a_while_if_another_knows_more() {
    let now = Instant::now();
    let mut sources = UpdateSources::default();
    let candidates = [("a", known(33, 90)), ("b", known(20, 70))];
    sources.on_failure("a", now);

    let next = sources.choose(known(14, 60), candidates.into_iter(), now);
    let alone = sources.choose(known(14, 60), candidates[..1].iter().copied(), now);
    let later = sources.choose(known(14, 60), candidates.into_iter(), now + Duration::from_secs(6));

    assert_eq!((next, alone, later), (Some("b"), Some("a"), Some("a")));
}

#[test]
fn of_gateways_that_failed_the_one_that_failed_first_is_queried() {
    let now = Instant::now();
    let mut sources = UpdateSources::default();
    let candidates = [("a", known(33, 90)), ("b", known(20, 70))];
    sources.on_failure("b", now);
    sources.on_failure("a", now + Duration::from_secs(1));

    let at = now + Duration::from_secs(2);
    let chosen = sources.choose(known(14, 60), candidates.into_iter(), at);

    assert_eq!(chosen, Some("b"));
}
