//! What callers may make a process hold: who is let in, who is closed for others, and that the bounds hold throughout.

use quickcheck::{QuickCheck, TestResult};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::process::callers::{
    CallerBounds, CallerTable, ConnectionId, Held, MachineLimits, SMALL_BODY_BYTES, STALL_AFTER,
    Stage, UNREAD_AFTER, Verdict,
};
use std::time::{Duration, Instant};

const MB: usize = 1_000_000;
/// Largest head of the usual configuration.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Largest body of the usual configuration.
const MAX_BODY_BYTES: usize = 4 << 20;
const A_MOMENT: Duration = Duration::from_millis(10);

fn machine(memory_mb: usize, descriptors: usize) -> MachineLimits {
    MachineLimits { memory: memory_mb * MB, descriptors }
}

/// A table with room for three connections and for some bodies.
fn table() -> CallerTable {
    CallerTable::new(CallerBounds {
        connections: 3,
        endpoint_connections: 3,
        body_bytes: 400_000,
        answer_bytes: 400_000,
    })
}

fn open(table: &mut CallerTable, stage: Stage, now: Instant) -> ConnectionId {
    let id = table.open(now).expect("room for a connection").id;
    table.set_stage(id, stage, now);
    id
}

fn hold(table: &mut CallerTable, id: ConnectionId, bytes: usize, now: Instant) {
    assert_eq!(table.hold(id, Held::Body, bytes, now), Verdict::Granted);
}

#[test]
fn what_callers_may_hold_fits_into_any_machine() {
    fn holds(memory_mb: u16, descriptors: u16) -> TestResult {
        if memory_mb == 0 {
            return TestResult::discard();
        }
        let machine = machine(memory_mb.into(), descriptors.into());
        let bounds = CallerBounds::new(machine, MAX_HEAD_BYTES);
        // One connection is always let in, on whatever machine.
        let heads = (bounds.connections - 1) * MAX_HEAD_BYTES;
        let memory = heads + bounds.body_bytes + bounds.answer_bytes;
        let sockets = bounds.connections + bounds.endpoint_connections;
        TestResult::from_bool(memory <= machine.memory && sockets <= machine.descriptors.max(2))
    }
    QuickCheck::new().quickcheck(holds as fn(u16, u16) -> TestResult);
}

#[test]
fn the_smallest_machine_in_use_holds_the_largest_body_and_answer() {
    let bounds = CallerBounds::new(machine(160, 4_100), MAX_HEAD_BYTES);
    let mut table = CallerTable::new(bounds);
    let now = Instant::now();
    let id = open(&mut table, Stage::Body, now);

    let body = table.hold(id, Held::Body, MAX_BODY_BYTES, now);
    let answer = table.hold(id, Held::Answer, 16 << 20, now);

    assert_eq!((body, answer), (Verdict::Granted, Verdict::Granted));
}

#[test]
fn a_newcomer_takes_the_place_of_the_caller_that_stalled_first() {
    let (mut table, now) = (table(), Instant::now());
    let first = open(&mut table, Stage::Head, now);
    open(&mut table, Stage::Body, now + A_MOMENT);
    open(&mut table, Stage::Idle, now + A_MOMENT);

    let opened = table.open(now + STALL_AFTER + A_MOMENT).expect("a place");

    assert_eq!(opened.close, Some(first));
}

#[test]
fn a_newcomer_is_refused_where_all_make_progress_or_are_served() {
    let (mut table, now) = (table(), Instant::now());
    open(&mut table, Stage::Serving, now);
    let sends = open(&mut table, Stage::Body, now);
    let reads = open(&mut table, Stage::Answering, now);
    table.on_blocked(reads, now);
    let later = now + UNREAD_AFTER + A_MOMENT;
    table.on_moved(sends, 10_000, later);
    table.on_moved(reads, 10_000, later);

    let opened = table.open(later);

    assert_eq!(opened, None);
}

#[test]
fn a_caller_that_waits_for_the_rest_of_its_answer_is_kept() {
    let (mut table, now) = (table(), Instant::now());
    for _ in 0..3 {
        open(&mut table, Stage::Answering, now);
    }

    let opened = table.open(now + UNREAD_AFTER);

    assert_eq!(opened, None);
}

#[test]
fn single_bytes_are_no_progress() {
    let (mut table, now) = (table(), Instant::now());
    let slow = open(&mut table, Stage::Body, now);
    hold(&mut table, slow, 300_000, now);
    let other = open(&mut table, Stage::Body, now);
    let later = now + STALL_AFTER;
    (0..100).for_each(|_| table.on_moved(slow, 1, later));

    let verdict = table.hold(other, Held::Body, 200_000, later);

    assert_eq!(verdict, Verdict::Wait { close: vec![slow] });
}

#[test]
fn a_body_that_makes_progress_is_kept_and_the_newcomer_refused() {
    let (mut table, now) = (table(), Instant::now());
    let sends = open(&mut table, Stage::Body, now);
    hold(&mut table, sends, 300_000, now);
    let other = open(&mut table, Stage::Body, now);
    let later = now + STALL_AFTER;
    table.on_moved(sends, 300_000, later);

    let verdict = table.hold(other, Held::Body, 200_000, later);

    assert_eq!(verdict, Verdict::Refused);
}

