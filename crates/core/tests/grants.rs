//! Tests of grants: what a keeper grants, and what an entry spends of it.

use sorrellock_core::clock::ManualClock;
use sorrellock_core::process::grants::{
    Amount, Grant, GrantAsk, Keeper, KeeperView, LimitKey, LimitTable, Limits, Spend, StartLevel,
};
use std::time::Duration;

const KEEPER: u64 = 77;

fn key() -> LimitKey {
    LimitKey { workspace: "treasury".into(), kind: "default".into() }
}

fn limits(requests: f64, in_flight: u32) -> Limits {
    Limits { rate: Amount::new(requests, 1e9), in_flight }
}

fn ask(number: u64, requests: f64) -> GrantAsk {
    let want = Amount::new(requests, 0.0);
    let (back, debt, carried) = Default::default();
    GrantAsk { key: key(), number, want, back, debt, carried, in_use: 0, slots: 0 }
}

fn keeper(clock: &ManualClock, start: StartLevel) -> Keeper<ManualClock> {
    Keeper::new(clock.clone(), start)
}

fn keeper_view() -> KeeperView {
    KeeperView { keeper: Some(KEEPER), entries: 2 }
}

/// An entry with one limit.
struct Entry {
    clock: ManualClock,
    table: LimitTable<ManualClock>,
    limits: Limits,
}

impl Entry {
    fn new(limits: Limits) -> Entry {
        let clock = ManualClock::new();
        Entry { table: LimitTable::new(clock.clone()), clock, limits }
    }

    fn arrive(&mut self, count: usize) -> usize {
        let allowed = (0..count).filter(|_| {
            self.table.arrive(&key(), self.limits, 1.0, keeper_view()) == Spend::Allowed
        });
        allowed.count()
    }

    fn ask(&mut self) -> Option<GrantAsk> {
        self.table.ask(&key(), 1, keeper_view())
    }

    /// Sends the grant request due while `waiting` requests wait, if any, and applies the answer.
    fn answer(&mut self, keeper: &mut Keeper<ManualClock>, waiting: usize) {
        let Some(ask) = self.table.ask(&key(), waiting, keeper_view()) else { return };
        let grant = keeper.answer(1, &ask, self.limits).expect("an answer");
        assert!(self.table.take(KEEPER, &grant), "it is the answer to the last question");
    }

    fn take(&mut self, number: u64, requests: f64) -> bool {
        let granted = Amount::new(requests, 1e6);
        let grant = Grant { key: key(), number, granted, slots: 1000, more_after: Duration::ZERO };
        self.table.take(KEEPER, &grant)
    }
}

#[test]
fn an_entry_that_always_asks_second_gets_its_part_too() {
    let clock = ManualClock::new();
    let mut keeper = keeper(&clock, StartLevel::Empty);
    let (mut first, mut second) = (0.0, 0.0);

    for number in 1..200 {
        clock.advance(Duration::from_millis(50));
        first += keeper.answer(1, &ask(number, 10.0), limits(20.0, 100)).unwrap().granted.requests;
        second += keeper.answer(2, &ask(number, 10.0), limits(20.0, 100)).unwrap().granted.requests;
    }

    assert!(second * 4.0 >= first * 3.0, "{first} and {second}");
    assert!(first + second >= 190.0, "{first} and {second}");
}

#[test]
fn a_repeated_question_gets_the_same_answer_and_an_older_one_none() {
    let clock = ManualClock::new();
    let mut keeper = keeper(&clock, StartLevel::Full);

    let first = keeper.answer(1, &ask(5, 8.0), limits(10.0, 10)).unwrap();
    let repeated = keeper.answer(1, &ask(5, 8.0), limits(10.0, 10)).unwrap();
    let older = keeper.answer(1, &ask(4, 8.0), limits(10.0, 10));
    let rest = keeper.answer(2, &ask(1, 8.0), limits(10.0, 10)).unwrap();

    assert_eq!(first, repeated);
    assert_eq!(older, None);
    assert_eq!(first.granted.requests + rest.granted.requests, 10.0);
}

#[test]
fn a_debt_is_paid_before_anything_is_granted() {
    let clock = ManualClock::new();
    let mut keeper = keeper(&clock, StartLevel::Full);
    let indebted = GrantAsk { debt: Amount::new(15.0, 0.0), ..ask(1, 5.0) };

    let grant = keeper.answer(1, &indebted, limits(10.0, 10)).unwrap();
    clock.advance(Duration::from_millis(500));
    let later = keeper.answer(1, &ask(2, 5.0), limits(10.0, 10)).unwrap();

    assert_eq!((grant.granted.requests, later.granted.requests), (0.0, 0.0));
    assert!(grant.more_after >= Duration::from_millis(600), "{:?}", grant.more_after);
}

