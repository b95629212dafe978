//! The store, or a connection to it, falls silent: what changed is known soon all the same.
//!
//! What users saw: a route that the operator had added, and that the store had acknowledged, was still answered with 404 more
//! than two seconds later, and a route that was gone was still served, by all gateways.
//!
//! The order of events: a change of the configuration reaches all gateways at once, and all watch the store again, together. Right
//! then the store falls silent, for less time than a watch may wait. It answers none of these watches, not even once it is back; all other
//! calls it answers again, and it acknowledges further changes. No gateway has them before its watch is given up, after 9.5 s.
//!
//! The cause: a call without an answer was noticed by its own time limit alone, and a watch's limit was its long wait. The evidence: each
//! gateway's watch was sent 200 ms after the change before, brought nothing in 9.5 s, and the next one brought all changes at once.
//! The same happens where connections that are open go silent for good while new ones work.

use crate::fleet::{Fleet, HOST, KEY, config, fleet, new_request};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::Value;
use sorrellock_core::process::membership::rendezvous_several;
use sorrellock_stand_ins::{FakeProxy, ProxyMode, ServiceMode, StoreMode, new_ip};
use std::time::{Duration, Instant};

/// The longest that a gateway lets the store hold a watch. What hides a change for as long is found by the end of the watch
/// alone; a change is to be in force sooner, within the two seconds of the settings.
const LONG_WATCH: Duration = Duration::from_secs(8);

/// A lead reads its object each four seconds and waits 1.5 s for the answer: nothing else that it asks the store tells it sooner
/// that a connection is silent.
const NEXT_LEAD_READ: Duration = Duration::from_secs(5);

/// Writes an object that a gateway watches, and waits until it watches for the next change.
fn write_and_wait_for_the_next_watch(fleet: &Fleet, kind: &str, name: &str, spec: Value) {
    let calls = fleet.store.calls(kind);
    fleet.store.put(kind, name, spec);
    wait_for("the next watch", || fleet.store.calls(kind) > calls);
}

/// A gateway behind a proxy of its own, alone, right after it has read the lead's object.
fn gateway_behind_proxy(fleet: &Fleet) -> (GatewayProcess, FakeProxy) {
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    let gateway = GatewayProcess::start("one", "north", proxy.addr());
    fleet.wait_whole(&gateway);
    let reads = fleet.store.calls("sorrellock-leads");
    wait_for("a read of the lead's object", || fleet.store.calls("sorrellock-leads") > reads);
    (gateway, proxy)
}

/// Waits for a line that is to come before something else that began at `began` takes `most`.
fn wait_before(gateway: &GatewayProcess, began: Instant, most: Duration, parts: &[&str]) {
    gateway.wait_for_line(parts);
    assert!(began.elapsed() < most, "{parts:?} came after {:?}", began.elapsed());
}

#[test]
fn a_change_after_a_short_silence_that_took_all_watches_is_in_force_before_they_end() {
    let fleet = fleet();
    let gateways = [fleet.gateway("one"), fleet.gateway("two")];
    gateways[1].wait_for_line(&["\"gateway discovered\"", "one"]);
    let began = Instant::now();
    fleet.store.put_and_fall_silent("config", "main", config(7, &[KEY]));
    wait_for("both watches to be sent", || fleet.store.unanswered("config") >= 2);

    fleet.store.set_mode(StoreMode::Up);
    fleet.store.put("config", "main", config(8, &[KEY]));

    for gateway in &gateways {
        let parts = ["\"configuration in force\"", "\"version\":8"];
        wait_before(gateway, began, LONG_WATCH, &parts);
    }
}

#[test]
fn a_leave_after_a_short_silence_that_took_the_watch_is_known_before_it_ends() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let began = Instant::now();
    fleet.store.put_and_fall_silent("servers", "engine-0", engine.entry());
    wait_for("the watch to be sent", || fleet.store.unanswered("servers") >= 1);

    fleet.store.set_mode(StoreMode::Up);
    engine.leave();

    wait_before(&gateway, began, LONG_WATCH, &["\"endpoint leaving\"", engine.id()]);
}

