//! What a fleet of many gateways asks of the store: a few of them watch for all.

use crate::fleet::{Fleet, KEY, config, fleet};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{FakeProxy, ProxyMode, new_ip};
use std::time::Duration;

/// Enough gateways for most of them to rely on others.
const GATEWAYS: usize = 16;
/// Gateways that watch by themselves, and one more while these agree on who they are.
const WATCHERS: usize = 5;

/// Starts gateways that know of each other, most of which have left their watches to others.
fn gateways(fleet: &Fleet) -> Vec<GatewayProcess> {
    let names = (10..10 + GATEWAYS).map(|index| format!("gateway-{index}"));
    let start = |name: String| GatewayProcess::start(&name, "north", fleet.store.addr());
    let gateways: Vec<GatewayProcess> = names.map(start).collect();
    for gateway in &gateways {
        wait_for("the gateway to be ready", || gateway.is_ready());
    }
    for gateway in &gateways[WATCHERS..] {
        wait_for("the watch to be left to others", || is_watch_left(gateway));
    }
    gateways
}

/// Whether a gateway has left the watch of the configuration to others.
fn is_watch_left(gateway: &GatewayProcess) -> bool {
    gateway.dump()["watches_left"]["configuration"] == true
}

fn wait_in_force(gateways: &[GatewayProcess], version: u64) {
    for gateway in gateways {
        let version = format!("\"version\":{version}");
        gateway.wait_for_line(&["\"configuration in force\"", &version]);
    }
}

#[test]
fn a_change_of_the_configuration_costs_a_call_of_a_few_gateways_and_reaches_all() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    let changes = 5;
    let before = fleet.store.calls("config");

    for version in 1..=changes {
        fleet.store.put("config", "main", config(10 + version, &[KEY]));
        wait_in_force(&gateways, 10 + version);
    }

    let calls = fleet.store.calls("config") - before;
    // Each watcher makes a call for a change, and may make one more as its watch ends meanwhile.
    assert!(calls <= 2 * WATCHERS * changes as usize, "{calls} calls for {changes} changes");
}

#[test]
fn a_change_reaches_gateways_whose_watchers_lost_the_store() {
    let fleet = fleet();
    let proxies: Vec<FakeProxy> = (0..WATCHERS)
        .map(|_| FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy"))
        .collect();
    let mut gateways: Vec<GatewayProcess> = proxies
        .iter()
        .enumerate()
        .map(|(index, proxy)| GatewayProcess::start(&format!("a-{index}"), "north", proxy.addr()))
        .collect();
    gateways.extend(self::gateways(&fleet));

    for proxy in &proxies {
        proxy.set_mode(ProxyMode::Silent);
    }
    std::thread::sleep(Duration::from_millis(300));
    fleet.store.put("config", "main", config(21, &[KEY]));

    wait_in_force(&gateways, 21);
}
