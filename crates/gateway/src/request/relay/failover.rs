//! A stream whose run is over or in doubt goes on in another run.
//!
//! A run that is only in doubt stays open until another one has begun: its engine may have paused, and another run may
//! not be had.

use super::relay::{CALLER_PATIENCE, Flow, OnPath, Relay, STREAM_SILENCE};
use super::repath::{LeaveBroken, Repath};
use crate::process::{Count, LivePath, check_first, check_path};
use crate::request::run::{NotBegun, Run, has_other_path};
use crate::request::run_search::begin;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use sorrellock_routing::request::{FailoverStep, FaultEvidence, NoRun, RunFault, after_no_run};
use spdlog::{info, warn};
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// When another run may begin.
#[derive(Clone, Copy)]
struct Window {
    from: Instant,
    until: Instant,
    /// Sooner as well, where capacity is freed.
    awaits_capacity: bool,
}

/// What ends a try to begin another run.
enum Tried {
    Began(Box<Run>),
    NotBegun(NotBegun),
    /// The run in doubt brought bytes.
    Chunk(Bytes),
    /// The run in doubt ended in order.
    Complete,
    /// The run in doubt is over, and no other one may begin for the doubt.
    Broke(RunFault),
    /// Another stream got an event over the path of the run in doubt.
    Restored,
    CallerGone,
    TimeOver,
}

impl Relay {
    /// The run is over or in doubt: looks for another one.
    pub(super) async fn fail_over(&mut self, fault: RunFault) -> Flow {
        self.log_fault(&fault);
        self.note_fault(&fault);
        if fault.evidence() == FaultEvidence::Connection {
            self.drop_run();
        }
        self.seek_run(&fault.to_string()).await
    }

    /// What follows for others: for idle connections that may be as silent, and for the engines of the path.
    fn note_fault(&mut self, fault: &RunFault) {
        self.attempts.abandon();
        let Some(run) = &self.run else { return };
        let live = &run.place.live;
        let first = &live.path.first().incarnation;
        if !live.is_broken() && self.last_event.elapsed() >= STREAM_SILENCE {
            self.gateway.pool.borrow_mut().drop_idle_since(first, self.last_event);
        }
        match fault.evidence() {
            FaultEvidence::Connection => check_first(&self.gateway, live),
            FaultEvidence::Suspicion | FaultEvidence::Silence => check_path(&self.gateway, live),
        }
        let has_broken_off = matches!(fault, RunFault::ConnectionBroke(_));
        if has_broken_off && !self.gateway.is_listed(first) {
            // An engine without an entry that breaks off has ended.
            self.attempts.forget_lost(|incarnation| incarnation == first);
        }
        if !self.avoid.iter().any(|other| Rc::ptr_eq(other, live)) {
            self.avoid.push(Rc::clone(live));
        }
    }

    /// The run is over. The engine stops its work as its connection closes.
    fn drop_run(&mut self) {
        self.run = None;
        self.repath = Repath::default();
        self.on_path = OnPath::Served;
        self.events.restart();
    }

    /// Looks for another run, while the one in doubt may still go on.
    async fn seek_run(&mut self, why: &str) -> Flow {
        let now = Instant::now();
        let until = (self.last_event + CALLER_PATIENCE).max(now).min(self.call.deadline);
        let mut window = Window { from: now, until, awaits_capacity: false };
        let mut may_try = self.call.route.semantics.may_repeat();
        loop {
            let not_begun = match self.try_run(may_try, window).await {
                Tried::Began(run) => return self.take_run(*run),
                Tried::Chunk(chunk) => return self.on_sign_of_incarnation(chunk).await,
                Tried::Complete => return Flow::Complete,
                // What ruled out another run for the doubt may not hold any more.
                Tried::Broke(fault) => return Box::pin(self.fail_over(fault)).await,
                Tried::Restored => return self.keep_run(),
                Tried::CallerGone => return Flow::Over,
                Tried::TimeOver => return self.cut(Count::TimedOut, "its time is over"),
                Tried::NotBegun(not_begun) => not_begun,
            };
            let (has_run, now) = (self.run.is_some(), Instant::now());
            match after_no_run(has_run, cause(&not_begun), now.into_std(), until.into_std()) {
                FailoverStep::Retry(wait) => {
                    if self.moves_off_broken_path() {
                        return Flow::GoesOn;
                    }
                    // Layers may be loaded, or a path have capacity again, by then.
                    self.avoid.retain(|live| live.is_broken());
                    window.from = now + wait;
                    window.awaits_capacity = cause(&not_begun) == NoRun::NoCapacity;
                }
                FailoverStep::KeepRun => {
                    let no_run = cause(&not_begun);
                    info!("failover not possible, run kept", kv: {
                        request = self.call.id(), why, cause:? = no_run
                    });
                    may_try = false;
                }
                FailoverStep::Abort => return self.abort(why, &not_begun),
            }
        }
    }

