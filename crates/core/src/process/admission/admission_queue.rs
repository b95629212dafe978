//! The admission of one pipeline or plain service at an entry.

use crate::clock::Clock;
use crate::id::{Sequence, WorkspaceId};
use crate::process::admission::{DrainRate, Mean, QueueBounds, Window};
use crate::process::{FairQueue, Queued};
use crate::request::{NotRun, Refusal};
use crate::version::Class;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The longest wait that is ever told: past it, the estimate is worth little.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);
/// A request that was let in to wait is dropped early only if its expected wait passes the time
/// left this many times, so that it isn't thrown out for a flutter of the estimate.
const DROP_MARGIN: f64 = 1.25;

/// A request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// The request; rises with each arrival.
    pub ticket: Sequence,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// Its class.
    pub class: Class,
    /// Share of the workspace for this kind of request.
    pub weight: f64,
    /// Work that is known beforehand, in the unit of the queue, such as tokens of the prompt.
    pub known_work: f64,
    /// The most work that may come on top.
    pub max_extra_work: f64,
    /// What its body holds, in bytes.
    pub bytes: u64,
    /// When the caller no longer needs it.
    pub deadline: Instant,
}

/// What becomes of a request that asks to start.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// It starts now.
    Start,
    /// It waits; [`AdmissionQueue::start_next`] or [`AdmissionQueue::take_dropped`] will name it.
    Wait,
    /// It is refused, for good.
    Refuse(NotRun),
}

/// How a started request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ended {
    /// It ran, and this work was done for it, in the unit of the queue.
    Ran {
        /// The work.
        work: f64,
    },
    /// It ran, and is charged by the time that it took, in milliseconds.
    RanFor,
    /// It did not run, as no endpoint had room.
    NoCapacity,
    /// It did not run, for another reason.
    NotRun,
}

/// A request that waited and was refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Dropped {
    /// The request.
    pub ticket: Sequence,
    /// Why.
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

/// Requests of one class.
#[derive(Debug)]
struct Line {
    queue: FairQueue,
    running: usize,
}

/// The admission of one pipeline or plain service: urgent before routine, workspaces by weight.
#[derive(Debug)]
pub struct AdmissionQueue<C> {
    clock: C,
    window: Window,
    bounds: QueueBounds,
    urgent: Line,
    routine: Line,
    running: HashMap<Sequence, Running>,
    dropped: Vec<Dropped>,
    drain: DrainRate,
    mean_made: Mean,
}

impl<C: Clock> AdmissionQueue<C> {
    /// Nothing waits, and `slots` requests may run at a time.
    pub fn new(clock: C, slots: usize, bounds: QueueBounds) -> AdmissionQueue<C> {
        let line = || Line { queue: FairQueue::new(), running: 0 };
        let drain = DrainRate::new(clock.now());
        AdmissionQueue {
            clock,
            window: Window::new(slots),
            bounds,
            urgent: line(),
            routine: line(),
            running: HashMap::new(),
            dropped: Vec::new(),
            drain,
            mean_made: Mean::default(),
        }
    }

    /// The endpoints now take `slots` requests at a time.
    pub fn set_slots(&mut self, slots: usize) {
        self.window.set_slots(slots);
    }

    /// How many may run at a time, and how it is split.
    pub fn window(&self) -> Window {
        self.window
    }

    /// How many run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// How many of a class wait.
    pub fn waiting(&self, class: Class) -> usize {
        self.line(class).queue.len()
    }

    /// Work a second, by what the requests took that ended; nothing is known before the first.
    pub fn drain_rate(&self) -> Option<f64> {
        self.drain.get(self.clock.now(), self.running.len())
    }

