//! News of the new era, and what the copy may not take back.

use super::fixture::{
    ERA_BEGAN, GONE, LEAVING, copy_before_entry, fleet_with_eras, wait_for_entry, wait_for_list,
    write_much,
};
use crate::fleet::{KEY, begin, config, new_request, read_rest, send, whole_stream};
use crate::gateway_process::GatewayProcess;
use sorrellock_stand_ins::{FakeProxy, ProxyMode, new_ip};
use std::io::Read;

#[test]
fn an_engine_that_joined_since_the_copy_keeps_its_work_and_is_back_with_its_entry() {
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let copy = fleet.store.copy().without("servers", engine.id());
    let request = new_request();
    let (head, mut body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));
    let mut first = vec![0; 60];
    body.read_exact(&mut first).expect("the first events");

    fleet.store.come_back_from(&copy);
    gateway.wait_for_line(&["missing after an outage", engine.id()]);
    engine.enter();

    gateway.wait_for_line(&["\"entry of an endpoint is back\"", engine.id()]);
    assert_eq!(head.status, 200);
    let whole = String::from_utf8(first).expect("text") + &read_rest(&mut body);
    assert_eq!(whole, whole_stream());
    assert_eq!(gateway.lines(&[GONE, engine.id()]), Vec::<String>::new());
}

#[test]
fn a_watch_from_a_revision_that_was_given_out_again_misses_nothing() {
    let fleet = fleet_with_eras();
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    let gateway = GatewayProcess::start("one", "north", proxy.addr());
    fleet.wait_whole(&gateway);
    let engine = &fleet.engines[0];
    let copy = copy_before_entry(&fleet, &gateway, engine);

    proxy.set_mode(ProxyMode::Resets);
    fleet.store.come_back_from(&copy);
    engine.leave();
    write_much(&fleet.store, 60);
    proxy.set_mode(ProxyMode::Passes);

    gateway.wait_for_line(&[LEAVING, engine.id()]);
}

#[test]
fn a_gateway_that_the_store_turns_away_learns_of_a_new_era_from_another() {
    let fleet = fleet_with_eras();
    let first = fleet.gateway("one");
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    let second = GatewayProcess::start("two", "north", proxy.addr());
    fleet.wait_whole(&second);
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    let engine = &fleet.engines[0];
    let copy = copy_before_entry(&fleet, &second, engine);
    wait_for_entry(&fleet, &first, engine);

    proxy.set_mode(ProxyMode::Silent);
    fleet.store.come_back_from(&copy);
    engine.leave();

    for gateway in [&first, &second] {
        gateway.wait_for_line(&[LEAVING, engine.id()]);
    }
    second.wait_for_line(&[ERA_BEGAN, "\"era\":2", "\"told_by\":\"one\""]);
}

#[test]
fn a_configuration_of_the_copy_changes_nothing_and_a_newer_one_does() {
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let copy = fleet.store.copy();
    write_much(&fleet.store, 20);
    fleet.store.put("config", "main", config(7, &["key-2"]));
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":7"]);

    fleet.store.come_back_from(&copy);
    wait_for_list(&gateway, 2);
    let revoked = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    fleet.store.put("config", "main", config(8, &["key-3"]));

    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":8"]);
    let status = |key| send(gateway.callers(), "/status/a", &new_request(), Some(key)).status;
    assert_eq!((revoked.status, status("key-2"), status("key-3")), (401, 401, 200));
}

#[test]
fn two_eras_within_a_moment_leave_all_gateways_with_what_the_last_one_has() {
    let fleet = fleet_with_eras();
    let gateways = [fleet.gateway("one"), fleet.gateway("two")];
    let (engine, other) = (&fleet.engines[0], &fleet.engines[2]);
    let copy = copy_before_entry(&fleet, &gateways[0], engine);

    fleet.store.come_back_from(&copy);
    other.leave();
    fleet.store.come_back_from(&copy);
    engine.leave();

    for gateway in &gateways {
        gateway.wait_for_line(&[LEAVING, engine.id()]);
        wait_for_list(gateway, 3);
    }
}
