//! Configuration and endpoints: in force soon, never back, also without the store.

use crate::fleet::{Fleet, KEY, config, fleet, new_request, send};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::json;
use sorrellock_stand_ins::{FakeEngine, FakeProxy, PEER_PORT, ProxyMode, StoreMode, new_ip};
use std::net::UdpSocket;
use std::time::Duration;

/// A second gateway that has heard of the first, with a proxy before its store.
fn second_behind_proxy(fleet: &Fleet) -> (GatewayProcess, FakeProxy) {
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    let second = GatewayProcess::start("two", "north", proxy.addr());
    fleet.wait_whole(&second);
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    (second, proxy)
}

#[test]
fn a_request_that_comes_before_the_first_endpoints_waits_for_them() {
    let fleet = fleet();
    fleet.store.set_page_size(1);
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    proxy.set_mode(ProxyMode::Delays(Duration::from_millis(50)));
    let gateway = GatewayProcess::start("one", "north", proxy.addr());
    gateway.wait_for_line(&["\"configuration in force\""]);
    let joined_before = gateway.lines(&["\"endpoint joined\""]).len();

    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

    assert_eq!(joined_before, 0, "the endpoints come later");
    assert_eq!((answer.status, answer.is_whole), (200, true));
}

#[test]
fn without_a_configuration_requests_are_refused_as_not_run_and_not_as_unknown() {
    let fleet = fleet();
    fleet.store.set_mode(StoreMode::Busy);
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    gateway.wait_for_line(&["\"store lost\""]);

    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert!(!gateway.is_ready());
}

#[test]
fn a_new_configuration_is_in_force_and_an_older_one_changes_nothing() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    fleet.store.put("config", "main", config(7, &["key-2"]));
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":7"]);
    fleet.store.put("config", "main", config(6, &[KEY]));
    fleet.store.put("config", "main", config(8, &["key-2"]));
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":8"]);

    let old = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    let new = send(gateway.callers(), "/status/a", &new_request(), Some("key-2"));
    assert_eq!((old.status, new.status), (401, 200));
    assert!(gateway.lines(&["\"configuration in force\"", "\"version\":6"]).is_empty());
}

#[test]
fn a_configuration_that_cant_be_read_is_told_and_the_one_before_stays() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let mut bad = config(9, &[KEY]);
    bad["routes"][0]["kind"] = "sideways".into();

    fleet.store.put("config", "main", bad);

    let line = gateway.wait_for_line(&["\"configuration refused\""]);
    assert!(line.contains("sideways") && line.contains("match"), "{line}");
    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    assert_eq!(answer.status, 200);
}

#[test]
fn messages_of_a_gateway_of_another_version_are_told_once_and_counted() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let to = (gateway.ip(), PEER_PORT);
    let sender = UdpSocket::bind((new_ip(), 0)).expect("a socket");
    let from = sender.local_addr().expect("an address").to_string();

    for _ in 0..3 {
        sender.send_to(&[0xfe, 1, 2, 3], to).expect("it is sent");
    }

    let told = ["\"unreadable message from a gateway\"", &from, "Format(254)"];
    gateway.wait_for_line(&told);
    wait_for("the count", || gateway.metric("sorrellock_peer_messages_bad") == 3.0);
    assert_eq!(gateway.lines(&told).len(), 1);
    assert_eq!(send(gateway.callers(), "/status/a", &new_request(), Some(KEY)).status, 200);
}

#[test]
fn the_log_tells_what_the_choice_of_an_endpoint_rested_on() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let (call, stream) = (new_request(), new_request());

    send(gateway.callers(), "/status/a", &call, Some(KEY));
    send(gateway.callers(), "/match/a", &stream, Some(KEY));

    for request in [call, stream] {
        let line = gateway.wait_for_line(&["\"request sent\"", &request]);
        let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
        assert!(line["kv"]["endpoints_at"].as_u64() > Some(0), "{line}");
        assert!(
            line["kv"]["endpoints_age_ms"].as_str().is_some_and(|age| age.starts_with("Some("))
        );
    }
}

#[test]
fn a_gateway_that_the_store_turns_away_learns_from_another() {
    let fleet = fleet();
    let first = fleet.gateway("one");
    let (second, proxy) = second_behind_proxy(&fleet);

    proxy.set_mode(ProxyMode::Silent);
    fleet.store.put("config", "main", config(6, &["key-3"]));

    for gateway in [&first, &second] {
        wait_for("the change to be in force", || {
            let answer = send(gateway.callers(), "/status/a", &new_request(), Some("key-3"));
            answer.status == 200
        });
    }
    second.wait_for_line(&["\"caught up from a gateway\"", "\"version\":6"]);
}

#[test]
fn streams_are_served_while_the_store_is_down() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    fleet.store.set_mode(StoreMode::Silent);

    for _ in 0..3 {
        let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
        assert_eq!((answer.status, answer.is_whole), (200, true));
    }
}

#[test]
fn entries_that_lapse_in_an_outage_are_not_taken_for_deaths() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    fleet.store.set_mode(StoreMode::Busy);
    gateway.wait_for_line(&["\"store lost\""]);
    for engine in &fleet.engines {
        fleet.store.remove("servers", engine.id());
    }

    fleet.store.set_mode(StoreMode::Up);
    gateway.wait_for_line(&["missing after an outage"]);

    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert!(gateway.lines(&["\"endpoint gone\"", "\"watch\""]).is_empty());
}

