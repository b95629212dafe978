//! Forwards a stream's events, and continues over another path when its own breaks or stalls.

use crate::process::{Count, Gateway, LivePath};
use crate::request::Call;
use crate::request::estimate::record_duration;
use crate::request::relay::repath::{MoveOff, Repath, RepathEnd};
use crate::request::relay::stream_timing::StreamTiming;
use crate::request::run::{Run, has_other_path};
use bytes::Bytes;
use http_body_util::BodyExt;
use rand::RngExt;
use sorrellock_http::Part;
use sorrellock_platform::OrderEnd;
use sorrellock_routing::process::{PathPart, is_repair_overdue, is_repair_worth_waiting};
use sorrellock_routing::request::{Attempts, EventParser, ParsedChunk, RunFault};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// How long one stream may be silent on a path that delivers to others before it continues elsewhere: callers leave
/// after two seconds, and a new run takes up to half a second to start.
pub(crate) const STREAM_SILENCE_LIMIT: Duration = Duration::from_millis(1_200);
/// How often a stream that is silent, or that should move off a leaving engine, checks its path.
const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(60);
/// Silence after which a stream starts to check its path: a stalled path is known by then.
const PATH_CHECK_SILENCE: Duration = Duration::from_millis(320);
/// How often a stream that waits for a repair looks for a new path, in addition to each change of paths.
const REPAIR_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Pause after which callers leave.
pub(crate) const CALLER_PAUSE_LIMIT: Duration = Duration::from_secs(2);

/// The reason for a failover of a stream without a run.
const NO_RUN: &str = "no run is under way";

/// Forwards one stream to its caller.
pub(crate) struct Relay {
    pub(super) gateway: Rc<Gateway>,
    pub(super) call: Call,
    pub(super) attempts: Attempts,
    pub(super) run: Option<Run>,
    pub(super) tx: mpsc::Sender<Part>,
    pub(super) events: EventParser,
    pub(super) last_event: Instant,
    pub(super) timing: StreamTiming,
    /// When the current run started; silence is counted from then at the earliest.
    pub(super) run_began: Instant,
    /// Paths on which this stream failed.
    pub(super) avoid: Vec<Rc<LivePath>>,
    pub(super) failovers: u32,
    pub(super) repath: Repath,
    /// Random fraction from 0 to 1 that spreads the moves of streams off a leaving engine over time.
    move_spread: f64,
    pub(super) path_state: PathState,
}

/// The state of a stream on its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PathState {
    /// The path delivers, as far as is known.
    Serving,
    /// The path is broken, and an order to continue over another one is in flight.
    MovingOff,
    /// The path is broken, and the stream waits for one over which its run can continue.
    AwaitingRepair,
    /// The stream was moved off a broken path to another one, which has not delivered yet.
    Moved,
}

/// Whether a stream continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    Continue,
    /// Its last event was forwarded.
    Complete,
    /// It has ended otherwise, and its end is logged, at the latest when its `EndGuard` is dropped.
    Stopped,
}

/// The next thing for a relay to handle.
enum RelayInput {
    Chunk(Bytes),
    /// The engine ended the answer regularly.
    Ended,
    /// The engine's connection broke.
    Broke(String),
    /// An engine of the path is considered dead, and no stream gets events over the path.
    PathDown,
    /// An order to continue over another path has ended.
    Repathed(RepathEnd),
    /// Nothing was received for too long.
    Silent,
    CallerGone,
    DeadlinePassed,
}

impl Relay {
    pub(crate) fn new(
        gateway: Rc<Gateway>,
        call: Call,
        attempts: Attempts,
        run: Run,
        tx: mpsc::Sender<Part>,
    ) -> Relay {
        let events = EventParser::new(call.head.last_event);
        let last_event = Instant::now();
        gateway.counters.first_byte.record(call.arrived.elapsed());
        Relay {
            gateway,
            call,
            attempts,
            run: Some(run),
            tx,
            events,
            last_event,
            timing: StreamTiming::default(),
            run_began: last_event,
            avoid: Vec::new(),
            failovers: 0,
            repath: Repath::default(),
            move_spread: rand::rng().random_range(0.0..1.0),
            path_state: PathState::Serving,
        }
    }

    /// Forwards events until the stream ends or is abandoned.
    pub(crate) async fn run(mut self) {
        loop {
            let flow = match self.next_input().await {
                RelayInput::Chunk(chunk) => self.forward(chunk).await,
                RelayInput::Ended if self.events.may_end() => Flow::Complete,
                RelayInput::Ended => self.fail_over(RunFault::EndedWithinEvent).await,
                RelayInput::Broke(why) => self.fail_over(RunFault::ConnectionBroke(why)).await,
                RelayInput::Repathed(end) => self.on_repathed(end).await,
                RelayInput::PathDown => self.on_path_down().await,
                RelayInput::Silent => self.fail_over(RunFault::Silent).await,
                RelayInput::CallerGone => Flow::Stopped,
                RelayInput::DeadlinePassed => self.cut(Count::TimedOut, "its deadline has passed"),
            };
            match flow {
                Flow::Continue => {}
                Flow::Complete => return self.finish().await,
                Flow::Stopped => return,
            }
        }
    }

