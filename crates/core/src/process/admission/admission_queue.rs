//! Admission queue of one pipeline or plain service at an entry.

use crate::clock::Clock;
use crate::id::{Sequence, WorkspaceId};
use crate::process::admission::{DrainRate, Mean, QueueBounds, Window};
use crate::process::{FairQueue, Queued};
use crate::request::{NotRun, Refusal};
use crate::version::Class;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Longest wait that is reported to a caller: the estimate is unreliable beyond it.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// A waiting request is dropped early only if its expected wait exceeds the time to its deadline
/// by this factor, so that noise in the estimate doesn't drop it.
const DROP_MARGIN: f64 = 1.25;

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

/// Queue of one class, and how many of its requests run.
#[derive(Debug)]
struct ClassQueue {
    queue: FairQueue,
    running: usize,
}

/// Admission queue of one pipeline or plain service: urgent requests go before routine ones, and
/// the workspaces within a class share by weight.
#[derive(Debug)]
pub struct AdmissionQueue<C> {
    clock: C,
    window: Window,
    bounds: QueueBounds,
    urgent: ClassQueue,
    routine: ClassQueue,
    running: HashMap<Sequence, Running>,
    dropped: Vec<Dropped>,
    drain: DrainRate,
    mean_extra_work: Mean,
}

impl<C: Clock> AdmissionQueue<C> {
    /// Creates an empty queue; the endpoints take `slots` requests at a time.
    pub fn new(clock: C, slots: usize, bounds: QueueBounds) -> AdmissionQueue<C> {
        let class_queue = || ClassQueue { queue: FairQueue::new(), running: 0 };
        let drain = DrainRate::new(clock.now());
        AdmissionQueue {
            clock,
            window: Window::new(slots),
            bounds,
            urgent: class_queue(),
            routine: class_queue(),
            running: HashMap::new(),
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
        self.class_queue(class).queue.len()
    }

    /// Returns the work done per second, estimated from ended requests; `None` before the first.
    pub fn drain_rate(&self) -> Option<f64> {
        self.drain.get(self.clock.now(), self.running.len())
    }

    /// Starts, queues or refuses a request.
    pub fn offer(&mut self, demand: Demand) -> Verdict {
        let now = self.clock.now();
        let class = demand.class;
        let starts_now = self.class_queue(class).queue.is_empty() && self.has_capacity(class);
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
        self.class_queue_mut(class).queue.push(&demand.workspace, queued);
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
        let class_queue = self.class_queue_mut(running.class);
        class_queue.running -= 1;
        let time = now.saturating_duration_since(running.since);
        let work = match ended {
            Ended::Ran { work } => work,
            Ended::RanFor => time.as_secs_f64() * 1e3,
            Ended::NoCapacity | Ended::NotRun => 0.0,
        };
        class_queue.queue.finish(&running.workspace, running.weight, work - running.charged);
        match ended {
            Ended::NoCapacity => self.window.refused(),
            Ended::NotRun => {}
            Ended::Ran { .. } | Ended::RanFor => {
                self.window.succeeded();
                self.drain.record(now, work, time);
                let extra_work = (work - running.known).max(0.0);
                self.mean_extra_work.add(extra_work);
                self.class_queue_mut(running.class)
                    .queue
                    .record_extra_work(&running.workspace, extra_work);
            }
        }
        true
    }

    /// Removes a waiting request whose caller has gone; returns false if it isn't waiting.
    pub fn cancel(&mut self, ticket: Sequence) -> bool {
        let urgent = self.urgent.queue.remove(ticket);
        urgent.or_else(|| self.routine.queue.remove(ticket)).is_some()
    }

    /// Drops waiting requests that can no longer start before their deadline.
    pub fn expire(&mut self) {
        let now = self.clock.now();
        let Some(rate) = self.drain_rate() else { return };
        for class in [Class::Urgent, Class::Routine] {
            let before = self.work_of_higher_classes(class);
            let queue = &self.class_queue(class).queue;
            let late = queue.waiting().filter(|(_, queued, own)| {
                let left = queued.deadline.saturating_duration_since(now);
                let ahead = before + queue.ahead_of(queued.weight, *own);
                ahead / rate > left.as_secs_f64() * DROP_MARGIN
            });
            let late: Vec<Sequence> = late.map(|(_, queued, _)| queued.ticket).collect();
            late.into_iter().for_each(|ticket| self.drop_waiting(class, ticket, Refusal::Deadline));
        }
    }

    /// Returns the requests that were dropped since the last call.
    pub fn take_dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }

