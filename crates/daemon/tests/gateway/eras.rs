//! The store comes back from an older copy of itself, in a new era: what it had acknowledged since is gone, and its revisions are
//! given out again.

use crate::fleet::{Fleet, KEY, begin, config, fleet, new_request, read_rest, send, whole_stream};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::{Value, json};
use sorrellock_stand_ins::{
    FakeEngine, FakeProxy, FakeStore, PEER_PORT, ProxyMode, StoreCopy, StoreMode, new_ip,
};
use std::io::Read;

const LEAVING: &str = "\"endpoint leaving\"";
const GONE: &str = "\"endpoint gone\"";
const ERA_BEGAN: &str = "\"era of the store began\"";

/// Stand-ins whose store tells its era.
fn fleet_with_eras() -> Fleet {
    let fleet = fleet();
    fleet.store.tell_era();
    fleet
}

/// Writes what nobody reads, so that revisions rise.
fn write_much(store: &FakeStore, objects: u32) {
    for index in 0..objects {
        store.put("other", &format!("object-{index}"), index.into());
    }
}

/// A copy from before an endpoint wrote its entry again, and more besides: its revision is above the copy's.
fn copy_before_entry(fleet: &Fleet, gateway: &GatewayProcess, engine: &FakeEngine) -> StoreCopy {
    let copy = fleet.store.copy();
    write_much(&fleet.store, 20);
    engine.enter();
    wait_for_entry(fleet, gateway, engine);
    copy
}

/// Waits until a gateway knows an endpoint's entry as it is now.
fn wait_for_entry(fleet: &Fleet, gateway: &GatewayProcess, engine: &FakeEngine) {
    let at = fleet.store.revision();
    wait_for("the entry to be known", || {
        endpoint(gateway, engine.id()).is_some_and(|one| one["revision"].as_u64() >= Some(at))
    });
}

/// An endpoint as a gateway knows it.
fn endpoint(gateway: &GatewayProcess, id: &str) -> Option<Value> {
    let dump = gateway.dump();
    dump["endpoints"].as_array()?.iter().find(|one| one["id"] == id).cloned()
}

/// Waits until a gateway has listed the endpoints in the store's new era.
fn wait_for_list(gateway: &GatewayProcess, era: u64) {
    wait_for("the list of the new era", || gateway.dump()["endpoints_era"] == era);
}

/// A copy from before an engine left without a word, as the gateway knows. It doesn't leave after all.
fn copy_before_leave_of_one_that_stays(
    fleet: &Fleet,
    gateway: &GatewayProcess,
    engine: &FakeEngine,
) -> StoreCopy {
    let copy = fleet.store.copy();
    engine.leave_unsaid();
    gateway.wait_for_line(&[GONE, engine.id()]);
    engine.stay();
    copy
}

#[test]
fn an_engine_that_leaves_after_the_store_came_back_from_a_copy_is_known_to_leave() {
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let copy = copy_before_entry(&fleet, &gateway, engine);

    fleet.store.come_back_from(&copy);
    engine.leave();

    gateway.wait_for_line(&[LEAVING, engine.id()]);
}

#[test]
fn an_engine_whose_leave_the_copy_lacks_gets_nothing_new() {
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let copy = fleet.store.copy();
    engine.leave();
    gateway.wait_for_line(&[LEAVING, engine.id()]);

    fleet.store.come_back_from(&copy);
    wait_for_list(&gateway, 2);

    let ran = engine.seen().runs.len();
    for _ in 0..10 {
        assert_eq!(send(gateway.callers(), "/match/a", &new_request(), Some(KEY)).status, 200);
    }
    assert_eq!(engine.seen().runs.len(), ran);
    assert_eq!(endpoint(&gateway, engine.id()).expect("it is known")["is_leaving"], true);
}

#[test]
fn an_engine_that_was_gone_and_writes_its_entry_in_the_new_era_is_used_again() {
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let copy = copy_before_leave_of_one_that_stays(&fleet, &gateway, engine);
    write_much(&fleet.store, 20);

    fleet.store.come_back_from(&copy);
    wait_for_list(&gateway, 2);
    engine.enter();

    wait_for("it to be used again", || {
        endpoint(&gateway, engine.id()).is_some_and(|one| one["is_leaving"] == false)
    });
}

#[test]
fn an_engine_that_was_gone_and_whose_entry_is_as_in_the_copy_is_used_once_it_says_that_it_is_well()
{
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let copy = copy_before_leave_of_one_that_stays(&fleet, &gateway, engine);

    fleet.store.come_back_from(&copy);

    gateway.wait_for_line(&["\"endpoint that had left is well\"", engine.id()]);
    let known = endpoint(&gateway, engine.id()).expect("it is known");
    assert_eq!(known["is_leaving"], false);
}

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
    second.wait_for_line(&["\"gateway heard\"", "one"]);
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
fn a_gateway_writes_its_own_registration_again() {
    let fleet = fleet_with_eras();
    let copy = fleet.store.copy();
    let gateway = fleet.gateway("one");
    let written = fleet.store.object("sorrellock-gateways", "one");

    fleet.store.come_back_from(&copy);

    wait_for("the registration", || {
        fleet.store.object("sorrellock-gateways", "one").is_some_and(|now| Some(now) == written)
    });
    gateway.wait_for_line(&["\"object written again\"", "sorrellock-gateways"]);
}

