//! Stand-ins whose store comes back, and what a gateway knows then.

use crate::fleet::{Fleet, fleet};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::Value;
use sorrellock_stand_ins::{FakeEngine, FakeStore, StoreCopy};

/// Parts of log lines.
pub const LEAVING: &str = "\"endpoint leaving\"";
pub const GONE: &str = "\"endpoint gone\"";
pub const ERA_BEGAN: &str = "\"era of the store began\"";

/// Stand-ins whose store tells its era.
pub fn fleet_with_eras() -> Fleet {
    let fleet = fleet();
    fleet.store.tell_era();
    fleet
}

/// Writes what nobody reads, so that revisions rise.
pub fn write_much(store: &FakeStore, objects: u32) {
    for index in 0..objects {
        store.put("other", &format!("object-{index}"), index.into());
    }
}

/// A copy from before an endpoint wrote its entry again, and more besides: its revision is above the copy's.
pub fn copy_before_entry(
    fleet: &Fleet,
    gateway: &GatewayProcess,
    engine: &FakeEngine,
) -> StoreCopy {
    let copy = fleet.store.copy();
    write_much(&fleet.store, 20);
    engine.enter();
    wait_for_entry(fleet, gateway, engine);
    copy
}

/// Waits until a gateway knows an endpoint's entry as it is now.
pub fn wait_for_entry(fleet: &Fleet, gateway: &GatewayProcess, engine: &FakeEngine) {
    let at = fleet.store.revision();
    wait_for("the entry to be known", || {
        endpoint(gateway, engine.id()).is_some_and(|one| one["revision"].as_u64() >= Some(at))
    });
}

/// An endpoint as a gateway knows it.
pub fn endpoint(gateway: &GatewayProcess, id: &str) -> Option<Value> {
    let dump = gateway.dump();
    dump["endpoints"].as_array()?.iter().find(|one| one["id"] == id).cloned()
}

/// Waits until a gateway has listed the endpoints in the store's new era.
pub fn wait_for_list(gateway: &GatewayProcess, era: u64) {
    wait_for("the list of the new era", || gateway.dump()["endpoints_era"] == era);
}
