//! Begins a stream's run on a path of engines, and on further ones while attempts may be made.

use crate::process::{
    Gateway, LivePath, NoPlace, PathPlace, check_path, check_refuser, take_place,
};
use crate::request::expected::expected_tokens;
use crate::request::{Begun, Call, Failed, Target, attempt, give_up, log_failed, pass_on};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use sorrellock_http::AnswerBody;
use sorrellock_routing::request::{Attempts, Evidence, GivenUp};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// When to come back after a refusal for want of room: half of the streams have ended, and a lost
/// path is whole again.
pub(crate) const RETRY_AFTER_FULL: Duration = Duration::from_millis(2_500);
/// How long the first event may take before another path is tried: callers leave after two
/// seconds. A path that serves others is only busy, and another one rarely less.
const FIRST_EVENT_PATIENCE: Duration = Duration::from_millis(1_700);
/// The same on a path that is silent as a whole.
const FIRST_EVENT_PATIENCE_SILENT: Duration = Duration::from_millis(600);
/// How often a request that waits for its first event looks at its path.
const FIRST_EVENT_TICK: Duration = Duration::from_millis(100);
/// How long paths through an engine that refused a request get nothing new from this gateway.
const REFUSED_AVOID: Duration = Duration::from_millis(250);
/// How long a path on which nothing came gets nothing new.
const SILENT_AVOID: Duration = Duration::from_millis(1_000);
/// Largest body of an engine's failure.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// A stream that has begun on a path.
pub(crate) struct Run {
    pub(crate) begun: Begun,
    pub(crate) place: PathPlace,
}

/// Why a stream did not begin.
pub(crate) enum NotBegun {
    /// There is no place on any path that wasn't tried.
    NoPlace(NoPlace),
    /// The attempts or their budget are spent.
    Spent,
    /// Time is over.
    TimeOver,
    /// This gateway ends.
    Ending,
    /// An engine's own failure, for the caller if nothing better comes.
    Failure(Response<AnswerBody>),
}

/// Begins a stream on the best path, and on further ones while attempts may be made. Paths that
/// failed are added to `avoid`.
pub(crate) async fn begin(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut Attempts,
    last: Option<u64>,
    avoid: &mut Vec<Rc<LivePath>>,
    room_until: Instant,
) -> Result<Run, NotBegun> {
    let mut failure: Option<Response<AnswerBody>> = None;
    loop {
        if call.time_left().is_zero() {
            return Err(NotBegun::TimeOver);
        }
        if gateway.is_ending() {
            return Err(NotBegun::Ending);
        }
        attempts.forget_lost(|life| gateway.is_dead(life));
        let place = match place(gateway, call, attempts, avoid, room_until).await {
            Ok(place) => place,
            Err(none) => return Err(failure.map_or(NotBegun::NoPlace(none), NotBegun::Failure)),
        };
        if attempts.is_repeat() && !gateway.spend_repeat(&call.service) {
            return Err(failure.map_or(NotBegun::Spent, NotBegun::Failure));
        }
        let live = Rc::clone(&place.live);
        match try_path(gateway, call, place, last).await {
            Ok(run) if run.begun.answer.status() == StatusCode::OK => return Ok(run),
            Ok(run) => {
                attempts.on_failed(&live.path.first().life, Evidence::MayHaveRun);
                failure = Some(read_failure(call, run).await);
            }
            Err(failed) => on_failed(gateway, call, attempts, &live, &failed),
        }
        avoid.push(live);
    }
}

/// Waits for a place until `until`.
async fn place(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
    until: Instant,
) -> Result<PathPlace, NoPlace> {
    let may_take = |live: &Rc<LivePath>| {
        attempts.may_send_to(&live.path.first().life)
            && !avoid.iter().any(|other| Rc::ptr_eq(other, live))
    };
    let tokens = expected_tokens(call);
    loop {
        let now = Instant::now();
        let own = &gateway.settings.data_centre;
        let res = take_place(&gateway.paths, &call.service, tokens, own, may_take, now);
        let Err(none) = res else { return res };
        if now >= until {
            return Err(none);
        }
        let freed = gateway.paths.borrow().freed();
        let _ = timeout_at(until, freed.notified()).await;
    }
}

