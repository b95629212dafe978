//! Which gateway is queried by one that knows less than others.

use sorrellock_routing::process::{Known, Revision, UpdateSource, UpdateSources};
use std::time::{Duration, Instant};

fn known(config: u64, endpoints_at: u64) -> Known {
    Known { config, endpoints_at: Revision::new(0, endpoints_at) }
}

fn near(name: &str, known: Known) -> UpdateSource<'_> {
    UpdateSource { name, known, is_near: true }
}

#[test]
fn the_gateway_with_the_newest_configuration_is_queried_first() {
    let candidates =
        [near("a", known(14, 99)), near("b", known(33, 60)), near("c", known(16, 102))];

    let chosen =
        UpdateSources::default().choose(known(14, 60), candidates.into_iter(), Instant::now());

    assert_eq!(chosen, Some("b"));
}

#[test]
fn no_gateway_is_queried_that_knows_nothing_more() {
    let candidates = [near("a", known(14, 60)), near("b", known(3, 50))];

    let chosen =
        UpdateSources::default().choose(known(14, 60), candidates.into_iter(), Instant::now());

    assert_eq!(chosen, None);
}

#[test]
fn a_gateway_that_failed_is_avoided_for_a_while_if_another_knows_more() {
    let now = Instant::now();
    let mut sources = UpdateSources::default();
    let candidates = [near("a", known(33, 90)), near("b", known(20, 70))];
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
    let candidates = [near("a", known(33, 90)), near("b", known(20, 70))];
    sources.on_failure("b", now);
    sources.on_failure("a", now + Duration::from_secs(1));

    let at = now + Duration::from_secs(2);
    let chosen = sources.choose(known(14, 60), candidates.into_iter(), at);

    assert_eq!(chosen, Some("b"));
}

#[test]
fn a_gateway_of_the_same_data_centre_goes_before_others_that_know_as_much() {
    let far = UpdateSource { is_near: false, ..near("b", known(33, 90)) };
    let candidates = [far, near("a", known(33, 90)), UpdateSource { name: "c", ..far }];

    let chosen =
        UpdateSources::default().choose(known(14, 60), candidates.into_iter(), Instant::now());

    assert_eq!(chosen, Some("a"));
}
