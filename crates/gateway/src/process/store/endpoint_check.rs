//! Checks the health and the incarnation of endpoints where their entries don't settle it.

use crate::process::{AnswerOf, CHECK_INTERVAL, Gateway, Unanswered};
use sorrellock_platform::{CallError, Health, read_health, read_report};
use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::process::{Endpoint, FailureEvidence, Incarnation};
use spdlog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for an endpoint's health answer, which may wait for a slot, and for the report with its incarnation.
const CHECK_TIMEOUT: Duration = Duration::from_millis(400);
/// Source of the finding that an endpoint leaves, for log lines.
const ITS_HEALTH: &str = "its health";

/// An endpoint to check.
struct CheckTarget {
    incarnation: Incarnation,
    addr: SocketAddr,
    health_path: String,
    /// Whether it has a report.
    is_engine: bool,
}

impl CheckTarget {
    fn new(knowledge: &Knowledge, endpoint: &Endpoint) -> Option<CheckTarget> {
        Some(CheckTarget {
            incarnation: endpoint.incarnation(),
            addr: endpoint.addr,
            health_path: knowledge.health_path(endpoint, Instant::now().into_std())?.to_owned(),
            is_engine: endpoint.card.is_some(),
        })
    }
}

/// Checks whether an endpoint that refused a request as not run is leaving, unless it was checked just
/// now. The list may not show this for a long time, for example while the store is down. `lacks_part`: it
/// doesn't hold its part of the path, like one that restarted.
pub(crate) fn check_refuser(gateway: &Rc<Gateway>, addr: SocketAddr, lacks_part: bool) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        let endpoint = knowledge.usable_endpoints().find(|endpoint| endpoint.addr == addr);
        let endpoint = endpoint.filter(|endpoint| !endpoint.is_leaving);
        endpoint.and_then(|endpoint| CheckTarget::new(&knowledge, endpoint))
    };
    let Some(target) = found else { return };
    if !mark_checked(gateway, &target.incarnation) {
        return;
    }
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut res = check_health(&gateway, &target).await;
        if res.is_ok() && lacks_part {
            res = check_incarnation(&gateway, &target).await;
        }
        match res {
            // An endpoint that has just refused a request is alive.
            Ok(())
            | Err(Unhealthy::OtherIncarnation | Unhealthy::Unknown | Unhealthy::Silent(_)) => {}
            Err(Unhealthy::Leaves) => gateway.mark_leaving(&target.incarnation),
            Err(Unhealthy::Ended(why)) => {
                gateway.suspect(&target.incarnation, FailureEvidence::Refused, &why)
            }
        }
    });
}

/// If several endpoints are listed at an address, checks for each whether it is the one that answers there.
/// Skips those that were checked just now.
pub(crate) fn check_address(gateway: &Rc<Gateway>, addr: SocketAddr) {
    let targets: Vec<CheckTarget> = {
        let knowledge = gateway.knowledge.borrow();
        let here = knowledge.usable_endpoints().filter(|endpoint| endpoint.addr == addr);
        here.filter_map(|endpoint| CheckTarget::new(&knowledge, endpoint)).collect()
    };
    if targets.len() < 2 {
        return;
    }
    for target in targets.into_iter().filter(|target| mark_checked(gateway, &target.incarnation)) {
        let gateway = Rc::clone(gateway);
        // `check_health` applies what it finds, so the result is not needed.
        tokio::task::spawn_local(async move { drop(check_health(&gateway, &target).await) });
    }
}

/// Records that an endpoint is checked after a refusal or a contradiction. Returns whether it was not checked just now.
fn mark_checked(gateway: &Gateway, incarnation: &Incarnation) -> bool {
    let now = Instant::now();
    let mut checked = gateway.refusers_checked.borrow_mut();
    checked.retain(|_, at| now - *at < CHECK_INTERVAL);
    checked.insert(incarnation.clone(), now).is_none()
}

/// Checks an endpoint whose entry was removed without having been marked as leaving. It stays for a while
/// if it is healthy, as when it can't reach the store.
pub(crate) fn check_unlisted(gateway: &Rc<Gateway>, id: &str) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        knowledge.endpoint(id).and_then(|endpoint| CheckTarget::new(&knowledge, endpoint))
    };
    let Some(target) = found else {
        gateway.remove_endpoint(id, "watch");
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut res = check_health(&gateway, &target).await;
        if res.is_ok() {
            // Health doesn't show the incarnation; only the report shows whether it kept its layers.
            res = check_incarnation(&gateway, &target).await;
        }
        let id = target.incarnation.id.as_str();
        let why = match res {
            Ok(()) => {
                info!("endpoint lives without its entry", kv: { endpoint = id });
                return;
            }
            // It stays as the new incarnation, which holds no layers yet.
            Err(Unhealthy::OtherIncarnation) => return,
            Err(Unhealthy::Leaves) => ITS_HEALTH.to_owned(),
            // It stays for as long as an expired entry may take to be written again.
            Err(Unhealthy::Unknown) => return,
            Err(Unhealthy::Ended(why) | Unhealthy::Silent(why)) => why,
        };
        if gateway.knowledge.borrow().is_missing(id) {
            gateway.remove_endpoint(id, &why);
            gateway.refresh_paths();
        }
    });
}

