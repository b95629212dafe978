//! Tests of the admission queue: classes, shares, bounds and deadlines.

use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::admission::{AdmissionQueue, Demand, Ended, QueueBounds, Verdict};
use sorrellock_core::request::Refusal;
use sorrellock_core::version::Class;
use std::time::Duration;

const WORK: f64 = 100.0;

struct Fixture {
    clock: ManualClock,
    queue: AdmissionQueue<ManualClock>,
    tickets: u64,
}

impl Fixture {
    fn new(slots: usize) -> Fixture {
        Fixture::with_bounds(slots, QueueBounds::new())
    }

    fn with_bounds(slots: usize, bounds: QueueBounds) -> Fixture {
        let clock = ManualClock::new();
        let queue = AdmissionQueue::new(clock.clone(), slots, bounds);
        Fixture { clock, queue, tickets: 0 }
    }

    fn demand(&mut self, workspace: &str, class: Class) -> Demand {
        self.tickets += 1;
        Demand {
            ticket: self.tickets,
            workspace: workspace.into(),
            class,
            weight: 1.0,
            known_work: WORK,
            max_extra_work: 0.0,
            bytes: 0,
            deadline: self.clock.now() + Duration::from_secs(60),
        }
    }

    fn offer(&mut self, workspace: &str, class: Class) -> Verdict {
        let demand = self.demand(workspace, class);
        self.queue.offer(demand)
    }

    fn offer_within(&mut self, workspace: &str, deadline: Duration) -> Verdict {
        let mut demand = self.demand(workspace, Class::Routine);
        demand.deadline = self.clock.now() + deadline;
        self.queue.offer(demand)
    }

    /// Ends a request after some time and starts the next.
    fn end_after(&mut self, ticket: u64, time: Duration) -> Option<u64> {
        self.clock.advance(time);
        assert!(self.queue.finish(ticket, Ended::Ran { work: WORK }));
        self.queue.start_next()
    }
}

#[test]
fn routine_work_leaves_the_reserve_to_urgent_work() {
    let mut fixture = Fixture::new(16);

    let routine: Vec<Verdict> = (0..20).map(|_| fixture.offer("a", Class::Routine)).collect();
    let urgent = [fixture.offer("b", Class::Urgent), fixture.offer("b", Class::Urgent)];

    assert_eq!(routine.iter().filter(|verdict| **verdict == Verdict::Start).count(), 14);
    assert_eq!(urgent, [Verdict::Start, Verdict::Start]);
    assert_eq!(fixture.queue.running(), 16);
}

#[test]
fn urgent_work_leaves_a_part_to_routine_work_that_waits() {
    let mut fixture = Fixture::new(16);
    (0..20).for_each(|_| drop(fixture.offer("a", Class::Urgent)));
    let routine = fixture.demand("b", Class::Routine);
    let ticket = routine.ticket;

    let verdict = fixture.queue.offer(routine);
    let started = fixture.end_after(1, Duration::from_millis(10));

    assert_eq!(verdict, Verdict::Wait);
    assert_eq!(started, Some(ticket));
}

#[test]
fn urgent_work_starts_before_routine_work_that_came_first() {
    let mut fixture = Fixture::new(2);
    fixture.offer("a", Class::Urgent);
    fixture.offer("a", Class::Urgent);
    fixture.offer("b", Class::Routine);
    let urgent = fixture.demand("c", Class::Urgent);
    let ticket = urgent.ticket;

    fixture.queue.offer(urgent);
    let started = fixture.end_after(1, Duration::from_millis(10));

    assert_eq!(started, Some(ticket));
}

#[test]
fn a_flood_is_refused_at_the_bound_of_its_workspace_only() {
    let bounds = QueueBounds::new().with_requests(10, 1000);
    let mut fixture = Fixture::with_bounds(1, bounds);

    let flood: Vec<Verdict> = (0..100).map(|_| fixture.offer("flood", Class::Routine)).collect();
    let other: Vec<Verdict> = (0..10).map(|_| fixture.offer("other", Class::Routine)).collect();

    let refused = flood.iter().filter(|verdict| matches!(verdict, Verdict::Refuse(_))).count();
    assert_eq!(refused, 89);
    assert!(other.iter().all(|verdict| *verdict == Verdict::Wait));
}

