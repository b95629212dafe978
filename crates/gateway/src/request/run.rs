//! Starts a stream's run on a path of engines, and reserves capacity for it there.

use crate::process::{Gateway, LivePath, NoPlace, PathReservation, reserve_path};
use crate::request::estimate::expected_tokens;
use crate::request::shared_capacity::take_shared_place;
use crate::request::{Call, Exchange, FailedAttempt, Target, attempt};
use http::Response;
use sorrellock_http::AnswerBody;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::Turn;
use sorrellock_routing::request::{AbandonedOutcome, Attempts};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// A stream whose answer has started on a path, with its reservation there.
pub(crate) struct Run {
    pub(crate) exchange: Exchange,
    pub(crate) place: PathReservation,
}

/// Why a run did not start.
pub(crate) enum NotStarted {
    /// No untried path has free capacity.
    NoPlace(NoPlace),
    /// No attempt or no retry budget is left.
    RetriesExhausted,
    /// The deadline has passed.
    DeadlinePassed,
    /// This gateway is shutting down.
    Ending,
    /// The request is held back for this time, as it crashes endpoints.
    Held(Duration),
    /// An engine's error answer, for the caller if no run starts.
    ErrorAnswer(Response<AnswerBody>),
}

/// Reserves capacity on a path, waiting for it until `until`.
pub(super) async fn wait_for_place(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
    until: Instant,
) -> Result<PathReservation, NoPlace> {
    if let Some(res) = take_shared_place(gateway, call, attempts, avoid, until).await {
        return res;
    }
    loop {
        let res = try_take_place(gateway, call, attempts, avoid);
        let Err(none) = res else { return res };
        if !attempts.may_send() && attempts.abandoned_outcome(false) == AbandonedOutcome::NotRun {
            return Err(NoPlace::AttemptsSpent);
        }
        if !attempts.is_repeat() && gateway.risks_last_path(call) {
            return Err(NoPlace::LastPath);
        }
        let block = gateway.service_block(&call.service);
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(block.map_or(none, NoPlace::Blocked));
        }
        if let Some(block) = block.filter(|block| !attempts.is_repeat() || block.wait() > left) {
            return Err(NoPlace::Blocked(block));
        }
        let freed = gateway.paths.borrow().freed();
        let wake_at = block.map_or(until, |block| until.min(Instant::now() + block.wait()));
        let _ = timeout_at(wake_at, freed.notified()).await;
    }
}

/// Reserves capacity on a path, and takes a permit for its first engine if that names a limit.
pub(super) async fn wait_for_permitted_place(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
    until: Instant,
) -> Result<PathReservation, NoPlace> {
    loop {
        let place = wait_for_place(gateway, call, attempts, avoid, until).await?;
        let first = place.live.path.first().incarnation.clone();
        if gateway.take_permit(&first).await.is_ok() {
            *call.permit.borrow_mut() = gateway.is_limited(&first).then_some(first);
            return Ok(place);
        }
        // Until it may be asked again, the engine isn't chosen.
    }
}

/// Reserves capacity on a path without waiting.
pub(super) fn try_take_place(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
) -> Result<PathReservation, NoPlace> {
    if gateway.awaits_suspect(call) {
        return Err(NoPlace::Full);
    }
    let may_take = |live: &Rc<LivePath>| may_take_path(gateway, call, attempts, avoid, live);
    let own = &gateway.settings.data_centre;
    let tokens = expected_tokens(call);
    let now = Instant::now();
    if gateway.is_crash_suspect(call) {
        let firsts = gateway.paths.borrow().first_engines(&call.service, now);
        let turn = gateway.turn(call, firsts.len());
        // The next crash tells suspects apart only if they run on different engines.
        let is_apart = |first: &Incarnation| match turn {
            Turn::At(index) => firsts.get(index) == Some(first),
            Turn::Any | Turn::Wait(_) => !gateway.runs_suspect(first),
        };
        let may_take_apart =
            |live: &Rc<LivePath>| may_take(live) && is_apart(&live.path.first().incarnation);
        let apart = reserve_path(&gateway.paths, &call.service, tokens, own, may_take_apart, now);
        if apart.is_ok() {
            return apart;
        }
    }
    reserve_path(&gateway.paths, &call.service, tokens, own, may_take, now)
}

/// Returns whether a request may be sent over a path, its load aside.
pub(super) fn may_take_path(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
    live: &Rc<LivePath>,
) -> bool {
    let first = &live.path.first().incarnation;
    attempts.may_send_to(first)
        && gateway.send_block(first).is_none()
        && gateway.may_risk_path(call, first)
        && !avoid.iter().any(|other| Rc::ptr_eq(other, live))
}

/// Returns whether a silent stream could continue over another path. Without one its run is kept, as it may still
/// deliver. Otherwise streams on slow paths are cut in mid-answer when the retry budget is spent, although their runs
/// are alive (seen once in 40 days with faults).
pub(crate) fn has_other_path(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    silent: &Rc<LivePath>,
) -> bool {
    let mut after = attempts.clone();
    after.abandon();
    let may_take = |live: &Rc<LivePath>| {
        let first = &live.path.first().incarnation;
        !Rc::ptr_eq(live, silent) && after.may_send_to(first) && gateway.send_block(first).is_none()
    };
    let tokens = expected_tokens(call);
    let paths = gateway.paths.borrow();
    call.route.semantics.may_repeat()
        && !gateway.is_crash_suspect(call)
        && gateway.held_for(call).is_none()
        && gateway.may_resume()
        && gateway.may_repeat(&call.service)
        && paths.has_capacity(&call.service, tokens, may_take, Instant::now())
}

/// Sends a stream's request over a path and waits for the head of its answer.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    place: PathReservation,
    last_event: Option<u64>,
) -> Result<Run, FailedAttempt> {
    let live = Rc::clone(&place.live);
    let path = &live.path;
    let first = path.first();
    let ms = call.arrived.elapsed().as_millis() as u64;
    let known = gateway.endpoints_known();
    info!("request sent", kv: {
        request = call.id(), endpoint = first.incarnation.id.as_str(),
        data_centre = path.data_centre.as_str(), streams = place.live.streams.get(),
        after:? = last_event, ms, era = known.at.era, endpoints_at = known.at.count,
        endpoints_age_ms:? = known.age_ms
    });
    let target = Target {
        incarnation: first.incarnation.clone(),
        addr: first.addr,
        path: &path.parts,
        last_event,
    };
    let exchange = attempt(gateway, call, &target, call.time_left()).await?;
    Ok(Run { exchange, place })
}
