//! Relays a stream of events from an endpoint of a plain service, and continues it at another one when its run fails.

use super::call_attempts::{CallAttempts, report_attempt_end};
use super::serve::record_answered;
use super::stream_search::{Begun, PlainRun, begin_run};
use crate::process::{Count, Gateway};
use crate::request::estimate::record_duration;
use crate::request::relay::{CALLER_PAUSE_LIMIT, STREAM_SILENCE_LIMIT};
use crate::request::stream::PARTS_BUFFERED;
use crate::request::{Call, FailedAttempt};
use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use sorrellock_core::process::retries::AttemptEnd;
use sorrellock_http::{AnswerBody, Cut, Part};
use sorrellock_platform::answer_headers;
use sorrellock_routing::request::{EventParser, Evidence, ParsedChunk, RunFault};
use spdlog::{info, warn};
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

/// Serves a stream of a plain service.
pub(crate) async fn serve_plain_stream(
    gateway: Rc<Gateway>,
    call: Call,
) -> Result<Response<AnswerBody>, Cut> {
    let mut attempts = CallAttempts::new(&call);
    let until = call.deadline;
    match begin_run(&gateway, &call, &mut attempts, call.head.last_event, until).await {
        Begun::Run(run) => Ok(start_relay(gateway, call, attempts, *run)),
        Begun::Answer(answer, endpoint) => Ok(record_answered(&call, &endpoint, *answer)),
        Begun::Nothing => Ok(attempts.final_answer(&gateway, &call)),
    }
}

fn start_relay(
    gateway: Rc<Gateway>,
    call: Call,
    attempts: CallAttempts,
    run: PlainRun,
) -> Response<AnswerBody> {
    gateway.counters.first_byte.record(call.arrived.elapsed());
    let (tx, rx) = mpsc::channel(PARTS_BUFFERED);
    let mut answer = Response::new(AnswerBody::parts(rx));
    *answer.headers_mut() = answer_headers(run.exchange.answer.headers());
    let events = EventParser::new(call.head.last_event);
    let now = Instant::now();
    let relay =
        PlainRelay { gateway, call, attempts, run, tx, events, last_event: now, check_at: now };
    tokio::task::spawn_local(relay.run());
    answer
}

/// Forwards one stream to its caller.
struct PlainRelay {
    gateway: Rc<Gateway>,
    call: Call,
    attempts: CallAttempts,
    run: PlainRun,
    tx: mpsc::Sender<Part>,
    events: EventParser,
    last_event: Instant,
    /// When a silent run is next compared with other endpoints.
    check_at: Instant,
}

/// The next thing for a relay to handle.
enum PlainInput {
    Chunk(Bytes),
    Ended,
    Broke(String),
    Silent,
    CallerGone,
    DeadlinePassed,
}

/// Whether a stream continues.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Flow {
    Continue,
    Complete,
    Stopped,
}

impl PlainRelay {
    async fn run(mut self) {
        loop {
            let flow = match self.next_input().await {
                PlainInput::Chunk(chunk) => self.forward(chunk).await,
                PlainInput::Ended if self.events.may_end() => Flow::Complete,
                PlainInput::Ended => self.replace_failed_run(&RunFault::EndedWithinEvent).await,
                PlainInput::Broke(why) => {
                    self.replace_failed_run(&RunFault::ConnectionBroke(why)).await
                }
                PlainInput::Silent => self.replace_silent_run().await,
                PlainInput::CallerGone => Flow::Stopped,
                PlainInput::DeadlinePassed => self.cut(Count::TimedOut, "its deadline has passed"),
            };
            match flow {
                Flow::Continue => {}
                Flow::Complete => return self.finish().await,
                Flow::Stopped => return,
            }
        }
    }

    async fn next_input(&mut self) -> PlainInput {
        let deadline = self.call.deadline;
        let silent_at = (self.last_event + STREAM_SILENCE_LIMIT).max(self.check_at);
        let may_repeat = self.call.route.semantics.may_repeat();
        tokio::select! {
            biased;
            frame = self.run.exchange.answer.body_mut().frame() => match frame {
                None => PlainInput::Ended,
                Some(Err(err)) => PlainInput::Broke(err.to_string()),
                Some(Ok(frame)) => PlainInput::Chunk(frame.into_data().unwrap_or_default()),
            },
            () = self.tx.closed() => PlainInput::CallerGone,
            () = sleep_until(deadline) => PlainInput::DeadlinePassed,
            () = sleep_until(silent_at), if may_repeat => PlainInput::Silent,
        }
    }

