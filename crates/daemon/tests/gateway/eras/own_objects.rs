//! What the system itself has written.

use super::fixture::{fleet_with_eras, wait_for_list, write_much};
use crate::fleet::Fleet;
use crate::gateway_process::wait_for;
use serde_json::json;
use sorrellock_stand_ins::{PEER_PORT, new_ip};

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
    second.wait_for_line(&["\"gateway discovered\"", "one"]);
    let other = fleet.store.object("sorrellock-gateways", "two").expect("its registration");
    let record = json!({ "instance": "two", "incarnation": other["incarnation"], "takes": 1 });
    let copy = fleet.store.copy().with("sorrellock-leads", "placement", record);

    fleet.store.come_back_from(&copy);

    first.wait_for_line(&["\"lead kept\"", "\"era\":2"]);
    assert_eq!(holder(&fleet).as_deref(), Some("one"));
    assert_eq!(second.lines(&["\"lead taken\""]), Vec::<String>::new());
}
