//! Requests to model engines: a stream of events over a path of engines.

use crate::process::{
    Count, Gateway, LivePath, NoPlace, PathPlace, check_path, check_refuser, take_place,
};
use crate::request::relay::Relay;
use crate::request::{Begun, Call, Failed, Target, attempt, give_up, log_failed, pass_on};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_platform::answer_headers;
use sorrellock_routing::request::{Attempts, Evidence, GivenUp};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// Events that wait for a slow caller; beyond it the engine's connection isn't read.
const PARTS_BUFFERED: usize = 32;
/// How long a request waits for room before it is refused: within a quarter of the usual goal of
/// 500 ms, so that the caller can still be served in time elsewhere.
const ROOM_PATIENCE: Duration = Duration::from_millis(100);
/// When to come back after a refusal for want of room: half of the streams have ended, and a lost
/// path is whole again.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(2_500);
/// When to come back where no path exists: a lost engine is found and its layers are loaded in
/// about that time.
const RETRY_AFTER_NO_PATH: Duration = Duration::from_millis(2_500);
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
/// Share of the hinted answer that a request's place counts: KV cache grows with the answer, and
/// on average half of it is there.
const ANSWER_SHARE: f64 = 0.7;

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

/// Serves a stream.
pub(crate) async fn serve_stream(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut attempts = Attempts::new(call.route.semantics, call.route.max_attempts);
    let last = call.head.last_event;
    let patience = Instant::now() + ROOM_PATIENCE;
    let began = begin(&gateway, &call, &mut attempts, last, &mut Vec::new(), patience).await;
    match began {
        Ok(run) => Ok(start_relay(gateway, call, attempts, run)),
        Err(NotBegun::Failure(answer)) => {
            let status = answer.status().as_u16();
            call.end.tell(Count::Answered, "answered", status, "the engine's own failure");
            Ok(answer)
        }
        Err(not_begun) => Ok(refuse(&gateway, &call, &attempts, &not_begun)),
    }
}

fn refuse(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    not_begun: &NotBegun,
) -> Response<AnswerBody> {
    let (why, come_back) = match not_begun {
        NotBegun::NoPlace(NoPlace::Full) => ("all paths are full", RETRY_AFTER_FULL),
        NotBegun::NoPlace(NoPlace::NoPath) => ("no engines hold all layers", RETRY_AFTER_NO_PATH),
        NotBegun::Spent => ("attempts or their budget are spent", RETRY_AFTER_FULL),
        NotBegun::TimeOver => ("time is over", RETRY_AFTER_FULL),
        NotBegun::Ending => ("this gateway ends before the first event", RETRY_AFTER_FULL),
        NotBegun::Failure(_) => ("an engine failed", RETRY_AFTER_FULL),
    };
    let is_over = matches!(not_begun, NotBegun::TimeOver);
    let paths = gateway.paths.borrow().describe(&call.service, Instant::now());
    give_up(call, attempts.given_up(is_over), come_back, &format!("{why}: {paths}"))
}

fn start_relay(
    gateway: Rc<Gateway>,
    call: Call,
    attempts: Attempts,
    run: Run,
) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(PARTS_BUFFERED);
    let mut answer = Response::new(AnswerBody::parts(rx));
    *answer.status_mut() = run.begun.answer.status();
    *answer.headers_mut() = answer_headers(run.begun.answer.headers());
    tokio::task::spawn_local(Relay::new(gateway, call, attempts, run, tx).run());
    answer
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

/// KV cache that a request is expected to take, in tokens, on average over its run.
pub(crate) fn expected_tokens(call: &Call) -> f64 {
    let Some(tokens) = call.head.tokens else { return 1.0 };
    f64::from(tokens.prompt) + expected_answer(call) * ANSWER_SHARE
}

/// Tokens that the answer is expected to have.
fn expected_answer(call: &Call) -> f64 {
    let Some(tokens) = call.head.tokens else { return 1.0 };
    let most = f64::from(tokens.most_output);
    call.head.length_hint.map_or(most, |hint| f64::from(hint).min(most))
}

/// How long a stream usually takes; zero where this gateway has seen none of its service.
pub(crate) fn usual_time(gateway: &Gateway, call: &Call) -> Duration {
    let paces = gateway.stream_paces.borrow();
    paces.get(&call.service).map_or(Duration::ZERO, |pace| pace.usual(expected_answer(call)))
}

/// A stream came whole. One that its caller resumed took only the time of the rest, and tells nothing of
/// whole ones.
pub(crate) fn note_time(gateway: &Gateway, call: &Call) {
    if call.head.last_event.is_some() {
        return;
    }
    let mut paces = gateway.stream_paces.borrow_mut();
    let pace = paces.entry(call.service.clone()).or_default();
    pace.on_answered(expected_answer(call), call.arrived.elapsed());
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
    info!("request sent", kv: {
        request = call.id(), endpoint = first.life.id.as_str(),
        data_centre = path.data_centre.as_str(), streams = place.live.streams.get(),
        after:? = last, ms
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