#[test]
fn an_engine_that_lives_without_its_entry_keeps_its_layers_and_its_work() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let layers = engine.layers();
    let orders = gateway.lines(&["\"order given\""]).len();

    engine.lose_store();
    gateway.wait_for_line(&["\"endpoint lives without its entry\"", engine.id()]);
    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    engine.regain_store();
    gateway.wait_for_line(&["\"entry of an endpoint is back\"", engine.id()]);

    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(engine.layers(), layers);
    assert_eq!(gateway.lines(&["\"order given\""]).len(), orders);
    assert!(gateway.lines(&["\"endpoint gone\"", engine.id()]).is_empty());
}

#[test]
fn changes_that_others_told_before_the_store_did_do_not_hide_an_entry() {
    let fleet = fleet();
    let first = fleet.gateway("one");
    let (second, proxy) = second_behind_proxy(&fleet);
    let engine = &fleet.engines[0];
    proxy.set_mode(ProxyMode::Silent);
    engine.lose_store();
    first.wait_for_line(&["\"endpoint lives without its entry\"", engine.id()]);
    engine.regain_store();
    second.wait_for_line(&["\"caught up from a gateway\""]);
    second.wait_for_line(&["\"store lost\"", "Endpoints"]);

    proxy.set_mode(ProxyMode::Passes);

    // The store tells of the entry's end and of its return, which the second one has heard of.
    second.wait_for_line(&["\"store regained\"", "Endpoints"]);
    second.wait_for_line(&["\"entry of an endpoint is back\"", engine.id()]);
    assert!(second.lines(&["\"endpoint gone\"", engine.id()]).is_empty());
}

#[test]
fn an_engine_that_stays_away_from_the_list_is_gone_in_the_end() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];

    engine.lose_store();

    gateway.wait_for_line(&["\"endpoint lives without its entry\"", engine.id()]);
    gateway.wait_for_line(&["\"endpoint gone\"", engine.id()]);
}

#[test]
fn an_engine_whose_address_another_one_has_does_not_live_without_its_entry() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];

    engine.restart_as("engine-0-again");
    engine.lose_store();

    gateway.wait_for_line(&["\"endpoint gone\"", engine.id(), "another instance"]);
    assert!(gateway.lines(&["\"endpoint lives without its entry\""]).is_empty());
}

#[test]
fn the_entry_of_an_ended_instance_that_is_written_late_takes_no_part_in_plans() {
    let mut fleet = fleet();
    fleet.engines.iter().for_each(FakeEngine::tell_no_start);
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let (from, target) = engine.layers();
    let mut late_entry = engine.entry();
    late_entry["layers"] = json!({"from": from, "target": target, "version": 1});
    engine.restart_silently(None);
    engine.restart_as("engine-0-again");
    fleet.store.remove("servers", engine.id());
    fleet.store.put("servers", "engine-0-again", engine.entry());
    gateway.wait_for_line(&["\"endpoint joined\"", "engine-0-again"]);

    fleet.store.put("servers", "engine-0", late_entry);
    fleet.add_engine(4, "north");

    let plan = gateway.wait_for_line(&["\"plan changed\"", "engine-4="]);
    assert!(plan.contains("engine-0-again="), "{plan}");
    assert!(!plan.contains("engine-0="), "{plan}");
}

#[test]
fn an_engine_that_leaves_unsaid_is_gone_as_soon_as_it_tells() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];

    engine.leave_unsaid();

    gateway.wait_for_line(&["\"endpoint gone\"", engine.id(), "its health"]);
    assert!(gateway.lines(&["\"endpoint lives without its entry\""]).is_empty());
}

#[test]
fn what_one_gateway_misses_another_hears_of_with_its_age() {
    let fleet = fleet();
    let first = fleet.gateway("one");
    let (second, proxy) = second_behind_proxy(&fleet);
    proxy.set_mode(ProxyMode::Silent);
    fleet.store.set_mode(StoreMode::Busy);
    first.wait_for_line(&["\"store lost\""]);
    fleet.store.remove("servers", "ledger-1");

    fleet.store.set_mode(StoreMode::Up);
    first.wait_for_line(&["missing after an outage", "ledger-1"]);

    second.wait_for_line(&["missing after an outage", "ledger-1", "\"source\":\"one\""]);
    second.wait_for_line(&["\"endpoint gone\"", "ledger-1"]);
}

#[test]
fn where_gateways_are_many_the_last_one_learns_of_endpoints_from_others() {
    let fleet = fleet();
    let name = |index: usize| format!("gateway-{index:02}");
    let start = |index| GatewayProcess::start(&name(index), "north", fleet.store.addr());
    let gateways: Vec<_> = (0..13).map(start).collect();
    let last = gateways.last().expect("there are some");
    for index in 0..12 {
        last.wait_for_line(&["\"gateway discovered\"", &name(index)]);
    }
    // Its watch under way may still tell of this one.
    fleet.engines[3].leave();
    last.wait_for_line(&["\"endpoint leaving\"", "engine-3"]);

    fleet.engines[1].leave();

    let line = last.wait_for_line(&["\"endpoint leaving\"", "engine-1"]);
    assert!(line.contains("\"source\":\"gateway-"), "{line}");
}

#[test]
fn one_of_two_gateways_leads_and_the_other_takes_over() {
    let fleet = fleet();
    let first = fleet.gateway("one");
    first.wait_for_line(&["\"lead taken\""]);
    let second = fleet.gateway("two");
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    assert!(second.lines(&["\"lead taken\""]).is_empty());

    drop(first);

    second.wait_for_line(&["\"lead taken\""]);
}

#[test]
fn answers_of_the_store_that_are_lost_do_not_stop_a_gateway() {
    let fleet = fleet();
    fleet.store.set_mode(StoreMode::LosesAnswers);
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    gateway.wait_for_line(&["gateways not read"]);

    fleet.store.set_mode(StoreMode::Up);
    fleet.wait_whole(&gateway);

    gateway.wait_for_line(&["\"lead taken\""]);
}
