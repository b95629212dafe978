//! Finds which engines of a quiet path are dead, by asking each.

use crate::process::{Count, Gateway, LivePath};
use sorrellock_platform::{CallError, Client, Health, read_health, read_report};
use sorrellock_routing::process::EndpointId;
use spdlog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time for an engine's report, on a kept connection and once more on a new one: some fifty round
/// trips inside a region.
const REPORT_LIMIT: Duration = Duration::from_millis(90);
/// What a gateway leaves to each one before it, in order of name, before it asks itself.
const TURN: Duration = Duration::from_millis(3);
/// The most of that: a path may have streams of the last gateway only.
const TURN_MOST: Duration = Duration::from_millis(30);
/// How often paths are looked at: a broken one is found a tenth of a pause late at most.
const WATCH_INTERVAL: Duration = Duration::from_millis(15);
/// Time for an endpoint's health: it may wait for a slot.
const HEALTH_LIMIT: Duration = Duration::from_millis(400);
/// A path is asked at most this often: each report is priced.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// Looks for quiet paths and has them checked, for ever.
pub(crate) async fn watch_paths(gateway: Rc<Gateway>) {
    loop {
        sleep(WATCH_INTERVAL).await;
        let paths = gateway.paths.borrow();
        let later = turn(&gateway);
        let quiet: Vec<Rc<LivePath>> = paths.quiet(Instant::now(), later).cloned().collect();
        drop(paths);
        for live in &quiet {
            check_path(&gateway, live);
        }
    }
}

/// How long this gateway leaves it to others to ask: they tell at once what they find.
fn turn(gateway: &Gateway) -> Duration {
    let beliefs = gateway.beliefs.borrow();
    let rank = beliefs.rank(&gateway.settings.instance, Instant::now());
    (TURN * rank).min(TURN_MOST)
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
    let Err(err) = ask(&gateway, addr).await else { return };
    gateway.suspect(&id, &err.to_string());
    if live.is_quiet(Instant::now(), Duration::ZERO) {
        live.break_up();
    }
}

/// Asks an engine whether it lives. A kept connection may be silent for good: another one is opened
/// before that counts.
async fn ask(gateway: &Gateway, addr: SocketAddr) -> Result<(), CallError> {
    let first = read_report(&gateway.probe(addr), REPORT_LIMIT).await;
    match first {
        Err(CallError::NoAnswer { .. }) => {}
        other => return other.map(drop),
    }
    let fresh = Client::new(addr);
    let res = read_report(&fresh, REPORT_LIMIT).await;
    if res.is_ok() {
        gateway.probes.borrow_mut().insert(addr, fresh);
    }
    res.map(drop)
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
        let endpoint = knowledge.usable_endpoints().find(|endpoint| endpoint.addr == addr);
        endpoint.filter(|endpoint| !endpoint.is_leaving).and_then(|endpoint| {
            Some((endpoint.id.clone(), knowledge.health_path(endpoint)?.to_owned()))
        })
    };
    let Some((id, path)) = found else { return };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        match ask_health(&gateway, &id, addr, &path).await {
            Ok(()) => {}
            Err(Unwell::Leaves) => gateway.believe_leaving(&id),
            Err(Unwell::Ended(why)) => gateway.suspect(&id, &why),
        }
    });
}

/// An endpoint's entry is gone without a word: it stays for a while if it tells that it lives, as one
/// that doesn't reach the store does.
pub(crate) fn check_unlisted(gateway: &Rc<Gateway>, id: &str) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        knowledge
            .endpoint(id)
            .and_then(|endpoint| Some((endpoint.addr, knowledge.health_path(endpoint)?.to_owned())))
    };
    let Some((addr, path)) = found else {
        gateway.remove_endpoint(id, "watch");
        return;
    };
    let (gateway, id) = (Rc::clone(gateway), id.to_owned());
    tokio::task::spawn_local(async move {
        let why = match ask_health(&gateway, &id, addr, &path).await {
            Ok(()) => {
                info!("endpoint lives without its entry", kv: { endpoint = id.as_str() });
                return;
            }
            Err(Unwell::Leaves) => "its health".to_owned(),
            Err(Unwell::Ended(why)) => why,
        };
        if gateway.knowledge.borrow().is_missing(&id) {
            gateway.remove_endpoint(&id, &why);
            gateway.refresh_paths();
        }
    });
}

/// Why an endpoint is not known to be well.
enum Unwell {
    /// It tells that it leaves, or that it is not well.
    Leaves,
    /// It gives no answer, or another instance answers in its place.
    Ended(String),
}

async fn ask_health(
    gateway: &Gateway,
    id: &str,
    addr: SocketAddr,
    path: &str,
) -> Result<(), Unwell> {
    gateway.counters.add(Count::Reports);
    match read_health(&gateway.probe(addr), path, id, HEALTH_LIMIT).await {
        Ok(Health::Well) => Ok(()),
        Ok(Health::Leaving) => Err(Unwell::Leaves),
        Ok(Health::Replaced) => Err(Unwell::Ended("another instance has its address".to_owned())),
        Err(err) => Err(Unwell::Ended(err.to_string())),
    }
}