    /// A request asks to start.
    pub fn offer(&mut self, demand: Demand) -> Verdict {
        let now = self.clock.now();
        let class = demand.class;
        let at_once = self.line(class).queue.is_empty() && self.has_room(class);
        if !at_once && let Err(refused) = self.check(&demand, now) {
            return Verdict::Refuse(refused);
        }
        let made = self.expected_made(&demand);
        let queued = Queued {
            ticket: demand.ticket,
            weight: demand.weight,
            known: demand.known_work,
            cost: demand.known_work + made.min(demand.max_extra_work),
            bytes: demand.bytes + QueueBounds::REQUEST_BYTES,
            deadline: demand.deadline,
        };
        self.line_mut(class).queue.push(&demand.workspace, queued);
        if at_once {
            self.start_from(class, now);
            return Verdict::Start;
        }
        self.make_room(class);
        Verdict::Wait
    }

    /// Starts a waiting request, if there is room.
    pub fn start_next(&mut self) -> Option<Sequence> {
        let now = self.clock.now();
        for class in [Class::Urgent, Class::Routine] {
            self.drop_late(class, now);
            if self.has_room(class)
                && let Some(ticket) = self.start_from(class, now)
            {
                return Some(ticket);
            }
        }
        None
    }

    /// A started request ended; false if it isn't one of these.
    pub fn finish(&mut self, ticket: Sequence, ended: Ended) -> bool {
        let now = self.clock.now();
        let Some(running) = self.running.remove(&ticket) else { return false };
        let line = self.line_mut(running.class);
        line.running -= 1;
        let time = now.saturating_duration_since(running.since);
        let work = match ended {
            Ended::Ran { work } => work,
            Ended::RanFor => time.as_secs_f64() * 1e3,
            Ended::NoCapacity | Ended::NotRun => 0.0,
        };
        line.queue.finish(&running.workspace, running.weight, work - running.charged);
        match ended {
            Ended::NoCapacity => self.window.refused(),
            Ended::NotRun => {}
            Ended::Ran { .. } | Ended::RanFor => {
                self.window.succeeded();
                self.drain.ended(now, work, time);
                let made = (work - running.known).max(0.0);
                self.mean_made.add(made);
                self.line_mut(running.class).queue.learn_made(&running.workspace, made);
            }
        }
        true
    }

    /// Nobody waits for a request any more; false if it isn't waiting here.
    pub fn cancel(&mut self, ticket: Sequence) -> bool {
        let urgent = self.urgent.queue.remove(ticket);
        urgent.or_else(|| self.routine.queue.remove(ticket)).is_some()
    }

    /// Drops waiting requests that can't start before their deadline any more.
    pub fn expire(&mut self) {
        let now = self.clock.now();
        let Some(rate) = self.drain_rate() else { return };
        for class in [Class::Urgent, Class::Routine] {
            let before = self.work_before(class);
            let queue = &self.line(class).queue;
            let late = queue.waiting().filter(|(_, queued, own)| {
                let left = queued.deadline.saturating_duration_since(now);
                let ahead = before + queue.ahead_of(queued.weight, *own);
                ahead / rate > left.as_secs_f64() * DROP_MARGIN
            });
            let late: Vec<Sequence> = late.map(|(_, queued, _)| queued.ticket).collect();
            late.into_iter().for_each(|ticket| self.drop_waiting(class, ticket, Refusal::Deadline));
        }
    }

    /// Requests that waited and were refused since the last call.
    pub fn take_dropped(&mut self) -> Vec<Dropped> {
        std::mem::take(&mut self.dropped)
    }

    /// How long a request of a workspace would wait now.
    pub fn expected_wait(&self, workspace: &str, class: Class, weight: f64) -> Duration {
        let ahead = self.work_before(class) + self.line(class).queue.work_ahead(workspace, weight);
        self.time_for(ahead)
    }

