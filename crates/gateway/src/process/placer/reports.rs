//! Asks engines for their reports, and takes what they tell.

use super::{Engine, Engines, ORDER_RETRY};
use crate::process::{AnswerOf, Count, Gateway};
use sorrellock_platform::{CallError, Client, EngineReport, read_report};
use sorrellock_routing::process::{Incarnation, PeerSilence};
use spdlog::{info, warn};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time for a report: a hundred round trips inside a region.
pub(super) const REPORT_LIMIT: Duration = Duration::from_millis(250);
/// Reports without an answer in a row after which an engine is taken to be dead.
const FAILURES_TO_DEATH: u32 = 2;
/// The same for an engine that a gateway suspects, as its report brought no answer there either.
const FAILURES_OF_SUSPECT: u32 = 1;

/// Engines that any gateway suspects.
pub(super) fn suspects(gateway: &Gateway, now: Instant) -> HashSet<Incarnation> {
    let mut fleet_state = gateway.fleet_state.borrow_mut();
    let own = fleet_state.own_suspects(now).into_iter().map(|report| report.incarnation);
    let mut all: HashSet<Incarnation> = own.collect();
    all.extend(fleet_state.reported_suspects(now).map(|(report, _)| report.incarnation.clone()));
    all
}

/// Asks one engine for its report.
pub(super) async fn ask(
    gateway: Rc<Gateway>,
    engines: Engines,
    incarnation: Incarnation,
    client: Client,
) {
    gateway.counters.add(Count::Reports);
    let asked = Instant::now();
    let res = read_report(&client, REPORT_LIMIT).await;
    let told = res.as_ref().ok().map(|report| report.started);
    let of = told.map(|started| gateway.on_answer_of(&incarnation, client.peer(), started, asked));
    let is_suspect = suspects(&gateway, Instant::now()).contains(&incarnation);
    let mut engines = engines.borrow_mut();
    let Some(engine) = engines.get_mut(&incarnation) else { return };
    engine.is_asking = false;
    match res {
        Ok(report) => {
            engine.silence = PeerSilence::new(REPORT_LIMIT);
            engine.is_unknown = of != Some(AnswerOf::SameIncarnation);
            if !engine.is_unknown {
                on_report(engine, &incarnation, report);
            }
        }
        // It is asked again at once: this process was too late to tell.
        Err(err) if !gateway.is_evidence(&mut engine.silence, &err, asked) => {
            gateway.counters.add(Count::QuestionsHeldUp);
            engine.asked = None;
        }
        Err(err) => {
            engine.silence = PeerSilence::new(REPORT_LIMIT);
            let to_death = if is_suspect { FAILURES_OF_SUSPECT } else { FAILURES_TO_DEATH };
            on_no_report(engine, &incarnation, &err, to_death);
        }
    }
    drop(engines);
    gateway.engines_changed.notify_waiters();
}

pub(super) fn on_report(engine: &mut Engine, incarnation: &Incarnation, report: EngineReport) {
    engine.failures = 0;
    if std::mem::take(&mut engine.is_dead) {
        info!("engine answers again", kv: { endpoint = incarnation.id.as_str() });
    }
    if let Some((layers, given)) = engine.ordered {
        let is_done = !report.is_busy && report.layers == layers;
        // The report lags; one that shows nothing of the order after this was refused or lost.
        let is_lost = !report.is_busy && given.elapsed() > ORDER_RETRY * 2;
        if is_done || is_lost {
            let took_ms = given.elapsed().as_millis() as u64;
            let (from, to) = (layers.from, layers.to);
            let outcome = if is_done { "done" } else { "not seen" };
            info!("order ended", kv: { endpoint = incarnation.id.as_str(), from, to, took_ms, outcome });
            engine.ordered = None;
            engine.closing = None;
        }
    }
    engine.report = Some(report);
}

pub(super) fn on_no_report(
    engine: &mut Engine,
    incarnation: &Incarnation,
    err: &CallError,
    to_death: u32,
) {
    engine.failures += 1;
    let is_refused = matches!(err, CallError::NotSent { step, .. } if step.starts_with("connect"));
    let is_over = engine.failures >= to_death || is_refused;
    if is_over && !std::mem::replace(&mut engine.is_dead, true) {
        engine.died = Some(Instant::now());
        let (failures, text) = (engine.failures, err.to_string());
        warn!("engine taken to be dead", kv: { endpoint = incarnation.id.as_str(), failures, err = text.as_str() });
    }
}
