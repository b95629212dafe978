//! Entries that name no endpoint to use, as another writer leaves them: the others hold.

use crate::fleet::{
    KEY, begin, config, fleet, fleet_of_two_chains, new_request, read_rest, send, whole_stream,
};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::{Value, json};
use sorrellock_stand_ins::{FakeProxy, FakeService, ProxyMode, StoreMode, new_ip};
use std::io::Read;
use std::thread;

/// An entry as an engine writes it, at an address where nothing listens.
pub(crate) fn entry() -> Value {
    json!({
        "service": "lexis", "address": "127.0.0.1:9", "zone": "north", "version": "v1",
        "slots": 192, "state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": 5,
        "kind": "card", "layers": null, "models": [], "stage": "both",
    })
}

fn with(field: &str, value: Value) -> Value {
    let mut entry = entry();
    entry[field] = value;
    entry
}

#[test]
fn bad_entries_in_the_list_at_the_start_cost_no_other_entry() {
    let fleet = fleet();
    fleet.store.put("servers", "bad-state", with("state", json!("resting")));
    fleet.store.put("servers", "bad-slots", with("slots", json!("many")));
    fleet.store.put("servers", "bad-spec", Value::Null);
    fleet.store.put_raw("servers", "bad-json", &b"{]"[..]);
    fleet.store.put_raw("servers", "bad-text", &b"\"\xff\xfe\x80\""[..]);
    fleet.store.put_raw("servers", "bad-depth", "[".repeat(100_000) + &"]".repeat(100_000));

    let gateway = fleet.gateway("one");

    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
    for id in ["bad-state", "bad-slots", "bad-spec", "bad-json", "bad-text", "bad-depth"] {
        assert_eq!(gateway.lines(&["\"entry of an endpoint can't be used\"", id]).len(), 1, "{id}");
        assert!(gateway.lines(&["\"endpoint joined\"", id]).is_empty(), "{id}");
    }
}

#[test]
fn an_unknown_state_is_not_taken_for_leaving_nor_missing_slots_for_none() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    fleet.store.put("servers", "odd", with("state", json!("resting")));
    let mut without = entry();
    without.as_object_mut().expect("an object").remove("slots");
    fleet.store.put("servers", "less", without);

    let odd = gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", "odd"]);
    assert!(odd.contains("state") && odd.contains("resting"), "{odd}");
    let less = gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", "less"]);
    assert!(less.contains("slots") && less.contains("missing"), "{less}");
    assert!(gateway.lines(&["\"endpoint leaving\"", "odd"]).is_empty());
    assert!(gateway.lines(&["\"endpoint joined\"", "less"]).is_empty());
}

#[test]
fn a_known_engine_with_a_bad_entry_gets_nothing_new_and_is_back_when_it_is_whole() {
    let fleet = fleet_of_two_chains();
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    wait_for("the gateway to be ready", || gateway.is_ready());
    wait_for("two paths", || gateway.lines(&["\"path in use\"", "north"]).len() >= 2);
    let request = new_request();
    let (head, mut body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));
    let runner = fleet.runner(&request).expect("an engine runs it");

    fleet.store.put("servers", runner.id(), json!({"note": "not ours"}));
    gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", runner.id()]);
    let (to, others) = (gateway.callers(), [(); 6].map(|()| new_request()));
    let sent = others.clone().map(|other| {
        thread::spawn(move || send(to, "/match/a", &other, Some(KEY)).body == whole_stream())
    });
    let are_whole = sent.map(|one| one.join().expect("an answer"));
    let rest = read_rest(&mut body);
    runner.enter();

    assert_eq!(head.status, 200);
    assert_eq!(rest, whole_stream(), "the stream under way ends whole");
    assert_eq!(are_whole, [true; 6]);
    assert!(others.iter().all(|other| !runner.seen().runs.contains_key(other)), "others run them");
    gateway.wait_for_line(&["\"entry of an endpoint is back\"", runner.id()]);
    assert!(gateway.lines(&["\"endpoint lives without its entry\""]).is_empty());
}

