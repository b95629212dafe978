//! Admission queue of one pipeline or plain service at an entry.

use crate::clock::Clock;
use crate::id::{Sequence, WorkspaceId};
use crate::process::Queued;
use crate::process::admission::{
    BoundReached, DrainRate, Mean, QueueBounds, Rank, RankedQueue, Window,
};
use crate::request::{NotRun, Refusal};
use crate::version::Class;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest wait that is reported to a caller: the estimate is unreliable beyond it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The classes as ranks.
const URGENT: Rank = 0;
const ROUTINE: Rank = 1;

/// A request that is offered to the queue.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// Number of the request; increases with each arrival.
    pub ticket: Sequence,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// Urgent or routine.
    pub class: Class,
    /// Weight of the workspace for this kind of request.
    pub weight: f64,
    /// Work known before the start, in the unit of the queue, such as prompt tokens.
    pub known_work: f64,
    /// Upper bound of the work beyond `known_work`.
    pub max_extra_work: f64,
    /// Size of its body in bytes.
    pub bytes: u64,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
}

/// The decision on an offered request.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits; [`AdmissionQueue::start_next`] or [`AdmissionQueue::take_dropped`] returns it.
    Wait,
    /// It is refused and not queued.
    Refuse(NotRun),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// It ran, and its work is known.
    Ran {
        /// The work done, in the unit of the queue.
        work: f64,
    },
    /// It ran, and is charged its duration in milliseconds.
    RanFor,
    /// It did not run because no endpoint had free capacity.
    NoCapacity,
    /// It did not run for another reason.
    NotRun,
}

/// A request that was refused after it had waited.
#[derive(Clone, Debug, PartialEq)]
pub struct Dropped {
    /// The request.
    pub ticket: Sequence,
    /// The refusal.
    pub not_run: NotRun,
}

#[derive(Debug)]
struct Running {
    workspace: WorkspaceId,
    class: Class,
    weight: f64,
    known: f64,
    charged: f64,
    since: Instant,
}

/// Admission queue of one pipeline or plain service: urgent requests go before routine ones, and
/// the workspaces within a class share by weight.
#[derive(Debug)]
pub struct AdmissionQueue<C> {
    clock: C,
    window: Window,
    waiting: RankedQueue,
    running: HashMap<Sequence, Running>,
    running_routine: usize,
    dropped: Vec<Dropped>,
    drain: DrainRate,
    mean_extra_work: Mean,
}

impl<C: Clock> AdmissionQueue<C> {
    /// Creates an empty queue; the endpoints take `slots` requests at a time.
    pub fn new(clock: C, slots: usize, bounds: QueueBounds) -> AdmissionQueue<C> {
        let drain = DrainRate::new(clock.now());
        AdmissionQueue {
            clock,
            window: Window::new(slots),
            waiting: RankedQueue::new(bounds),
            running: HashMap::new(),
            running_routine: 0,
            dropped: Vec::new(),
            drain,
            mean_extra_work: Mean::default(),
        }
    }

    /// Sets the number of requests that the endpoints take at a time.
    pub fn set_slots(&mut self, slots: usize) {
        self.window.set_slots(slots);
    }