#[test]
fn where_all_is_full_the_largest_workspace_makes_room() {
    let bounds = QueueBounds::new().with_requests(10, 20);
    let mut fixture = Fixture::with_bounds(1, bounds);
    (0..11).for_each(|_| drop(fixture.offer("a", Class::Routine)));
    (0..10).for_each(|_| drop(fixture.offer("b", Class::Routine)));

    let other = fixture.offer("other", Class::Routine);
    let dropped = fixture.queue.take_dropped();

    assert_eq!(other, Verdict::Wait);
    assert_eq!(dropped.len(), 1);
    assert_eq!(dropped[0].ticket, 21, "the newest of the larger ones");
}

#[test]
fn a_deadline_that_can_not_be_met_is_refused_with_the_time_to_come_back() {
    let mut fixture = Fixture::new(1);
    fixture.offer("a", Class::Routine);
    (0..10).for_each(|_| drop(fixture.offer("a", Class::Routine)));
    for ticket in 1..=5 {
        fixture.end_after(ticket, Duration::from_millis(200));
    }

    let soon = fixture.offer_within("a", Duration::from_millis(400));
    let later = fixture.offer_within("a", Duration::from_secs(10));

    let Verdict::Refuse(refused) = soon else { panic!("{soon:?}") };
    assert_eq!(refused.refusal, Refusal::Deadline);
    assert!(refused.retry_after > Duration::from_millis(400), "{:?}", refused.retry_after);
    assert!(refused.retry_after < Duration::from_millis(1200), "{:?}", refused.retry_after);
    assert_eq!(later, Verdict::Wait);
}

#[test]
fn what_waits_is_dropped_once_the_drain_rate_falls() {
    let mut fixture = Fixture::new(1);
    (0..6).for_each(|_| drop(fixture.offer_within("a", Duration::from_secs(10))));
    fixture.end_after(1, Duration::from_millis(200));

    fixture.clock.advance(Duration::from_secs(9));
    fixture.queue.expire();
    let dropped = fixture.queue.take_dropped();

    assert!(!dropped.is_empty());
    assert!(dropped.iter().all(|dropped| dropped.not_run.refusal == Refusal::Deadline));
}

#[test]
fn a_cancelled_request_never_starts() {
    let mut fixture = Fixture::new(1);
    fixture.offer("a", Class::Routine);
    fixture.offer("a", Class::Routine);
    fixture.offer("a", Class::Routine);

    let cancelled = fixture.queue.cancel(2);
    let started = fixture.end_after(1, Duration::from_millis(1));

    assert!(cancelled);
    assert_eq!(started, Some(3));
    assert_eq!(fixture.queue.waiting(Class::Routine), 0);
}

#[test]
fn refusals_for_want_of_room_narrow_the_window_and_successes_widen_it() {
    let mut fixture = Fixture::new(100);
    fixture.offer("a", Class::Routine);
    fixture.queue.finish(1, Ended::NoCapacity);
    let narrow = fixture.queue.window().size();

    for ticket in 2..1000 {
        fixture.offer("a", Class::Routine);
        fixture.queue.finish(ticket, Ended::Ran { work: WORK });
    }

    assert_eq!(narrow, 90);
    assert!(fixture.queue.window().size() >= 99);
}

#[test]
fn an_idle_time_is_no_sign_of_slow_endpoints() {
    let mut fixture = Fixture::new(1);
    fixture.offer("a", Class::Routine);
    fixture.end_after(1, Duration::from_millis(100));
    fixture.clock.advance(Duration::from_secs(600));

    fixture.offer("a", Class::Routine);
    fixture.offer("a", Class::Routine);
    let verdict = fixture.offer_within("a", Duration::from_secs(1));

    assert_eq!(verdict, Verdict::Wait);
}