#[test]
fn an_entry_that_is_whole_again_soon_costs_no_order() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let layers = engine.layers();
    let orders = gateway.lines(&["\"order given\""]).len();

    fleet.store.put("servers", engine.id(), Value::Null);
    gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", engine.id()]);
    engine.enter();
    gateway.wait_for_line(&["\"entry of an endpoint is back\"", engine.id()]);

    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!((answer.status, answer.is_whole), (200, true));
    assert_eq!(engine.layers(), layers);
    assert_eq!(gateway.lines(&["\"order given\""]).len(), orders);
}

#[test]
fn a_bad_entry_that_stays_is_gone_in_the_end_though_its_engine_incarnations() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];

    fleet.store.put("servers", engine.id(), Value::Null);

    gateway.wait_for_line(&["\"endpoint gone\"", engine.id(), "can't be used"]);
    assert!(gateway.lines(&["\"endpoint lives without its entry\""]).is_empty());
}

#[test]
fn bytes_that_cant_be_read_in_a_watch_hide_no_other_change() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    fleet.store.put_raw("servers", "garbled", &b"\x00\xff\xfe{\"a\":["[..]);
    fleet.store.put_raw("servers", "ledger-1", &b"{\"service\":\"\xff\"}"[..]);
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    second.expect("a second service");

    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2", "\"watch\""]);
    for id in ["garbled", "ledger-1"] {
        gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", id]);
    }
    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    assert_eq!(answer.status, 200);
    assert!(gateway.lines(&["\"store lost\""]).is_empty());
}

#[test]
fn a_watch_that_cant_be_read_as_a_whole_is_made_up_for_by_a_list() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    fleet.store.set_mode(StoreMode::GarblesWatches);
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    second.expect("a second service");

    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2", "\"list\""]);
}

#[test]
fn a_plain_service_with_a_bad_entry_gets_no_call() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let request = new_request();

    fleet.store.put("servers", "ledger-1", json!([]));
    gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", "ledger-1"]);
    let answer = send(gateway.callers(), "/status/a", &request, Some(KEY));

    assert_eq!(answer.status, 503);
    assert_eq!(fleet.service.runs(&request), 0);
}

#[test]
fn an_entry_without_a_start_names_no_engine_where_the_others_tell_theirs() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let mut entry = entry();
    entry.as_object_mut().expect("an object").remove("born");

    fleet.store.put("servers", "startless", entry);

    gateway.wait_for_line(&["\"entry of an endpoint can't be used\"", "startless"]);
    assert!(gateway.lines(&["\"endpoint joined\"", "startless"]).is_empty());
}

#[test]
fn entries_without_a_start_are_judged_anew_as_others_come() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let put = |name: &str, born: Option<u64>| {
        let mut entry = with("service", json!("other"));
        entry.as_object_mut().expect("an object").remove("born");
        if let Some(born) = born {
            entry["born"] = born.into();
        }
        fleet.store.put("servers", name, entry);
    };
    let is_refused = || {
        let dump = gateway.dump();
        let refused = dump["refused_entries"].as_array().expect("a list").iter();
        refused.filter(|entry| entry["id"] == "startless").count() == 1
    };

    put("startless", None);
    wait_for("the entry to be refused", is_refused);
    for index in 0..8 {
        put(&format!("more-{index}"), None);
    }
    gateway.wait_for_line(&["\"endpoint joined\"", "\"startless\""]);
    let was_refused = is_refused();
    for index in 0..8 {
        put(&format!("told-{index}"), Some(7));
    }

    assert!(!was_refused, "most tell no start by then");
    wait_for("the entry to be refused again", is_refused);
}

#[test]
fn a_service_that_the_configuration_does_not_name_gets_nothing_until_it_does() {
    let fleet = fleet();
    let other = FakeService::start("other-1", "other", "north", new_ip(), &fleet.store);
    let other = other.expect("another service");
    let gateway = fleet.gateway("one");
    gateway.wait_for_line(&["\"endpoint joined\"", "other-1"]);
    let before = other.asked();

    let mut named = config(2, &[KEY]);
    named["routes"][1]["service"] = "other".into();
    named["services"][0]["name"] = "other".into();
    named["routes"][2]["service"] = "other".into();
    fleet.store.put("config", "main", named);
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2"]);
    let request = new_request();
    let answer = send(gateway.callers(), "/status/a", &request, Some(KEY));

    assert_eq!(before, 0, "no call and no probe while it isn't named");
    assert_eq!((answer.status, other.runs(&request)), (200, 1));
}

