//! Begins a stream's run on a path of engines, and on further ones while attempts may be made.

use crate::process::{Gateway, LivePath, PathReservation, check_first, check_path, check_refuser};
use crate::request::run::{NotBegun, RETRY_AFTER_FULL, Run, place, send, take_now};
use crate::request::{Call, Failed, RunningAttempts, give_up, log_failed, pass_on};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use sorrellock_http::AnswerBody;
use sorrellock_routing::request::{Attempts, Evidence, GivenUp};
use spdlog::info;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

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

/// Begins a stream on the best path, and on further ones while attempts may be made. Paths that
/// failed are added to `avoid`.
///
/// An attempt that is only in doubt goes on, beside the next one or alone where none may follow: whichever brings the head of
/// an answer first is the run.
pub(crate) async fn begin(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut Attempts,
    last: Option<u64>,
    avoid: &mut Vec<Rc<LivePath>>,
    room_until: Instant,
) -> Result<Run, NotBegun> {
    let mut search = RunSearch::new(gateway, call, attempts, avoid);
    let mut running = RunningAttempts::new();
    loop {
        if running.is_empty() {
            let place = search.next_place(room_until).await?;
            running.push(search.on_sent(&place), send(gateway, call, place, last));
        }
        let doubt = doubt(call, running.only());
        let event = tokio::select! {
            biased;
            (sent, res) = running.ended() => Event::Ended(sent, res.map(Box::new)),
            why = doubt => Event::Doubted(why),
            () = gateway.ending() => Event::ShuttingDown,
        };
        match event {
            Event::Ended(_, Ok(run)) if run.begun.answer.status() == StatusCode::OK => {
                return Ok(*run);
            }
            Event::Ended(sent, Ok(run)) => search.on_failure_answered(&sent, *run).await,
            Event::Ended(sent, Err(failed)) => search.on_failed(&sent, &failed),
            Event::Doubted(why) => match search.place_beside() {
                Some(place) => {
                    running.infos().for_each(|sent| search.on_doubted(sent, &why));
                    running.push(search.on_sent(&place), send(gateway, call, place, last));
                }
                None => running.infos().for_each(Sent::look_later),
            },
            Event::ShuttingDown => {
                running.infos().for_each(|sent| search.on_shutting_down(sent));
                return Err(search.end_with(NotBegun::Ending));
            }
        }
    }
}

/// What happens next to a stream that has not begun.
enum Event {
    Ended(Sent, Result<Box<Run>, Failed>),
    /// The only attempt is in doubt, for this reason.
    Doubted(String),
    ShuttingDown,
}

/// An attempt under way.
struct Sent {
    live: Rc<LivePath>,
    at: Instant,
    /// Whether it is in doubt is asked from then on.
    look_at: Instant,
    /// It was counted as another one was sent beside it.
    is_counted: bool,
}

impl Sent {
    fn look_later(&mut self) {
        self.look_at = Instant::now() + FIRST_EVENT_TICK;
    }
}

/// Ends when the only attempt is in doubt; never where there are several, or where it may not be repeated.
fn doubt(call: &Call, only: Option<&mut Sent>) -> impl Future<Output = String> + use<> {
    let may_repeat = call.route.semantics.may_repeat();
    let only = only.filter(|_| may_repeat);
    let only = only.map(|sent| (Rc::clone(&sent.live), sent.at, sent.look_at));
    async move {
        let Some((live, at, look_at)) = only else { return pending().await };
        sleep_until(look_at).await;
        tokio::select! {
            () = live.broken() => format!("an engine of the path in {} is dead", live.path.data_centre),
            waited = too_late(&live, at) => format!("no event in {} ms", waited.as_millis()),
        }
    }
}

/// Ends when the first event of a request that was sent at `at` is so late that another path should be tried.
async fn too_late(live: &LivePath, at: Instant) -> Duration {
    loop {
        let waited = at.elapsed();
        let patience = match live.is_silent(Instant::now()) {
            true => FIRST_EVENT_PATIENCE_SILENT,
            false => FIRST_EVENT_PATIENCE,
        };
        if waited >= patience {
            return waited;
        }
        sleep(FIRST_EVENT_TICK).await;
    }
}

/// The search for a stream's run.
struct RunSearch<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Call,
    attempts: &'a mut Attempts,
    /// Paths that failed the stream.
    avoid: &'a mut Vec<Rc<LivePath>>,
    /// An engine's own failure, for the caller if nothing better comes.
    failure: Option<Response<AnswerBody>>,
}

