//! Reads the records of requests that crash endpoints from other gateways, and serves and releases this gateway's.

use crate::process::{Count, Gateway};
use http::Method;
use serde::Serialize;
use sorrellock_platform::Client;
use sorrellock_routing::process::crashes::{CrashRecords, HeldRequest, HeldSource};
use sorrellock_routing::request::ContentId;
use spdlog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which the records are compared with those of the other gateways.
const COMPARE_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the records of another gateway: a full table has some 300 KB.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Path of the page with the records.
pub(crate) const HELD_PATH: &str = "/held";
/// Path prefix of a request to release a held one, by its content.
pub(crate) const RELEASE_PATH: &str = "/held/release/";

/// Path prefix of a request to release a part of prompts, by its name.
pub(crate) const RELEASE_PART_PATH: &str = "/held/release/part/";

/// The result of a release, for the operator.
#[derive(Serialize)]
pub(crate) struct ReleaseResult {
    /// The contents and parts.
    contents: Vec<ContentId>,
    /// Whether one of them was held back until now.
    was_held: bool,
}

/// Reads records that differ from this gateway's, indefinitely.
pub(crate) async fn exchange_held(gateway: Rc<Gateway>) {
    loop {
        sleep(COMPARE_INTERVAL).await;
        gateway.hold_convicted();
        if let Some((instance, addr)) = source(&gateway) {
            fetch(&gateway, &instance, addr, FETCH_TIMEOUT).await;
        }
    }
}

/// Returns the gateway whose records to read now.
fn source(gateway: &Gateway) -> Option<(String, SocketAddr)> {
    let now = Instant::now();
    let own = gateway.crash_guard.borrow().digest();
    let fleet_state = gateway.fleet_state.borrow();
    let peers = fleet_state.live_peers(now);
    let peers = peers.filter_map(|peer| Some((peer, peer.message.extension.crash_digest?)));
    let mut sync = gateway.held_sync.borrow_mut();
    let peer = sync.fetch_from(own, peers, now.into_std())?;
    Some((peer.message.instance.clone(), peer.addr))
}

/// Reads the first records from another gateway, in place of the store's.
pub(crate) async fn fetch_first_held(gateway: &Gateway, addr: SocketAddr, limit: Duration) {
    if fetch(gateway, &addr.to_string(), addr, limit).await {
        gateway.held_sync.borrow_mut().on_first_read(Instant::now().into_std());
    }
}

/// Reads the records of another gateway. Returns whether they came.
async fn fetch(gateway: &Gateway, instance: &str, addr: SocketAddr, limit: Duration) -> bool {
    let client = Client::new(addr);
    let answer = client.call(Method::GET, HELD_PATH, None, limit).await;
    let read =
        |body: &[u8]| serde_json::from_slice::<CrashRecords>(body).map_err(|e| e.to_string());
    match answer.map_err(|err| err.to_string()).and_then(|answer| read(&answer.body)) {
        Ok(records) => {
            gateway.merge_crash_records(records);
            true
        }
        Err(err) => {
            gateway.counters.add(Count::HeldFetchFailures);
            warn!("crash records not read from a gateway", kv: { instance, err = err.as_str() });
            false
        }
    }
}

impl Gateway {
    /// Returns what this gateway knows of requests that crash endpoints.
    pub(crate) fn crash_records(&self) -> CrashRecords {
        self.crash_guard.borrow().records(Instant::now().into_std())
    }

    /// Returns the records of held requests.
    pub(crate) fn held_records(&self) -> Vec<HeldRequest> {
        self.crash_guard.borrow().held().iter().cloned().collect()
    }

    /// Releases a held request on behalf of an operator.
    pub(crate) fn release_held(&self, contents: Vec<ContentId>) -> ReleaseResult {
        let mut was_held = false;
        for content in &contents {
            was_held |= self.crash_guard.borrow_mut().release(*content, HeldSource::Operator);
        }
        self.report_crash_events();
        ReleaseResult { contents, was_held }
    }

    /// Releases a part of prompts, of whichever models, on behalf of an operator.
    pub(crate) fn release_held_part(&self, name: &str) -> ReleaseResult {
        let parts = self.crash_guard.borrow().held_parts(name);
        self.release_held(parts)
    }
}
