//! A closed request starts no further attempt, whichever messages arrive late.

use sorrellock_core::request::{
    Driver, DriverConfig, DriverVerdict, Hop, LayerRange, Peer, Repair, RequestKey, Route,
    RouteSource, StageTrouble, TokenOut,
};
use std::net::SocketAddr;

/// A route source that always has a replacement.
struct UnlimitedRoutes;

impl RouteSource for UnlimitedRoutes {
    fn replacement(&self, hop: &Hop, _without: &[Hop]) -> Option<Hop> {
        Some(Hop { endpoint: "spare".into(), ..hop.clone() })
    }

    fn route(&self, _without: &[Hop]) -> Option<Route> {
        Some(route())
    }
}

fn request() -> RequestKey {
    RequestKey { entry: 1, sequence: 1 }
}

fn peer(number: u16) -> Peer {
    Peer { addr: SocketAddr::from(([127, 0, 0, 1], number)), incarnation: u64::from(number) }
}

fn route() -> Route {
    let hop = |number: u16| Hop {
        daemon: peer(number),
        endpoint: format!("engine-{number}"),
        layers: LayerRange::new(number - 1, number),
    };
    Route { hops: vec![hop(1), hop(2)] }
}

fn driver() -> Driver {
    let cfg = DriverConfig {
        request: request(),
        entry: peer(9),
        prompt: vec![1, 2, 3],
        max_tokens: 8,
        priority: 0,
        max_attempts: 4,
    };
    Driver::new(cfg, route())
}

fn token() -> TokenOut {
    let text = "w7 ".to_owned();
    TokenOut { request: request(), attempt: 1, position: 2, token: 7, text, end_of_text: false }
}

#[test]
fn a_closed_request_begins_no_attempt() {
    let mut driver = driver();

    let closed = driver.close();
    let repairs = [
        driver.on_trouble(1, 0, StageTrouble::EngineFailed, &UnlimitedRoutes),
        driver.on_trouble(1, 1, StageTrouble::Leaving, &UnlimitedRoutes),
        driver.on_closed(peer(2).addr, &UnlimitedRoutes),
        driver.on_stalled(&[1], &UnlimitedRoutes),
        driver.retry(&UnlimitedRoutes),
    ];

    assert_eq!(closed.len(), 2);
    assert!(repairs.iter().all(|repair| *repair == Repair::Ignored), "{repairs:?}");
    assert_eq!(driver.attempt(), 1);
}

#[test]
fn a_closed_request_emits_and_sends_nothing() {
    let mut driver = driver();

    driver.close();

    assert_eq!(driver.on_token(&token()), DriverVerdict::Repeated);
    assert_eq!(driver.on_resend(1, 0), None);
}

#[test]
fn an_open_request_does_all_of_these() {
    let mut driver = driver();

    let verdict = driver.on_token(&token());
    let resent = driver.on_resend(1, 0);
    let repair = driver.on_closed(peer(2).addr, &UnlimitedRoutes);

    assert_eq!(verdict, DriverVerdict::Emit);
    assert!(resent.is_some());
    assert!(matches!(repair, Repair::Sent(_)));
    assert_eq!(driver.attempt(), 2);
}
