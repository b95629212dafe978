//! How many gateways probe the engines of an idle path, by the size of the fleet and the time until one reports.

use sorrellock_routing::process::probe_delay;
use std::time::Duration;

/// A probe of an engine that doesn't answer, and the report of it.
const FOUND_AFTER: Duration = Duration::from_millis(140);

/// Gateways that have probed by `elapsed`, if nothing was reported before.
fn probing(gateways: usize, elapsed: Duration) -> usize {
    (0..gateways).filter(|before| probe_delay(*before) <= elapsed).count()
}

#[test]
fn two_gateways_probe_at_once() {
    assert_eq!(probing(68, Duration::ZERO), 2);
}

#[test]
fn the_only_gateway_on_a_path_probes_at_once() {
    assert_eq!(probe_delay(0), Duration::ZERO);
}

#[test]
fn as_many_gateways_probe_one_dead_engine_in_any_fleet() {
    let probing = [8, 68, 420].map(|gateways| probing(gateways, FOUND_AFTER));

    assert_eq!(probing, [8, 8, 8]);
}

#[test]
fn a_gateway_that_hears_no_report_probes_in_the_end() {
    let latest = (0..420).map(probe_delay).max().expect("a fleet");

    assert!(latest <= Duration::from_millis(400), "{latest:?}");
}

#[test]
fn gateways_probe_in_order() {
    let delays: Vec<Duration> = (0..420).map(probe_delay).collect();

    assert!(delays.is_sorted());
}
