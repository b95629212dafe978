//! Starts a stream's run, trying further paths of engines while attempts are left.

use crate::process::{Gateway, LivePath, PathReservation, check_first, check_path, check_refuser};
use crate::request::run::{NotStarted, Run, send, try_take_place, wait_for_permitted_place};
use crate::request::{
    Call, FailedAttempt, RunningAttempts, abandon_call, forward_answer, log_failed_attempt,
};
use http::{Response, StatusCode};
use sorrellock_http::{AnswerBody, read_answer};
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::request::{AbandonedOutcome, Attempts, Evidence};
use sorrellock_routing::version::Semantics;
use spdlog::info;
use std::future::pending;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// How long the first event may take before another path is tried: callers leave after two seconds. A path that
/// delivers events to other streams is only busy, and another one is rarely less busy.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_700);
/// The same on a path where all streams are silent.
const FIRST_EVENT_TIMEOUT_SILENT_PATH: Duration = Duration::from_millis(600);
/// How often a request that waits for its first event checks its path.
const FIRST_EVENT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long this gateway sends no new requests to paths through an engine that refused one.
const REFUSED_AVOID_TIME: Duration = Duration::from_millis(250);
/// How long this gateway sends no new requests to a path that delivered nothing.
const SILENT_AVOID_TIME: Duration = Duration::from_millis(1_000);
/// Maximum size of the body of an engine's error answer.
const MAX_ERROR_BODY_BYTES: usize = 1 << 20;

/// Starts a stream on the best path, and on further ones while attempts are left. Paths that failed are added to
/// `avoid`.
///
/// An attempt that is only suspect stays open, in parallel with the next one or alone where none may follow. The first
/// attempt to receive the head of an answer becomes the run.
pub(crate) async fn start_run(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut Attempts,
    last_event: Option<u64>,
    avoid: &mut Vec<Rc<LivePath>>,
    capacity_until: Instant,
) -> Result<Run, NotStarted> {
    let mut search = RunSearch::new(gateway, call, attempts, avoid);
    let mut running = RunningAttempts::new();
    loop {
        if running.is_empty() {
            let place = search.next_place(capacity_until).await?;
            running.push(search.on_sent(&place), send(gateway, call, place, last_event));
        }
        let suspicion = suspicion(call, running.only());
        let event = tokio::select! {
            biased;
            (sent, res) = running.ended() => SearchEvent::Ended(sent, res.map(Box::new)),
            why = suspicion => SearchEvent::AttemptSuspect(why),
            () = gateway.ending() => SearchEvent::ShuttingDown,
        };
        match event {
            SearchEvent::Ended(_, Ok(run)) if begins_run(call, run.exchange.answer.status()) => {
                return Ok(*run);
            }
            SearchEvent::Ended(sent, Ok(run)) => search.on_error_answered(&sent, *run).await,
            SearchEvent::Ended(sent, Err(failed)) => search.on_failed(&sent, &failed),
            SearchEvent::AttemptSuspect(why) => match search.hedge_place() {
                Some(place) => {
                    running.infos().for_each(|sent| search.on_suspect(sent, &why));
                    running.push(search.on_sent(&place), send(gateway, call, place, last_event));
                }
                None => running.infos().for_each(SentAttempt::postpone_check),
            },
            SearchEvent::ShuttingDown => {
                running.infos().for_each(|sent| search.on_shutting_down(sent));
                return Err(search.error_answer_or(NotStarted::Ending));
            }
        }
    }
}

/// Returns whether an answer with this status begins a run: a stream, or the success of a request whose answer is whole.
fn begins_run(call: &Call, status: StatusCode) -> bool {
    match call.route.semantics {
        Semantics::Stream { .. } => status == StatusCode::OK,
        Semantics::Idempotent | Semantics::NonIdempotent => status.is_success(),
    }
}

/// An event in the search for a run.
enum SearchEvent {
    Ended(SentAttempt, Result<Box<Run>, FailedAttempt>),
    /// The only open attempt is suspect, for this reason.
    AttemptSuspect(String),
    ShuttingDown,
}

/// An open attempt on a path.
struct SentAttempt {
    live: Rc<LivePath>,
    sent_at: Instant,
    /// Not checked for suspicion before then.
    check_at: Instant,
    /// It is already counted as failed, since another one was sent in parallel.
    is_abandoned: bool,
}

impl SentAttempt {
    fn postpone_check(&mut self) {
        self.check_at = Instant::now() + FIRST_EVENT_CHECK_INTERVAL;
    }
}