#[test]
fn a_new_keeper_learns_what_was_spent_under_the_one_before() {
    let clock = ManualClock::new();
    let mut keeper = keeper(&clock, StartLevel::Full);
    let carrying = GrantAsk { carried: Amount::new(10.0, 0.0), ..ask(1, 10.0) };

    let grant = keeper.answer(1, &carrying, limits(10.0, 10)).unwrap();

    assert_eq!(grant.granted.requests, 0.0);
}

#[test]
fn slots_of_all_entries_never_pass_the_limit_in_flight() {
    let clock = ManualClock::new();
    let mut keeper = keeper(&clock, StartLevel::Full);
    let wants = |slots| GrantAsk { slots, ..ask(1, 1.0) };

    let slots: u32 =
        (1..=4).map(|entry| keeper.answer(entry, &wants(4), limits(99.0, 10)).unwrap().slots).sum();

    assert_eq!(slots, 10);
}

#[test]
fn an_answer_is_taken_once_and_only_to_the_last_question() {
    let mut entry = Entry::new(limits(100.0, 100));
    entry.arrive(3);
    let number = entry.ask().expect("a question").number;

    let wrong = entry.take(number + 1, 50.0);
    let taken = entry.take(number, 5.0);
    let repeated = entry.take(number, 5.0);
    let allowed = entry.arrive(50);

    assert_eq!((wrong, taken, repeated), (false, true, false));
    assert!(allowed <= 5, "{allowed} of 5 granted, less the one on credit");
}

#[test]
fn an_expired_grant_is_not_spent() {
    let mut entry = Entry::new(limits(100.0, 3));
    entry.arrive(3);
    let number = entry.ask().expect("a question").number;
    entry.take(number, 50.0);

    entry.clock.advance(Duration::from_secs(20));
    let allowed = entry.arrive(50);

    assert!(allowed <= 1, "{allowed} allowed");
}

#[test]
fn an_entry_without_a_keeper_goes_on_at_its_last_share_and_not_faster() {
    let mut entry = Entry::new(limits(100.0, 100_000));
    for _ in 0..200 {
        entry.arrive(1);
        if let Some(asked) = entry.ask() {
            entry.take(asked.number, asked.want.requests.min(1.0));
        }
        entry.clock.advance(Duration::from_millis(50));
    }

    let mut allowed = 0;
    for _ in 0..400 {
        allowed += entry.arrive(5);
        entry.ask();
        entry.clock.advance(Duration::from_millis(10));
    }

    assert!((40..=110).contains(&allowed), "{allowed} in 4 s at a last share of 20/s");
}

#[test]
fn unanswered_amounts_are_reported_again() {
    let mut entry = Entry::new(limits(100.0, 1000));
    let on_credit = entry.arrive(1);
    let lost = entry.ask().expect("a question");
    entry.clock.advance(Duration::from_secs(1));
    entry.arrive(1);

    let again = entry.ask().expect("another question");

    assert_eq!(on_credit, 1);
    assert_eq!(lost.debt.requests, 1.0);
    assert_eq!(again.debt.requests, 1.0);
    assert!(again.number > lost.number);
}

/// Guards against a refusal right after a grant request that only renewed the requests in flight:
/// it wants no more slots than are in use, and its answer must not delay the next grant request.
#[test]
fn a_request_right_after_a_renewal_is_not_refused() {
    let mut entry = Entry::new(limits(1000.0, 1000));
    let mut keeper = keeper(&entry.clock, StartLevel::Full);
    let first = entry.arrive(1);
    entry.answer(&mut keeper, 0);
    entry.clock.advance(Duration::from_secs(2));
    entry.answer(&mut keeper, 0);
    entry.table.end(&key(), 1.0, 1.0);

    entry.clock.advance(Duration::from_millis(5));
    let second = entry.table.arrive(&key(), entry.limits, 1.0, keeper_view());

    assert_eq!(first, 1);
    assert!(!matches!(second, Spend::Refused(_)), "{second:?}");
}

/// At the limit in flight the keeper can't grant more, and must not be asked at each arrival.
#[test]
fn a_request_past_the_limit_in_flight_is_refused_until_it_is_worth_asking() {
    let mut entry = Entry::new(limits(1000.0, 4));
    let mut keeper = keeper(&entry.clock, StartLevel::Full);
    entry.arrive(1);
    for _ in 0..3 {
        entry.answer(&mut keeper, 3);
        entry.arrive(1);
    }
    entry.clock.advance(Duration::from_millis(700));
    entry.answer(&mut keeper, 1);

    let past = entry.table.arrive(&key(), entry.limits, 1.0, keeper_view());

    assert!(matches!(past, Spend::Refused(_)), "{past:?}");
    assert_eq!(entry.ask(), None);
}