    /// Begins another run within the window, unless the one in doubt shows that it goes on.
    async fn try_run(&mut self, may_try: bool, window: Window) -> Tried {
        let may_begin = may_try && self.gateway.may_resume();
        if !may_begin && self.run.is_none() {
            return Tried::NotBegun(if may_try { NotBegun::Ending } else { NotBegun::Spent });
        }
        let last = self.events.last();
        let Relay { gateway, call, attempts, avoid, run, tx, events, .. } = self;
        // A run in doubt may be moved to a path that appears meanwhile: no long wait for capacity.
        let capacity_until = if run.is_some() { window.from } else { window.until };
        let deadline = call.deadline;
        let tried = {
            let mut beginning = pin!(async {
                if !may_begin {
                    return pending().await;
                }
                let freed = gateway.paths.borrow().freed();
                match window.awaits_capacity {
                    // Either is a reason to look.
                    true => drop(timeout_at(window.from, freed.notified()).await),
                    false => sleep_until(window.from).await,
                }
                begin(gateway, call, attempts, last, avoid, capacity_until).await
            });
            loop {
                let broken = run.as_ref().map(|run| &run.place.live);
                let broken = broken.filter(|live| live.is_broken()).cloned();
                tokio::select! {
                    biased;
                    frame = next_frame(run) => match frame {
                        Some(Ok(frame)) => break Tried::Chunk(frame.into_data().unwrap_or_default()),
                        None if !events.has_partial() => break Tried::Complete,
                        ended if !may_begin => break Tried::Broke(fault_of_end(ended)),
                        None | Some(Err(_)) => {
                            // It is over after all; what has been sent elsewhere goes on.
                            *run = None;
                            events.restart();
                        }
                    },
                    () = tx.closed() => break Tried::CallerGone,
                    began = &mut beginning => match began {
                        Ok(run) => break Tried::Began(Box::new(run)),
                        Err(not_begun) => break Tried::NotBegun(not_begun),
                    },
                    () = restored(broken) => break Tried::Restored,
                    () = sleep_until(deadline) => break Tried::TimeOver,
                }
            }
        };
        if !matches!(tried, Tried::Began(_)) {
            self.attempts.abandon();
        }
        tried
    }

    /// Has the first engine move the run off its broken path, where another path begins there by now.
    fn moves_off_broken_path(&mut self) -> bool {
        let Some(run) = &self.run else { return false };
        let live = Rc::clone(&run.place.live);
        if !live.is_broken() {
            return false;
        }
        let now = Instant::now();
        let leave = self.repath.leave_broken(&self.gateway, &self.call, &live, now);
        let is_ordered = matches!(leave, LeaveBroken::Ordered);
        if is_ordered {
            self.on_path = OnPath::LeavesBroken;
        }
        is_ordered
    }

    /// Another run has begun: only now the one before is over.
    fn take_run(&mut self, run: Run) -> Flow {
        self.drop_run();
        self.failovers += 1;
        self.gateway.counters.add(Count::Resumed);
        info!("failover done", kv: {
            request = self.call.id(), after:? = self.events.last(),
            data_centre = run.place.live.path.data_centre.as_str(),
            endpoint = run.place.live.path.first().incarnation.id.as_str()
        });
        self.run_began = Instant::now();
        run.place.live.last_event.set(self.run_began);
        self.run = Some(run);
        Flow::GoesOn
    }