    async fn next_input(&mut self) -> RelayInput {
        if self.path_state == PathState::AwaitingRepair {
            return self.next_input_while_broken().await;
        }
        let Some(run) = &mut self.run else { return RelayInput::Broke(NO_RUN.to_owned()) };
        let live = Rc::clone(&run.place.live);
        let deadline = self.call.deadline;
        let silent_since = self.last_event.max(self.run_began);
        let mut check_at = silent_since + PATH_CHECK_SILENCE;
        loop {
            let now = Instant::now();
            if let Some(departure) = live.departure().filter(|_| !live.is_broken()) {
                if now.into_std() >= departure.move_at(self.move_spread) {
                    self.repath.start(&self.gateway, &self.call, &live, now);
                }
                check_at = check_at.min(now + PATH_CHECK_INTERVAL);
            }
            tokio::select! {
                biased;
                frame = run.exchange.answer.body_mut().frame() => return input_from_frame(frame),
                () = self.tx.closed() => return RelayInput::CallerGone,
                () = live.broken(), if self.path_state != PathState::MovingOff => return RelayInput::PathDown,
                end = self.repath.end() => return RelayInput::Repathed(end),
                () = sleep_until(check_at.min(deadline)) => {
                    let now = Instant::now();
                    if now >= deadline {
                        return RelayInput::DeadlinePassed;
                    }
                    let is_silent = now - silent_since >= STREAM_SILENCE_LIMIT
                        && now - self.last_event < CALLER_PAUSE_LIMIT;
                    if is_silent && has_other_path(&self.gateway, &self.call, &self.attempts, &live) {
                        return RelayInput::Silent;
                    }
                    check_at = now + PATH_CHECK_INTERVAL;
                }
            }
        }
    }

    /// Waits for the next input while the path is broken. Another path through its first engine may appear whenever
    /// paths change.
    async fn next_input_while_broken(&mut self) -> RelayInput {
        let Some(run) = &mut self.run else { return RelayInput::Broke(NO_RUN.to_owned()) };
        let freed = self.gateway.paths.borrow().freed();
        tokio::select! {
            biased;
            frame = run.exchange.answer.body_mut().frame() => input_from_frame(frame),
            () = self.tx.closed() => RelayInput::CallerGone,
            _ = timeout(REPAIR_CHECK_INTERVAL, freed.notified()) => RelayInput::PathDown,
        }
    }

    /// Forwards the complete events of a chunk.
    pub(super) async fn forward(&mut self, chunk: Bytes) -> Flow {
        let now = Instant::now();
        let silent = now - self.last_event;
        if self.failovers > 0 && self.events.events() > 0 && silent > PATH_CHECK_SILENCE {
            self.gateway.counters.repair_time.record(silent);
        }
        if self.path_state == PathState::Moved {
            self.path_state = PathState::Serving;
            let (request, silent_ms) = (self.call.id(), silent.as_millis() as u64);
            info!("first event over the new path", kv: { request, silent_ms });
        }
        self.timing.on_chunk(now - self.call.arrived, silent, self.events.events());
        self.last_event = now;
        self.mark_path_working(now);
        let events_before = self.events.events();
        let ParsedChunk { events, error } = self.events.push(chunk);
        if let Some(run) = &self.run {
            run.exchange.run.on_events(self.events.events() - events_before);
        }
        // What came before a wrong event is sound, and a further run goes on behind it.
        if !events.is_empty() && self.tx.send(Part::Data(events)).await.is_err() {
            return Flow::Stopped;
        }
        match error {
            None => Flow::Continue,
            // Boxed because a failover forwards events in turn, so the future is recursive.
            Some(err) => Box::pin(self.fail_over(RunFault::InvalidEvent(err))).await,
        }
    }

    /// Marks the path as working, as bytes were received over it: a finding that one of its engines is dead is wrong or
    /// outdated.
    fn mark_path_working(&mut self, now: Instant) {
        let Some(run) = &self.run else { return };
        if !run.place.live.on_event(now) {
            return;
        }
        self.gateway.on_path_restored(&run.place.live);
        if self.path_state == PathState::AwaitingRepair {
            self.path_state = PathState::Serving;
        }
    }

