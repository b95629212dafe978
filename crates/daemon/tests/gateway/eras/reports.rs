//! That an era began is reported.

use super::fixture::{ERA_BEGAN, fleet_with_eras};
use crate::gateway_process::GatewayProcess;
use sorrellock_stand_ins::StoreMode;

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