    /// By what requests of the workspace came to, or of all. Nothing is assumed before the first
    /// ended: a charge that is far too high would carry the virtual time far ahead, and leave who
    /// gets it back far behind.
    fn expected_made(&self, demand: &Demand) -> f64 {
        let own = self.line(demand.class).queue.mean_made(&demand.workspace);
        own.or(self.mean_made.get()).unwrap_or_default()
    }

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
        let queue = &self.line(demand.class).queue;
        let own = queue.bytes_of(&demand.workspace);
        let bytes = demand.bytes + QueueBounds::REQUEST_BYTES;
        if own + bytes > self.bounds.workspace_bytes {
            let detail = "as many requests of this workspace wait as may; send fewer at a time";
            return Err(refused(Refusal::Limit, detail.into(), self.time_for_one(demand)));
        }
        let largest = queue.largest().map_or(0, |(_, bytes)| bytes);
        if queue.bytes() + bytes > self.bounds.total_bytes && own + bytes >= largest {
            let detail = "as many requests wait at this entry as may";
            return Err(refused(Refusal::Capacity, detail.into(), self.time_for_one(demand)));
        }
        Ok(())
    }

    /// While all together hold too much, the workspace that holds most loses its newest.
    fn make_room(&mut self, class: Class) {
        while self.line(class).queue.bytes() > self.bounds.total_bytes {
            let queue = &self.line(class).queue;
            let newest = queue.largest().and_then(|(workspace, _)| queue.newest_of(workspace));
            let Some(ticket) = newest else { return };
            self.drop_waiting(class, ticket, Refusal::Capacity);
        }
    }

    fn drop_late(&mut self, class: Class, now: Instant) {
        while let Some(queued) = self.line(class).queue.peek() {
            if queued.deadline > now {
                return;
            }
            let ticket = queued.ticket;
            self.drop_waiting(class, ticket, Refusal::Deadline);
        }
    }

    fn drop_waiting(&mut self, class: Class, ticket: Sequence, refusal: Refusal) {
        let Some((workspace, queued)) = self.line_mut(class).queue.remove(ticket) else { return };
        let detail = match refusal {
            Refusal::Deadline => "it waited, and can't start before its deadline",
            _ => "this workspace has more waiting than any other, and there is no room",
        };
        let wait = self.expected_wait(&workspace, class, queued.weight);
        let not_run = refused(refusal, detail.into(), wait);
        self.dropped.push(Dropped { ticket, not_run });
    }

    fn start_from(&mut self, class: Class, now: Instant) -> Option<Sequence> {
        let (workspace, queued) = self.line_mut(class).queue.pop()?;
        if self.running.is_empty() {
            self.drain.begin(now);
        }
        let line = self.line_mut(class);
        line.running += 1;
        let Queued { ticket, weight, known, cost, .. } = queued;
        let running = Running { workspace, class, weight, known, charged: cost, since: now };
        self.running.insert(ticket, running);
        Some(ticket)
    }

    fn has_room(&self, class: Class) -> bool {
        let (size, running) = (self.window.size(), self.running.len());
        match class {
            Class::Urgent if self.routine.queue.is_empty() => running < size,
            Class::Urgent => {
                let left = self.window.routine_part().saturating_sub(self.routine.running);
                running + left < size
            }
            Class::Routine => running < size && self.routine.running + self.window.reserve() < size,
        }
    }

    /// Work of other classes that goes before any of this class.
    fn work_before(&self, class: Class) -> f64 {
        match class {
            Class::Urgent => 0.0,
            Class::Routine => self.urgent.queue.backlog(),
        }
    }

    fn time_for(&self, work: f64) -> Duration {
        match self.drain_rate() {
            _ if work <= 0.0 => Duration::ZERO,
            None => Duration::ZERO,
            Some(rate) if work >= rate * MAX_RETRY_AFTER.as_secs_f64() => MAX_RETRY_AFTER,
            Some(rate) => Duration::from_secs_f64(work / rate),
        }
    }

    /// When one more request of the workspace will have left the queue.
    fn time_for_one(&self, demand: &Demand) -> Duration {
        let one = self.drain.mean_work().unwrap_or_default();
        let ahead = self.line(demand.class).queue.ahead_of(demand.weight, one);
        self.time_for(self.work_before(demand.class) + ahead)
    }

    fn line(&self, class: Class) -> &Line {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    fn line_mut(&mut self, class: Class) -> &mut Line {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Routine => &mut self.routine,
        }
    }
}

fn refused(refusal: Refusal, detail: String, wait: Duration) -> NotRun {
    NotRun::never_sent(refusal, detail).with_retry_after(wait.min(MAX_RETRY_AFTER))
}