#[test]
fn the_lead_takes_its_object_again_and_leads_on_with_a_higher_term() {
    let fleet = fleet_with_eras();
    let copy = fleet.store.copy();
    let gateway = fleet.gateway("one");
    write_much(&fleet.store, 20);

    fleet.store.come_back_from(&copy);

    gateway.wait_for_line(&["\"lead kept\"", "\"era\":2"]);
    assert_eq!(holder(&fleet).as_deref(), Some("one"));
    assert_eq!(gateway.lines(&["\"lead lost\""]), Vec::<String>::new());
}

/// The gateway that the lead's object names.
fn holder(fleet: &Fleet) -> Option<String> {
    let record = fleet.store.object("sorrellock-leads", "placement")?;
    record["instance"].as_str().map(str::to_owned)
}

#[test]
fn the_lead_takes_its_object_back_from_a_gateway_that_led_when_the_copy_was_made() {
    let fleet = fleet_with_eras();
    let first = fleet.gateway("one");
    first.wait_for_line(&["\"lead taken\""]);
    let second = fleet.gateway("two");
    second.wait_for_line(&["\"gateway heard\"", "one"]);
    let other = fleet.store.object("sorrellock-gateways", "two").expect("its registration");
    let record = json!({ "instance": "two", "incarnation": other["incarnation"], "takes": 1 });
    let copy = fleet.store.copy().with("sorrellock-leads", "placement", record);

    fleet.store.come_back_from(&copy);

    first.wait_for_line(&["\"lead kept\"", "\"era\":2"]);
    assert_eq!(holder(&fleet).as_deref(), Some("one"));
    assert_eq!(second.lines(&["\"lead taken\""]), Vec::<String>::new());
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

/// What operators saw: a return of the store from a copy that one gateway's log and counter did not report, while the others did.
///
/// The order of events: the gateway lists the endpoints anew for another reason, here a watch that could not be read. The store
/// comes back right before, and the list is the first answer of the new era.
///
/// The cause: an era counted as the first one that the gateway heard of if the endpoints were known in it already. The evidence:
/// `era of the store is known` twice in one process, with eras 1 and 2, and `sorrellock_store_eras` at 0.
#[test]
fn an_era_that_a_list_of_the_endpoints_is_the_first_to_bear_is_reported() {
    let fleet = fleet_with_eras();
    let gateway = fleet.gateway("one");
    let copy = fleet.store.copy();
    fleet.store.come_back_before_list("servers", &copy);
    fleet.store.set_mode(StoreMode::GarblesWatches);

    fleet.engines[0].enter();

    gateway.wait_for_line(&[ERA_BEGAN, "\"era\":2", "\"before\":1"]);
    assert_eq!(gateway.metric("sorrellock_store_eras"), 1.0);
}

/// The same for a gateway that starts while the store refuses its calls: it heard of an era, knew no endpoints in it, and took the next
/// era for the first one.
#[test]
fn an_era_that_follows_one_without_a_list_of_the_endpoints_is_reported() {
    let fleet = fleet_with_eras();
    let copy = fleet.store.copy();
    fleet.store.set_mode(StoreMode::Busy);
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    gateway.wait_for_line(&["\"era of the store is known\"", "\"era\":1"]);

    fleet.store.come_back_from(&copy);
    fleet.store.set_mode(StoreMode::Up);

    gateway.wait_for_line(&[ERA_BEGAN, "\"era\":2", "\"before\":1"]);
    assert_eq!(gateway.metric("sorrellock_store_eras"), 1.0);
}

/// What callers would see: requests to an endpoint that is about to end, or has ended, through a gateway that was started right after the
/// store came back from a copy.
///
/// The order of events: an endpoint leaves, and the gateways know. The store comes back from a copy that has the endpoint ready; those
/// gateways go on to take it as leaving. Another one starts, and lists what the copy holds.
///
/// The cause: what binds in a new era was handed over only to gateways that know less of the store. The evidence: `endpoint joined` at
/// the new gateway, and no further line of that endpoint.
#[test]
fn a_gateway_that_starts_after_a_return_is_bound_by_the_leaves_that_others_know() {
    let fleet = fleet_with_eras();
    let first = fleet.gateway("one");
    let engine = &fleet.engines[0];
    let copy = fleet.store.copy();
    engine.leave();
    first.wait_for_line(&[LEAVING, engine.id()]);
    fleet.store.come_back_from(&copy);
    wait_for_list(&first, 2);

    let second = GatewayProcess::start("two", "north", fleet.store.addr());

    second.wait_for_line(&[LEAVING, engine.id(), "\"source\":\"one\""]);
    assert_eq!(endpoint(&second, engine.id()).expect("it is known")["is_leaving"], true);
}

#[test]
fn a_gateway_whose_registration_the_copy_lacks_still_shares_the_retry_budget() {
    let fleet = fleet_with_eras();
    let copy = fleet.store.copy();
    let other = json!({ "addr": format!("{}:{PEER_PORT}", new_ip()), "incarnation": 1 });
    fleet.store.put("sorrellock-gateways", "two", other);
    let gateway = fleet.gateway("one");
    wait_for("the other registration", || gateway.dump()["budget_gateways"] == 2);

    let lists = fleet.store.calls("sorrellock-gateways");
    fleet.store.come_back_from(&copy);
    gateway.wait_for_line(&["\"object written again\"", "sorrellock-gateways"]);
    // The write, and the list after it, which the next look at the store finds answered.
    wait_for("the list", || fleet.store.calls("sorrellock-gateways") >= lists + 2);
    wait_for_list(&gateway, 2);

    assert_eq!(gateway.dump()["budget_gateways"], 2);
}
