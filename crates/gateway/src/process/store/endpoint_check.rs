//! Asks endpoints whether they are well, and in which incarnation, where their entry doesn't tell for sure.

use crate::process::{AnswerOf, CHECK_INTERVAL, Gateway, Unanswered};
use sorrellock_platform::{CallError, Health, read_health, read_report};
use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::process::{Endpoint, FailureEvidence, Incarnation};
use spdlog::info;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for an endpoint's health, which may wait for a slot, and for the report that tells its incarnation.
const HEALTH_LIMIT: Duration = Duration::from_millis(400);
/// What told that an endpoint leaves, for log lines.
const ITS_HEALTH: &str = "its health";

/// An endpoint that is asked whether it is well.
struct Asked {
    incarnation: Incarnation,
    addr: SocketAddr,
    health_path: String,
    /// It has a report.
    is_engine: bool,
}

impl Asked {
    fn new(knowledge: &Knowledge, endpoint: &Endpoint) -> Option<Asked> {
        Some(Asked {
            incarnation: endpoint.incarnation(),
            addr: endpoint.addr,
            health_path: knowledge.health_path(endpoint, Instant::now().into_std())?.to_owned(),
            is_engine: endpoint.card.is_some(),
        })
    }
}

/// An endpoint refused a request as not run: asks it whether it leaves, unless that was done just
/// now. The list may not tell for long, as while the store is down. `lacks_part`: it doesn't hold its part
/// of the path, as one that started again.
pub(crate) fn check_refuser(gateway: &Rc<Gateway>, addr: SocketAddr, lacks_part: bool) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        let endpoint = knowledge.usable_endpoints().find(|endpoint| endpoint.addr == addr);
        let endpoint = endpoint.filter(|endpoint| !endpoint.is_leaving);
        endpoint.and_then(|endpoint| Asked::new(&knowledge, endpoint))
    };
    let Some(asked) = found else { return };
    if !note_asked(gateway, &asked.incarnation) {
        return;
    }
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut res = ask_health(&gateway, &asked).await;
        if res.is_ok() && lacks_part {
            res = ask_incarnation(&gateway, &asked).await;
        }
        match res {
            // One that refused a request just now lives.
            Ok(()) | Err(Unwell::OtherIncarnation | Unwell::Unknown | Unwell::Silent(_)) => {}
            Err(Unwell::Leaves) => gateway.mark_leaving(&asked.incarnation),
            Err(Unwell::Ended(why)) => {
                gateway.suspect(&asked.incarnation, FailureEvidence::Refused, &why)
            }
        }
    });
}

/// Endpoints are listed at one address: each is asked whether it is the one there, unless that was done
/// just now.
pub(crate) fn check_address(gateway: &Rc<Gateway>, addr: SocketAddr) {
    let asked: Vec<Asked> = {
        let knowledge = gateway.knowledge.borrow();
        let here = knowledge.usable_endpoints().filter(|endpoint| endpoint.addr == addr);
        here.filter_map(|endpoint| Asked::new(&knowledge, endpoint)).collect()
    };
    if asked.len() < 2 {
        return;
    }
    for one in asked.into_iter().filter(|one| note_asked(gateway, &one.incarnation)) {
        let gateway = Rc::clone(gateway);
        // What it finds is taken on the way.
        tokio::task::spawn_local(async move { drop(ask_health(&gateway, &one).await) });
    }
}

/// Notes that an endpoint is asked after a refusal or a contradiction. Whether it wasn't just now.
fn note_asked(gateway: &Gateway, incarnation: &Incarnation) -> bool {
    let now = Instant::now();
    let mut checked = gateway.refusers_checked.borrow_mut();
    checked.retain(|_, at| now - *at < CHECK_INTERVAL);
    checked.insert(incarnation.clone(), now).is_none()
}

/// An endpoint's entry is gone without a word: it stays for a while if it tells that it lives, as one
/// that doesn't reach the store does.
pub(crate) fn check_unlisted(gateway: &Rc<Gateway>, id: &str) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        knowledge.endpoint(id).and_then(|endpoint| Asked::new(&knowledge, endpoint))
    };
    let Some(asked) = found else {
        gateway.remove_endpoint(id, "watch");
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let mut res = ask_health(&gateway, &asked).await;
        if res.is_ok() {
            // Health is the same in each incarnation: only the report tells whether it kept its layers.
            res = ask_incarnation(&gateway, &asked).await;
        }
        let id = asked.incarnation.id.as_str();
        let why = match res {
            Ok(()) => {
                info!("endpoint lives without its entry", kv: { endpoint = id });
                return;
            }
            // It stays as the new incarnation, which holds nothing yet.
            Err(Unwell::OtherIncarnation) => return,
            Err(Unwell::Leaves) => ITS_HEALTH.to_owned(),
            // It stays until an entry that only lapsed would be back.
            Err(Unwell::Unknown) => return,
            Err(Unwell::Ended(why) | Unwell::Silent(why)) => why,
        };
        if gateway.knowledge.borrow().is_missing(id) {
            gateway.remove_endpoint(id, &why);
            gateway.refresh_paths();
        }
    });
}