    /// Handles a broken path, of which an engine is considered dead. If the first engine is alive, the run continues
    /// over other engines: they only recompute their own layers, and no further attempt is spent. If no engine runs the
    /// lost layers yet, the run waits for one.
    async fn on_path_down(&mut self) -> Flow {
        let Some(run) = &self.run else {
            return self.fail_over(RunFault::ConnectionBroke(NO_RUN.to_owned())).await;
        };
        let live = Rc::clone(&run.place.live);
        if !live.is_broken() {
            // Another stream got an event over the path meanwhile.
            self.path_state = PathState::Serving;
            return Flow::Continue;
        }
        let now = Instant::now();
        let silent = now - self.last_event;
        let awaits_repair = self.path_state == PathState::AwaitingRepair;
        match self.repath.move_off_broken(&self.gateway, &self.call, &live, now) {
            MoveOff::Ordered => {
                self.path_state = PathState::MovingOff;
                Flow::Continue
            }
            MoveOff::NoPathYet if awaits_repair && !is_repair_overdue(silent) => Flow::Continue,
            MoveOff::NoPathYet if !awaits_repair && self.may_await_repair(&live, silent) => {
                self.path_state = PathState::AwaitingRepair;
                let silent_ms = silent.as_millis() as u64;
                info!("stream waits for a repair", kv: { request = self.call.id(), silent_ms });
                Flow::Continue
            }
            MoveOff::NoPathYet | MoveOff::Lost => self.fail_over(RunFault::PathBroken).await,
        }
    }

    /// Returns whether to wait until other engines run the lost layers of a path: if they will do so soon enough, and
    /// no other path can take the stream now, which would be faster.
    fn may_await_repair(&self, live: &Rc<LivePath>, silent: Duration) -> bool {
        let gateway = &self.gateway;
        if has_other_path(gateway, &self.call, &self.attempts, live) {
            return false;
        }
        let routes = gateway.knowledge.borrow().routes().cloned();
        let service = routes.as_ref().and_then(|routes| routes.service(&self.call.service));
        let Some(shape) = service.and_then(|service| service.model.as_ref()) else { return false };
        let is_lost = |part: &&PathPart| gateway.is_lost(&part.incarnation);
        let missing = live.path.parts.iter().filter(is_lost).map(|part| part.layers.len()).sum();
        is_repair_worth_waiting(shape, missing, silent)
    }

    /// Handles the end of an order to move to another path.
    async fn on_repathed(&mut self, end: RepathEnd) -> Flow {
        let outcome = format!("{:?}", end.order);
        info!("stream moved to another path", kv: {
            request = self.call.id(), data_centre = end.to.path.data_centre.as_str(),
            after:? = self.events.last(), outcome = outcome.as_str()
        });
        let was_broken = self.path_state == PathState::MovingOff;
        if matches!(end.order, OrderEnd::Begun | OrderEnd::Done) {
            self.gateway.counters.add(Count::Repathed);
            if let Some(run) = &mut self.run {
                let parts = end.to.path.parts.iter();
                run.exchange.run.on_moved(parts.map(|part| part.incarnation.clone()).collect());
                run.place.move_to(end.to, Instant::now());
            }
            self.path_state = if was_broken { PathState::Moved } else { PathState::Serving };
            return Flow::Continue;
        }
        let is_broken = self.run.as_ref().is_some_and(|run| run.place.live.is_broken());
        if !was_broken || !is_broken {
            // The path was never broken, or works again.
            self.path_state = PathState::Serving;
            return Flow::Continue;
        }
        self.fail_over(RunFault::MoveFailed).await
    }

    async fn finish(mut self) {
        let Some(run) = self.run.take() else { return };
        run.exchange.in_flight.on_answered();
        run.exchange.run.on_answered();
        let now = Instant::now();
        let pool = &self.gateway.pool;
        pool.borrow_mut().keep(
            run.exchange.incarnation,
            run.exchange.connection,
            &run.exchange.head,
            now,
        );
        if self.tx.send(Part::End).await.is_ok() {
            record_duration(&self.gateway, &self.call);
            let why = format!(
                "{} events, {}, {} failovers, last over {}",
                self.events.events(),
                self.timing,
                self.failovers,
                run.place.live.path.first().incarnation.id
            );
            self.call.end.report(Count::Answered, "answered", 200, &why);
        }
    }

    /// Ends the stream before its last event. The channel is dropped without an end part, so that the caller sees a
    /// truncated answer.
    pub(super) fn cut(&self, count: Count, why: &str) -> Flow {
        self.call.end.report(count, "cut", 200, why);
        Flow::Stopped
    }
}

fn input_from_frame(frame: Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>) -> RelayInput {
    match frame {
        None => RelayInput::Ended,
        Some(Err(err)) => RelayInput::Broke(err.to_string()),
        Some(Ok(frame)) => RelayInput::Chunk(frame.into_data().unwrap_or_default()),
    }
}
