//! Tests of the retry budget and the breakers, alone and together at failing endpoints.

use quickcheck::{Arbitrary, Gen};
use sorrellock_core::clock::{Clock, ManualClock};
use sorrellock_core::process::PriorityQueue;
use sorrellock_core::process::retries::{
    AttemptEnd, BUDGET_REFILL_PER_SECOND, Breaker, BreakerState, Breakers, FAILURE_RUN_RATIO,
    INITIAL_BUDGET, INITIAL_OPEN_TIME, MAX_FAILURE_RUN, MAX_LIVE_PROBES, MAX_OPEN_TIME,
    MAX_SAVED_RETRIES, MIN_FAILURE_RUN, PROBE_TIMEOUT, PROBES_TO_CLOSE, Permit, RetryBudget,
    VOLUME_WINDOW,
};
use std::time::{Duration, Instant};

const SEED: u64 = 0x5eed_0006;
const ROUNDS: u64 = 200;

type Budget = RetryBudget<&'static str, u32, ManualClock>;

fn budget(clock: &ManualClock) -> Budget {
    RetryBudget::new(clock.clone())
}

fn spend_all(budget: &mut Budget, workspace: &'static str, endpoint: u32) -> usize {
    (0..1000).take_while(|_| budget.spend(&workspace, &endpoint).is_ok()).count()
}

fn breaker_that_opened(clock: &ManualClock) -> Breaker {
    let mut breaker = Breaker::new(clock.now());
    for _ in 0..MIN_FAILURE_RUN {
        end_one(&mut breaker, clock, AttemptEnd::Failure);
    }
    breaker
}

fn end_one(breaker: &mut Breaker, clock: &ManualClock, end: AttemptEnd) {
    let permit = breaker.admit(clock.now()).expect("an attempt goes through");
    breaker.on_end(clock.now(), permit, end);
}

#[test]
fn a_new_budget_has_a_few_retries_and_returns_the_time_to_the_next() {
    let clock = ManualClock::new();
    let mut budget = budget(&clock);

    let spent = spend_all(&mut budget, "a", 1);
    let wait = budget.spend(&"a", &1).unwrap_err();
    clock.advance(wait - Duration::from_millis(1));
    let early = budget.spend(&"a", &1);
    clock.advance(Duration::from_millis(2));
    let then = budget.spend(&"a", &1);

    assert_eq!(spent as f64, INITIAL_BUDGET);
    assert!(early.is_err());
    assert!(then.is_ok());
    assert_eq!((budget.spent(), budget.refused()), (INITIAL_BUDGET as u64 + 1, 3));
}

#[test]
fn successes_of_late_pay_for_retries_up_to_a_bound() {
    let clock = ManualClock::new();
    let mut budget = budget(&clock);

    (0..100_000).for_each(|_| budget.on_success(&"a", &1));
    let saved = spend_all(&mut budget, "a", 1);
    (0..100_000).for_each(|_| budget.on_success(&"a", &1));
    clock.advance(Duration::from_secs(600));
    let later = spend_all(&mut budget, "a", 1);

    assert_eq!((saved as f64, later as f64), (MAX_SAVED_RETRIES, INITIAL_BUDGET));
}

#[test]
fn a_retry_takes_from_the_workspace_and_from_the_endpoint() {
    let clock = ManualClock::new();
    let mut budget = budget(&clock);

    spend_all(&mut budget, "a", 1);
    let other_endpoint = budget.spend(&"a", &2);
    let other_workspace = budget.spend(&"b", &1);
    let both_others = budget.spend(&"b", &2);

    assert!(other_endpoint.is_err() && other_workspace.is_err());
    assert!(both_others.is_ok());
}

#[test]
fn budgets_and_breakers_are_bounded_and_forget_the_idle() {
    let clock = ManualClock::new();
    let mut budget = budget(&clock).with_max(10);
    let mut breakers: Breakers<u32, _> = Breakers::new(clock.clone()).with_max(10);

    let paid = (0..30).filter(|endpoint| budget.spend(&"a", endpoint).is_ok()).count();
    (0..30).for_each(|endpoint| assert!(breakers.admit(&endpoint).is_some()));
    let kept = (budget.counts().1, breakers.count(), breakers.untracked());
    clock.advance(Duration::from_secs(600));
    let after = (budget.spend(&"a", &99).is_ok(), breakers.admit(&99).is_some());

    assert_eq!((paid, kept), (10, (10, 10, 20)));
    assert_eq!((after, budget.counts().1, breakers.count()), ((true, true), 1, 1));
}