    /// Returns the expected wait of a request that a workspace sends now.
    pub fn expected_wait(&self, workspace: &str, class: Class, weight: f64) -> Duration {
        let ahead = self.work_of_higher_classes(class)
            + self.class_queue(class).queue.work_ahead(workspace, weight);
        self.drain_time(ahead)
    }

    /// Returns the expected work beyond the known work: the mean of the workspace, or else the mean
    /// of all. Returns 0 before the first request ends: a charge that is far too high would push
    /// the virtual time far ahead, and the workspace that is refunded would be left far behind it.
    fn expected_extra_work(&self, demand: &Demand) -> f64 {
        let own = self.class_queue(demand.class).queue.mean_extra_work(&demand.workspace);
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
        let queue = &self.class_queue(demand.class).queue;
        let own = queue.bytes_of(&demand.workspace);
        let bytes = demand.bytes + QueueBounds::REQUEST_BYTES;
        if own + bytes > self.bounds.workspace_bytes {
            let detail = "as many requests of this workspace wait as may; send fewer at a time";
            return Err(refused(
                Refusal::Limit,
                detail.into(),
                self.drain_time_with_one_more(demand),
            ));
        }
        let largest = queue.largest().map_or(0, |(_, bytes)| bytes);
        if queue.bytes() + bytes > self.bounds.total_bytes && own + bytes >= largest {
            let detail = "as many requests wait at this entry as may";
            return Err(refused(
                Refusal::Capacity,
                detail.into(),
                self.drain_time_with_one_more(demand),
            ));
        }
        Ok(())
    }

    /// Drops the newest request of the workspace that holds the most bytes until the class is
    /// within `total_bytes`.
    fn enforce_total_bytes(&mut self, class: Class) {
        while self.class_queue(class).queue.bytes() > self.bounds.total_bytes {
            let queue = &self.class_queue(class).queue;
            let newest = queue.largest().and_then(|(workspace, _)| queue.newest_of(workspace));
            let Some(ticket) = newest else { return };
            self.drop_waiting(class, ticket, Refusal::Capacity);
        }
    }

    /// Drops the requests at the head of a class whose deadline has passed.
    fn drop_expired(&mut self, class: Class, now: Instant) {
        while let Some(queued) = self.class_queue(class).queue.peek() {
            if queued.deadline > now {
                return;
            }
            let ticket = queued.ticket;
            self.drop_waiting(class, ticket, Refusal::Deadline);
        }
    }

    fn drop_waiting(&mut self, class: Class, ticket: Sequence, refusal: Refusal) {
        let Some((workspace, queued)) = self.class_queue_mut(class).queue.remove(ticket) else {
            return;
        };
        let detail = match refusal {
            Refusal::Deadline => "it waited, and can't start before its deadline",
            _ => "this workspace has more waiting than any other, and there is no room",
        };
        let wait = self.expected_wait(&workspace, class, queued.weight);
        let not_run = refused(refusal, detail.into(), wait);
        self.dropped.push(Dropped { ticket, not_run });
    }

    fn start_from(&mut self, class: Class, now: Instant) -> Option<Sequence> {
        let (workspace, queued) = self.class_queue_mut(class).queue.pop()?;
        if self.running.is_empty() {
            self.drain.resume(now);
        }
        let class_queue = self.class_queue_mut(class);
        class_queue.running += 1;
        let Queued { ticket, weight, known, cost, .. } = queued;
        let running = Running { workspace, class, weight, known, charged: cost, since: now };
        self.running.insert(ticket, running);
        Some(ticket)
    }

    fn has_capacity(&self, class: Class) -> bool {
        let (size, running) = (self.window.size(), self.running.len());
        match class {
            Class::Urgent if self.routine.queue.is_empty() => running < size,
            Class::Urgent => {
                let left = self.window.routine_minimum().saturating_sub(self.routine.running);
                running + left < size
            }
            Class::Routine => running < size && self.routine.running + self.window.reserve() < size,
        }
    }

    /// Returns the waiting work that goes before every request of this class.
    fn work_of_higher_classes(&self, class: Class) -> f64 {
        match class {
            Class::Urgent => 0.0,
            Class::Routine => self.urgent.queue.backlog(),
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
        let ahead = self.class_queue(demand.class).queue.ahead_of(demand.weight, one);
        self.drain_time(self.work_of_higher_classes(demand.class) + ahead)
    }

    fn class_queue(&self, class: Class) -> &ClassQueue {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Routine => &mut self.routine,
        }
    }
}

fn refused(refusal: Refusal, detail: String, wait: Duration) -> NotRun {
    NotRun::never_sent(refusal, detail).with_retry_after(wait.min(MAX_RETRY_AFTER))
}
