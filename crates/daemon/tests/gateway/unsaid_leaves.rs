//! Engines that leave without a word in their entries, while their health can't be found out.

use crate::fleet::{fleet, load};
use crate::gateway_process::GatewayProcess;
use sorrellock_stand_ins::{EngineMode, FakeEngine};
use std::thread;
use std::time::{Duration, Instant};

/// Within this time after its entry is gone, an engine may get its last request.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
const LOAD_BEFORE_LEAVE: Duration = Duration::from_millis(1_500);
/// The load outlasts the leave by twice the allowed time.
const LOAD: Duration = Duration::from_millis(5_500);

/// Guards against a limit on a missing entry that ends only when paths are next computed for another reason.
#[test]
fn an_engine_whose_entry_is_gone_gets_no_request_beyond_the_time_to_leave() {
    let fleet = fleet();
    let names = ["one", "two", "three", "four"];
    let gateways: Vec<GatewayProcess> = names.iter().map(|name| fleet.gateway(name)).collect();
    let north = &fleet.engines[..2];
    north.iter().for_each(|engine| engine.set_mode(EngineMode::ServesSlotless));

    let (left_at, outcome) = thread::scope(|scope| {
        let loading = scope.spawn(|| load(&gateways, "/match/a", LOAD));
        thread::sleep(LOAD_BEFORE_LEAVE);
        let left_at = Instant::now();
        north.iter().for_each(FakeEngine::leave_unsaid);
        (left_at, loading.join().expect("the load"))
    });

    let requests: Vec<Instant> = north.iter().flat_map(|engine| engine.seen().requests).collect();
    let after = |at: &Instant| at.checked_duration_since(left_at);
    let latest = requests.iter().filter_map(after).max().unwrap_or_default();
    assert!(requests.iter().any(|at| *at < left_at), "the engines served before");
    assert!(latest <= LEAVE_WITHIN, "a request {latest:?} after the leave");
    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
}