    /// Forwards the complete events of a chunk.
    async fn forward(&mut self, chunk: Bytes) -> Flow {
        self.last_event = Instant::now();
        let events_before = self.events.events();
        let ParsedChunk { events, error } = self.events.push(chunk);
        self.run.exchange.run.on_events(self.events.events() - events_before);
        if !events.is_empty() && self.tx.send(Part::Data(events)).await.is_err() {
            return Flow::Stopped;
        }
        match error {
            None => Flow::Continue,
            Some(err) => self.replace_failed_run(&RunFault::InvalidEvent(err)).await,
        }
    }

    /// Continues at another endpoint, as the run has ended before its last event.
    async fn replace_failed_run(&mut self, fault: &RunFault) -> Flow {
        let (gateway, call) = (&self.gateway, &self.call);
        gateway.counters.add(Count::RunsBroken);
        let run = &self.run;
        warn!("failover started", kv: {
            request = call.id(), endpoint = run.info.endpoint.id.as_str(),
            why = fault.to_string().as_str(), after:? = self.events.last()
        });
        run.exchange.run.on_broke();
        gateway.check_ended(&run.info.endpoint, run.exchange.addr).await;
        let failed = FailedAttempt::new(Evidence::MayHaveRun, fault.to_string());
        self.attempts.on_failed(gateway, call, &run.info, &failed);
        let until = (self.last_event + CALLER_PAUSE_LIMIT).min(call.deadline);
        let Some(begun) = self.begin_next(until).await else { return Flow::Stopped };
        match begun {
            Begun::Run(run) => self.replace_run(*run),
            Begun::Answer(..) | Begun::Nothing => {
                if self.gateway.is_ending() {
                    self.call.end.report_cut_leaving();
                }
                self.cut(Count::Cut, &format!("{fault}, and no other run"))
            }
        }
    }

    /// Continues at another endpoint if one begins a run in time. The silent run is kept otherwise, as it may still deliver.
    async fn replace_silent_run(&mut self) -> Flow {
        self.check_at = Instant::now() + STREAM_SILENCE_LIMIT;
        let until = (self.last_event + CALLER_PAUSE_LIMIT).min(self.call.deadline);
        if !self.attempts.count_overdue(&mut self.run.info) || Instant::now() >= until {
            return Flow::Continue;
        }
        self.gateway.counters.add(Count::RunsSilent);
        let Some(begun) = self.begin_next(until).await else { return Flow::Stopped };
        match begun {
            Begun::Run(run) => {
                report_attempt_end(&self.gateway, &self.run.info, AttemptEnd::Failure);
                self.replace_run(*run)
            }
            Begun::Answer(..) | Begun::Nothing => Flow::Continue,
        }
    }

    /// Looks for the next run; `None` if the caller goes away meanwhile.
    async fn begin_next(&mut self, until: Instant) -> Option<Begun> {
        let last_event = self.events.last();
        let PlainRelay { gateway, call, attempts, tx, .. } = self;
        tokio::select! {
            biased;
            () = tx.closed() => None,
            begun = begin_run(gateway, call, attempts, last_event, until) => Some(begun),
        }
    }

    /// Replaces the run by one that has begun. The old one is dropped only now.
    fn replace_run(&mut self, run: PlainRun) -> Flow {
        self.gateway.counters.add(Count::Resumed);
        info!("failover done", kv: {
            request = self.call.id(), after:? = self.events.last(),
            endpoint = run.info.endpoint.id.as_str()
        });
        self.events.restart();
        self.run = run;
        Flow::Continue
    }

    async fn finish(self) {
        let PlainRun { exchange, info } = self.run;
        exchange.run.on_answered();
        report_attempt_end(&self.gateway, &info, AttemptEnd::Success);
        let (connection, head) = (exchange.connection, &exchange.head);
        self.gateway.pool.borrow_mut().keep(exchange.incarnation, connection, head, Instant::now());
        if self.tx.send(Part::End).await.is_ok() {
            record_duration(&self.gateway, &self.call);
            let why = format!("{} events, last from {}", self.events.events(), info.endpoint.id);
            self.call.end.report(Count::Answered, "answered", 200, &why);
        }
    }

    /// Ends the stream before its last event. The channel is dropped without an end part, so that the caller sees a
    /// truncated answer.
    fn cut(&self, count: Count, why: &str) -> Flow {
        self.call.end.report(count, "cut", 200, why);
        Flow::Stopped
    }
}
