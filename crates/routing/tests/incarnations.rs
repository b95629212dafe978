//! Incarnations of endpoints: what is news, what is late, and what only the endpoint itself can tell.

mod common;

use quickcheck::{Arbitrary, Gen, quickcheck};
use sorrellock_routing::process::{
    AnswerNews, EntryNews, Incarnation, Incarnations, Revision, StartMillis,
};
use std::time::{Duration, Instant};

const ID: &str = "engine-1";
/// Starts of three lives. The clock stepped back before the second: starts have no order.
const X: StartMillis = 1_790_000_000_500;
const Y: StartMillis = 1_790_000_000_100;
const Z: StartMillis = 1_790_000_000_900;

/// A moment of the store's first era.
fn rev(count: u64) -> Revision {
    Revision::new(0, count)
}

fn incarnation(started: StartMillis) -> Incarnation {
    Incarnation::new(ID, Some(started))
}

/// Instants at so many ms after the test's start.
fn clock() -> impl Fn(u64) -> Instant {
    let began = Instant::now();
    move |ms| began + Duration::from_millis(ms)
}

/// Incarnations of which the first entry was read at 100 ms.
fn incarnations_of(first: StartMillis, at: &impl Fn(u64) -> Instant) -> Incarnations {
    let mut incarnations = Incarnations::default();
    incarnations.on_entry(&incarnation(first), rev(100), at(100));
    incarnations
}

#[test]
fn an_entry_of_another_life_ends_the_one_before_whatever_its_start() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    let news = incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    assert_eq!(news, EntryNews::Began { ended: incarnation(X) });
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
    assert!(incarnations.has_ended(&incarnation(X)));
}

#[test]
fn an_entry_that_is_replayed_changes_nothing() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    let news = incarnations.on_entry(&incarnation(X), rev(100), at(300));

    assert_eq!(news, EntryNews::Late);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn an_entry_that_the_life_before_wrote_late_changes_nothing() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    let late = incarnations.on_entry(&incarnation(X), rev(117), at(300));
    let own = incarnations.on_entry(&incarnation(Y), rev(118), at(400));

    assert_eq!(late, EntryNews::Contradicts);
    assert_eq!(own, EntryNews::Present);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn a_life_that_a_late_entry_seemed_to_end_is_back_once_it_answers() {
    let at = clock();
    let mut incarnations = incarnations_of(Y, &at);
    incarnations.on_entry(&incarnation(X), rev(117), at(200));

    let entry = incarnations.on_entry(&incarnation(Y), rev(118), at(300));
    let answer = incarnations.on_answer(ID, Some(Y), at(301), at(305));
    let late = incarnations.on_entry(&incarnation(X), rev(119), at(400));

    assert_eq!(entry, EntryNews::Contradicts);
    assert_eq!(answer, AnswerNews::Began { ended: incarnation(X) });
    assert_eq!(late, EntryNews::Late);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
    assert!(!incarnations.has_ended(&incarnation(Y)));
}

#[test]
fn where_nobody_answers_the_second_contradicting_entry_is_believed() {
    let at = clock();
    let mut incarnations = incarnations_of(Y, &at);
    incarnations.on_entry(&incarnation(X), rev(117), at(200));

    let first = incarnations.on_entry(&incarnation(Y), rev(118), at(300));
    let again = incarnations.on_entry(&incarnation(Y), rev(118), at(310));
    let second = incarnations.on_entry(&incarnation(Y), rev(119), at(400));

    assert_eq!(first, EntryNews::Contradicts);
    assert_eq!(again, EntryNews::Late, "the same entry is no second contradiction");
    assert_eq!(second, EntryNews::Began { ended: incarnation(X) });
}

#[test]
fn an_answer_that_was_asked_for_before_the_present_life_was_known_is_late() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));

    let news = incarnations.on_answer(ID, Some(X), at(199), at(250));

    assert_eq!(news, AnswerNews::Late);
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn a_life_that_an_answer_ended_is_over_for_good() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    let news = incarnations.on_answer(ID, Some(Y), at(200), at(210));
    let entries = [117, 118, 119]
        .map(|revision| incarnations.on_entry(&incarnation(X), rev(revision), at(300)));
    let answer = incarnations.on_answer(ID, Some(X), at(400), at(410));

    assert_eq!(news, AnswerNews::Began { ended: incarnation(X) });
    assert!(entries.iter().all(|news| *news == EntryNews::Late), "{entries:?}");
    assert_eq!(answer, AnswerNews::Late);
    assert!(incarnations.is_over(&incarnation(X)));
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
}

#[test]
fn an_answer_makes_the_ends_sure_that_entries_told() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);
    incarnations.on_entry(&incarnation(Y), rev(116), at(200));
    assert!(!incarnations.is_over(&incarnation(X)));

    let news = incarnations.on_answer(ID, Some(Y), at(201), at(202));
    let again = incarnations.on_answer(ID, Some(Y), at(203), at(204));

    assert_eq!(news, AnswerNews::Present { now_over: vec![incarnation(X)] });
    assert_eq!(again, AnswerNews::Present { now_over: Vec::new() });
    assert!(incarnations.is_over(&incarnation(X)));
    assert_eq!(incarnations.on_entry(&incarnation(X), rev(117), at(300)), EntryNews::Late);
}

#[test]
fn a_start_that_is_not_told_tells_nothing_where_it_is_known() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    let entry = incarnations.on_entry(&Incarnation::new(ID, None), rev(116), at(200));
    let answer = incarnations.on_answer(ID, None, at(300), at(310));

    assert_eq!(entry, EntryNews::Untold);
    assert_eq!(answer, AnswerNews::Untold);
    assert_eq!(incarnations.present(ID), Some(Some(X)));
}