/// Checks an endpoint whose entry is gone, and may only have expired in an outage of the store. Two of the gateways check whether it
/// leaves, and report to all others. Without this, an endpoint that leaves unannounced around an outage gets requests for as long as
/// an expired entry may take to be written again. One that doesn't answer stays for that time.
pub(crate) fn check_expired(gateway: &Rc<Gateway>, id: &str) {
    let now = Instant::now();
    if !gateway.fleet_state.borrow().is_designated_prober(id, gateway.incarnation, now) {
        return;
    }
    let found = {
        let knowledge = gateway.knowledge.borrow();
        let endpoint = knowledge.endpoint(id).filter(|endpoint| !endpoint.is_leaving);
        endpoint.and_then(|endpoint| CheckTarget::new(&knowledge, endpoint))
    };
    let Some(target) = found else { return };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let res = check_health(&gateway, &target).await;
        if !matches!(res, Err(Unhealthy::Leaves))
            || !gateway.remove_missing(&target.incarnation, ITS_HEALTH)
        {
            return;
        }
        gateway.fleet_state.borrow_mut().note_left(target.incarnation, Instant::now());
        gateway.news.notify_one();
        gateway.refresh_paths();
    });
}

/// Checks whether an endpoint is healthy that left before the store was restored from a copy, but is listed as ready again.
pub(crate) fn check_left(gateway: &Rc<Gateway>, id: &str) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        knowledge.endpoint(id).and_then(|endpoint| CheckTarget::new(&knowledge, endpoint))
    };
    let Some(target) = found else { return };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let res = check_health(&gateway, &target).await;
        if res.is_err() || !gateway.knowledge.borrow_mut().mark_healthy(&target.incarnation) {
            return;
        }
        info!("endpoint that had left is well", kv: { endpoint = target.incarnation.id.as_str() });
        gateway.engines_changed.notify_waiters();
        gateway.refresh_paths();
    });
}

/// Why an endpoint is not known to be healthy.
enum Unhealthy {
    /// It answers that it leaves or is unhealthy.
    Leaves,
    /// It doesn't answer, or another instance answers in its place.
    Ended(String),
    /// It has restarted.
    OtherIncarnation,
    /// The check is inconclusive: the endpoint is full and rejected it, the request waits for a slot, or this process was delayed
    /// itself.
    Unknown,
    /// It doesn't answer, and has no report. A report would not wait for a slot.
    Silent(String),
}

impl From<Unanswered> for Unhealthy {
    fn from(unanswered: Unanswered) -> Unhealthy {
        match unanswered {
            Unanswered::Failed(err) => Unhealthy::Ended(err.to_string()),
            Unanswered::Inconclusive => Unhealthy::Unknown,
        }
    }
}

async fn check_health(gateway: &Gateway, target: &CheckTarget) -> Result<(), Unhealthy> {
    let CheckTarget { incarnation, addr, health_path, .. } = target;
    let sent_at = Instant::now();
    let client = gateway.probe(incarnation, *addr);
    let request = |limit| read_health(&client, health_path, &incarnation.id, limit);
    let answer = match gateway.query(&client, CHECK_TIMEOUT, request).await {
        Ok(answer) => answer,
        Err(Unanswered::Failed(err @ CallError::NoAnswer { .. })) => {
            return Err(check_silent(gateway, target, &err).await);
        }
        Err(unanswered) => return Err(unanswered.into()),
    };
    if answer.health == Health::Replaced {
        gateway.on_replaced(incarnation);
        return Err(Unhealthy::Ended("another instance has its address".to_owned()));
    }
    if answer.started.is_some()
        && gateway.on_answer_of(incarnation, *addr, answer.started, sent_at)
            != AnswerOf::SameIncarnation
    {
        return Err(Unhealthy::OtherIncarnation);
    }
    if answer.says_leaving {
        gateway.on_leaving_answered(incarnation);
    }
    match answer.health {
        Health::Healthy => Ok(()),
        Health::Unknown => Err(Unhealthy::Unknown),
        Health::Leaving | Health::Replaced => Err(Unhealthy::Leaves),
    }
}

/// Checks an endpoint whose health request got no answer, as it may wait for a slot. An engine's report doesn't wait.
async fn check_silent(gateway: &Gateway, target: &CheckTarget, err: &CallError) -> Unhealthy {
    if !target.is_engine {
        return Unhealthy::Silent(err.to_string());
    }
    let client = gateway.probe(&target.incarnation, target.addr);
    match gateway.query(&client, CHECK_TIMEOUT, |limit| read_report(&client, limit)).await {
        Ok(_) => Unhealthy::Unknown,
        Err(unanswered) => unanswered.into(),
    }
}

/// Checks whether an engine is still in its known incarnation. Without a start time each incarnation has an id of
/// its own, so there is nothing to check.
async fn check_incarnation(gateway: &Gateway, target: &CheckTarget) -> Result<(), Unhealthy> {
    let CheckTarget { incarnation, addr, is_engine, .. } = target;
    if !is_engine || incarnation.started.is_none() {
        return Ok(());
    }
    let sent_at = Instant::now();
    let client = gateway.probe(incarnation, *addr);
    let report = gateway.query(&client, CHECK_TIMEOUT, |limit| read_report(&client, limit)).await?;
    match gateway.on_answer_of(incarnation, *addr, report.started, sent_at) {
        AnswerOf::SameIncarnation => Ok(()),
        AnswerOf::OtherIncarnation => Err(Unhealthy::OtherIncarnation),
        AnswerOf::WithoutStart => Err(Unhealthy::Ended("its report has no start time".to_owned())),
    }
}
