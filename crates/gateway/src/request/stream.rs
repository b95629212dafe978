//! Serves requests to model engines: streams of events over a path of engines.

use crate::process::{Count, Gateway, LivePath, NoPlace};
use crate::request::estimate::expected_tokens;
use crate::request::relay::Relay;
use crate::request::return_delay::return_delay;
use crate::request::run::{NotStarted, Run};
use crate::request::run_search::start_run;
use crate::request::shared_capacity::max_capacity_wait;
use crate::request::{
    Call, RETRY_AFTER_ELSEWHERE, abandon_call, block_reason, block_retry_delay, held_reason,
    held_retry_delay, retry_delay,
};
use http::Response;
use sorrellock_http::{AnswerBody, Cut};
use sorrellock_platform::answer_headers;
use sorrellock_routing::request::{AbandonedOutcome, Attempts};
use std::borrow::Cow;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Buffered parts for a slow caller; when the buffer is full, the engine's connection isn't read.
pub(super) const PARTS_BUFFERED: usize = 32;
/// How long a request waits for free capacity before it is refused: less than a quarter of the usual latency target of
/// 500 ms, so that another gateway can still serve the caller in time.
const CAPACITY_WAIT_LIMIT: Duration = Duration::from_millis(100);
/// How long callers wait for the first event.
const CALLER_FIRST_EVENT_LIMIT: Duration = Duration::from_secs(2);

/// Serves a stream.
pub(crate) async fn serve_stream(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut attempts = Attempts::new(call.route.semantics, call.route.max_attempts);
    let mut avoid = Vec::new();
    match begin_run(&gateway, &call, &mut attempts, &mut avoid).await {
        Ok(run) => Ok(start_relay(gateway, call, attempts, run)),
        Err(not_started) => Ok(answer_not_started(&gateway, &call, &attempts, not_started)),
    }
}

/// Starts the first run of a request, waiting for free capacity.
pub(super) async fn begin_run(
    gateway: &Rc<Gateway>,
    call: &Call,
    attempts: &mut Attempts,
    avoid: &mut Vec<Rc<LivePath>>,
) -> Result<Run, NotStarted> {
    let last_event = call.head.last_event;
    let max_wait = max_capacity_wait(call).unwrap_or(CAPACITY_WAIT_LIMIT);
    let until = call.arrived + max_wait;
    let began = start_run(gateway, call, attempts, last_event, avoid, until).await;
    let may_have_run = attempts.abandoned_outcome(false) != AbandonedOutcome::NotRun;
    if !matches!(began, Err(NotStarted::NoPlace(_)))
        || !may_have_run
        || !call.route.semantics.may_repeat()
    {
        return began;
    }
    // It can no longer be refused as not run: waiting for free capacity is better than no answer.
    avoid.retain(|live| live.is_broken());
    let until = (call.arrived + CALLER_FIRST_EVENT_LIMIT).min(call.deadline);
    start_run(gateway, call, attempts, last_event, avoid, until).await
}

/// Returns the answer to a request that no engine runs.
pub(super) fn answer_not_started(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    not_started: NotStarted,
) -> Response<AnswerBody> {
    let NotStarted::ErrorAnswer(answer) = not_started else {
        return refuse(gateway, call, attempts, &not_started);
    };
    let status = answer.status().as_u16();
    call.end.report(Count::Answered, "answered", status, "the engine answered with an error");
    answer
}

fn refuse(
    gateway: &Gateway,
    call: &Call,
    attempts: &Attempts,
    not_started: &NotStarted,
) -> Response<AnswerBody> {
    if let NotStarted::Held(held_for) = not_started {
        let outcome = attempts.abandoned_outcome(false);
        return abandon_call(
            call,
            outcome,
            held_retry_delay(*held_for),
            &held_reason(gateway, call),
        );
    }
    let (why, retry_delay) = refusal_reason(gateway, call, not_started);
    let is_over = matches!(not_started, NotStarted::DeadlinePassed);
    let paths = gateway.paths.borrow().describe(&call.service, Instant::now());
    abandon_call(call, attempts.abandoned_outcome(is_over), retry_delay, &format!("{why}: {paths}"))
}

/// Returns why no run started, for log lines, and the Retry-After.
fn refusal_reason(
    gateway: &Gateway,
    call: &Call,
    not_started: &NotStarted,
) -> (Cow<'static, str>, Duration) {
    let why = match not_started {
        NotStarted::NoPlace(NoPlace::Blocked(block)) => {
            return (block_reason(*block, "engines").into(), block_retry_delay(*block));
        }
        NotStarted::NoPlace(NoPlace::Refused { retry_after }) => {
            return ("no capacity in time".into(), *retry_after);
        }
        NotStarted::NoPlace(NoPlace::AttemptsSpent) => {
            let why = "all engines that it may be sent to refused it";
            return (why.into(), retry_delay_elsewhere(gateway, call));
        }
        NotStarted::Ending => {
            let why = "this gateway ends before the first event";
            return (why.into(), retry_delay(gateway, call.deadline));
        }
        NotStarted::NoPlace(NoPlace::LastPath) => "it may crash the last engine that serves",
        NotStarted::NoPlace(NoPlace::Full) => "all paths are full",
        NotStarted::NoPlace(NoPlace::NoPath) => "no engines hold all layers",
        NotStarted::RetriesExhausted => "no attempt or retry budget is left",
        NotStarted::DeadlinePassed => "the deadline has passed",
        NotStarted::ErrorAnswer(_) | NotStarted::Held(_) => "an engine failed",
    };
    (why.into(), return_delay(gateway, call))
}

/// Returns the Retry-After of a request that may not be sent to further engines: at once if one has room for it.
fn retry_delay_elsewhere(gateway: &Gateway, call: &Call) -> Duration {
    let is_open =
        |live: &Rc<LivePath>| gateway.send_block(&live.path.first().incarnation).is_none();
    let (paths, tokens) = (gateway.paths.borrow(), expected_tokens(call));
    match paths.has_capacity(&call.service, tokens, is_open, Instant::now()) {
        true => RETRY_AFTER_ELSEWHERE,
        false => {
            let block = gateway.service_block(&call.service);
            block.map_or_else(|| return_delay(gateway, call), block_retry_delay)
        }
    }
}

fn start_relay(
    gateway: Rc<Gateway>,
    call: Call,
    attempts: Attempts,
    run: Run,
) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(PARTS_BUFFERED);
    let mut answer = Response::new(AnswerBody::parts(rx));
    *answer.status_mut() = run.exchange.answer.status();
    *answer.headers_mut() = answer_headers(run.exchange.answer.headers());
    tokio::task::spawn_local(Relay::new(gateway, call, attempts, run, tx).run());
    answer
}
