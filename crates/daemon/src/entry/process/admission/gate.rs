//! Admission of requests: each starts, is queued, or is refused at once.

use super::pools::{Decisions, Waiting};
use super::{Pools, Work};
use crate::entry::process::limits::{Checked, LimitDesk, PendingRequest};
use crate::entry::process::{Calls, Finished, FleetCell, InProgress, Pipelines, Timer};
use crate::entry::request::Problem;
use crate::process::{Count, Counters};
use crossbeam::channel::Receiver;
use serde_json::{Value, json};
use sorrellock_core::id::{Incarnation, Sequence};
use sorrellock_core::process::admission::{Ended, QueueBounds};
use sorrellock_core::process::grants::Grant;
use sorrellock_core::request::{NotRun, Refusal};
use sorrellock_core::version::Row;
use sorrellock_http::Responder;
use sorrellock_wire::connection::Link;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Interval at which the windows are adapted to the fleet and waiting requests that can't start in time are dropped.
const REFRESH: Duration = Duration::from_millis(100);

/// Dependencies of a [`Gate`].
pub struct GateParts<L> {
    /// Holds the current fleet view.
    pub fleet: Arc<FleetCell>,
    /// Counts the requests in progress.
    pub in_progress: Arc<InProgress>,
    /// Starts pipeline requests.
    pub pipelines: Arc<Pipelines<L>>,
    /// Starts calls.
    pub calls: Arc<Calls<L>>,
    /// Fires at the deadlines of waiting requests.
    pub timer: Arc<Timer>,
    /// Checks requests against the limits of their rows.
    pub limits: Arc<LimitDesk<L>>,
    /// Counters for metrics.
    pub counters: Arc<Counters>,
}

/// Admits requests: first by the limits of their rows, then by free capacity.
pub struct Gate<L> {
    parts: GateParts<L>,
    pools: Mutex<Pools>,
}

impl<L: Link> Gate<L> {
    /// Creates the gate and the threads that start waiting requests as others end.
    pub fn start(parts: GateParts<L>, finished: Receiver<Finished>) -> Arc<Gate<L>> {
        let pools = Mutex::new(Pools::new(QueueBounds::new()));
        let gate = Arc::new(Gate { parts, pools });
        let (ends, refreshes) = (gate.clone(), gate.clone());
        spawn("admission-ends", move || finished.iter().for_each(|end| ends.on_finished(end)));
        spawn("admission-refresh", move || {
            loop {
                thread::sleep(REFRESH);
                refreshes.refresh();
            }
        });
        gate
    }

    /// Accepts a validated request that is already counted as in progress; it is answered exactly once.
    pub fn offer(self: &Arc<Self>, work: Work, row: Arc<Row>, responder: Responder) {
        let checked = self.parts.limits.check(PendingRequest { work, row, responder });
        self.handle_checked(checked);
    }

    /// Handles a keeper's grant: requests that waited for it continue.
    pub fn on_grant(self: &Arc<Self>, from: Incarnation, grant: &Grant) {
        let checked = self.parts.limits.on_grant(from, grant);
        self.handle_checked(checked);
    }

    fn handle_checked(self: &Arc<Self>, checked: Vec<Checked>) {
        for checked in checked {
            match checked {
                Checked::Passed(pending) => self.enqueue(pending),
                Checked::Refused(pending, not_run) => self.answer(pending.responder, not_run),
            }
        }
    }

    fn enqueue(self: &Arc<Self>, pending: PendingRequest) {
        let PendingRequest { work, row, responder } = pending;
        let (ticket, deadline) = (work.sequence(), work.deadline());
        self.cancel_when_gone(&responder, ticket);
        let demand = work.demand(&row);
        let view = self.parts.fleet.view();
        let waiting = Waiting { pool: work.pool(), work, responder };
        let mut pools = self.pools.lock().unwrap();
        // If the caller disconnects after this check, its `on_gone` hook, which takes the same lock, cancels the
        // request.
        if waiting.responder.is_gone() {
            drop(pools);
            return self.refuse(waiting, cancelled());
        }
        let decisions = pools.offer(waiting, demand, &view);
        drop(pools);
        if decisions.start.iter().all(|started| started.work.sequence() != ticket) {
            self.parts.counters.count(Count::AdmissionWaits);
            self.parts.timer.add(deadline, ticket);
        }
        self.apply_decisions(decisions);
    }

    /// Refuses a waiting request whose deadline passed; does nothing if it doesn't wait here.
    pub fn on_deadline(&self, ticket: Sequence) {
        let waiting = self.pools.lock().unwrap().cancel(ticket);
        let detail = "its deadline passed while it waited to start";
        let refused = NotRun::never_sent(Refusal::Deadline, detail);
        waiting.into_iter().for_each(|waiting| self.refuse(waiting, refused.clone()));
    }

    /// Returns the state of the queues and limits as JSON.
    pub fn dump(&self) -> Value {
        let pools = self.pools.lock().unwrap().dump();
        json!({ "pools": pools, "limits": self.parts.limits.dump() })
    }

    fn cancel_when_gone(self: &Arc<Self>, responder: &Responder, ticket: Sequence) {
        let this = Arc::downgrade(self);
        responder.on_gone(move || {
            let Some(this) = this.upgrade() else { return };
            let waiting = this.pools.lock().unwrap().cancel(ticket);
            waiting.into_iter().for_each(|waiting| this.refuse(waiting, cancelled()));
        });
    }

    fn on_finished(&self, end: Finished) {
        self.parts.limits.ended(end.sequence, end.ended);
        let decisions = self.pools.lock().unwrap().finish(end.sequence, end.ended);
        self.parts.in_progress.left();
        self.apply_decisions(decisions);
    }

    fn refresh(self: &Arc<Self>) {
        self.handle_checked(self.parts.limits.refresh());
        let view = self.parts.fleet.view();
        let decisions = self.pools.lock().unwrap().refresh(&view);
        self.apply_decisions(decisions);
    }

    fn apply_decisions(&self, decisions: Decisions) {
        for waiting in decisions.start {
            match waiting.work {
                Work::Pipeline(new) if new.once.is_some() => {
                    self.parts.calls.start_pipeline(new, waiting.responder);
                }
                Work::Pipeline(new) => self.parts.pipelines.start(new, waiting.responder),
                Work::Call(new) => self.parts.calls.start(new, waiting.responder),
            }
        }
        for (waiting, not_run) in decisions.refuse {
            self.refuse(waiting, not_run);
        }
    }

    /// Refuses a request that had passed the limits, and returns what it spent of them.
    fn refuse(&self, waiting: Waiting, not_run: NotRun) {
        self.parts.limits.ended(waiting.work.sequence(), Ended::NotRun);
        self.answer(waiting.responder, not_run);
    }

    fn answer(&self, responder: Responder, not_run: NotRun) {
        self.parts.in_progress.left();
        self.parts.counters.count(Count::NotRun);
        self.parts.counters.count(match not_run.refusal {
            Refusal::Limit => Count::RefusedLimit,
            Refusal::Deadline => Count::RefusedDeadline,
            Refusal::Cancelled => Count::CallersGone,
            _ => Count::RefusedCapacity,
        });
        Problem::from(not_run).send(responder);
    }
}

fn cancelled() -> NotRun {
    NotRun::never_sent(Refusal::Cancelled, "the caller went away while it waited")
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.into()).spawn(body).expect("a thread can be started");
}
