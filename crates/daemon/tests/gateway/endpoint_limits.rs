//! Endpoints that name a limit for the requests of all gateways together.

use crate::fleet::{Fleet, fleet, load};
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use sorrellock_stand_ins::{FakeEngine, FakeService, new_ip};
use std::time::{Duration, Instant};

const GATEWAYS: usize = 3;
/// Within this time of an endpoint's first naming of a limit, the gateways keep to it.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Length of the windows in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;
/// How long callers send: three windows after the limit binds.
const LASTS: Duration = Duration::from_secs(11);

fn gateways(fleet: &Fleet) -> Vec<GatewayProcess> {
    (0..GATEWAYS).map(|index| fleet.gateway(&format!("gateway-{index}"))).collect()
}

/// The most requests in any window from `from` on.
fn most_in_window(mut arrivals: Vec<Instant>, from: Instant) -> usize {
    arrivals.retain(|at| *at >= from);
    arrivals.sort();
    let in_window = |first: &Instant| {
        arrivals.iter().filter(|at| *at >= first && **at < *first + WINDOW).count()
    };
    arrivals.iter().map(in_window).max().unwrap_or_default()
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + SLACK) as usize
}

/// The engine that gets the most requests as the first of its path.
fn busiest(fleet: &Fleet) -> &FakeEngine {
    let requests = |engine: &&FakeEngine| engine.seen().requests.len();
    fleet.engines.iter().max_by_key(requests).expect("there are engines")
}

#[test]
fn gateways_together_keep_to_the_limit_that_an_engine_names() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    load(&gateways, "/match/a", Duration::from_secs(1));
    let engine = busiest(&fleet);

    engine.name_limits(&["2.5"]);
    let named = Instant::now();
    let outcome = load(&gateways, "/match/a", LASTS);

    let most = most_in_window(engine.seen().requests, named + STABLE_WINDOW);
    assert!(most <= allowed(2.5), "{most} in 4 s, {} allowed", allowed(2.5));
    assert!(most > 0, "it takes some");
    // The other data centre takes the rest.
    assert!(outcome.served * 100 >= outcome.sent * 99, "{outcome:?}");
}

#[test]
fn gateways_together_keep_to_a_limit_while_they_restart() {
    let fleet = fleet();
    let mut gateways = gateways(&fleet);
    load(&gateways, "/match/a", Duration::from_secs(1));
    let engine = busiest(&fleet);

    engine.name_limits(&["2.5"]);
    let named = Instant::now();
    for index in 0..GATEWAYS {
        load(&gateways, "/match/a", Duration::from_secs(3));
        let ip = gateways[index].ip();
        gateways[index].signal(Signal::SIGKILL);
        wait_for("its end", || gateways[index].has_ended());
        let name = format!("gateway-{index}");
        gateways[index] = GatewayProcess::spawn_at(ip, &name, "north", fleet.store.addr(), true);
        fleet.wait_whole(&gateways[index]);
    }

    let most = most_in_window(engine.seen().requests, named + STABLE_WINDOW);
    assert!(most <= allowed(2.5), "{most} in 4 s, {} allowed", allowed(2.5));
}

#[test]
fn a_limit_that_an_engine_changes_and_withdraws_is_followed() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    load(&gateways, "/match/a", Duration::from_secs(1));
    let engine = busiest(&fleet);

    engine.name_limits(&["8"]);
    load(&gateways, "/match/a", STABLE_WINDOW);
    engine.name_limits(&["0"]);
    let changed = Instant::now();
    load(&gateways, "/match/a", STABLE_WINDOW + WINDOW);
    let most = most_in_window(engine.seen().requests, changed + STABLE_WINDOW);
    engine.name_limits(&[]);
    let withdrawn = Instant::now();
    load(&gateways, "/match/a", Duration::from_secs(10));
    let after = engine.seen().requests.iter().filter(|at| **at > withdrawn).count();

    assert!(most <= allowed(0.0), "{most} in 4 s, {} allowed", allowed(0.0));
    assert!(after > 40, "{after} in 10 s after it withdrew its limit");
    for gateway in &gateways {
        gateway.wait_for_line(&["\"endpoint named a limit\"", engine.id(), "\"limit\":8.0"]);
        gateway.wait_for_line(&["\"endpoint named a limit\"", engine.id(), "\"limit\":0.0"]);
        gateway.wait_for_line(&["\"endpoint withdrew its limit\"", engine.id()]);
    }
}

#[test]
fn limits_that_can_not_be_read_are_counted_and_change_nothing() {
    for invalid in [&["-1"][..], &["many"], &["1", "1"], &["1e3"]] {
        let fleet = fleet();
        let gateway = fleet.gateway("one");
        fleet.engines.iter().for_each(|engine| engine.name_limits(invalid));

        let outcome = load(std::slice::from_ref(&gateway), "/match/a", Duration::from_secs(1));

        assert_eq!(outcome.served, outcome.sent, "{invalid:?}");
        assert_eq!(gateway.metric("sorrellock_limited_endpoints"), 0.0, "{invalid:?}");
        assert!(gateway.metric("sorrellock_limits_invalid") > 0.0, "{invalid:?}");
        gateway.wait_for_line(&["\"limit of an endpoint ignored\""]);
    }
}

#[test]
fn calls_beyond_the_limits_of_all_services_are_refused_at_once() {
    let fleet = fleet();
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    let services = [fleet.service.clone(), second.expect("a service")];
    let gateways = gateways(&fleet);
    services.iter().for_each(|service| service.name_limit(Some("3")));
    let named = Instant::now();

    let outcome = load(&gateways, "/status/a", LASTS);

    for service in &services {
        let most = most_in_window(service.arrivals(), named + STABLE_WINDOW);
        assert!(most <= allowed(3.0), "{most} in 4 s, {} allowed", allowed(3.0));
    }
    assert_eq!(outcome.served + outcome.refused, outcome.sent, "{outcome:?}");
    // Two services of three a second each, for eleven seconds.
    assert!(outcome.served >= 40, "{outcome:?}");
}
