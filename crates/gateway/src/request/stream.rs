//! Requests to model engines: a stream of events over a path of engines.

use crate::process::{Count, Gateway, NoPlace};
use crate::request::relay::Relay;
use crate::request::run::{NotBegun, RETRY_AFTER_FULL, Run};
use crate::request::run_search::begin;
use crate::request::{Call, give_up};
use http::Response;
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_platform::answer_headers;
use sorrellock_routing::request::{AbandonedOutcome, Attempts};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Events that wait for a slow caller; beyond it the engine's connection isn't read.
const PARTS_BUFFERED: usize = 32;
/// How long a request waits for room before it is refused: within a quarter of the usual goal of
/// 500 ms, so that the caller can still be served in time elsewhere.
const ROOM_PATIENCE: Duration = Duration::from_millis(100);
/// When to come back where no path exists: a lost engine is found and its layers are loaded in
/// about that time.
const RETRY_AFTER_NO_PATH: Duration = Duration::from_millis(2_500);
/// How long callers wait for the first event.
const FIRST_EVENT_WAIT: Duration = Duration::from_secs(2);

/// Serves a stream.
pub(crate) async fn serve_stream(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut attempts = Attempts::new(call.route.semantics, call.route.max_attempts);
    let last = call.head.last_event;
    let mut avoid = Vec::new();
    let until = Instant::now() + ROOM_PATIENCE;
    let mut began = begin(&gateway, &call, &mut attempts, last, &mut avoid, until).await;
    if matches!(began, Err(NotBegun::NoPlace(_)))
        && attempts.abandoned_outcome(false) != AbandonedOutcome::NotRun
    {
        // It can't be refused as not run any more: a place that frees serves its caller better than no answer.
        avoid.retain(|live| live.is_broken());
        let until = (call.arrived + FIRST_EVENT_WAIT).min(call.deadline);
        began = begin(&gateway, &call, &mut attempts, last, &mut avoid, until).await;
    }
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
    let (why, retry_delay) = match not_begun {
        NotBegun::NoPlace(NoPlace::Full) => ("all paths are full", RETRY_AFTER_FULL),
        NotBegun::NoPlace(NoPlace::NoPath) => ("no engines hold all layers", RETRY_AFTER_NO_PATH),
        NotBegun::Spent => ("attempts or their budget are spent", RETRY_AFTER_FULL),
        NotBegun::TimeOver => ("time is over", RETRY_AFTER_FULL),
        NotBegun::Ending => ("this gateway ends before the first event", RETRY_AFTER_FULL),
        NotBegun::Failure(_) => ("an engine failed", RETRY_AFTER_FULL),
    };
    let is_over = matches!(not_begun, NotBegun::TimeOver);
    let paths = gateway.paths.borrow().describe(&call.service, Instant::now());
    give_up(call, attempts.abandoned_outcome(is_over), retry_delay, &format!("{why}: {paths}"))
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
