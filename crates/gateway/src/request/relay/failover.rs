//! Continues a stream in another run when its own has ended or is suspect.
//!
//! A run that is only suspect stays open until another one has started: its engine may only have paused, and another
//! run may not be possible.

use super::relay::{CALLER_PAUSE_LIMIT, Flow, PathState, Relay, STREAM_SILENCE_LIMIT};
use super::repath::{MoveOff, Repath};
use crate::process::{Count, LivePath, check_first, check_path};
use crate::request::held_reason;
use crate::request::run::{NotStarted, Run, has_other_path};
use crate::request::run_search::start_run;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Frame;
use sorrellock_routing::request::{FailoverStep, FaultEvidence, NoRun, RunFault, after_no_run};
use spdlog::{info, warn};
use std::future::pending;
use std::pin::pin;
use std::rc::Rc;
use tokio::time::{Instant, sleep_until, timeout_at};

/// When another run may start.
#[derive(Clone, Copy)]
struct StartWindow {
    from: Instant,
    until: Instant,
    /// May also start before `from`, as soon as capacity is freed.
    awaits_capacity: bool,
}

/// The outcome of a try to start another run.
enum TryOutcome {
    Began(Box<Run>),
    NotStarted(NotStarted),
    /// The suspect run delivered bytes.
    Chunk(Bytes),
    /// The suspect run ended regularly.
    Complete,
    /// The suspect run broke, and no other one may be started on the suspicion alone.
    Broke(RunFault),
    /// Another stream got an event over the path of the suspect run.
    Restored,
    CallerGone,
    DeadlinePassed,
}

impl Relay {
    /// Looks for another run, as the current one has ended or is suspect.
    pub(super) async fn fail_over(&mut self, fault: RunFault) -> Flow {
        self.log_fault(&fault);
        self.handle_fault(&fault);
        if fault.evidence() == FaultEvidence::Connection {
            self.end_broken_run().await;
        }
        self.find_run(&fault.to_string()).await
    }

    /// Applies a fault beyond this stream: discards idle connections that may be silent too, and has the path's engines
    /// checked.
    fn handle_fault(&mut self, fault: &RunFault) {
        self.attempts.abandon();
        let Some(run) = &self.run else { return };
        let live = &run.place.live;
        let first = &live.path.first().incarnation;
        if !live.is_broken() && self.last_event.elapsed() >= STREAM_SILENCE_LIMIT {
            self.gateway.pool.borrow_mut().drop_idle_since(first, self.last_event);
        }
        match fault.evidence() {
            FaultEvidence::Connection => check_first(&self.gateway, live),
            FaultEvidence::Suspicion | FaultEvidence::Silence => check_path(&self.gateway, live),
        }
        if matches!(fault, RunFault::ConnectionBroke(_)) {
            self.attempts.on_broken_off(first);
        }
        if !self.avoid.iter().any(|other| Rc::ptr_eq(other, live)) {
            self.avoid.push(Rc::clone(live));
        }
    }

    /// Drops a run whose connection broke, and finds out whether its engine ended.
    async fn end_broken_run(&mut self) {
        let first = self.run.as_ref().map(|run| run.place.live.path.first().clone());
        if let Some(run) = &self.run {
            run.exchange.run.on_broke();
        }
        self.drop_run();
        if let Some(first) = first {
            self.gateway.check_ended(&first.incarnation, first.addr).await;
        }
    }

    /// Drops the run. The engine stops its work when its connection closes.
    fn drop_run(&mut self) {
        self.run = None;
        self.repath = Repath::default();
        self.path_state = PathState::Serving;
        self.events.restart();
    }

