//! Lookup of routes and keys.

use sorrellock_routing::version::{
    CallerLimits, Configuration, NotAllowed, Route, RouteTable, Semantics, Workspace,
};
use std::time::Duration;

fn route(name: &str, prefix: &str, is_public: bool) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        path_prefix: prefix.into(),
        semantics: Semantics::Idempotent,
        timeout: Duration::from_secs(1),
        target_latency: Duration::from_millis(100),
        target_gap: None,
        priority: 1,
        targets: vec![("s".into(), 1)],
        max_attempts: 1,
        is_public,
    }
}

fn table() -> RouteTable {
    RouteTable::new(Configuration {
        version: 3,
        routes: vec![
            route("short", "/a/", false),
            route("long", "/a/b/", false),
            route("open", "/open/", true),
        ],
        services: Vec::new(),
        limits: CallerLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
        },
        workspaces: vec![Workspace {
            name: "w".into(),
            keys: vec!["k1".into(), "k2".into()],
            priority: Some(2),
        }],
    })
}

#[test]
fn the_longest_prefix_wins() {
    let table = table();

    let matched = table.find("a.example:80", "/a/b/c", Some("k2")).expect("it is allowed");

    assert_eq!(matched.route.name, "long");
    assert_eq!(matched.workspace.map(|workspace| workspace.name.as_str()), Some("w"));
}

#[test]
fn a_prefix_is_no_part_of_a_longer_name() {
    assert_eq!(table().find("a.example", "/ab/", Some("k1")).err(), Some(NotAllowed::NoRoute));
    assert_eq!(table().find("b.example", "/a/", Some("k1")).err(), Some(NotAllowed::NoRoute));
}

#[test]
fn an_unknown_key_is_refused_but_on_public_routes() {
    let table = table();

    assert_eq!(table.find("a.example", "/a/", Some("k3")).err(), Some(NotAllowed::UnknownKey));
    assert_eq!(table.find("a.example", "/a/", None).err(), Some(NotAllowed::UnknownKey));
    assert!(table.find("a.example", "/open/x", Some("k3")).is_ok());
}

/// A table with one route for each priority, and one workspace for each priority that overrides it.
fn ranked_table(routes: &[u32], workspaces: &[Option<u32>]) -> RouteTable {
    let with_priority = |(index, priority): (usize, &u32)| Route {
        semantics: Semantics::Stream { resumable: true },
        priority: *priority,
        ..route(&format!("r{index}"), &format!("/{index}/"), false)
    };
    let workspace = |(index, priority): (usize, &Option<u32>)| Workspace {
        name: format!("w{index}"),
        keys: vec![format!("k{index}")],
        priority: *priority,
    };
    let cfg = Configuration {
        routes: routes.iter().enumerate().map(with_priority).collect(),
        workspaces: workspaces.iter().enumerate().map(workspace).collect(),
        ..(**table().cfg()).clone()
    };
    RouteTable::new(cfg)
}

#[test]
fn only_services_whose_callers_differ_in_rank_have_ranks() {
    assert!(!ranked_table(&[1], &[Some(1), Some(1)]).has_ranks("s"));
    assert!(!ranked_table(&[1], &[]).has_ranks("s"));
    assert!(ranked_table(&[1], &[Some(0), Some(1)]).has_ranks("s"));
    assert!(ranked_table(&[0, 2], &[]).has_ranks("s"));
    assert!(!table().has_ranks("s"), "no streams");
}

#[test]
fn the_rank_of_a_workspace_goes_before_that_of_a_route() {
    let table = ranked_table(&[0, 2, 4_000], &[Some(1), None, Some(77)]);
    let rank = |route, workspace| table.capacity_rank(route, Some(workspace)).expect("a route");

    assert!(rank("r0", "w0") < rank("r1", "w0"), "the route decides among equal workspaces");
    assert!(rank("r0", "w1") < rank("r0", "w0"));
    assert!(rank("r1", "w0") < rank("r1", "w1"));
    assert!(rank("r2", "w2") <= 99, "ranks out of range count as the last one");
    assert_eq!(table.capacity_rank("r1", Some("unknown")), Some(22));
    assert_eq!(table.capacity_rank("unknown", None), None);
}