/// What users saw: requests went to a plain service's endpoint for 1.5 s after the gateways knew that its entry was gone.
///
/// The order of events: the store is silent for a moment. As it answers again, an endpoint ends in order without a word in its entry,
/// which is removed. Each gateway takes it for one that only lapsed in the silence, and gives it work while it may come back.
///
/// The cause: after a failed call of the store, an endpoint whose entry is gone was not asked, though it tells whether it leaves. The
/// evidence: `entry of an endpoint missing after an outage`, seven `request sent` to it in the 1.5 s after that, and no question to it.
#[test]
fn an_endpoint_that_leaves_without_a_word_right_after_a_silence_gets_nothing_more() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    fleet.store.put_and_fall_silent("servers", "engine-0", engine.entry());
    gateway.wait_for_line(&["\"store lost\"", "Endpoints"]);

    engine.leave_unsaid();
    fleet.store.set_mode(StoreMode::Up);

    let line = gateway.wait_for_line(&["\"endpoint gone\"", engine.id()]);
    assert!(line.contains("its health"), "{line}");
}

#[test]
fn two_gateways_ask_an_endpoint_whose_entry_lapsed_and_all_hear_that_it_leaves() {
    let fleet = fleet();
    let gateways = ["one", "two", "three"].map(|instance| fleet.gateway(instance));
    gateways[2].wait_for_line(&["\"gateway discovered\"", "one"]);
    gateways[2].wait_for_line(&["\"gateway discovered\"", "two"]);
    let engine = &fleet.engines[0];
    fleet.store.put_and_fall_silent("servers", "engine-0", engine.entry());
    for gateway in &gateways {
        gateway.wait_for_line(&["\"store lost\"", "Endpoints"]);
    }

    engine.leave_unsaid();
    fleet.store.set_mode(StoreMode::Up);

    for gateway in &gateways {
        let line = gateway.wait_for_line(&["\"endpoint gone\"", engine.id()]);
        assert!(!line.contains("missing after an outage"), "{line}");
    }
}