#[test]
fn where_no_start_is_ever_told_nothing_changes() {
    let at = clock();
    let mut incarnations = Incarnations::default();
    let untold = Incarnation::new(ID, None);

    let entries =
        [1, 2, 3].map(|revision| incarnations.on_entry(&untold, rev(revision), at(revision)));
    let answer = incarnations.on_answer(ID, None, at(10), at(11));

    assert_eq!(entries, [EntryNews::Present, EntryNews::Present, EntryNews::Present]);
    assert_eq!(answer, AnswerNews::Present { now_over: Vec::new() });
}

#[test]
fn an_end_that_another_process_tells_holds_however_late_it_is_heard() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    assert!(incarnations.on_end_told(&incarnation(X), Some(Y), at(200)));
    assert_eq!(incarnations.present(ID), Some(Some(Y)));
    incarnations.on_answer(ID, Some(Z), at(300), at(310));

    assert!(!incarnations.on_end_told(&incarnation(X), Some(Y), at(400)));
    assert_eq!(incarnations.present(ID), Some(Some(Z)));
}

#[test]
fn ends_that_are_heard_in_the_wrong_order_lead_to_the_last_incarnation() {
    let at = clock();
    let mut incarnations = incarnations_of(X, &at);

    incarnations.on_end_told(&incarnation(Y), Some(Z), at(200));
    incarnations.on_end_told(&incarnation(X), Some(Y), at(300));

    assert_eq!(incarnations.present(ID), Some(Some(Z)));
}

#[test]
fn the_memory_of_lives_is_bounded_and_the_present_one_stays() {
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

/// What happens to an endpoint, and what is heard of it.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It starts again.
    Starts,
    /// The present incarnation writes its entry.
    Writes,
    /// An incarnation of before writes its entry late: so many lives ago.
    WritesLate(u8),
    /// It is asked, and the answer comes at once.
    Answers,
    /// It is asked, and the answer comes with the next `AnswerComes`.
    IsAsked,
    AnswerComes,
    /// Another process tells the end of an incarnation so many lives ago.
    EndIsTold(u8),
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Event {
        match u8::arbitrary(g) % 8 {
            0 => Event::Starts,
            1 | 2 => Event::Writes,
            3 => Event::WritesLate(u8::arbitrary(g) % 4 + 1),
            4 => Event::Answers,
            5 => Event::IsAsked,
            6 => Event::AnswerComes,
            _ => Event::EndIsTold(u8::arbitrary(g) % 4 + 1),
        }
    }
}

/// An endpoint and what one process knows of its lives.
struct Play {
    starts: Vec<StartMillis>,
    incarnations: Incarnations,
    now: Instant,
    revision: u64,
    /// The answers on their way: the incarnation that gave each, and when it was asked for.
    on_the_way: Vec<(StartMillis, Instant)>,
}

impl Play {
    fn new() -> Play {
        let mut play = Play {
            starts: vec![start(0)],
            incarnations: Incarnations::default(),
            now: Instant::now(),
            revision: 1,
            on_the_way: Vec::new(),
        };
        play.incarnations.on_entry(&incarnation(start(0)), rev(1), play.now);
        play
    }

    fn present(&self) -> StartMillis {
        self.starts[self.starts.len() - 1]
    }

    fn before(&self, ago: u8) -> Option<StartMillis> {
        self.starts.iter().rev().nth(usize::from(ago)).copied()
    }

    fn take(&mut self, event: Event) {
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
            Event::IsAsked => self.on_the_way.push((self.present(), self.now)),
            Event::AnswerComes => {
                if let Some((started, asked)) = self.on_the_way.pop() {
                    self.incarnations.on_answer(ID, Some(started), asked, self.now);
                }
            }
            Event::EndIsTold(ago) => {
                if let (Some(ended), Some(by)) = (self.before(ago), self.before(ago - 1)) {
                    self.incarnations.on_end_told(&incarnation(ended), Some(by), self.now);
                }
            }
        }
    }

    fn write(&mut self, started: StartMillis) {
        self.revision += 1;
        self.incarnations.on_entry(&incarnation(started), rev(self.revision), self.now);
    }
}

/// Starts in an order that tells nothing.
fn start(index: usize) -> StartMillis {
    (index as StartMillis * 7_919) % 1_009
}

quickcheck! {
    /// The incarnation that is present in truth is never over for good, and an answer of it settles all.
    fn the_present_life_is_never_over_and_its_answer_settles_all(events: Vec<Event>) -> bool {
        let mut play = Play::new();
        for event in events {
            play.take(event);
            if play.incarnations.is_over(&incarnation(play.present())) {
                return false;
            }
        }
        play.take(Event::Answers);
        play.incarnations.present(ID) == Some(Some(play.present()))
    }

    /// An incarnation that is over for good is not the present one again, as long as it is remembered.
    fn a_life_that_is_over_never_comes_back(events: Vec<Event>) -> bool {
        let mut play = Play::new();
        for event in events.into_iter().take(40) {
            let over: Vec<StartMillis> = play.starts.iter().copied()
                .filter(|started| play.incarnations.is_over(&incarnation(*started))).collect();
            play.take(event);
            let present = play.incarnations.present(ID).flatten();
            if present.is_some_and(|present| over.contains(&present)) {
                return false;
            }
        }
        true
    }
}