/// An endpoint's entry is gone, and may only have lapsed in an outage of the store. Two of the gateways ask whether it leaves, and
/// tell all others. It guards endpoints that leave without a word around an outage: they got requests for as long as an entry that
/// lapsed may take to be back. One that gives no answer stays as long as that.
pub(crate) fn check_lapsed(gateway: &Rc<Gateway>, id: &str) {
    let now = Instant::now();
    if !gateway.fleet_state.borrow().is_designated_prober(id, gateway.incarnation, now) {
        return;
    }
    let found = {
        let knowledge = gateway.knowledge.borrow();
        let endpoint = knowledge.endpoint(id).filter(|endpoint| !endpoint.is_leaving);
        endpoint.and_then(|endpoint| Asked::new(&knowledge, endpoint))
    };
    let Some(asked) = found else { return };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let res = ask_health(&gateway, &asked).await;
        if !matches!(res, Err(Unwell::Leaves))
            || !gateway.remove_missing(&asked.incarnation, ITS_HEALTH)
        {
            return;
        }
        gateway.fleet_state.borrow_mut().note_left(asked.incarnation, Instant::now());
        gateway.suspected.notify_one();
        gateway.refresh_paths();
    });
}

/// An endpoint that had left before the store came back from a copy is listed as ready: asks whether it is well after all.
pub(crate) fn check_left(gateway: &Rc<Gateway>, id: &str) {
    let found = {
        let knowledge = gateway.knowledge.borrow();
        knowledge.endpoint(id).and_then(|endpoint| Asked::new(&knowledge, endpoint))
    };
    let Some(asked) = found else { return };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let res = ask_health(&gateway, &asked).await;
        if res.is_err() || !gateway.knowledge.borrow_mut().mark_healthy(&asked.incarnation) {
            return;
        }
        info!("endpoint that had left is well", kv: { endpoint = asked.incarnation.id.as_str() });
        gateway.engines_changed.notify_waiters();
        gateway.refresh_paths();
    });
}

/// Why an endpoint is not known to be well.
enum Unwell {
    /// It tells that it leaves, or that it is not well.
    Leaves,
    /// It gives no answer, or another instance answers in its place.
    Ended(String),
    /// It has started again.
    OtherIncarnation,
    /// Nothing is known: it is full and rejected the question, the question waits for a slot, or this process was too late to
    /// tell.
    Unknown,
    /// It gives no answer, and has no report that would not wait for a slot.
    Silent(String),
}

impl From<Unanswered> for Unwell {
    fn from(unanswered: Unanswered) -> Unwell {
        match unanswered {
            Unanswered::Failed(err) => Unwell::Ended(err.to_string()),
            Unanswered::Inconclusive => Unwell::Unknown,
        }
    }
}

async fn ask_health(gateway: &Gateway, asked: &Asked) -> Result<(), Unwell> {
    let Asked { incarnation, addr, health_path, .. } = asked;
    let began = Instant::now();
    let client = gateway.probe(incarnation, *addr);
    let question = |limit| read_health(&client, health_path, &incarnation.id, limit);
    let answer = match gateway.query(&client, HEALTH_LIMIT, question).await {
        Ok(answer) => answer,
        Err(Unanswered::Failed(err @ CallError::NoAnswer { .. })) => {
            return Err(check_silent(gateway, asked, &err).await);
        }
        Err(unanswered) => return Err(unanswered.into()),
    };
    if answer.health == Health::Replaced {
        gateway.on_replaced(incarnation);
        return Err(Unwell::Ended("another instance has its address".to_owned()));
    }
    if answer.started.is_some()
        && gateway.on_answer_of(incarnation, *addr, answer.started, began)
            != AnswerOf::SameIncarnation
    {
        return Err(Unwell::OtherIncarnation);
    }
    match answer.health {
        Health::Well => Ok(()),
        Health::Unknown => Err(Unwell::Unknown),
        Health::Leaving | Health::Replaced => Err(Unwell::Leaves),
    }
}

/// An endpoint's health brought no answer, as it waits for a slot. An engine's report doesn't.
async fn check_silent(gateway: &Gateway, asked: &Asked, err: &CallError) -> Unwell {
    if !asked.is_engine {
        return Unwell::Silent(err.to_string());
    }
    let client = gateway.probe(&asked.incarnation, asked.addr);
    match gateway.query(&client, HEALTH_LIMIT, |limit| read_report(&client, limit)).await {
        Ok(_) => Unwell::Unknown,
        Err(unanswered) => unanswered.into(),
    }
}

/// Asks an engine whether it is still in the incarnation that is known. Where no start is told, each has an id
/// of its own, and nothing is asked.
async fn ask_incarnation(gateway: &Gateway, asked: &Asked) -> Result<(), Unwell> {
    let Asked { incarnation, addr, is_engine, .. } = asked;
    if !is_engine || incarnation.started.is_none() {
        return Ok(());
    }
    let began = Instant::now();
    let client = gateway.probe(incarnation, *addr);
    let report = gateway.query(&client, HEALTH_LIMIT, |limit| read_report(&client, limit)).await?;
    match gateway.on_answer_of(incarnation, *addr, report.started, began) {
        AnswerOf::SameIncarnation => Ok(()),
        AnswerOf::OtherIncarnation => Err(Unwell::OtherIncarnation),
        AnswerOf::NoStart => Err(Unwell::Ended("its report tells no start".to_owned())),
    }
}
