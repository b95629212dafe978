//! Incarnations of endpoints: which updates are new, which are late, and which only the endpoint itself can
//! settle.

mod common;

use quickcheck::{Arbitrary, Gen, quickcheck};
use sorrellock_routing::process::{
    AnswerUpdate, EntryUpdate, Incarnation, Incarnations, Revision, StartMillis,
};
use std::time::{Duration, Instant};

const ID: &str = "engine-1";
/// Starts of three incarnations. The clock stepped back before the second: starts have no order.
const X: StartMillis = 1_790_000_000_500;
const Y: StartMillis = 1_790_000_000_100;
const Z: StartMillis = 1_790_000_000_900;

/// Returns a revision of the store's first era.
fn rev(count: u64) -> Revision {
    Revision::new(0, count)
}

fn incarnation(started: StartMillis) -> Incarnation {
    Incarnation::new(ID, Some(started))
}

/// Returns the instants at so many ms after the test's start.
fn clock() -> impl Fn(u64) -> Instant {
    let began = Instant::now();
    move |ms| began + Duration::from_millis(ms)
}

/// Returns incarnations of which the first entry was read at 100 ms.
fn incarnations_of(first: StartMillis, at: &impl Fn(u64) -> Instant) -> Incarnations {
    let mut incarnations = Incarnations::default();
    incarnations.on_entry(&incarnation(first), rev(100), at(100));
    incarnations
}

#[test]
fn an_entry_of_another_incarnation_ends_the_previous_one_whatever_its_start() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    let update = incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    assert_eq!(update, EntryUpdate::Began { ended: incarnation(X) });
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
    assert!(incarnations.has_ended(&incarnation(X)));
}

#[test]
fn an_entry_that_is_replayed_changes_nothing() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    let update = incarnations.on_entry(&incarnation(X), rev(100), at(300));

    assert_eq!(update, EntryUpdate::Late);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn an_entry_that_the_previous_incarnation_wrote_late_changes_nothing() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    let late = incarnations.on_entry(&incarnation(X), rev(117), at(300));
    let own = incarnations.on_entry(&incarnation(Y), rev(118), at(400));

    assert_eq!(late, EntryUpdate::Contradicts);
    assert_eq!(own, EntryUpdate::Present);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn an_incarnation_that_a_late_entry_ended_is_present_again_once_it_answers() {
    let at = clock();
    let mut incarnations = incarnations_of(Y, &at);
    incarnations.on_entry(&incarnation(X), rev(117), at(200));

    let entry = incarnations.on_entry(&incarnation(Y), rev(118), at(300));
    let answer = incarnations.on_answer(ID, Some(Y), at(301), at(305));
    let late = incarnations.on_entry(&incarnation(X), rev(119), at(400));

    assert_eq!(entry, EntryUpdate::Contradicts);
    assert_eq!(answer, AnswerUpdate::Began { ended: incarnation(X) });
    assert_eq!(late, EntryUpdate::Late);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
    assert!(!incarnations.has_ended(&incarnation(Y)));
}

#[test]
fn without_an_answer_the_second_contradicting_entry_is_accepted() {
    let at = clock();
    let mut incarnations = incarnations_of(Y, &at);
    incarnations.on_entry(&incarnation(X), rev(117), at(200));

    let first = incarnations.on_entry(&incarnation(Y), rev(118), at(300));
    let again = incarnations.on_entry(&incarnation(Y), rev(118), at(310));
    let second = incarnations.on_entry(&incarnation(Y), rev(119), at(400));

    assert_eq!(first, EntryUpdate::Contradicts);
    assert_eq!(again, EntryUpdate::Late, "the same entry is no second contradiction");
    assert_eq!(second, EntryUpdate::Began { ended: incarnation(X) });
}

