//! Reads the lead's view of the engines from gateways that have it, and serves it to others.

use crate::process::{Count, Gateway, Peer};
use bytes::Bytes;
use http::{Method, StatusCode};
use sorrellock_platform::Client;
use sorrellock_routing::process::lead_view::{ViewChange, ViewHolder, ViewMark, ViewSnapshot};
use spdlog::{info, warn};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Interval at which a gateway checks whether it lacks a view.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time limit for a view: one of 3,000 engines has some 80 KB.
const READ_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Path of the page with the view.
pub(crate) const VIEW_PATH: &str = "/view";

/// Reads the view whenever changes are missing, indefinitely.
pub(crate) async fn read_views(gateway: Rc<Gateway>) {
    loop {
        sleep(CHECK_INTERVAL).await;
        if let Some((instance, addr)) = holder(&gateway) {
            read(&gateway, &instance, addr).await;
        }
    }
}

/// Returns the gateway to read the view from now.
fn holder(gateway: &Gateway) -> Option<(String, SocketAddr)> {
    let now = Instant::now();
    let fleet_state = gateway.fleet_state.borrow();
    let missing = fleet_state.views.missing()?;
    let own = &gateway.settings.data_centre;
    let holders = fleet_state.live_peers(now).map(|peer| ViewHolder {
        mark: peer.message.view.mark,
        is_lead: peer.message.lead_term.is_some(),
        is_near: peer.message.data_centre == *own,
        peer,
    });
    let mut sync = gateway.view_sync.borrow_mut();
    let peer: &Peer = sync.read_from(missing, holders, gateway.incarnation, now.into_std())?;
    Some((peer.message.instance.clone(), peer.addr))
}

async fn read(gateway: &Gateway, instance: &str, addr: SocketAddr) {
    let answer = Client::new(addr).call(Method::GET, VIEW_PATH, None, READ_TIMEOUT).await;
    let decode = |body: &[u8]| postcard::from_bytes::<ViewSnapshot>(body);
    let snapshot = match answer {
        // It serves only so many at once.
        Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => return,
        Ok(answer) => decode(&answer.body).map_err(|err| err.to_string()),
        Err(err) => Err(err.to_string()),
    };
    match snapshot {
        Ok(snapshot) => apply(gateway, snapshot, instance),
        Err(err) => {
            gateway.counters.add(Count::ViewReadFailures);
            warn!("view of the engines not read", kv: { instance, err = err.as_str() });
        }
    }
}

fn apply(gateway: &Gateway, snapshot: ViewSnapshot, instance: &str) {
    let (mark, engines) = (snapshot.mark, snapshot.engines.len());
    let now = Instant::now().into_std();
    let change = gateway.fleet_state.borrow_mut().views.on_snapshot(snapshot, now);
    if change != ViewChange::Changed {
        return;
    }
    gateway.counters.add(Count::ViewsRead);
    info!("view of the engines read", kv: {
        instance, term = mark.term.count, version = mark.version, engines
    });
    gateway.refresh_paths();
}

impl Gateway {
    /// Returns the page with the view that this gateway has.
    pub(crate) fn view_page(&self) -> (StatusCode, Bytes) {
        let fleet_state = self.fleet_state.borrow();
        if fleet_state.views.mark() == ViewMark::default() {
            return (StatusCode::NOT_FOUND, Bytes::from_static(b"no view"));
        }
        if !self.view_serving.borrow_mut().admit(Instant::now().into_std()) {
            return (StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"busy"));
        }
        match postcard::to_stdvec(&fleet_state.views.snapshot()) {
            Ok(buf) => (StatusCode::OK, Bytes::from(buf)),
            Err(err) => (StatusCode::INTERNAL_SERVER_ERROR, Bytes::from(err.to_string())),
        }
    }
}
