//! A stream's run on a path of engines, and whether there is a place for one.

use crate::process::{Gateway, LivePath, NoPlace, PathReservation, reserve_path};
use crate::request::expected::expected_tokens;
use crate::request::{Begun, Call, Failed, Target, attempt};
use http::Response;
use sorrellock_http::AnswerBody;
use sorrellock_routing::request::Attempts;
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// When to come back after a refusal for want of room: half of the streams have ended, and a lost
/// path is whole again.
pub(crate) const RETRY_AFTER_FULL: Duration = Duration::from_millis(2_500);

/// A stream that has begun on a path.
pub(crate) struct Run {
    pub(crate) begun: Begun,
    pub(crate) place: PathReservation,
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

/// Waits for a place until `until`.
pub(super) async fn place(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
    until: Instant,
) -> Result<PathReservation, NoPlace> {
    loop {
        let res = take_now(gateway, call, attempts, avoid);
        let Err(none) = res else { return res };
        if Instant::now() >= until {
            return Err(none);
        }
        let freed = gateway.paths.borrow().freed();
        let _ = timeout_at(until, freed.notified()).await;
    }
}

/// Takes a place, if there is one.
pub(super) fn take_now(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    avoid: &[Rc<LivePath>],
) -> Result<PathReservation, NoPlace> {
    let may_take = |live: &Rc<LivePath>| {
        attempts.may_send_to(&live.path.first().incarnation)
            && !avoid.iter().any(|other| Rc::ptr_eq(other, live))
    };
    let own = &gateway.settings.data_centre;
    let tokens = expected_tokens(call);
    reserve_path(&gateway.paths, &call.service, tokens, own, may_take, Instant::now())
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
    after.abandon();
    let may_take = |live: &Rc<LivePath>| {
        !Rc::ptr_eq(live, silent) && after.may_send_to(&live.path.first().incarnation)
    };
    let tokens = expected_tokens(call);
    let paths = gateway.paths.borrow();
    call.route.semantics.may_repeat()
        && gateway.may_resume()
        && gateway.may_repeat(&call.service)
        && paths.has_capacity(&call.service, tokens, may_take, Instant::now())
}

/// Sends a stream over a path and waits for the head of its answer.
pub(super) async fn send(
    gateway: &Rc<Gateway>,
    call: &Call,
    place: PathReservation,
    last: Option<u64>,
) -> Result<Run, Failed> {
    let live = Rc::clone(&place.live);
    let path = &live.path;
    let first = path.first();
    let ms = call.arrived.elapsed().as_millis() as u64;
    let known = gateway.endpoints_known();
    info!("request sent", kv: {
        request = call.id(), endpoint = first.incarnation.id.as_str(),
        data_centre = path.data_centre.as_str(), streams = place.live.streams.get(),
        after:? = last, ms, era = known.at.era, endpoints_at = known.at.count,
        endpoints_age_ms:? = known.age_ms
    });
    let target = Target {
        incarnation: first.incarnation.clone(),
        addr: first.addr,
        path: &path.parts,
        last_event: last,
    };
    let begun = attempt(gateway, call, &target, call.time_left()).await?;
    Ok(Run { begun, place })
}