    /// The run in doubt brought bytes.
    async fn on_sign_of_incarnation(&mut self, chunk: Bytes) -> Flow {
        let silent_ms = self.last_event.elapsed().as_millis() as u64;
        info!("failover withdrawn, the run goes on", kv: { request = self.call.id(), silent_ms });
        self.gateway.counters.add(Count::FailoversWithdrawn);
        self.keep_run();
        self.pass_on(chunk).await
    }

    fn keep_run(&mut self) -> Flow {
        self.on_path = OnPath::Served;
        if let Some(run) = &self.run {
            self.avoid.retain(|live| !Rc::ptr_eq(live, &run.place.live));
        }
        Flow::GoesOn
    }

    /// Ends a stream that has no run before its last event.
    fn abort(&self, why: &str, not_begun: &NotBegun) -> Flow {
        if matches!(not_begun, NotBegun::Ending) {
            self.call.end.tell_cut_leaving();
        }
        let then = match not_begun {
            _ if !self.call.route.semantics.may_repeat() => "it may not be resumed".to_owned(),
            NotBegun::NoPlace(none) => format!("no place: {none:?}"),
            NotBegun::Spent => "no further attempt was left".to_owned(),
            NotBegun::TimeOver => "its time was over".to_owned(),
            NotBegun::Ending => "this gateway ends before another run pays".to_owned(),
            NotBegun::Failure(_) => "an engine failed".to_owned(),
        };
        self.cut(Count::Cut, &format!("{why}; then {then}"))
    }

    /// Logs what the doubt of a run rests on, with what is known of its engines and of other paths.
    fn log_fault(&self, fault: &RunFault) {
        let gateway = &self.gateway;
        let why = fault.to_string();
        let evidence = fault.evidence();
        gateway.counters.add(match evidence {
            FaultEvidence::Connection => Count::RunsBroken,
            FaultEvidence::Suspicion => Count::RunsSuspected,
            FaultEvidence::Silence => Count::RunsSilent,
        });
        let live = self.run.as_ref().map(|run| &run.place.live);
        let parts = live.into_iter().flat_map(|live| &live.path.parts);
        let judged = parts.filter_map(|part| {
            Some(format!("{}: {}", part.incarnation.id, gateway.failure_reason(&part.incarnation)?))
        });
        let engines = judged.collect::<Vec<_>>().join("; ");
        let has_other =
            live.is_some_and(|live| has_other_path(gateway, &self.call, &self.attempts, live));
        let silent_ms = self.last_event.elapsed().as_millis() as u64;
        let run_ms = self.run_began.elapsed().as_millis() as u64;
        let config_in_force = gateway.knowledge.borrow().config_version();
        warn!("failover started", kv: {
            request = self.call.id(), why = why.as_str(), evidence:?, engines = engines.as_str(),
            after:? = self.events.last(), silent_ms, run_ms, has_other,
            may_repeat = gateway.may_repeat(&self.call.service),
            config = self.call.config_version, config_in_force, failovers = self.failovers
        });
    }
}

fn cause(not_begun: &NotBegun) -> NoRun {
    match not_begun {
        NotBegun::NoPlace(_) => NoRun::NoCapacity,
        NotBegun::Spent => NoRun::NoBudget,
        NotBegun::TimeOver | NotBegun::Ending | NotBegun::Failure(_) => NoRun::NoRetry,
    }
}

/// The next frame of a run; never comes without one.
async fn next_frame(run: &mut Option<Run>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match run {
        Some(run) => run.begun.answer.body_mut().frame().await,
        None => pending().await,
    }
}

/// The fault of a run that ended before its last event.
fn fault_of_end(ended: Option<Result<Frame<Bytes>, hyper::Error>>) -> RunFault {
    match ended {
        Some(Err(err)) => RunFault::ConnectionBroke(err.to_string()),
        Some(Ok(_)) | None => RunFault::EndedWithinEvent,
    }
}

/// Ends when a broken path has brought an event; never without one.
async fn restored(broken: Option<Rc<LivePath>>) {
    match broken {
        Some(live) => live.restored().await,
        None => pending().await,
    }
}
