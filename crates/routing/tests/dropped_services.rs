//! A service that a newer configuration drops stays known until the last request admitted under an older one is
//! over.

use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::version::{CallerLimits, Configuration, Route, Semantics, Service};
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(20);
const MOMENT: Duration = Duration::from_millis(1);

fn service(name: &str) -> Service {
    Service { name: name.into(), health_path: "/health".into(), max_connections: 10, model: None }
}

fn route(service: &str) -> Route {
    Route {
        name: service.into(),
        host: "a.example".into(),
        path_prefix: format!("/{service}/"),
        semantics: Semantics::Idempotent,
        timeout: TIMEOUT,
        target_latency: Duration::from_millis(100),
        target_gap: None,
        priority: 1,
        targets: vec![(service.into(), 1)],
        max_attempts: 1,
        is_public: true,
    }
}

fn configuration(version: u64, routes: &[&str], services: &[&str]) -> Configuration {
    Configuration {
        version,
        routes: routes.iter().copied().map(route).collect(),
        services: services.iter().copied().map(service).collect(),
        limits: CallerLimits {
            max_header_bytes: 1 << 14,
            max_body_bytes: 1 << 20,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(10),
        },
        workspaces: Vec::new(),
    }
}

/// Returns a gateway's knowledge after applying configurations, each at its time.
fn knowledge(changes: Vec<(Instant, Configuration)>) -> Knowledge {
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    for (at, cfg) in changes {
        assert!(knowledge.apply_configuration(cfg, at));
    }
    knowledge
}

fn names(knowledge: &Knowledge, now: Instant) -> Vec<&str> {
    knowledge.services(now).map(|service| service.name.as_str()).collect()
}

#[test]
fn a_dropped_service_is_known_until_its_last_request_is_over() {
    let t0 = Instant::now();
    let knowledge = knowledge(vec![
        (t0, configuration(1, &["a", "b"], &["a", "b"])),
        (t0 + TIMEOUT, configuration(2, &["a"], &["a"])),
    ]);

    assert_eq!(names(&knowledge, t0 + TIMEOUT), ["a", "b"]);
    assert_eq!(names(&knowledge, t0 + TIMEOUT * 2 - MOMENT), ["a", "b"]);
    assert_eq!(names(&knowledge, t0 + TIMEOUT * 2), ["a"]);
}

#[test]
fn the_time_counts_from_the_last_configuration_that_had_a_route_to_the_service() {
    let t0 = Instant::now();
    let second = Duration::from_secs(1);
    let knowledge = knowledge(vec![
        (t0, configuration(1, &["a", "b"], &["a", "b"])),
        (t0 + second, configuration(2, &["a"], &["a", "b"])),
        (t0 + second * 5, configuration(3, &["a"], &["a"])),
    ]);

    assert_eq!(names(&knowledge, t0 + second + TIMEOUT - MOMENT), ["a", "b"]);
    assert_eq!(names(&knowledge, t0 + second + TIMEOUT), ["a"]);
}

#[test]
fn a_service_without_a_route_is_dropped_at_once_and_one_that_is_named_again_is_known_once() {
    let t0 = Instant::now();
    let knowledge = knowledge(vec![
        (t0, configuration(1, &["a", "b"], &["a", "b", "unused"])),
        (t0, configuration(2, &["a"], &["a"])),
        (t0, configuration(3, &["a", "b"], &["a", "b"])),
    ]);

    assert_eq!(names(&knowledge, t0), ["a", "b"]);
}
