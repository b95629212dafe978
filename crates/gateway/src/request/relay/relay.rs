//! Passes a stream's events on, and goes on over another path when its own breaks or stalls.

use crate::process::{Count, Gateway, LivePath};
use crate::request::Call;
use crate::request::expected::note_time;
use crate::request::relay::pace::Pace;
use crate::request::relay::repath::{LeaveBroken, Repath, RepathEnd};
use crate::request::run::{Run, has_other_path};
use bytes::Bytes;
use http_body_util::BodyExt;
use rand::RngExt;
use sorrellock_http::Part;
use sorrellock_platform::OrderEnd;
use sorrellock_routing::process::{PathPart, is_repair_overdue, is_repair_worth_waiting};
use sorrellock_routing::request::{Attempts, EventParser, RunFault};
use spdlog::info;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until, timeout};

/// How long one stream may be silent on a path that serves others, before it goes on elsewhere:
/// callers leave after two seconds, and a new run takes up to half of one.
pub(super) const STREAM_SILENCE: Duration = Duration::from_millis(1_200);
/// How often a silent stream looks whether its path serves others.
const SILENCE_TICK: Duration = Duration::from_millis(60);
/// Silence after which a stream looks at its path at all: a stalled path shows by then.
const SILENCE_LOOK: Duration = Duration::from_millis(320);
/// How often a stream that waits for a repair looks for its new path, beside each change of paths.
const REPAIR_TICK: Duration = Duration::from_millis(50);
/// How long callers bear a pause.
pub(super) const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Why a stream without a run goes on elsewhere.
const NO_RUN: &str = "no run is under way";

/// One stream on its way to its caller.
pub(crate) struct Relay {
    pub(super) gateway: Rc<Gateway>,
    pub(super) call: Call,
    pub(super) attempts: Attempts,
    pub(super) run: Option<Run>,
    pub(super) tx: mpsc::Sender<Part>,
    pub(super) events: EventParser,
    pub(super) last_event: Instant,
    pub(super) pace: Pace,
    /// When the run began: its silence counts from then.
    pub(super) run_began: Instant,
    /// Paths that failed this stream.
    pub(super) avoid: Vec<Rc<LivePath>>,
    pub(super) failovers: u32,
    pub(super) repath: Repath,
    /// Spreads the moves off an engine that leaves.
    move_spread: f64,
    pub(super) on_path: OnPath,
}

/// How a stream stands with its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OnPath {
    /// Its path serves it, as far as is known.
    Served,
    /// Its path is broken, and an order to go on over another one is under way.
    LeavesBroken,
    /// Its path is broken, and it waits for one over which its run can go on.
    AwaitsRepair,
    /// It was moved off a broken path to another one, of which nothing came yet.
    Moved,
}

/// Whether a stream goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Flow {
    GoesOn,
    /// Its last event was passed on.
    Complete,
    /// It has ended otherwise, and its end is logged.
    Over,
}