#[test]
fn a_probe_without_an_outcome_times_out_and_lets_others_go() {
    let clock = ManualClock::new();
    let mut breaker = breaker_that_opened(&clock);
    clock.advance(INITIAL_OPEN_TIME);
    let lost = (0..MAX_LIVE_PROBES).filter(|_| breaker.admit(clock.now()).is_some()).count();

    let none = breaker.admit(clock.now());
    clock.advance(PROBE_TIMEOUT);
    let again = breaker.admit(clock.now());

    assert_eq!((lost as u32, none), (MAX_LIVE_PROBES, None));
    assert!(again.is_some_and(Permit::is_probe));
}

#[test]
fn a_late_end_from_before_the_opening_changes_nothing() {
    let clock = ManualClock::new();
    let mut breaker = Breaker::new(clock.now());
    let late: Vec<_> = (0..MIN_FAILURE_RUN).filter_map(|_| breaker.admit(clock.now())).collect();
    for _ in 0..MIN_FAILURE_RUN {
        end_one(&mut breaker, &clock, AttemptEnd::Failure);
    }

    late.iter().for_each(|permit| breaker.on_end(clock.now(), *permit, AttemptEnd::Success));

    assert_eq!(breaker.state(), BreakerState::Open);
    assert_eq!(breaker.admit(clock.now()), None);
}

#[test]
fn only_the_endpoint_left_closes_its_breaker_by_forced_attempts() {
    let clock = ManualClock::new();
    let mut breaker = breaker_that_opened(&clock);

    for _ in 0..PROBES_TO_CLOSE {
        let permit = breaker.force();
        breaker.on_end(clock.now(), permit, AttemptEnd::Success);
    }

    assert_eq!(breaker.state(), BreakerState::Closed);
}

/// Naive model of a breaker, computed from all outcomes since its last state change.
struct Naive {
    state: BreakerState,
    since: Instant,
    ends: Vec<(Instant, bool)>,
    live_probes: u32,
    last_probe: Instant,
    failed_probes: u32,
    changes: u32,
}

impl Naive {
    fn new(now: Instant) -> Naive {
        let state = BreakerState::Closed;
        let ends = Vec::new();
        Naive {
            state,
            since: now,
            ends,
            live_probes: 0,
            last_probe: now,
            failed_probes: 0,
            changes: 0,
        }
    }

    fn enter(&mut self, state: BreakerState, now: Instant) {
        (self.state, self.since, self.live_probes, self.last_probe) = (state, now, 0, now);
        self.ends.clear();
        self.changes += 1;
    }

    fn open_for(&self) -> Duration {
        (INITIAL_OPEN_TIME * 2u32.pow(self.failed_probes.min(10))).min(MAX_OPEN_TIME)
    }

    /// Returns, for an attempt that may go, the number of state changes and whether it is a probe.
    fn admit(&mut self, now: Instant) -> Option<(u32, bool)> {
        let opens = self.state == BreakerState::Open && now >= self.since + self.open_for();
        let probes_expired =
            self.state == BreakerState::HalfOpen && now >= self.last_probe + PROBE_TIMEOUT;
        if opens || probes_expired {
            self.enter(BreakerState::HalfOpen, now);
        }
        match self.state {
            BreakerState::Closed => Some((self.changes, false)),
            BreakerState::HalfOpen if self.live_probes < MAX_LIVE_PROBES => {
                (self.live_probes, self.last_probe) = (self.live_probes + 1, now);
                Some((self.changes, true))
            }
            _ => None,
        }
    }