    /// Looks for another run, while a suspect one may still recover.
    async fn find_run(&mut self, why: &str) -> Flow {
        let now = Instant::now();
        let until = (self.last_event + CALLER_PAUSE_LIMIT).max(now).min(self.call.deadline);
        let mut window = StartWindow { from: now, until, awaits_capacity: false };
        let mut may_try = self.call.route.semantics.may_repeat();
        loop {
            let not_started = match self.try_start_run(may_try, window).await {
                TryOutcome::Began(run) => return self.replace_run(*run),
                TryOutcome::Chunk(chunk) => return self.withdraw_failover(chunk).await,
                TryOutcome::Complete => return Flow::Complete,
                // Whatever prevented another run while this one was only suspect may no longer apply.
                TryOutcome::Broke(fault) => return Box::pin(self.fail_over(fault)).await,
                TryOutcome::Restored => return self.keep_run(),
                TryOutcome::CallerGone => return Flow::Stopped,
                TryOutcome::DeadlinePassed => {
                    return self.cut(Count::TimedOut, "its deadline has passed");
                }
                TryOutcome::NotStarted(not_started) => not_started,
            };
            let (has_run, now) = (self.run.is_some(), Instant::now());
            match after_no_run(
                has_run,
                no_run_reason(&not_started),
                now.into_std(),
                until.into_std(),
            ) {
                FailoverStep::Retry(wait) => {
                    if self.try_move_off_broken_path() {
                        return Flow::Continue;
                    }
                    // By then layers may be loaded, or a path may have capacity again.
                    self.avoid.retain(|live| live.is_broken());
                    window.from = now + wait;
                    window.awaits_capacity = no_run_reason(&not_started) == NoRun::NoCapacity;
                }
                FailoverStep::KeepRun => {
                    let no_run = no_run_reason(&not_started);
                    info!("failover not possible, run kept", kv: {
                        request = self.call.id(), why, cause:? = no_run
                    });
                    may_try = false;
                }
                FailoverStep::Abort => return self.abort(why, &not_started),
            }
        }
    }

    /// Starts another run within the window, unless the suspect one recovers before that.
    async fn try_start_run(&mut self, may_try: bool, window: StartWindow) -> TryOutcome {
        let may_begin = may_try && self.gateway.may_resume();
        if !may_begin && self.run.is_none() {
            return TryOutcome::NotStarted(if may_try {
                NotStarted::Ending
            } else {
                NotStarted::RetriesExhausted
            });
        }
        let last_event = self.events.last();
        let Relay { gateway, call, attempts, avoid, run, tx, events, .. } = self;
        // A suspect run can be moved to a path that appears meanwhile, so it doesn't wait long for capacity.
        let capacity_until = if run.is_some() { window.from } else { window.until };
        let deadline = call.deadline;
        let outcome = {
            let mut starting = pin!(async {
                if !may_begin {
                    return pending().await;
                }
                let freed = gateway.paths.borrow().freed();
                match window.awaits_capacity {
                    // Both the time and freed capacity are reasons to try again.
                    true => drop(timeout_at(window.from, freed.notified()).await),
                    false => sleep_until(window.from).await,
                }
                start_run(gateway, call, attempts, last_event, avoid, capacity_until).await
            });
            loop {
                let broken = run.as_ref().map(|run| &run.place.live);
                let broken = broken.filter(|live| live.is_broken()).cloned();
                tokio::select! {
                    biased;
                    frame = next_frame(run) => match frame {
                        Some(Ok(frame)) => break TryOutcome::Chunk(frame.into_data().unwrap_or_default()),
                        None if events.may_end() => break TryOutcome::Complete,
                        ended if !may_begin => break TryOutcome::Broke(fault_from_end(ended)),
                        None | Some(Err(_)) => {
                            // The suspect run has ended; the attempt already sent elsewhere continues.
                            if let Some(run) = run {
                                run.exchange.run.on_broke();
                            }
                            *run = None;
                            events.restart();
                        }
                    },
                    () = tx.closed() => break TryOutcome::CallerGone,
                    began = &mut starting => match began {
                        Ok(run) => break TryOutcome::Began(Box::new(run)),
                        Err(not_started) => break TryOutcome::NotStarted(not_started),
                    },
                    () = restored(broken) => break TryOutcome::Restored,
                    () = sleep_until(deadline) => break TryOutcome::DeadlinePassed,
                }
            }
        };
        if !matches!(outcome, TryOutcome::Began(_)) {
            self.attempts.abandon();
        }
        outcome
    }

    /// Orders the first engine to move the run off its broken path, if another path starts there by now.
    fn try_move_off_broken_path(&mut self) -> bool {
        let Some(run) = &self.run else { return false };
        let live = Rc::clone(&run.place.live);
        if !live.is_broken() {
            return false;
        }
        let now = Instant::now();
        let move_off = self.repath.move_off_broken(&self.gateway, &self.call, &live, now);
        let is_ordered = matches!(move_off, MoveOff::Ordered);
        if is_ordered {
            self.path_state = PathState::MovingOff;
        }
        is_ordered
    }

