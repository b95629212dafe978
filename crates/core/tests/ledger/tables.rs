//! Tests of a daemon's tables: a run that was started or refused never starts again.

use sorrellock_core::process::ledger::{
    RecordStatus, SeenRequests, SeenVerdict, Stamp, StartTable, StartVerdict, record_key,
};
use sorrellock_core::request::RequestKey;

fn stamp(key: &str, attempt: u32, base: u64) -> Stamp {
    Stamp { shard: 1, key: record_key("treasury", key), attempt, base }
}

fn table(records: usize, bytes: usize) -> StartTable<&'static str, u32> {
    StartTable::new(records, bytes)
}

#[test]
fn a_repeated_run_starts_once() {
    let mut table = table(10, 100);

    let first = table.start(&stamp("a", 1, 5));
    let again = table.start(&stamp("a", 1, 5));

    assert_eq!((first, again), (StartVerdict::Start, StartVerdict::Repeated));
}

#[test]
fn what_was_refused_never_starts() {
    let mut table = table(10, 100);
    table.start(&stamp("a", 1, 5));

    table.refuse(&stamp("a", 1, 5));

    assert_eq!(table.start(&stamp("a", 1, 5)), StartVerdict::Repeated);
    assert_eq!(table.ask(&stamp("a", 1, 5), false, 0), RecordStatus::Tombstoned);
    assert_eq!(table.start(&stamp("a", 2, 9)), StartVerdict::Start);
}

#[test]
fn a_fence_stops_what_was_committed_before_it_and_nothing_else() {
    let mut table = table(10, 100);
    table.start(&stamp("running", 1, 3));

    let status = table.ask(&stamp("a", 1, 5), true, 0);

    assert_eq!(status, RecordStatus::Tombstoned);
    assert_eq!(table.start(&stamp("a", 1, 5)), StartVerdict::Fenced);
    assert_eq!(table.start(&stamp("b", 1, 4)), StartVerdict::Fenced);
    assert_eq!(table.start(&stamp("c", 1, 6)), StartVerdict::Start);
    assert_eq!(table.ask(&stamp("running", 1, 3), true, 0), RecordStatus::Running);
}

#[test]
fn asking_without_a_fence_changes_nothing() {
    let mut table = table(10, 100);

    let status = table.ask(&stamp("a", 1, 5), false, 0);

    assert_eq!(status, RecordStatus::NotSeen);
    assert_eq!(table.start(&stamp("a", 1, 5)), StartVerdict::Start);
}

#[test]
fn followers_get_the_end_and_later_ones_the_kept_answer() {
    let mut table = table(10, 100);
    table.start(&stamp("a", 1, 5));
    table.ask(&stamp("a", 1, 5), false, 7);
    table.ask(&stamp("a", 1, 5), false, 7);

    let followers = table.end(&stamp("a", 1, 5), "answer", 6);

    assert_eq!(followers, [7]);
    assert_eq!(table.ask(&stamp("a", 1, 5), false, 8), RecordStatus::Ended("answer"));
}

#[test]
fn answers_past_the_bound_are_dropped_and_their_keys_are_not() {
    let mut table = table(10, 10);

    for key in ["a", "b", "c"] {
        table.start(&stamp(key, 1, 5));
        table.end(&stamp(key, 1, 5), "answer", 6);
    }

    assert_eq!(table.size(), (3, 6));
    assert_eq!(table.ask(&stamp("a", 1, 5), true, 0), RecordStatus::AnswerDropped);
    assert_eq!(table.start(&stamp("a", 1, 5)), StartVerdict::Repeated);
}

#[test]
fn a_forgotten_run_is_never_taken_for_one_not_seen() {
    let mut table = table(2, 100);

    for (key, base) in [("a", 5), ("b", 6), ("c", 7)] {
        table.start(&stamp(key, 1, base));
        table.end(&stamp(key, 1, base), "answer", 6);
    }

    assert_eq!(table.ask(&stamp("a", 1, 5), true, 0), RecordStatus::Forgotten);
    assert_eq!(table.start(&stamp("a", 1, 5)), StartVerdict::Forgotten);
}

#[test]
fn a_forgotten_refusal_never_starts() {
    let mut table = table(1, 100);
    table.start(&stamp("a", 1, 5));
    table.refuse(&stamp("a", 1, 5));

    table.start(&stamp("b", 1, 6));

    assert_eq!(table.start(&stamp("a", 1, 5)), StartVerdict::Fenced);
}

#[test]
fn an_earlier_record_never_starts_after_a_later_one() {
    let mut table = table(10, 100);
    table.start(&stamp("a", 2, 9));

    let late = table.start(&stamp("a", 1, 5));

    assert_eq!(late, StartVerdict::Fenced);
    assert_eq!(table.ask(&stamp("a", 1, 5), false, 0), RecordStatus::Tombstoned);
    assert_eq!(table.ask(&stamp("a", 2, 9), false, 0), RecordStatus::Running);
}

#[test]
fn a_table_full_of_runs_refuses_for_good() {
    let mut table = table(1, 100);
    table.start(&stamp("a", 1, 5));

    let full = table.start(&stamp("b", 1, 6));
    table.end(&stamp("a", 1, 5), "answer", 6);

    assert_eq!(full, StartVerdict::Full);
    assert_eq!(table.start(&stamp("b", 1, 6)), StartVerdict::Fenced);
}

#[test]
fn a_request_without_a_key_is_seen_once_an_attempt() {
    let mut seen = SeenRequests::new(2);
    let request = |sequence| RequestKey { entry: 7, sequence };

    assert_eq!(seen.see(request(1), 1), SeenVerdict::New);
    assert_eq!(seen.see(request(1), 1), SeenVerdict::Repeated);
    assert_eq!(seen.see(request(1), 2), SeenVerdict::New);
    assert_eq!(seen.see(request(1), 1), SeenVerdict::Repeated);
    assert_eq!(seen.see(request(2), 1), SeenVerdict::New);
    assert_eq!(seen.see(request(3), 1), SeenVerdict::New);
    assert_eq!(seen.see(request(1), 2), SeenVerdict::Forgotten);
    assert_eq!(seen.len(), 2);
}
