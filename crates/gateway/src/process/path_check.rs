//! Finds which engines of a quiet path are dead, by asking each.

use crate::process::{Count, Gateway, LivePath};
use sorrellock_platform::{Client, read_health, read_report};
use sorrellock_routing::process::EndpointId;
use spdlog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for an engine's report: a hundred round trips inside a region.
const REPORT_LIMIT: Duration = Duration::from_millis(150);
/// How often paths are looked at: a broken one is found a tenth of a pause late at most.
const WATCH_INTERVAL: Duration = Duration::from_millis(25);
/// Time for an endpoint's health: it may wait for a slot.
const HEALTH_LIMIT: Duration = Duration::from_millis(400);
/// A path is asked at most this often: each report is priced.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Looks for quiet paths and has them checked, for ever.
pub(crate) async fn watch_paths(gateway: Rc<Gateway>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        let paths = gateway.paths.borrow();
        let quiet: Vec<Rc<LivePath>> = paths.quiet(Instant::now()).cloned().collect();
        drop(paths);
        for live in &quiet {
            check_path(&gateway, live);
        }
    }
}

/// Asks each engine of a path for a report, unless that was done just now. Those that don't
/// answer are suspected, and the lead hears of it.
pub(crate) fn check_path(gateway: &Rc<Gateway>, live: &Rc<LivePath>) {
    let now = Instant::now();
    if live.checked.get().is_some_and(|checked| now - checked < CHECK_INTERVAL) {
        return;
    }
    live.checked.set(Some(now));
    let data_centre = live.path.data_centre.as_str();
    info!("path checked", kv: { data_centre, engines = live.path.parts.len() });
    for part in &live.path.parts {
        let check = check_engine(Rc::clone(gateway), Rc::clone(live), part.id.clone(), part.addr);
        tokio::task::spawn_local(check);
    }
}

/// An engine that doesn't answer breaks the path, which is quiet already.
async fn check_engine(gateway: Rc<Gateway>, live: Rc<LivePath>, id: EndpointId, addr: SocketAddr) {
    gateway.counters.add(Count::Reports);
    let client = Client::new(addr);
    if let Err(err) = read_report(&client, REPORT_LIMIT).await {
        gateway.suspect(&id, &err.to_string());
        if live.is_quiet(Instant::now()) {
            live.break_up();
        }
    }
}

/// An endpoint refused a request as not run: asks it whether it leaves, unless that was done just
/// now. The list may not tell for long, as while the store is down.
pub(crate) fn check_refuser(gateway: &Rc<Gateway>, addr: SocketAddr) {
    let now = Instant::now();
    let mut checked = gateway.refusers_checked.borrow_mut();
    checked.retain(|_, at| now - *at < CHECK_INTERVAL);
    if checked.insert(addr, now).is_some() {
        return;
    }
    let found = {
        let knowledge = gateway.knowledge.borrow();
        let endpoint = knowledge.endpoints().find(|endpoint| endpoint.addr == addr);
        endpoint.filter(|endpoint| !endpoint.is_leaving).and_then(|endpoint| {
            let service = knowledge.routes()?.service(&endpoint.service)?;
            Some((endpoint.id.clone(), service.health_path.clone()))
        })
    };
    if let Some((id, path)) = found {
        tokio::task::spawn_local(check_health(Rc::clone(gateway), id, addr, path));
    }
}

async fn check_health(gateway: Rc<Gateway>, id: EndpointId, addr: SocketAddr, path: String) {
    gateway.counters.add(Count::Reports);
    match read_health(&Client::new(addr), &path, HEALTH_LIMIT).await {
        Ok(true) => {}
        Ok(false) => gateway.believe_leaving(&id),
        Err(err) => gateway.suspect(&id, &err.to_string()),
    }
}