/// What users saw: requests went to an endpoint that leaves for as long as its entry might have come back.
///
/// The order of events: two gateways don't reach the store. As it answers the third one again after an outage, an endpoint has left
/// without a word. The two are the ones that ask that endpoint on behalf of all, and are handed that its entry is missing.
///
/// The cause: a gateway asked only where the store itself told it of the missing entry. The evidence: `entry of an endpoint missing
/// after an outage` at all three, no question, and `endpoint gone` 3.5 s later.
#[test]
fn gateways_that_are_handed_a_missing_entry_ask_its_endpoint_on_behalf_of_all() {
    let mut fleet = fleet();
    let names = ["one", "two", "three"];
    let proxies =
        [(); 2].map(|()| FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy"));
    let stores = [fleet.store.addr(), proxies[0].addr(), proxies[1].addr()];
    let start = |index: usize| GatewayProcess::start(names[index], "north", stores[index]);
    let gateways = [start(0), start(1), start(2)];
    for (gateway, name) in gateways.iter().zip(names) {
        fleet.wait_whole(gateway);
        for other in names.iter().filter(|other| **other != name) {
            gateway.wait_for_line(&["\"gateway discovered\"", other]);
        }
    }
    let index = index_that_is_asked_by(&fleet, &names[1..], &names);
    fleet.add_engine(index, "north");
    let engine = fleet.engines.last().expect("the one that was added");
    for gateway in &gateways {
        gateway.wait_for_line(&["\"endpoint joined\"", engine.id()]);
    }
    proxies.iter().for_each(|proxy| proxy.set_mode(ProxyMode::Silent));
    fleet.store.put_and_fall_silent("servers", "engine-0", fleet.engines[0].entry());
    gateways[0].wait_for_line(&["\"store lost\"", "Endpoints"]);

    engine.leave_unsaid();
    fleet.store.set_mode(StoreMode::Up);

    for gateway in &gateways {
        let line = gateway.wait_for_line(&["\"endpoint gone\"", engine.id()]);
        assert!(!line.contains("missing after an outage"), "{line}");
    }
}

/// The index of an engine to be added that these of all gateways ask on behalf of all.
fn index_that_is_asked_by(fleet: &Fleet, askers: &[&str], all: &[&str]) -> usize {
    let incarnation = |name: &&str| {
        let registration = fleet.store.object("sorrellock-gateways", name).expect("it is there");
        registration["incarnation"].as_u64().expect("a number")
    };
    let asked_by = |index: &usize| {
        let id = format!("engine-{index}");
        rendezvous_several(id.as_bytes(), all.iter().map(incarnation), askers.len())
    };
    let is_wanted =
        |index: &usize| askers.iter().all(|name| asked_by(index).contains(&incarnation(name)));
    (10..).find(is_wanted).expect("one of many")
}

#[test]
fn a_change_is_in_force_soon_though_open_connections_to_the_store_went_silent_for_good() {
    let fleet = fleet();
    let (gateway, proxy) = gateway_behind_proxy(&fleet);
    write_and_wait_for_the_next_watch(&fleet, "config", "main", config(7, &[KEY]));
    let began = Instant::now();

    proxy.silence_open();
    fleet.store.put("config", "main", config(8, &[KEY]));

    let parts = ["\"configuration in force\"", "\"version\":8"];
    wait_before(&gateway, began, NEXT_LEAD_READ, &parts);
}

#[test]
fn a_leave_is_known_soon_though_open_connections_to_the_store_went_silent_for_good() {
    let fleet = fleet();
    let (gateway, proxy) = gateway_behind_proxy(&fleet);
    let engine = &fleet.engines[0];
    write_and_wait_for_the_next_watch(&fleet, "servers", "engine-9", engine.entry());
    let began = Instant::now();

    proxy.silence_open();
    engine.leave();

    wait_before(&gateway, began, NEXT_LEAD_READ, &["\"endpoint leaving\"", engine.id()]);
}

/// Sends a call that may run once, with a deadline; its status.
fn call(gateway: &GatewayProcess, deadline: Duration) -> u16 {
    let answer = ureq::post(format!("http://{}/status/a", gateway.callers()))
        .config()
        .http_status_as_error(false)
        .build()
        .header("host", HOST)
        .header("request-id", new_request())
        .header("deadline-ms", deadline.as_millis().to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .send("body");
    answer.expect("an answer").status().as_u16()
}

#[test]
fn one_call_on_a_silent_connection_is_enough_to_give_up_those_idle_before_it() {
    let fleet = fleet();
    let proxy = FakeProxy::start(new_ip(), fleet.service.addr()).expect("a proxy");
    fleet.service.tell_addr(proxy.addr(), &fleet.store);
    let gateway = fleet.gateway("one");
    // Calls at the same time leave a connection each.
    fleet.service.set_mode(ServiceMode::ServesAfter(Duration::from_millis(300)));
    std::thread::scope(|scope| {
        let calls = [(); 4].map(|()| scope.spawn(|| call(&gateway, LONG_WATCH)));
        assert_eq!(calls.map(|call| call.join().expect("a call")), [200; 4]);
    });
    fleet.service.set_mode(ServiceMode::Serves);

    proxy.silence_open();
    let first = call(&gateway, Duration::from_millis(1_000));
    let second = call(&gateway, LONG_WATCH);

    assert_eq!((first, second), (504, 200));
}

#[test]
fn an_engine_is_not_given_up_as_open_connections_to_it_went_silent_for_good() {
    let fleet = fleet();
    let engine = &fleet.engines[0];
    let proxy = FakeProxy::start(new_ip(), engine.addr()).expect("a proxy");
    engine.tell_addr(proxy.addr());
    let gateway = fleet.gateway("one");
    let line = ["\"endpoint lives without its entry\"", engine.id()];
    engine.lose_store();
    gateway.wait_for_line(&line);
    engine.regain_store();
    gateway.wait_for_line(&["\"entry of an endpoint is back\"", engine.id()]);

    proxy.silence_open();
    engine.lose_store();

    let gone = ["\"endpoint gone\"", engine.id()];
    wait_for("the engine's health", || {
        gateway.lines(&line).len() + gateway.lines(&gone).len() >= 2
    });
    assert_eq!(gateway.lines(&gone), Vec::<String>::new());
}
