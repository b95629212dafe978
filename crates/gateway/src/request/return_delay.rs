//! When a caller that this gateway refuses by itself may return.

use crate::process::Gateway;
use crate::request::{Call, MAX_WAIT_SHARE};
use sorrellock_routing::process::ReturnForecast;
use std::time::Duration;
use tokio::time::Instant;

/// Returns when a caller may return as all paths are full, or as none exists.
pub(super) fn return_delay(gateway: &Gateway, call: &Call) -> Duration {
    let now = Instant::now();
    let has_path = !gateway.paths.borrow().first_engines(&call.service, now).is_empty();
    let repair = gateway.next_repair(&call.service, now).filter(|_| !has_path);
    let opens_in = repair.map(|(left, _)| left);
    let (streams, slots) = {
        let paths = gateway.paths.borrow();
        (paths.running_streams(&call.service), paths.slots(&call.service))
    };
    let usual = gateway.stream_paces.borrow().get(&call.service).map(|pace| pace.mean());
    let forecast = ReturnForecast {
        opens_in: opens_in.unwrap_or_default(),
        usual: usual.unwrap_or_default(),
        streams: if opens_in.is_some() { slots } else { streams },
        gateways: gateway.capacity_reach().1,
    };
    let max = call.deadline.saturating_duration_since(now).mul_f64(MAX_WAIT_SHARE);
    let mut times = gateway.return_times.borrow_mut();
    times.entry(call.service.clone()).or_default().next(&forecast, max, now.into_std())
}
