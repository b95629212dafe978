//! Gateways that learn of each other through relays.

use crate::entries::entry;
use crate::fleet::{Fleet, KEY, config, fleet, new_request, send};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::json;
use sorrellock_stand_ins::{FakeProxy, ProxyMode, StoreMode, new_ip};
use std::thread::sleep;
use std::time::Duration;

/// Number of gateways of each of the two data centres.
const PER_DATA_CENTRE: usize = 6;
/// More gateways than one hears that knows of none by the store.
const RELAYS_FROM: usize = 6;

/// Starts gateways in both data centres that use relays, and waits until all know each other.
fn gateways(fleet: &Fleet) -> Vec<GatewayProcess> {
    let mut gateways = Vec::new();
    for data_centre in ["north", "south"] {
        for index in 0..PER_DATA_CENTRE {
            let name = format!("{data_centre}-{index}");
            let store = fleet.store.addr();
            gateways.push(GatewayProcess::start_with_relays(
                &name,
                data_centre,
                store,
                RELAYS_FROM,
            ));
        }
    }
    wait_for("all gateways to know each other", || gateways.iter().all(knows_all));
    gateways
}

fn knows_all(gateway: &GatewayProcess) -> bool {
    gateway.is_ready() && live(gateway) == 2 * PER_DATA_CENTRE as u64
}

/// Number of gateways that a gateway knows to be live.
fn live(gateway: &GatewayProcess) -> u64 {
    gateway.dump()["live_gateways"].as_u64().unwrap_or_default()
}

fn role(gateway: &GatewayProcess) -> String {
    gateway.dump()["role"].as_str().unwrap_or_default().to_owned()
}

/// The counts of a gateway's calls of the store for a kind of objects.
fn store_calls(gateway: &GatewayProcess, kind: &str) -> Vec<String> {
    let sort = format!("sorrellock_store_calls_by_sort{{kind=\"{kind}\"");
    let page = gateway.page("metrics");
    page.lines().filter(|line| line.starts_with(&sort)).map(str::to_owned).collect()
}

/// Waits until all gateways may use the paths of both data centres.
fn wait_for_paths(gateways: &[GatewayProcess]) {
    for gateway in gateways {
        for data_centre in ["north", "south"] {
            gateway.wait_for_line(&["\"path in use\"", data_centre]);
        }
    }
}

#[test]
fn two_gateways_of_each_data_centre_are_relays() {
    let fleet = fleet();

    let gateways = gateways(&fleet);

    for of_data_centre in gateways.chunks(PER_DATA_CENTRE) {
        wait_for("the first two to be relays and no others", || {
            let roles: Vec<String> = of_data_centre.iter().map(role).collect();
            roles == ["relay", "relay", "member", "member", "member", "member"]
        });
    }
}

#[test]
fn a_configuration_is_in_force_at_all_gateways_and_read_by_the_relays_only() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    sleep(Duration::from_secs(1));
    let before = fleet.store.calls("config");
    let changes = 4;

    for version in 1..=changes {
        fleet.store.put("config", "main", config(10 + version, &[KEY]));
        for gateway in &gateways {
            let version = format!("\"version\":{}", 10 + version);
            gateway.wait_for_line(&["\"configuration in force\"", &version]);
        }
    }

    // Each of the four relays makes a call for a change, and may make one more as its watch ends meanwhile.
    let calls = fleet.store.calls("config") - before;
    assert!(calls <= 2 * 4 * changes as usize, "{calls} calls for {changes} changes");
}

#[test]
fn members_are_handed_the_changes_of_a_configuration_and_not_the_whole() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    wait_for_paths(&gateways);
    let whole = || -> f64 {
        let count =
            |gateway: &GatewayProcess| gateway.metric("sorrellock_handovers_of_configurations");
        gateways.iter().map(count).sum()
    };
    let before = whole();

    fleet.store.put("config", "main", config(11, &[KEY, "key-of-another"]));

    for gateway in &gateways {
        gateway.wait_for_line(&["\"configuration in force\"", "\"version\":11"]);
        let answer = send(gateway.callers(), "/match/a", &new_request(), Some("key-of-another"));
        assert_eq!(answer.status, 200, "{}", gateway.dump()["instance"]);
        assert_eq!(gateway.metric("sorrellock_configuration_changes_bad"), 0.0);
    }
    assert_eq!(whole(), before);
}

#[test]
fn members_make_no_calls_of_the_store_while_endpoints_change_all_the_time() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    sleep(Duration::from_secs(1));
    let members: Vec<&GatewayProcess> =
        gateways.iter().filter(|gateway| role(gateway) == "member").collect();
    let calls = || -> Vec<Vec<String>> {
        members.iter().map(|member| store_calls(member, "servers")).collect()
    };
    let before = calls();

    // For longer than data may go without being confirmed.
    for step in 0..80 {
        let mut entry = entry();
        entry["slots"] = (5 + step % 7).into();
        fleet.store.put("servers", "changing", entry);
        sleep(Duration::from_millis(100));
    }

    assert_eq!(members.len(), 2 * (PER_DATA_CENTRE - 2));
    assert_eq!(calls(), before);
    for member in members {
        let own_lines = member.lines(&["\"endpoint changed\"", "changing"]);
        assert!(own_lines.is_empty(), "one line for all that it was handed over");
        member.wait_for_line(&["\"caught up from a gateway\"", "\"changed\":1"]);
    }
}