/// What comes next of a stream.
enum Next {
    Chunk(Bytes),
    /// The engine ended the answer in order.
    Ended,
    /// The engine's connection broke.
    Broke(String),
    /// An engine of the path is judged to be dead, and no stream gets events over it.
    PathGone,
    /// An order to go on over another path has ended.
    Repathed(RepathEnd),
    /// Nothing came for too long.
    Silent,
    CallerGone,
    TimeOver,
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
            pace: Pace::default(),
            run_began: last_event,
            avoid: Vec::new(),
            failovers: 0,
            repath: Repath::default(),
            move_spread: rand::rng().random_range(0.0..1.0),
            on_path: OnPath::Served,
        }
    }

    /// Passes events on until the stream ends or is given up.
    pub(crate) async fn run(mut self) {
        loop {
            let flow = match self.next().await {
                Next::Chunk(chunk) => self.pass_on(chunk).await,
                Next::Ended if !self.events.has_partial() => Flow::Complete,
                Next::Ended => self.fail_over(RunFault::EndedWithinEvent).await,
                Next::Broke(why) => self.fail_over(RunFault::ConnectionBroke(why)).await,
                Next::Repathed(end) => self.on_repathed(end).await,
                Next::PathGone => self.on_path_gone().await,
                Next::Silent => self.fail_over(RunFault::Silent).await,
                Next::CallerGone => Flow::Over,
                Next::TimeOver => self.cut(Count::TimedOut, "its time is over"),
            };
            match flow {
                Flow::GoesOn => {}
                Flow::Complete => return self.finish().await,
                Flow::Over => return,
            }
        }
    }

    async fn next(&mut self) -> Next {
        if self.on_path == OnPath::AwaitsRepair {
            return self.next_while_broken().await;
        }
        let Some(run) = &mut self.run else { return Next::Broke(NO_RUN.to_owned()) };
        let live = Rc::clone(&run.place.live);
        let deadline = self.call.deadline;
        let quiet_since = self.last_event.max(self.run_began);
        let mut look = quiet_since + SILENCE_LOOK;
        loop {
            let now = Instant::now();
            if let Some(departure) = live.departure().filter(|_| !live.is_broken()) {
                if now.into_std() >= departure.move_at(self.move_spread) {
                    self.repath.start(&self.gateway, &self.call, &live, now);
                }
                look = look.min(now + SILENCE_TICK);
            }
            tokio::select! {
                biased;
                frame = run.begun.answer.body_mut().frame() => return next_of_frame(frame),
                () = self.tx.closed() => return Next::CallerGone,
                () = live.broken(), if self.on_path != OnPath::LeavesBroken => return Next::PathGone,
                end = self.repath.end() => return Next::Repathed(end),
                () = sleep_until(look.min(deadline)) => {
                    let now = Instant::now();
                    if now >= deadline {
                        return Next::TimeOver;
                    }
                    let is_over = now - quiet_since >= STREAM_SILENCE
                        && now - self.last_event < CALLER_PATIENCE;
                    if is_over && has_other_path(&self.gateway, &self.call, &self.attempts, &live) {
                        return Next::Silent;
                    }
                    look = now + SILENCE_TICK;
                }
            }
        }
    }

    /// What comes next while the path is broken: another path may begin at its first engine as soon
    /// as paths change.
    async fn next_while_broken(&mut self) -> Next {
        let Some(run) = &mut self.run else { return Next::Broke(NO_RUN.to_owned()) };
        let freed = self.gateway.paths.borrow().freed();
        tokio::select! {
            biased;
            frame = run.begun.answer.body_mut().frame() => next_of_frame(frame),
            () = self.tx.closed() => Next::CallerGone,
            _ = timeout(REPAIR_TICK, freed.notified()) => Next::PathGone,
        }
    }

    /// Passes a chunk's whole events on.
    pub(super) async fn pass_on(&mut self, chunk: Bytes) -> Flow {
        let now = Instant::now();
        let silent = now - self.last_event;
        if self.failovers > 0 && self.events.events() > 0 && silent > SILENCE_LOOK {
            self.gateway.counters.repair_time.record(silent);
        }
        if self.on_path == OnPath::Moved {
            self.on_path = OnPath::Served;
            let (request, silent_ms) = (self.call.id(), silent.as_millis() as u64);
            info!("first event over the new path", kv: { request, silent_ms });
        }
        self.pace.on_chunk(now - self.call.arrived, silent, self.events.events());
        self.last_event = now;
        self.note_path_works(now);
        match self.events.push(chunk) {
            Ok(bytes) if bytes.is_empty() => Flow::GoesOn,
            Ok(bytes) => match self.tx.send(Part::Data(bytes)).await {
                Ok(()) => Flow::GoesOn,
                Err(_) => Flow::Over,
            },
            // Boxed, as a failover passes events on in its turn.
            Err(err) => Box::pin(self.fail_over(RunFault::InvalidEvent(err))).await,
        }
    }

    /// Bytes came over the path: what was concluded of its engines is wrong or out of date.
    fn note_path_works(&mut self, now: Instant) {
        let Some(run) = &self.run else { return };
        if !run.place.live.on_event(now) {
            return;
        }
        self.gateway.on_path_restored(&run.place.live);
        if self.on_path == OnPath::AwaitsRepair {
            self.on_path = OnPath::Served;
        }
    }

    /// An engine of the path is judged to be dead. The run goes on over other engines where the first one lives:
    /// they read only their own layers anew, and no further attempt is spent. Where no engine runs the
    /// lost layers yet, the run waits for them.
    async fn on_path_gone(&mut self) -> Flow {
        let Some(run) = &self.run else {
            return self.fail_over(RunFault::ConnectionBroke(NO_RUN.to_owned())).await;
        };
        let live = Rc::clone(&run.place.live);
        if !live.is_broken() {
            // Another stream got an event over it meanwhile.
            self.on_path = OnPath::Served;
            return Flow::GoesOn;
        }
        let now = Instant::now();
        let silent = now - self.last_event;
        let awaits_repair = self.on_path == OnPath::AwaitsRepair;
        match self.repath.leave_broken(&self.gateway, &self.call, &live, now) {
            LeaveBroken::Ordered => {
                self.on_path = OnPath::LeavesBroken;
                Flow::GoesOn
            }
            LeaveBroken::NoPathYet if awaits_repair && !is_repair_overdue(silent) => Flow::GoesOn,
            LeaveBroken::NoPathYet if !awaits_repair && self.may_wait(&live, silent) => {
                self.on_path = OnPath::AwaitsRepair;
                let silent_ms = silent.as_millis() as u64;
                info!("stream waits for a repair", kv: { request = self.call.id(), silent_ms });
                Flow::GoesOn
            }
            LeaveBroken::NoPathYet | LeaveBroken::Lost => {
                self.fail_over(RunFault::PathBroken).await
            }
        }
    }

    /// Whether to wait for other engines to run the lost layers of a path: they will soon enough, and
    /// no other path takes the stream now. Where one does, it is sooner there.
    fn may_wait(&self, live: &Rc<LivePath>, silent: Duration) -> bool {
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

    /// Takes the end of an order to move to another path.
    async fn on_repathed(&mut self, end: RepathEnd) -> Flow {
        let outcome = format!("{:?}", end.order);
        info!("stream moved to another path", kv: {
            request = self.call.id(), data_centre = end.to.path.data_centre.as_str(),
            after:? = self.events.last(), outcome = outcome.as_str()
        });
        let was_broken = self.on_path == OnPath::LeavesBroken;
        if matches!(end.order, OrderEnd::Begun | OrderEnd::Done) {
            self.gateway.counters.add(Count::Repathed);
            if let Some(run) = &mut self.run {
                run.place.move_to(end.to, Instant::now());
            }
            self.on_path = if was_broken { OnPath::Moved } else { OnPath::Served };
            return Flow::GoesOn;
        }
        let is_broken = self.run.as_ref().is_some_and(|run| run.place.live.is_broken());
        if !was_broken || !is_broken {
            // The path works, or works again.
            self.on_path = OnPath::Served;
            return Flow::GoesOn;
        }
        self.fail_over(RunFault::MoveFailed).await
    }

    async fn finish(mut self) {
        let Some(run) = self.run.take() else { return };
        run.begun.in_flight.on_answered();
        let now = Instant::now();
        let pool = &self.gateway.pool;
        pool.borrow_mut().keep(run.begun.incarnation, run.begun.connection, &run.begun.head, now);
        if self.tx.send(Part::End).await.is_ok() {
            note_time(&self.gateway, &self.call);
            let why = format!(
                "{} events, {}, {} failovers, last over {}",
                self.events.events(),
                self.pace,
                self.failovers,
                run.place.live.path.first().incarnation.id
            );
            self.call.end.tell(Count::Answered, "answered", 200, &why);
        }
    }

    /// Ends the stream before its last event; dropped without its end, it looks truncated to its caller.
    pub(super) fn cut(&self, count: Count, why: &str) -> Flow {
        self.call.end.tell(count, "cut", 200, why);
        Flow::Over
    }
}

fn next_of_frame(frame: Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>) -> Next {
    match frame {
        None => Next::Ended,
        Some(Err(err)) => Next::Broke(err.to_string()),
        Some(Ok(frame)) => Next::Chunk(frame.into_data().unwrap_or_default()),
    }
}