/// Resolves with the reason when the only open attempt becomes suspect. Never resolves with several open attempts or if
/// the request may not be repeated.
fn suspicion(call: &Call, only: Option<&mut SentAttempt>) -> impl Future<Output = String> + use<> {
    let may_repeat = call.route.semantics.may_repeat();
    let only = only.filter(|_| may_repeat);
    let only = only.map(|sent| (Rc::clone(&sent.live), sent.sent_at, sent.check_at));
    async move {
        let Some((live, sent_at, check_at)) = only else { return pending().await };
        sleep_until(check_at).await;
        tokio::select! {
            () = live.broken() => format!("an engine of the path in {} is dead", live.path.data_centre),
            waited = first_event_overdue(&live, sent_at) => format!("no event in {} ms", waited.as_millis()),
        }
    }
}

/// Resolves with the time waited when the first event of a request sent at `sent_at` is so late that another path
/// should be tried.
async fn first_event_overdue(live: &LivePath, sent_at: Instant) -> Duration {
    loop {
        let waited = sent_at.elapsed();
        let limit = match live.is_silent(Instant::now()) {
            true => FIRST_EVENT_TIMEOUT_SILENT_PATH,
            false => FIRST_EVENT_TIMEOUT,
        };
        if waited >= limit {
            return waited;
        }
        sleep(FIRST_EVENT_CHECK_INTERVAL).await;
    }
}

/// The state of the search for a stream's run.
struct RunSearch<'a> {
    gateway: &'a Rc<Gateway>,
    call: &'a Call,
    attempts: &'a mut Attempts,
    /// Paths on which the stream failed.
    avoid: &'a mut Vec<Rc<LivePath>>,
    /// An engine's error answer, returned to the caller if no run starts.
    error_answer: Option<Response<AnswerBody>>,
}

impl<'a> RunSearch<'a> {
    fn new(
        gateway: &'a Rc<Gateway>,
        call: &'a Call,
        attempts: &'a mut Attempts,
        avoid: &'a mut Vec<Rc<LivePath>>,
    ) -> RunSearch<'a> {
        RunSearch { gateway, call, attempts, avoid, error_answer: None }
    }

    /// Reserves a place for the next attempt and charges the retry budget if it is a repeat.
    async fn next_place(&mut self, capacity_until: Instant) -> Result<PathReservation, NotStarted> {
        if self.call.time_left().is_zero() {
            return Err(NotStarted::DeadlinePassed);
        }
        if self.gateway.is_ending() {
            return Err(NotStarted::Ending);
        }
        let (gateway, call) = (self.gateway, self.call);
        let count = || gateway.paths.borrow().first_engines(&call.service, Instant::now()).len();
        gateway.await_turn(call, count).await;
        if let Some(held_for) = gateway.held_for(call) {
            return Err(self.error_answer_or(NotStarted::Held(held_for)));
        }
        let has_ended = |endpoint: &Incarnation| gateway.is_confirmed_ended(endpoint);
        self.attempts.forget_ended(has_ended, |endpoint| gateway.is_listed(endpoint));
        let place = tokio::select! {
            biased;
            place = wait_for_permitted_place(
                gateway, call, self.attempts, self.avoid, capacity_until,
            ) => place,
            () = gateway.ending() => return Err(self.error_answer_or(NotStarted::Ending)),
        };
        let place = place.map_err(|none| self.error_answer_or(NotStarted::NoPlace(none)))?;
        if self.attempts.is_repeat() && !self.gateway.spend_repeat(&self.call.service) {
            return Err(self.error_answer_or(NotStarted::RetriesExhausted));
        }
        Ok(place)
    }

    /// Does the same for an attempt in parallel with the open one; `None` if none may be sent now.
    fn hedge_place(&mut self) -> Option<PathReservation> {
        let (gateway, call) = (self.gateway, self.call);
        let is_unsafe = gateway.is_crash_suspect(call) || gateway.held_for(call).is_some();
        if gateway.is_ending() || is_unsafe || !gateway.may_repeat(&call.service) {
            return None;
        }
        let mut after = self.attempts.clone();
        after.abandon();
        let place = try_take_place(gateway, call, &after, self.avoid).ok()?;
        // A limit leaves nothing for attempts that may not be needed.
        if gateway.is_limited(&place.live.path.first().incarnation) {
            return None;
        }
        gateway.spend_repeat(&call.service).then_some(place)
    }

    fn on_sent(&mut self, place: &PathReservation) -> SentAttempt {
        let now = Instant::now();
        self.attempts.on_sent(&place.live.path.first().incarnation);
        SentAttempt {
            live: Rc::clone(&place.live),
            sent_at: now,
            check_at: now,
            is_abandoned: false,
        }
    }

    /// Counts a suspect attempt as abandoned, as another one is about to be sent in parallel.
    fn on_suspect(&mut self, sent: &mut SentAttempt, why: &str) {
        let (call, live) = (self.call, &sent.live);
        info!("attempt in doubt", kv: {
            request = call.id(), endpoint = live.path.first().incarnation.id.as_str(), why,
            ms = call.arrived.elapsed().as_millis() as u64
        });
        self.attempts.abandon();
        sent.is_abandoned = true;
        live.avoid(Instant::now() + SILENT_AVOID_TIME);
        check_path(self.gateway, live);
        self.avoid.push(Rc::clone(live));
    }

    async fn on_error_answered(&mut self, sent: &SentAttempt, run: Run) {
        self.record_failed(sent, Evidence::MayHaveRun);
        self.error_answer = Some(read_error_answer(self.call, run).await);
    }

    fn on_failed(&mut self, sent: &SentAttempt, failed: &FailedAttempt) {
        log_failed_attempt(self.gateway, self.call, &sent.live.path.first().incarnation, failed);
        self.record_failed(sent, failed.evidence);
        if failed.has_broken_off {
            self.attempts.on_broken_off(&sent.live.path.first().incarnation);
        }
        if !failed.is_held && !failed.is_blocked {
            react_to_failure(self.gateway, self.call, &sent.live, failed);
        }
    }

    /// Counts an open attempt as failed at shutdown, so that the request is answered: its caller can't distinguish a
    /// closed connection from one that was never read.
    fn on_shutting_down(&mut self, sent: &SentAttempt) {
        self.call.end.report_cut_leaving();
        let failed = FailedAttempt::new(Evidence::MayHaveRun, "this gateway ends".to_owned());
        log_failed_attempt(self.gateway, self.call, &sent.live.path.first().incarnation, &failed);
        self.record_failed(sent, failed.evidence);
    }

    fn record_failed(&mut self, sent: &SentAttempt, evidence: Evidence) {
        if !sent.is_abandoned {
            self.attempts.on_failed(&sent.live.path.first().incarnation, evidence);
            self.avoid.push(Rc::clone(&sent.live));
        }
    }

    /// Returns why no run started: an engine's error answer goes before `not_started`.
    fn error_answer_or(&mut self, not_started: NotStarted) -> NotStarted {
        self.error_answer.take().map_or(not_started, NotStarted::ErrorAnswer)
    }
}