impl<'a> RunSearch<'a> {
    fn new(
        gateway: &'a Rc<Gateway>,
        call: &'a Call,
        attempts: &'a mut Attempts,
        avoid: &'a mut Vec<Rc<LivePath>>,
    ) -> RunSearch<'a> {
        RunSearch { gateway, call, attempts, avoid, failure: None }
    }

    /// A place for the next attempt, its retry paid.
    async fn next_place(&mut self, room_until: Instant) -> Result<PathReservation, NotBegun> {
        if self.call.time_left().is_zero() {
            return Err(NotBegun::TimeOver);
        }
        if self.gateway.is_ending() {
            return Err(NotBegun::Ending);
        }
        self.attempts.forget_lost(|incarnation| self.gateway.is_gone(incarnation));
        let place = place(self.gateway, self.call, self.attempts, self.avoid, room_until).await;
        let place = place.map_err(|none| self.end_with(NotBegun::NoPlace(none)))?;
        if self.attempts.is_repeat() && !self.gateway.spend_repeat(&self.call.service) {
            return Err(self.end_with(NotBegun::Spent));
        }
        Ok(place)
    }

    /// The same for an attempt beside the only one; none where none may follow now.
    fn place_beside(&mut self) -> Option<PathReservation> {
        let (gateway, call) = (self.gateway, self.call);
        if gateway.is_ending() || !gateway.may_repeat(&call.service) {
            return None;
        }
        let mut after = self.attempts.clone();
        after.abandon();
        let place = take_now(gateway, call, &after, self.avoid).ok()?;
        gateway.spend_repeat(&call.service).then_some(place)
    }

    fn on_sent(&mut self, place: &PathReservation) -> Sent {
        let now = Instant::now();
        self.attempts.on_sent(&place.live.path.first().incarnation);
        Sent { live: Rc::clone(&place.live), at: now, look_at: now, is_counted: false }
    }

    /// Another attempt is about to be sent beside it.
    fn on_doubted(&mut self, sent: &mut Sent, why: &str) {
        let (call, live) = (self.call, &sent.live);
        info!("attempt in doubt", kv: {
            request = call.id(), endpoint = live.path.first().incarnation.id.as_str(), why,
            ms = call.arrived.elapsed().as_millis() as u64
        });
        self.attempts.abandon();
        sent.is_counted = true;
        live.avoid(Instant::now() + SILENT_AVOID);
        check_path(self.gateway, live);
        self.avoid.push(Rc::clone(live));
    }

    async fn on_failure_answered(&mut self, sent: &Sent, run: Run) {
        self.note_failed(sent, Evidence::MayHaveRun);
        self.failure = Some(read_failure(self.call, run).await);
    }

    fn on_failed(&mut self, sent: &Sent, failed: &Failed) {
        log_failed(self.gateway, self.call, &sent.live.path.first().incarnation, failed);
        self.note_failed(sent, failed.evidence);
        follow_failure(self.gateway, self.call, &sent.live, failed);
    }

    /// Its caller couldn't tell a closed connection from one that was never read.
    fn on_shutting_down(&mut self, sent: &Sent) {
        self.call.end.tell_cut_leaving();
        let failed = Failed::new(Evidence::MayHaveRun, "this gateway ends".to_owned());
        log_failed(self.gateway, self.call, &sent.live.path.first().incarnation, &failed);
        self.note_failed(sent, failed.evidence);
    }

    fn note_failed(&mut self, sent: &Sent, evidence: Evidence) {
        if !sent.is_counted {
            self.attempts.on_failed(&sent.live.path.first().incarnation, evidence);
            self.avoid.push(Rc::clone(&sent.live));
        }
    }

    /// How the search ends without a run.
    fn end_with(&mut self, not_begun: NotBegun) -> NotBegun {
        self.failure.take().map_or(not_begun, NotBegun::Failure)
    }
}

/// What follows from a failed attempt for others.
fn follow_failure(gateway: &Rc<Gateway>, call: &Call, live: &Rc<LivePath>, failed: &Failed) {
    let first = live.path.first();
    let now = Instant::now();
    match failed.evidence {
        Evidence::NotSent if failed.is_inconclusive => check_first(gateway, live),
        Evidence::NotSent => gateway.suspect(&first.incarnation, failed.finding, &failed.why),
        Evidence::NotRun => {
            // Another path through the engine that refused would bring the same answer.
            let refuser = failed.at_fault.unwrap_or(first.addr);
            live.avoid(now + REFUSED_AVOID);
            gateway.paths.borrow().avoid_through(&call.service, refuser, now + REFUSED_AVOID);
            check_refuser(gateway, refuser, failed.is_misdirected);
        }
        Evidence::MayHaveRun => {
            live.avoid(now + SILENT_AVOID);
            check_first(gateway, live);
        }
    }
}

async fn read_failure(call: &Call, run: Run) -> Response<AnswerBody> {
    let (parts, body) = run.begun.answer.into_parts();
    let body = timeout(call.time_left(), Limited::new(body, MAX_FAILURE_BYTES).collect()).await;
    let Ok(Ok(body)) = body else {
        return give_up(call, GivenUp::Unknown, RETRY_AFTER_FULL, "an engine's failure broke off");
    };
    pass_on(&parts, body.to_bytes())
}