    fn end(&mut self, now: Instant, (change, probe): (u32, bool), end: AttemptEnd) {
        if change != self.changes {
            return;
        }
        self.live_probes -= u32::from(probe);
        if end == AttemptEnd::Neutral {
            return;
        }
        let success = end == AttemptEnd::Success;
        self.ends.push((now, success));
        let successes = self.ends.iter().filter(|(_, success)| *success).count() as u32;
        match self.state {
            BreakerState::Closed if self.failure_run() >= self.failures_to_open() => {
                self.enter(BreakerState::Open, now);
            }
            BreakerState::Closed => {}
            _ if success && successes >= PROBES_TO_CLOSE => {
                self.failed_probes = 0;
                self.enter(BreakerState::Closed, now);
            }
            BreakerState::HalfOpen if probe && !success => {
                self.failed_probes += 1;
                self.enter(BreakerState::Open, now);
            }
            _ => {}
        }
    }

    fn failure_run(&self) -> u32 {
        self.ends.iter().rev().take_while(|(_, success)| !success).count() as u32
    }

    fn failures_to_open(&self) -> u32 {
        let (mut began, mut volumes) = (self.since, vec![0, 0]);
        for (at, _) in &self.ends {
            let age = *at - began;
            if age >= VOLUME_WINDOW {
                began = *at;
                volumes.extend((age >= 2 * VOLUME_WINDOW).then_some(0));
                volumes.push(0);
            }
            *volumes.last_mut().unwrap() += 1;
        }
        let recent: u32 = volumes.iter().rev().take(2).sum();
        ((f64::from(recent) * FAILURE_RUN_RATIO).ceil() as u32)
            .clamp(MIN_FAILURE_RUN, MAX_FAILURE_RUN)
    }
}

#[test]
fn a_breaker_does_what_a_naive_one_does() {
    println!("seed {SEED:#x}");
    let mut seen = [0u32; 3];
    for round in 0..ROUNDS {
        let mut g = Gen::from_size_and_seed(100, SEED + round);
        let clock = ManualClock::new();
        let (mut breaker, mut naive) = (Breaker::new(clock.now()), Naive::new(clock.now()));
        let mut in_flight = Vec::new();
        // Some rounds have few failures and much volume, others the reverse.
        let failing = u8::arbitrary(&mut g);

        for step in 0..3000 {
            match u8::arbitrary(&mut g) % 16 {
                0..7 => {
                    let (real, expected) = (breaker.admit(clock.now()), naive.admit(clock.now()));
                    assert_eq!(real.is_some(), expected.is_some(), "round {round}, step {step}");
                    in_flight.extend(real.zip(expected));
                }
                7 => in_flight.push((breaker.force(), (naive.changes, false))),
                8..15 if !in_flight.is_empty() => {
                    let at = usize::arbitrary(&mut g) % in_flight.len();
                    let (real, expected) = in_flight.swap_remove(at);
                    let end = match u8::arbitrary(&mut g) {
                        0..8 => AttemptEnd::Neutral,
                        dice if dice < failing => AttemptEnd::Failure,
                        _ => AttemptEnd::Success,
                    };
                    breaker.on_end(clock.now(), real, end);
                    naive.end(clock.now(), expected, end);
                }
                _ => {
                    let max_ms = [10, 1000, 20_000, 90_000][usize::arbitrary(&mut g) % 4];
                    clock.advance(Duration::from_millis(u64::arbitrary(&mut g) % max_ms));
                }
            }
            assert_eq!(breaker.state(), naive.state, "round {round}, step {step}");
            seen[breaker.state() as usize] += 1;
        }
    }
    assert!(seen.iter().all(|count| *count > 1000), "{seen:?}");
}

#[test]
fn a_run_that_opens_at_little_volume_does_not_at_much() {
    let clock = ManualClock::new();
    let mut breaker = Breaker::new(clock.now());
    (0..1000).for_each(|_| end_one(&mut breaker, &clock, AttemptEnd::Success));

    (0..MIN_FAILURE_RUN).for_each(|_| end_one(&mut breaker, &clock, AttemptEnd::Failure));
    let after_few = breaker.state();
    (0..MAX_FAILURE_RUN).for_each(|_| {
        if breaker.state() == BreakerState::Closed {
            end_one(&mut breaker, &clock, AttemptEnd::Failure);
        }
    });

    assert_eq!((after_few, breaker.state()), (BreakerState::Closed, BreakerState::Open));
}