    /// Replaces the run by one that has started. The old run is dropped only now.
    fn replace_run(&mut self, run: Run) -> Flow {
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
        Flow::Continue
    }

    /// Keeps the suspect run, as it delivered bytes.
    async fn withdraw_failover(&mut self, chunk: Bytes) -> Flow {
        let silent_ms = self.last_event.elapsed().as_millis() as u64;
        info!("failover withdrawn, the run goes on", kv: { request = self.call.id(), silent_ms });
        self.gateway.counters.add(Count::FailoversWithdrawn);
        self.keep_run();
        self.forward(chunk).await
    }

    fn keep_run(&mut self) -> Flow {
        self.path_state = PathState::Serving;
        if let Some(run) = &self.run {
            self.avoid.retain(|live| !Rc::ptr_eq(live, &run.place.live));
        }
        Flow::Continue
    }

    /// Cuts a stream that is left without a run.
    fn abort(&self, why: &str, not_started: &NotStarted) -> Flow {
        if matches!(not_started, NotStarted::Ending) {
            self.call.end.report_cut_leaving();
        }
        let then = match not_started {
            _ if !self.call.route.semantics.may_repeat() => "it may not be resumed".to_owned(),
            NotStarted::NoPlace(none) => format!("no place: {none:?}"),
            NotStarted::RetriesExhausted => "no further attempt was left".to_owned(),
            NotStarted::DeadlinePassed => "its deadline had passed".to_owned(),
            NotStarted::Held(_) => held_reason(&self.gateway, &self.call),
            NotStarted::Ending => "this gateway ends before another run is worthwhile".to_owned(),
            NotStarted::ErrorAnswer(_) => "an engine failed".to_owned(),
        };
        self.cut(Count::Cut, &format!("{why}; then {then}"))
    }

    /// Logs why a run is suspect, with what is known of its engines and of other paths.
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
        let evaluations = parts.filter_map(|part| {
            Some(format!("{}: {}", part.incarnation.id, gateway.failure_reason(&part.incarnation)?))
        });
        let engines = evaluations.collect::<Vec<_>>().join("; ");
        let has_other =
            live.is_some_and(|live| has_other_path(gateway, &self.call, &self.attempts, live));
        let silent_ms = self.last_event.elapsed().as_millis() as u64;
        let run_ms = self.run_began.elapsed().as_millis() as u64;
        let config_in_force = gateway.knowledge.borrow().config_version();
        let endpoint = live.map_or("", |live| live.path.first().incarnation.id.as_str());
        let content = match evidence {
            FaultEvidence::Connection => self.call.run_request.content.to_string(),
            FaultEvidence::Suspicion | FaultEvidence::Silence => String::new(),
        };
        warn!("failover started", kv: {
            request = self.call.id(), endpoint, content = content.as_str(), why = why.as_str(), evidence:?, engines = engines.as_str(),
            after:? = self.events.last(), silent_ms, run_ms, has_other,
            may_repeat = gateway.may_repeat(&self.call.service),
            config = self.call.config_version, config_in_force, failovers = self.failovers
        });
    }
}

fn no_run_reason(not_started: &NotStarted) -> NoRun {
    match not_started {
        NotStarted::NoPlace(_) => NoRun::NoCapacity,
        NotStarted::RetriesExhausted => NoRun::NoBudget,
        NotStarted::DeadlinePassed
        | NotStarted::Ending
        | NotStarted::Held(_)
        | NotStarted::ErrorAnswer(_) => NoRun::NoRetry,
    }
}

/// Waits for the next frame of a run; waits for ever without one.
async fn next_frame(run: &mut Option<Run>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match run {
        Some(run) => run.exchange.answer.body_mut().frame().await,
        None => pending().await,
    }
}

/// Returns the fault of a run that ended before its last event.
fn fault_from_end(ended: Option<Result<Frame<Bytes>, hyper::Error>>) -> RunFault {
    match ended {
        Some(Err(err)) => RunFault::ConnectionBroke(err.to_string()),
        Some(Ok(_)) | None => RunFault::EndedWithinEvent,
    }
}

/// Waits until a broken path delivers an event again; waits for ever without one.
async fn restored(broken: Option<Rc<LivePath>>) {
    match broken {
        Some(live) => live.restored().await,
        None => pending().await,
    }
}