#[test]
fn an_answer_requested_before_the_present_incarnation_was_known_is_late() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    let update = incarnations.on_answer(ID, Some(X), at(199), at(250));

    assert_eq!(update, AnswerUpdate::Late);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn an_incarnation_that_an_answer_ended_is_over_for_good() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    let update = incarnations.on_answer(ID, Some(Y), at(200), at(210));
    let entries = [117, 118, 119]
        .map(|revision| incarnations.on_entry(&incarnation(X), rev(revision), at(300)));
    let answer = incarnations.on_answer(ID, Some(X), at(400), at(410));

    assert_eq!(update, AnswerUpdate::Began { ended: incarnation(X) });
    assert!(entries.iter().all(|update| *update == EntryUpdate::Late), "{entries:?}");
    assert_eq!(answer, AnswerUpdate::Late);
    assert!(incarnations.is_confirmed_ended(&incarnation(X)));
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn an_answer_confirms_the_ends_that_entries_showed() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));
    assert!(!incarnations.is_confirmed_ended(&incarnation(X)));

    let update = incarnations.on_answer(ID, Some(Y), at(201), at(202));
    let again = incarnations.on_answer(ID, Some(Y), at(203), at(204));

    assert_eq!(update, AnswerUpdate::Present { confirmed_ended: vec![incarnation(X)] });
    assert_eq!(again, AnswerUpdate::Present { confirmed_ended: Vec::new() });
    assert!(incarnations.is_confirmed_ended(&incarnation(X)));
    assert_eq!(incarnations.on_entry(&incarnation(X), rev(117), at(300)), EntryUpdate::Late);
}

#[test]
fn an_update_without_a_start_changes_nothing_where_a_start_is_known() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    let entry = incarnations.on_entry(&Incarnation::new(ID, None), rev(116), at(200));
    let answer = incarnations.on_answer(ID, None, at(300), at(310));

    assert_eq!(entry, EntryUpdate::NoStart);
    assert_eq!(answer, AnswerUpdate::NoStart);
    assert_eq!(incarnations.present(ID), Some(Some(X)));
}

#[test]
fn updates_without_any_start_are_of_the_present_incarnation() {
    let at = clock();
    let mut incarnations = Incarnations::default();
    let without_start = Incarnation::new(ID, None);

    let entries = [1, 2, 3]
        .map(|revision| incarnations.on_entry(&without_start, rev(revision), at(revision)));
    let answer = incarnations.on_answer(ID, None, at(10), at(11));

    assert_eq!(entries, [EntryUpdate::Present, EntryUpdate::Present, EntryUpdate::Present]);
    assert_eq!(answer, AnswerUpdate::Present { confirmed_ended: Vec::new() });
}

#[test]
fn an_end_reported_by_another_process_counts_however_late_it_arrives() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    assert!(incarnations.on_end_reported(&incarnation(X), Some(Y), at(200)));
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
    incarnations.on_answer(ID, Some(Z), at(300), at(310));

    assert!(!incarnations.on_end_reported(&incarnation(X), Some(Y), at(400)));
    assert_eq!(incarnations.present(ID), Some(Some(Z)));
}

#[test]
fn ends_reported_in_the_wrong_order_lead_to_the_last_incarnation() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    incarnations.on_end_reported(&incarnation(Y), Some(Z), at(200));
    incarnations.on_end_reported(&incarnation(X), Some(Y), at(300));

    assert_eq!(incarnations.present(ID), Some(Some(Z)));
}

#[test]
fn remembered_incarnations_are_limited_and_the_present_one_stays() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    for started in 0..100 {
        incarnations.on_answer(ID, Some(started), at(200 + started), at(200 + started));
    }
    for index in 0..5_000_u64 {
        incarnations.on_entry(
            &Incarnation::new(format!("other-{index}"), Some(index)),
            rev(index),
            at(400),
        );
    }

    assert_eq!(incarnations.present(ID), None, "the oldest endpoint is forgotten");
    assert_eq!(incarnations.present("other-4999"), Some(Some(4_999)));
    assert!(incarnations.present("other-10").is_none());
}