#[test]
fn a_gateway_whose_list_of_the_others_comes_late_starts_from_the_relays() {
    let fleet = fleet();
    let mut gateways = gateways(&fleet);
    drop(gateways.pop());
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    proxy.set_mode(ProxyMode::Delays(Duration::from_millis(100)));

    let last = format!("south-{}", PER_DATA_CENTRE - 1);
    let again = GatewayProcess::start_with_relays(&last, "south", proxy.addr(), RELAYS_FROM);

    wait_for("it to be a member", || again.is_ready() && role(&again) == "member");
    let none: [String; 0] = [];
    assert_eq!(store_calls(&again, "servers"), none);
    assert_eq!(store_calls(&again, "config"), none);
}

/// Whether a gateway listed all gateways.
fn has_listed(gateway: &GatewayProcess) -> bool {
    store_calls(gateway, "sorrellock-gateways").iter().any(|line| line.contains("call=\"list\""))
}

/// Ends the last gateway and starts it again, once `before` has been done.
fn restart_last(gateways: &mut Vec<GatewayProcess>, before: impl FnOnce()) -> GatewayProcess {
    let last = gateways.pop().expect("a gateway");
    let (ip, settings) = (last.ip(), last.settings());
    drop(last);
    before();
    GatewayProcess::spawn_with_relays(ip, &settings, RELAYS_FROM)
}

#[test]
fn a_gateway_that_starts_again_reads_the_first_ones_and_lists_all_once_these_end() {
    let fleet = fleet();
    let mut gateways = gateways(&fleet);
    gateways[PER_DATA_CENTRE].wait_for_line(&["\"first gateways written\""]);

    let again = restart_last(&mut gateways, || {});

    wait_for("it to know all", || knows_all(&again) && role(&again) == "member");
    assert!(!has_listed(&again));
    drop(gateways.drain(PER_DATA_CENTRE..PER_DATA_CENTRE + 4));
    let rest = gateways.len() as u64 + 1;
    wait_for("it to know the others", || live(&again) == rest);
    assert!(has_listed(&again));
}

#[test]
fn a_gateway_lists_all_where_the_first_ones_can_not_be_read() {
    let fleet = fleet();
    let mut gateways = gateways(&fleet);
    gateways[PER_DATA_CENTRE].wait_for_line(&["\"first gateways written\""]);

    let again = restart_last(&mut gateways, || {
        fleet.store.put("sorrellock-first-gateways", "south", json!({ "gateways": "many" }));
    });

    wait_for("it to know all", || knows_all(&again) && role(&again) == "member");
    again.wait_for_line(&["\"first gateways refused\"", "south"]);
    assert!(has_listed(&again));
}

#[test]
fn a_gateway_that_can_not_register_asks_for_the_configuration_all_the_same() {
    let fleet = fleet();
    fleet.store.set_mode(StoreMode::Silent);

    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    gateway.wait_for_line(&["\"gateways not read from the store\""]);

    let asked = gateway.lines(&["\"store lost\"", "\"Configuration\""]);
    assert!(!asked.is_empty(), "it was asked before the registration failed");
}

#[test]
fn an_engine_that_crashed_gets_nothing_more_from_gateways_that_hear_of_it_through_relays() {
    let fleet = fleet();
    let gateways = gateways(&fleet);
    wait_for_paths(&gateways);

    fleet.engines[0].crash();
    fleet.engines[1].crash();

    sleep(Duration::from_secs(3));
    for gateway in &gateways {
        let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
        assert_eq!(answer.status, 200, "{}", gateway.dump()["instance"]);
    }
}

#[test]
fn other_gateways_become_relays_when_those_of_a_data_centre_end() {
    let fleet = fleet();
    let mut gateways = gateways(&fleet);

    drop(gateways.drain(..2));

    let rest = gateways.len() as u64;
    wait_for("the others to know each other", || {
        gateways.iter().all(|gateway| live(gateway) == rest)
    });
    wait_for("the next two to be relays", || {
        [role(&gateways[0]), role(&gateways[1])] == ["relay", "relay"]
    });
    fleet.store.put("config", "main", config(21, &[KEY]));
    for gateway in &gateways {
        gateway.wait_for_line(&["\"configuration in force\"", "\"version\":21"]);
    }
}

#[test]
fn a_gateway_that_starts_again_while_the_store_is_silent_counts_all_others() {
    let fleet = fleet();
    let mut gateways = gateways(&fleet);
    let last = gateways.pop().expect("a gateway");
    let (ip, settings) = (last.ip(), last.settings());
    drop(last);
    fleet.store.set_mode(StoreMode::Silent);

    let again = GatewayProcess::spawn_with_relays(ip, &settings, RELAYS_FROM);

    wait_for("it to be a member", || again.is_ready() && role(&again) == "member");
    wait_for("it to count all", || again.dump()["budget_gateways"] == 2 * PER_DATA_CENTRE);
}