/// Whether a silent stream could go on over another path: else its run may still come back. It guards
/// streams on slow paths: with the retry budget spent they were cut in mid-answer, though their runs
/// lived (once in 40 days with faults).
pub(crate) fn has_other_path(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    silent: &Rc<LivePath>,
) -> bool {
    let mut after = attempts.clone();
    after.on_failed(&silent.path.first().life, Evidence::MayHaveRun);
    let may_take = |live: &Rc<LivePath>| {
        !Rc::ptr_eq(live, silent) && after.may_send_to(&live.path.first().life)
    };
    let tokens = expected_tokens(call);
    let paths = gateway.paths.borrow();
    call.route.semantics.may_repeat()
        && gateway.may_resume()
        && gateway.may_repeat(&call.service)
        && paths.has_place(&call.service, tokens, may_take, Instant::now())
}

async fn try_path(
    gateway: &Rc<Gateway>,
    call: &Call,
    place: PathPlace,
    last: Option<u64>,
) -> Result<Run, Failed> {
    let live = Rc::clone(&place.live);
    let path = &live.path;
    let first = path.first();
    let ms = call.arrived.elapsed().as_millis() as u64;
    let known = gateway.endpoints_known();
    info!("request sent", kv: {
        request = call.id(), endpoint = first.life.id.as_str(),
        data_centre = path.data_centre.as_str(), streams = place.live.streams.get(),
        after:? = last, ms, era = known.at.era, endpoints_at = known.at.count,
        endpoints_age_ms:? = known.age_ms
    });
    let target =
        Target { life: first.life.clone(), addr: first.addr, path: &path.parts, last_event: last };
    let sending = attempt(gateway, call, &target, call.time_left());
    tokio::select! {
        begun = sending => begun.map(|begun| Run { begun, place }),
        () = broken(&live) => Err(no_event(format!(
            "an engine of the path in {} is dead", live.path.data_centre
        ))),
        waited = too_late(call, &live) => Err(no_event(format!(
            "no event in {} ms", waited.as_millis()
        ))),
        // Its caller couldn't tell a closed connection from one that was never read.
        () = gateway.ending() => {
            call.end.tell_cut_leaving();
            Err(no_event("this gateway ends".to_owned()))
        }
    }
}

/// Ends when the first event is so late that another path should be tried.
async fn too_late(call: &Call, live: &LivePath) -> Duration {
    let began = Instant::now();
    loop {
        sleep(FIRST_EVENT_TICK).await;
        let waited = began.elapsed();
        let patience = match live.is_silent(Instant::now()) {
            true => FIRST_EVENT_PATIENCE_SILENT,
            false => FIRST_EVENT_PATIENCE,
        };
        if call.route.semantics.may_repeat() && waited >= patience {
            return waited;
        }
    }
}

fn no_event(why: String) -> Failed {
    Failed::new(Evidence::MayHaveRun, why)
}

/// Ends when the path has lost an engine.
pub(crate) async fn broken(live: &LivePath) {
    let notified = live.broken.notified();
    if !live.is_broken.get() {
        notified.await;
    }
}

fn on_failed(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut Attempts,
    live: &Rc<LivePath>,
    failed: &Failed,
) {
    let first = live.path.first();
    log_failed(gateway, call, &first.life, failed);
    attempts.on_failed(&first.life, failed.evidence);
    if gateway.is_ending() {
        // Nothing is sent any more, and the engines are not at fault.
        return;
    }
    let now = Instant::now();
    match failed.evidence {
        Evidence::NotSent if failed.is_inconclusive => {}
        Evidence::NotSent => gateway.suspect(&first.life, &failed.why),
        Evidence::NotRun => {
            // Another path through the engine that refused would bring the same answer.
            let refuser = failed.at_fault.unwrap_or(first.addr);
            live.avoid(now + REFUSED_AVOID);
            gateway.paths.borrow().avoid_through(&call.service, refuser, now + REFUSED_AVOID);
            return check_refuser(gateway, refuser, failed.is_misdirected);
        }
        Evidence::MayHaveRun => live.avoid(now + SILENT_AVOID),
    }
    check_path(gateway, live);
}

async fn read_failure(call: &Call, run: Run) -> Response<AnswerBody> {
    let (parts, body) = run.begun.answer.into_parts();
    let body = timeout(call.time_left(), Limited::new(body, MAX_FAILURE_BYTES).collect()).await;
    let Ok(Ok(body)) = body else {
        return give_up(call, GivenUp::Unknown, RETRY_AFTER_FULL, "an engine's failure broke off");
    };
    pass_on(&parts, body.to_bytes())
}