/// What happens to an endpoint, and which updates on it arrive.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The endpoint starts again.
    Starts,
    /// The present incarnation writes its entry.
    Writes,
    /// An earlier incarnation, this many starts ago, writes its entry late.
    WritesLate(u8),
    /// The endpoint is polled, and the answer arrives at once.
    Answers,
    /// The endpoint is polled, and the answer arrives with the next `AnswerArrives`.
    IsPolled,
    AnswerArrives,
    /// Another process reports the end of the incarnation this many starts ago.
    EndIsReported(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        match u8::arbitrary(g) % 8 {
            0 => Event::Starts,
            1 | 2 => Event::Writes,
            3 => Event::WritesLate(u8::arbitrary(g) % 4 + 1),
            4 => Event::Answers,
            5 => Event::IsPolled,
            6 => Event::AnswerArrives,
            _ => Event::EndIsReported(u8::arbitrary(g) % 4 + 1),
        }
    }
}

/// An endpoint, and what one process knows of its incarnations.
struct Simulation {
    starts: Vec<StartMillis>,
    incarnations: Incarnations,
    now: Instant,
    revision: u64,
    /// Answers in flight: the incarnation that gave each, and when it was requested.
    in_flight: Vec<(StartMillis, Instant)>,
}

impl Simulation {
    fn new() -> Simulation {
        let mut simulation = Simulation {
            starts: vec![start(0)],
            incarnations: Incarnations::default(),
            now: Instant::now(),
            revision: 1,
            in_flight: Vec::new(),
        };
        simulation.incarnations.on_entry(&incarnation(start(0)), rev(1), simulation.now);
        simulation
    }

    fn present(&self) -> StartMillis {
        self.starts[self.starts.len() - 1]
    }

    fn before(&self, ago: u8) -> Option<StartMillis> {
        self.starts.iter().rev().nth(usize::from(ago)).copied()
    }

    fn apply(&mut self, event: Event) {
        self.now += Duration::from_millis(1);
        match event {
            Event::Starts => self.starts.push(start(self.starts.len())),
            Event::Writes => self.write(self.present()),
            Event::WritesLate(ago) => {
                if let Some(started) = self.before(ago) {
                    self.write(started);
                }
            }
            Event::Answers => {
                self.incarnations.on_answer(ID, Some(self.present()), self.now, self.now);
            }
            Event::IsPolled => self.in_flight.push((self.present(), self.now)),
            Event::AnswerArrives => {
                if let Some((started, requested_at)) = self.in_flight.pop() {
                    self.incarnations.on_answer(ID, Some(started), requested_at, self.now);
                }
            }
            Event::EndIsReported(ago) => {
                if let (Some(ended), Some(by)) = (self.before(ago), self.before(ago - 1)) {
                    self.incarnations.on_end_reported(&incarnation(ended), Some(by), self.now);
                }
            }
        }
    }

    fn write(&mut self, started: StartMillis) {
        self.revision += 1;
        self.incarnations.on_entry(&incarnation(started), rev(self.revision), self.now);
    }
}

/// Returns starts whose order means nothing.
fn start(index: usize) -> StartMillis {
    (index as StartMillis * 7_919) % 1_009
}

quickcheck! {
    /// The actual present incarnation is never over for good, and an answer of it settles all.
    fn the_present_incarnation_is_never_over_and_its_answer_settles_all(events: Vec<Event>) -> bool {
        let mut simulation = Simulation::new();
        for event in events {
            simulation.apply(event);
            if simulation.incarnations.is_confirmed_ended(&incarnation(simulation.present())) {
                return false;
            }
        }
        simulation.apply(Event::Answers);
        simulation.incarnations.present(ID) == Some(Some(simulation.present()))
    }

    /// An incarnation that is over for good doesn't become present again as long as it is remembered.
    fn an_incarnation_that_is_over_never_becomes_present_again(events: Vec<Event>) -> bool {
        let mut simulation = Simulation::new();
        for event in events.into_iter().take(40) {
            let over: Vec<StartMillis> = simulation.starts.iter().copied()
                .filter(|started| simulation.incarnations.is_confirmed_ended(&incarnation(*started))).collect();
            simulation.apply(event);
            let present = simulation.incarnations.present(ID).flatten();
            if present.is_some_and(|present| over.contains(&present)) {
                return false;
            }
        }
        true
    }
}
