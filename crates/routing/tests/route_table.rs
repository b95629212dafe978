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