/// Applies a failed attempt to the path and its engines: avoids, checks or suspects them.
fn react_to_failure(
    gateway: &Rc<Gateway>,
    call: &Call,
    live: &Rc<LivePath>,
    failed: &FailedAttempt,
) {
    let first = live.path.first();
    let now = Instant::now();
    match failed.evidence {
        Evidence::NotSent if failed.is_inconclusive => check_first(gateway, live),
        Evidence::NotSent => {
            gateway.suspect(&first.incarnation, failed.failure_evidence, &failed.why)
        }
        // It said how long it gets no requests, and is neither failed nor leaving.
        Evidence::NotRun if failed.asks_backoff && failed.at_fault.is_none() => {}
        Evidence::NotRun => {
            // Any path through the engine that refused would get the same answer.
            let refuser = failed.at_fault.unwrap_or(first.addr);
            live.avoid(now + REFUSED_AVOID_TIME);
            gateway.paths.borrow().avoid_through(&call.service, refuser, now + REFUSED_AVOID_TIME);
            check_refuser(gateway, refuser, failed.is_misdirected);
        }
        Evidence::MayHaveRun if failed.is_error_answer => {}
        Evidence::MayHaveRun => {
            live.avoid(now + SILENT_AVOID_TIME);
            check_first(gateway, live);
        }
    }
}

async fn read_error_answer(call: &Call, run: Run) -> Response<AnswerBody> {
    let (parts, mut body) = run.exchange.answer.into_parts();
    let reading = read_answer(&call.slot, &mut body, MAX_ERROR_BODY_BYTES);
    let body = timeout(call.time_left(), reading).await;
    let Ok(Ok(body)) = body else {
        return abandon_call(
            call,
            AbandonedOutcome::Unknown,
            Duration::ZERO,
            "an engine's error answer was cut off",
        );
    };
    forward_answer(&parts, body)
}