#[test]
fn a_registration_that_cant_be_read_costs_no_other_gateway() {
    let fleet = fleet();
    fleet.store.put("sorrellock-gateways", "bad", json!({"addr": 7}));
    fleet.store.put_raw("sorrellock-gateways", "worse", &b"\xff"[..]);
    let first = fleet.gateway("one");

    let second = fleet.gateway("two");

    first.wait_for_line(&["\"gateway discovered\"", "two"]);
    for name in ["bad", "worse"] {
        second.wait_for_line(&["\"registration of a gateway refused\"", name]);
    }
    assert!(second.lines(&["\"gateways not read from the store\""]).is_empty());
    assert_eq!(second.metric("sorrellock_registrations_refused"), 2.0);
}

#[test]
fn a_leads_object_that_cant_be_read_is_taken_over() {
    let fleet = fleet();
    fleet.store.put_raw("sorrellock-leads", "placement", &b"\xff\x00"[..]);

    let gateway = fleet.gateway("one");

    gateway.wait_for_line(&["\"lead's object can't be read\""]);
    gateway.wait_for_line(&["\"lead taken\"", "the object in the store names it"]);
}

#[test]
fn a_configuration_of_bytes_that_cant_be_read_is_told_and_the_one_before_stays() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    fleet.store.put_raw("config", "main", &b"{\"version\":\xff"[..]);

    gateway.wait_for_line(&["\"configuration refused\""]);
    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    assert_eq!(answer.status, 200);
    fleet.store.put("config", "main", config(5, &[KEY]));
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":5"]);
}

#[test]
fn what_cant_be_used_here_is_told_to_a_gateway_without_the_store_with_its_age() {
    let fleet = fleet();
    let first = fleet.gateway("one");
    let proxy = FakeProxy::start(new_ip(), fleet.store.addr()).expect("a proxy");
    let second = GatewayProcess::start("two", "north", proxy.addr());
    fleet.wait_whole(&second);
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    proxy.set_mode(ProxyMode::Silent);

    fleet.store.put("servers", "ledger-1", Value::Null);

    first.wait_for_line(&["\"entry of an endpoint can't be used\"", "ledger-1"]);
    second.wait_for_line(&[
        "\"entry of an endpoint can't be used\"",
        "ledger-1",
        "\"source\":\"one\"",
    ]);
    second.wait_for_line(&["\"endpoint gone\"", "ledger-1"]);
}

#[test]
fn a_long_bad_entry_is_told_once_in_a_short_line() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let long = format!("re\u{7}st{}", "x".repeat(900_000));

    for slots in 1..4 {
        let mut entry = with("state", json!(long));
        entry["slots"] = slots.into();
        fleet.store.put("servers", "long", entry);
        wait_for("the entry to be read", || {
            gateway.metric("sorrellock_entries_malformed") >= f64::from(slots)
        });
    }

    let lines = gateway.lines(&["\"entry of an endpoint can't be used\"", "long"]);
    assert_eq!(lines.len(), 1);
    assert!(lines[0].len() < 600, "{} bytes", lines[0].len());
}

#[test]
fn the_dump_tells_of_endpoints_refused_entries_and_paths() {
    let fleet = fleet();
    fleet.store.put("servers", "odd", with("state", json!("resting")));
    let gateway = fleet.gateway("one");
    let (_, mut body) = begin(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    body.read_exact(&mut [0; 8]).expect("the first event");

    let dump = gateway.dump();

    assert_eq!(dump["config_version"], 1);
    assert_eq!(dump["phase"], "running");
    let endpoints = dump["endpoints"].as_array().expect("endpoints");
    assert_eq!(endpoints.len(), fleet.engines.len() + 1);
    assert!(endpoints.iter().all(|endpoint| endpoint["entry"] == "listed"), "{endpoints:?}");
    assert_eq!(dump["refused_entries"][0]["id"], "odd");
    assert_eq!(dump["refused_by_reason"]["malformed"], 1);
    let paths = dump["paths"].as_array().expect("paths");
    let streams: u64 = paths.iter().filter_map(|path| path["streams"].as_u64()).sum();
    assert_eq!(streams, 1);
    assert!(dump["lead"]["term"].is_u64());
}
