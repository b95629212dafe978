//! The admission queues of an entry, one per pool, and the requests that wait in them.

use super::{PoolId, Work};
use crate::entry::version::FleetView;
use serde_json::{Value, json};
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::Sequence;
use sorrellock_core::process::admission::{AdmissionQueue, Demand, Ended, QueueBounds, Verdict};
use sorrellock_core::request::NotRun;
use sorrellock_core::version::Class;
use sorrellock_http::Responder;
use std::collections::HashMap;

type Queue = AdmissionQueue<SystemClock>;

/// A waiting request with its caller's responder.
pub(super) struct Waiting {
    pub pool: PoolId,
    pub work: Work,
    pub responder: Responder,
}

/// Decisions of the queues: requests to start and requests to refuse.
#[derive(Default)]
pub(super) struct Decisions {
    pub start: Vec<Waiting>,
    pub refuse: Vec<(Waiting, NotRun)>,
}

/// The admission queues of an entry. The number of pipelines and services that callers may call bounds their number.
pub(super) struct Pools {
    bounds: QueueBounds,
    queues: HashMap<PoolId, Queue>,
    waiting: HashMap<Sequence, Waiting>,
    running: HashMap<Sequence, PoolId>,
}

impl Pools {
    pub fn new(bounds: QueueBounds) -> Pools {
        let (queues, waiting, running) = Default::default();
        Pools { bounds, queues, waiting, running }
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, waiting: Waiting, demand: Demand, fleet: &FleetView) -> Decisions {
        let (pool, ticket) = (waiting.pool.clone(), demand.ticket);
        let mut decisions = Decisions::default();
        match self.queue(&pool, fleet).offer(demand) {
            Verdict::Start => {
                self.running.insert(ticket, pool);
                decisions.start.push(waiting);
            }
            Verdict::Wait => {
                self.waiting.insert(ticket, waiting);
                self.collect(&pool, &mut decisions);
            }
            Verdict::Refuse(not_run) => decisions.refuse.push((waiting, not_run)),
        }
        decisions
    }

    /// Handles the end of a started request: others may start.
    pub fn finish(&mut self, ticket: Sequence, ended: Ended) -> Decisions {
        let mut decisions = Decisions::default();
        let Some(pool) = self.running.remove(&ticket) else { return decisions };
        if let Some(queue) = self.queues.get_mut(&pool) {
            queue.finish(ticket, ended);
        }
        self.collect(&pool, &mut decisions);
        decisions
    }

    /// Removes and returns a waiting request.
    pub fn cancel(&mut self, ticket: Sequence) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        if let Some(queue) = self.queues.get_mut(&waiting.pool) {
            queue.cancel(ticket);
        }
        Some(waiting)
    }

    /// Adapts the windows to the fleet and drops requests that can no longer start in time.
    pub fn refresh(&mut self, fleet: &FleetView) -> Decisions {
        let mut decisions = Decisions::default();
        let pools: Vec<PoolId> = self.queues.keys().cloned().collect();
        for pool in pools {
            let queue = self.queue(&pool, fleet);
            queue.set_slots(slots(&pool, fleet));
            queue.expire();
            self.collect(&pool, &mut decisions);
        }
        decisions
    }

    /// Returns the state of each queue as JSON.
    pub fn dump(&self) -> Value {
        let queue = |(pool, queue): (&PoolId, &Queue)| {
            let state = json!({
                "window": queue.window().size(),
                "reserve": queue.window().reserve(),
                "running": queue.running(),
                "urgent_waiting": queue.waiting(Class::Urgent),
                "routine_waiting": queue.waiting(Class::Routine),
                "drain_rate": queue.drain_rate(),
            });
            (pool.name(), state)
        };
        Value::Object(self.queues.iter().map(queue).collect())
    }

    fn queue(&mut self, pool: &PoolId, fleet: &FleetView) -> &mut Queue {
        let bounds = self.bounds;
        let new = || AdmissionQueue::new(SystemClock, slots(pool, fleet), bounds);
        self.queues.entry(pool.clone()).or_insert_with(new)
    }

    /// Moves the requests that a queue starts or dropped into `decisions`.
    fn collect(&mut self, pool: &PoolId, decisions: &mut Decisions) {
        let Some(queue) = self.queues.get_mut(pool) else { return };
        while let Some(ticket) = queue.start_next() {
            self.running.insert(ticket, pool.clone());
            decisions.start.extend(self.waiting.remove(&ticket));
        }
        for dropped in queue.take_dropped() {
            let waiting = self.waiting.remove(&dropped.ticket);
            decisions.refuse.extend(waiting.map(|waiting| (waiting, dropped.not_run)));
        }
    }
}

/// Returns this entry's share of the pool's slots, rounded up.
fn slots(pool: &PoolId, fleet: &FleetView) -> usize {
    let all = fleet.slots(|role| pool.is_served_by(role));
    all.div_ceil(fleet.other_entries() + 1)
}
