//! Requests reports from engines and handles them.

use super::{Engine, Engines, ORDER_RETRY};
use crate::process::{AnswerOf, Count, Gateway};
use sorrellock_platform::{CallError, Client, EngineReport, read_report};
use sorrellock_routing::process::{Incarnation, PeerSilence};
use spdlog::{info, warn};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Time limit for a report: a hundred round trips inside a region.
pub(super) const REPORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Failed report requests in a row after which an engine is considered dead.
const FAILURES_UNTIL_DEAD: u32 = 2;
/// The same for an engine that a gateway suspects, as its report request failed there, too.
const SUSPECT_FAILURES_UNTIL_DEAD: u32 = 1;

/// Returns the engines that any gateway suspects.
pub(super) fn suspects(gateway: &Gateway, now: Instant) -> HashSet<Incarnation> {
    let mut fleet_state = gateway.fleet_state.borrow_mut();
    let own = fleet_state.own_suspects(now).into_iter().map(|report| report.incarnation);
    let mut all: HashSet<Incarnation> = own.collect();
    all.extend(fleet_state.reported_suspects(now).map(|(report, _)| report.incarnation.clone()));
    all
}

/// Requests the report of one engine.
pub(super) async fn request_report(
    gateway: Rc<Gateway>,
    engines: Engines,
    incarnation: Incarnation,
    client: Client,
) {
    gateway.counters.add(Count::Reports);
    let requested_at = Instant::now();
    let res = read_report(&client, REPORT_TIMEOUT).await;
    let reported_start = res.as_ref().ok().map(|report| report.started);
    let answer_of = reported_start
        .map(|started| gateway.on_answer_of(&incarnation, client.peer(), started, requested_at));
    if answer_of == Some(AnswerOf::SameIncarnation) && res.as_ref().is_ok_and(|r| r.is_leaving) {
        gateway.on_leaving_answered(&incarnation);
    }
    let is_suspect = suspects(&gateway, Instant::now()).contains(&incarnation);
    let mut engines = engines.borrow_mut();
    let Some(engine) = engines.get_mut(&incarnation) else { return };
    engine.is_request_pending = false;
    let before = engine.planned_state();
    match res {
        Ok(report) => {
            engine.silence = PeerSilence::new(REPORT_TIMEOUT);
            engine.is_unidentified = answer_of != Some(AnswerOf::SameIncarnation);
            if !engine.is_unidentified {
                on_report(engine, &incarnation, report);
            }
        }
        // Requests the report again at once: a delay of this process leaves the silence inconclusive.
        Err(err) if !gateway.is_evidence(&mut engine.silence, &err, requested_at) => {
            gateway.counters.add(Count::QuestionsHeldUp);
            engine.requested_at = None;
        }
        Err(err) => {
            engine.silence = PeerSilence::new(REPORT_TIMEOUT);
            let max_failures =
                if is_suspect { SUSPECT_FAILURES_UNTIL_DEAD } else { FAILURES_UNTIL_DEAD };
            on_report_failed(engine, &incarnation, &err, max_failures);
        }
    }
    let is_changed = engine.planned_state() != before;
    let is_last = !engines.values().any(|engine| engine.is_request_pending);
    drop(engines);
    // The next round plans for the change, or requests further reports.
    if is_changed || is_last {
        gateway.engines_changed.notify_waiters();
    }
}

pub(super) fn on_report(engine: &mut Engine, incarnation: &Incarnation, report: EngineReport) {
    engine.failures = 0;
    if std::mem::take(&mut engine.is_dead) {
        info!("engine answers again", kv: { endpoint = incarnation.id.as_str() });
    }
    if let Some((layers, ordered_at)) = engine.pending_order {
        let is_done = !report.is_busy && report.layers == layers;
        // A report may lag behind an order. An order that none shows within this time was refused or lost.
        let is_lost = !report.is_busy && ordered_at.elapsed() > ORDER_RETRY * 2;
        if is_done || is_lost {
            let took_ms = ordered_at.elapsed().as_millis() as u64;
            let (from, to) = (layers.from, layers.to);
            let outcome = if is_done { "done" } else { "not seen" };
            info!("order ended", kv: { endpoint = incarnation.id.as_str(), from, to, took_ms, outcome });
            engine.pending_order = None;
            engine.draining = None;
        }
    }
    engine.report = Some(report);
}

pub(super) fn on_report_failed(
    engine: &mut Engine,
    incarnation: &Incarnation,
    err: &CallError,
    max_failures: u32,
) {
    engine.failures += 1;
    let is_refused = matches!(err, CallError::NotSent { step, .. } if step.starts_with("connect"));
    let is_now_dead = engine.failures >= max_failures || is_refused;
    if is_now_dead && !std::mem::replace(&mut engine.is_dead, true) {
        engine.died_at = Some(Instant::now());
        let (failures, text) = (engine.failures, err.to_string());
        warn!("engine taken to be dead", kv: { endpoint = incarnation.id.as_str(), failures, err = text.as_str() });
    }
}
