//! Leaves and ends that the copy lacks.

use super::fixture::{
    GONE, LEAVING, copy_before_entry, endpoint, fleet_with_eras, wait_for_list, write_much,
};
use crate::fleet::{Fleet, KEY, new_request, send};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{FakeEngine, StoreCopy};

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
