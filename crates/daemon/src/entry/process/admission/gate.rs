//! Admits requests: each starts, waits for its turn, or is refused at once.

use super::pools::{Decided, Waiting};
use super::{Pools, Work};
use crate::entry::process::{Calls, Finished, FleetCell, InProgress, Pipelines, Timer};
use crate::entry::request::Problem;
use crate::process::{Count, Counters};
use crossbeam::channel::Receiver;
use serde_json::Value;
use sorrellock_core::id::Sequence;
use sorrellock_core::process::admission::QueueBounds;
use sorrellock_core::request::{NotRun, Refusal};
use sorrellock_core::version::Row;
use sorrellock_http::Responder;
use sorrellock_wire::connection::Link;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How often the windows follow the fleet, and requests that wait in vain are dropped.
const REFRESH: Duration = Duration::from_millis(100);

/// Admits requests.
pub struct Gate<L> {
    fleet: Arc<FleetCell>,
    in_progress: Arc<InProgress>,
    pipelines: Arc<Pipelines<L>>,
    calls: Arc<Calls<L>>,
    timer: Arc<Timer>,
    counters: Arc<Counters>,
    pools: Mutex<Pools>,
}

impl<L: Link> Gate<L> {
    /// Starts the threads that let waiting requests go on as others end.
    pub fn start(
        fleet: Arc<FleetCell>,
        in_progress: Arc<InProgress>,
        pipelines: Arc<Pipelines<L>>,
        calls: Arc<Calls<L>>,
        timer: Arc<Timer>,
        counters: Arc<Counters>,
        finished: Receiver<Finished>,
    ) -> Arc<Gate<L>> {
        let pools = Mutex::new(Pools::new(QueueBounds::new()));
        let gate = Arc::new(Gate { fleet, in_progress, pipelines, calls, timer, counters, pools });
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

    /// Takes a checked request that is counted as in progress; it is answered once.
    pub fn offer(self: &Arc<Self>, work: Work, row: &Row, responder: Responder) {
        let (ticket, deadline) = (work.sequence(), work.deadline());
        self.cancel_when_gone(&responder, ticket);
        let demand = work.demand(row);
        let view = self.fleet.view();
        let waiting = Waiting { pool: work.pool(), work, responder };
        let mut pools = self.pools.lock().unwrap();
        // Past this line a caller that goes away is cancelled by its hook, which takes the lock.
        if waiting.responder.is_gone() {
            drop(pools);
            return self.refuse(waiting, cancelled());
        }
        let decided = pools.offer(waiting, demand, &view);
        drop(pools);
        if decided.start.iter().all(|started| started.work.sequence() != ticket) {
            self.counters.count(Count::AdmissionWaits);
            self.timer.add(deadline, ticket);
        }
        self.carry_out(decided);
    }

    /// The deadline of a request passed; nothing happens if it doesn't wait here.
    pub fn on_deadline(&self, ticket: Sequence) {
        let waiting = self.pools.lock().unwrap().cancel(ticket);
        let detail = "its deadline passed while it waited to start";
        let refused = NotRun::never_sent(Refusal::Deadline, detail);
        waiting.into_iter().for_each(|waiting| self.refuse(waiting, refused.clone()));
    }

    /// The state of the queues as JSON.
    pub fn dump(&self) -> Value {
        self.pools.lock().unwrap().dump()
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
        let decided = self.pools.lock().unwrap().finish(end.sequence, end.ended);
        self.in_progress.left();
        self.carry_out(decided);
    }

    fn refresh(&self) {
        let view = self.fleet.view();
        let decided = self.pools.lock().unwrap().refresh(&view);
        self.carry_out(decided);
    }

    fn carry_out(&self, decided: Decided) {
        for waiting in decided.start {
            match waiting.work {
                Work::Pipeline(new) if new.once.is_some() => {
                    self.calls.start_pipeline(new, waiting.responder);
                }
                Work::Pipeline(new) => self.pipelines.start(new, waiting.responder),
                Work::Call(new) => self.calls.start(new, waiting.responder),
            }
        }
        for (waiting, not_run) in decided.refuse {
            self.refuse(waiting, not_run);
        }
    }

    fn refuse(&self, waiting: Waiting, not_run: NotRun) {
        self.in_progress.left();
        self.counters.count(Count::NotRun);
        self.counters.count(match not_run.refusal {
            Refusal::Limit => Count::RefusedLimit,
            Refusal::Deadline => Count::RefusedDeadline,
            Refusal::Cancelled => Count::CallersGone,
            _ => Count::RefusedCapacity,
        });
        Problem::from(not_run).send(waiting.responder);
    }
}

fn cancelled() -> NotRun {
    NotRun::never_sent(Refusal::Cancelled, "the caller went away while it waited")
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.into()).spawn(body).expect("a thread can be started");
}