/// Simulates the calls of an entry for a minute over endpoints of which some always fail. Returns
/// the number of calls, and of attempts by endpoint.
fn attempts_in_a_minute(fails: &[bool], seed: u64) -> (u32, Vec<u32>) {
    let mut g = Gen::from_size_and_seed(100, seed);
    let clock = ManualClock::new();
    let (mut budget, mut breakers) = (budget(&clock), Breakers::new(clock.clone()));
    let (mut calls, mut attempts) = (0, vec![0; fails.len()]);
    for _ in 0..60_000 / 5 {
        clock.advance(Duration::from_millis(5));
        calls += 1;
        let first = u32::arbitrary(&mut g) % fails.len() as u32;
        let mut untried: Vec<_> =
            (0..fails.len() as u32).map(|next| (first + next) % fails.len() as u32).collect();
        let mut attempts_made = 0;
        while !untried.is_empty() {
            let found = untried.iter().find_map(|one| breakers.admit(one).map(|p| (*one, p)));
            let (chosen, permit) = found.unwrap_or((untried[0], breakers.force(&untried[0])));
            if attempts_made > 0 && budget.spend(&"a", &chosen).is_err() {
                breakers.on_end(&chosen, permit, AttemptEnd::Neutral);
                break;
            }
            (attempts_made, attempts[chosen as usize]) =
                (attempts_made + 1, attempts[chosen as usize] + 1);
            untried.retain(|one| *one != chosen);
            if !fails[chosen as usize] {
                breakers.on_end(&chosen, permit, AttemptEnd::Success);
                budget.on_success(&"a", &chosen);
                break;
            }
            breakers.on_end(&chosen, permit, AttemptEnd::Failure);
        }
    }
    (calls, attempts)
}

#[test]
fn a_failing_endpoint_gets_a_run_and_probes_and_no_more() {
    println!("seed {SEED:#x}");

    let (calls, attempts) = attempts_in_a_minute(&[true, false, false], SEED);

    // The breaker opens for 1, 2, 4, 8, 16 and 30 s, with probes after each.
    assert!(attempts[0] <= MIN_FAILURE_RUN + 6 * MAX_LIVE_PROBES, "{attempts:?} of {calls}");
    assert!(attempts[1] > calls / 4 && attempts[2] > calls / 4, "{attempts:?} of {calls}");
}

#[test]
fn where_all_fail_retries_stay_within_the_budget() {
    println!("seed {SEED:#x}");

    let (calls, attempts) = attempts_in_a_minute(&[true, true, true], SEED);

    let retries = attempts.iter().sum::<u32>() - calls;
    let max_retries = INITIAL_BUDGET + 60.0 * BUDGET_REFILL_PER_SECOND;
    assert!(f64::from(retries) <= max_retries, "{retries} retries of {calls} calls, {attempts:?}");
}

#[test]
fn urgent_work_goes_first_and_displaces_the_newest_routine_work() {
    let mut queue = PriorityQueue::new(3);

    let displaced: Vec<_> = [(0, "r1"), (0, "r2"), (1, "u1"), (1, "u2"), (0, "r3"), (1, "u3")]
        .into_iter()
        .map(|(priority, item)| queue.push(priority, item))
        .collect();
    let refused = queue.push(1, "u4");
    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();

    assert_eq!(displaced, [None, None, None, Some("r2"), Some("r3"), Some("r1")]);
    assert_eq!((refused, order), (Some("u4"), vec!["u1", "u2", "u3"]));
    assert!(queue.is_empty());
}

#[test]
fn what_waits_goes_by_priority_and_then_by_arrival() {
    let mut queue = PriorityQueue::new(8);
    for (priority, item) in [(0, "r1"), (1, "u1"), (0, "r2"), (2, "top"), (1, "u2")] {
        assert_eq!(queue.push(priority, item), None);
    }

    let order: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();

    assert_eq!(order, ["top", "u1", "u2", "r1", "r2"]);
}