    /// Returns the limit on running requests and how the classes share it.
    pub fn window(&self) -> Window {
        self.window
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting requests of a class.
    pub fn waiting(&self, class: Class) -> usize {
        self.waiting.rank(rank(class)).len()
    }

    /// Returns the work done per second, estimated from ended requests; `None` before the first.
    pub fn drain_rate(&self) -> Option<f64> {
        self.drain.get(self.clock.now(), self.running.len())
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, demand: Demand) -> Verdict {
        let now = self.clock.now();
        let class = demand.class;
        let starts_now = self.waiting.rank(rank(class)).is_empty() && self.has_capacity(class);
        if !starts_now && let Err(refused) = self.check(&demand, now) {
            return Verdict::Refuse(refused);
        }
        let extra_work = self.expected_extra_work(&demand);
        let queued = Queued {
            ticket: demand.ticket,
            weight: demand.weight,
            known: demand.known_work,
            cost: demand.known_work + extra_work.min(demand.max_extra_work),
            bytes: demand.bytes + QueueBounds::REQUEST_BYTES,
            deadline: demand.deadline,
        };
        self.waiting.rank_mut(rank(class)).push(&demand.workspace, queued);
        if starts_now {
            self.start_from(class, now);
            return Verdict::Start;
        }
        self.enforce_total_bytes(class);
        Verdict::Wait
    }

    /// Starts the next waiting request if the window allows it.
    pub fn start_next(&mut self) -> Option<Sequence> {
        let now = self.clock.now();
        for class in [Class::Urgent, Class::Routine] {
            self.drop_expired(class, now);
            if self.has_capacity(class)
                && let Some(ticket) = self.start_from(class, now)
            {
                return Some(ticket);
            }
        }
        None
    }

    /// Records the end of a started request; returns false if it isn't running.
    pub fn finish(&mut self, ticket: Sequence, ended: Ended) -> bool {
        let now = self.clock.now();
        let Some(running) = self.running.remove(&ticket) else { return false };
        self.running_routine -= usize::from(running.class == Class::Routine);
        let time = now.saturating_duration_since(running.since);
        let work = match ended {
            Ended::Ran { work } => work,
            Ended::RanFor => time.as_secs_f64() * 1e3,
            Ended::NoCapacity | Ended::NotRun => 0.0,
        };
        let queue = self.waiting.rank_mut(rank(running.class));
        queue.finish(&running.workspace, running.weight, work - running.charged);
        match ended {
            Ended::NoCapacity => self.window.refused(),
            Ended::NotRun => {}
            Ended::Ran { .. } | Ended::RanFor => {
                self.window.succeeded();
                self.drain.record(now, work, time);
                let extra_work = (work - running.known).max(0.0);
                self.mean_extra_work.add(extra_work);
                self.waiting
                    .rank_mut(rank(running.class))
                    .record_extra_work(&running.workspace, extra_work);
            }
        }
        true
    }

    /// Removes a waiting request whose caller has gone; returns false if it isn't waiting.
    pub fn cancel(&mut self, ticket: Sequence) -> bool {
        self.waiting.remove(ticket).is_some()
    }

    /// Drops waiting requests that can no longer start before their deadline.
    pub fn expire(&mut self) {
        let now = self.clock.now();
        let Some(rate) = self.drain_rate() else { return };
        for (rank, ticket) in self.waiting.late(rate, now) {
            self.drop_waiting(class(rank), ticket, Refusal::Deadline);
        }
    }

    /// Returns the requests that were dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the expected wait of a request that a workspace sends now.
    pub fn expected_wait(&self, workspace: &str, class: Class, weight: f64) -> Duration {
        self.drain_time(self.waiting.work_ahead(rank(class), workspace, weight))
    }

    /// Returns the expected work beyond the known work: the mean of the workspace, or else the mean
    /// of all. Returns 0 before the first request ends: a charge that is far too high would push
    /// the virtual time far ahead, and the workspace that is refunded would be left far behind it.
    fn expected_extra_work(&self, demand: &Demand) -> f64 {
        let own = self.waiting.rank(rank(demand.class)).mean_extra_work(&demand.workspace);
        own.or(self.mean_extra_work.get()).unwrap_or_default()
    }

    /// Checks a request that has to wait against its deadline and the bounds.
    fn check(&self, demand: &Demand, now: Instant) -> Result<(), NotRun> {
        let wait = self.expected_wait(&demand.workspace, demand.class, demand.weight);
        let left = demand.deadline.saturating_duration_since(now);
        if wait > left {
            let detail = format!(
                "it would wait some {} ms and its deadline is in {} ms",
                wait.as_millis(),
                left.as_millis()
            );
            return Err(refused(Refusal::Deadline, detail, wait - left));
        }
        let bytes = demand.bytes + QueueBounds::REQUEST_BYTES;
        let (refusal, detail) =
            match self.waiting.check_bounds(rank(demand.class), &demand.workspace, bytes) {
                Ok(()) => return Ok(()),
                Err(BoundReached::Workspace) => (
                    Refusal::Limit,
                    "as many requests of this workspace wait as may; send fewer at a time",
                ),
                Err(BoundReached::Total) => {
                    (Refusal::Capacity, "as many requests wait at this entry as may")
                }
            };
        Err(refused(refusal, detail.into(), self.drain_time_with_one_more(demand)))
    }

    /// Drops the newest request of the workspace that holds the most bytes until the class is
    /// within `total_bytes`.
    fn enforce_total_bytes(&mut self, class: Class) {
        while let Some(ticket) = self.waiting.excess(rank(class)) {
            self.drop_waiting(class, ticket, Refusal::Capacity);
        }
    }

    /// Drops the requests at the head of a class whose deadline has passed.
    fn drop_expired(&mut self, class: Class, now: Instant) {
        while let Some(ticket) = self.waiting.expired(rank(class), now) {
            self.drop_waiting(class, ticket, Refusal::Deadline);
        }
    }

    fn drop_waiting(&mut self, class: Class, ticket: Sequence, refusal: Refusal) {
        let Some((_, workspace, queued)) = self.waiting.remove(ticket) else { return };
        let detail = match refusal {
            Refusal::Deadline => "it waited, and can't start before its deadline",
            _ => "this workspace has more waiting than any other, and there is no room",
        };
        let wait = self.expected_wait(&workspace, class, queued.weight);
        let not_run = refused(refusal, detail.into(), wait);
        self.dropped.push(Dropped { ticket, not_run });
    }

    fn start_from(&mut self, class: Class, now: Instant) -> Option<Sequence> {
        let (workspace, queued) = self.waiting.rank_mut(rank(class)).pop()?;
        if self.running.is_empty() {
            self.drain.resume(now);
        }
        self.running_routine += usize::from(class == Class::Routine);
        let Queued { ticket, weight, known, cost, .. } = queued;
        let running = Running { workspace, class, weight, known, charged: cost, since: now };
        self.running.insert(ticket, running);
        Some(ticket)
    }

    fn has_capacity(&self, class: Class) -> bool {
        let (size, running) = (self.window.size(), self.running.len());
        match class {
            Class::Urgent if self.waiting.rank(ROUTINE).is_empty() => running < size,
            Class::Urgent => {
                let left = self.window.routine_minimum().saturating_sub(self.running_routine);
                running + left < size
            }
            Class::Routine => running < size && self.running_routine + self.window.reserve() < size,
        }
    }

    /// Returns the time to drain an amount of work, at most [`MAX_RETRY_AFTER`].
    fn drain_time(&self, work: f64) -> Duration {
        match self.drain_rate() {
            _ if work <= 0.0 => Duration::ZERO,
            None => Duration::ZERO,
            Some(rate) if work >= rate * MAX_RETRY_AFTER.as_secs_f64() => MAX_RETRY_AFTER,
            Some(rate) => Duration::from_secs_f64(work / rate),
        }
    }

    /// Returns the time until one more request of the workspace will have left the queue.
    fn drain_time_with_one_more(&self, demand: &Demand) -> Duration {
        let one = self.drain.mean_work().unwrap_or_default();
        let rank = rank(demand.class);
        let ahead = self.waiting.rank(rank).ahead_of(demand.weight, one);
        self.drain_time(self.waiting.work_of_higher_ranks(rank) + ahead)
    }
}

fn rank(class: Class) -> Rank {
    match class {
        Class::Urgent => URGENT,
        Class::Routine => ROUTINE,
    }
}

fn class(rank: Rank) -> Class {
    match rank {
        URGENT => Class::Urgent,
        _ => Class::Routine,
    }
}

fn refused(refusal: Refusal, detail: String, wait: Duration) -> NotRun {
    NotRun::never_sent(refusal, detail).with_retry_after(wait.min(MAX_RETRY_AFTER))
}