#[test]
fn large_bodies_leave_room_for_small_ones() {
    let (mut table, now) = (table(), Instant::now());
    let large = open(&mut table, Stage::Body, now);
    hold(&mut table, large, 300_000, now);
    let other = open(&mut table, Stage::Body, now);

    let another_large = table.hold(other, Held::Body, SMALL_BODY_BYTES + 1, now);
    let small = table.hold(other, Held::Body, SMALL_BODY_BYTES, now);

    assert_eq!((another_large, small), (Verdict::Refused, Verdict::Granted));
}

#[test]
fn a_caller_that_is_closed_gets_no_more_room() {
    let (mut table, now) = (table(), Instant::now());
    let stalled = open(&mut table, Stage::Body, now);
    hold(&mut table, stalled, 300_000, now);
    let other = open(&mut table, Stage::Body, now);
    let later = now + STALL_AFTER;
    let verdict = table.hold(other, Held::Body, 200_000, later);
    assert_eq!(verdict, Verdict::Wait { close: vec![stalled] });

    let more = table.hold(stalled, Held::Body, 1, later);
    table.close(stalled);
    table.release(stalled, Held::Body, 300_000);
    let now_free = table.hold(other, Held::Body, 200_000, later);

    assert_eq!((more, now_free), (Verdict::Refused, Verdict::Granted));
}

#[test]
fn an_unread_answer_is_given_up_only_after_longer_and_for_another_answer() {
    let (mut table, now) = (table(), Instant::now());
    let unread = open(&mut table, Stage::Answering, now);
    table.on_blocked(unread, now);
    assert_eq!(table.hold(unread, Held::Answer, 400_000, now), Verdict::Granted);
    let other = open(&mut table, Stage::Serving, now);

    let soon = table.hold(other, Held::Answer, 1, now + STALL_AFTER);
    let late = table.hold(other, Held::Answer, 1, now + UNREAD_AFTER);

    assert_eq!(soon, Verdict::Refused);
    assert_eq!(late, Verdict::Wait { close: vec![unread] });
}

/// One caller of the fuzz, with what it holds by a naive account.
struct Fuzzed {
    id: ConnectionId,
    body: usize,
    answer: usize,
    is_closing: bool,
}

#[test]
fn any_series_of_callers_stays_within_the_bounds() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut table, mut now) = (table(), Instant::now());
        let bounds = table.bounds();
        let mut callers: Vec<Fuzzed> = Vec::new();
        for _ in 0..500 {
            now += Duration::from_millis(rng.random_range(0..800));
            step(&mut table, &mut callers, &mut rng, now);
            let body: usize = callers.iter().map(|caller| caller.body).sum();
            let answer: usize = callers.iter().map(|caller| caller.answer).sum();
            let kept = callers.iter().filter(|caller| !caller.is_closing).count();
            assert_eq!(table.held_bytes(Held::Body), body, "seed {seed}");
            assert_eq!(table.held_bytes(Held::Answer), answer, "seed {seed}");
            assert_eq!(table.connections(), callers.len(), "seed {seed}");
            assert!(body <= bounds.body_bytes && answer <= bounds.answer_bytes, "seed {seed}");
            assert!(kept <= bounds.connections, "seed {seed}: {kept} connections");
        }
    }
}

fn step(table: &mut CallerTable, callers: &mut Vec<Fuzzed>, rng: &mut StdRng, now: Instant) {
    if callers.is_empty() || rng.random_bool(0.2) {
        if let Some(opened) = table.open(now) {
            mark_closing(callers, opened.close.as_slice());
            callers.push(Fuzzed { id: opened.id, body: 0, answer: 0, is_closing: false });
        }
        return;
    }
    let at = rng.random_range(0..callers.len());
    let id = callers[at].id;
    match rng.random_range(0..5) {
        0 => {
            let gone = callers.swap_remove(at);
            table.close(id);
            table.release(id, Held::Body, gone.body);
            table.release(id, Held::Answer, gone.answer);
        }
        1 if rng.random_bool(0.3) => table.on_blocked(id, now),
        1 => table.on_moved(id, rng.random_range(1..50_000), now),
        2 => {
            let stages = [Stage::Head, Stage::Body, Stage::Serving, Stage::Answering, Stage::Idle];
            table.set_stage(id, stages[rng.random_range(0..stages.len())], now);
        }
        number => {
            let held = if number == 3 { Held::Body } else { Held::Answer };
            let bytes = rng.random_range(1..200_000);
            match table.hold(id, held, bytes, now) {
                Verdict::Granted if held == Held::Body => callers[at].body += bytes,
                Verdict::Granted => callers[at].answer += bytes,
                Verdict::Wait { close } => mark_closing(callers, &close),
                Verdict::Refused => {}
            }
        }
    }
}

fn mark_closing(callers: &mut [Fuzzed], closed: &[ConnectionId]) {
    let is_closed = |caller: &&mut Fuzzed| closed.contains(&caller.id);
    callers.iter_mut().filter(is_closed).for_each(|caller| caller.is_closing = true);
}
