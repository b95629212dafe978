//! Sharing at the entries: floods, huge prompts, idle connections, urgent work, deadlines, limits.

use serde_json::json;
use sorrellock_core::process::DaemonRole;
use sorrellock_core::version::{Class, Row};
use sorrellock_daemon::entry::process::Entry;
use sorrellock_local::{
    Caller, CallerAnswer, LocalConfig, LocalFleet, MODEL, WORKSPACES, write_rows,
};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

const PROMPT: &str = "Explain break 17.";
const ROUTINE: (usize, &str) = (0, WORKSPACES[0].0);
const URGENT: (usize, &str) = (1, WORKSPACES[1].0);
const WAIT: Duration = Duration::from_secs(8);

/// One stage on one engine that runs eight requests at a time, slowly.
fn small_fleet(entries: usize) -> LocalFleet {
    let mut cfg = LocalConfig::new().with_pipeline(1, 1).with_entries(entries);
    cfg = cfg.with_times(Duration::from_millis(4), Duration::ZERO);
    cfg.max_batch = 8;
    let fleet = LocalFleet::start(cfg).expect("a local fleet starts");
    // Entries that don't know of each other keep one limit each.
    let known = |entry: &Entry| entry.members().live_as(DaemonRole::Entry).count() == entries;
    wait_for("the entries know each other", || fleet.entries.iter().all(known));
    fleet
}

fn row(workspace: &str) -> Row {
    Row::new(workspace, "default")
}

/// Puts rows in force at all entries.
fn set_rows(fleet: &LocalFleet, rows: Vec<Row>) {
    write_rows(&fleet.platform, rows.clone());
    let has =
        |entry: &Entry, row: &Row| *entry.config().view().row(&row.workspace, &row.kind) == *row;
    let in_force = || fleet.entries.iter().all(|entry| rows.iter().all(|row| has(entry, row)));
    wait_for("the rows are in force", in_force);
}

fn complete(caller: &Caller, tokens: u32, headers: &[(&str, &str)]) -> CallerAnswer {
    let body = json!({ "model": MODEL, "prompt": PROMPT, "max_tokens": tokens });
    caller.send("/v1/completions", headers, &body.to_string()).expect("an answer comes")
}

/// Answers to `count` requests sent at once.
fn flood(caller: &Caller, count: usize, tokens: u32) -> Vec<CallerAnswer> {
    thread::scope(|scope| {
        let one = || scope.spawn(|| complete(caller, tokens, &[]));
        let callers: Vec<_> = (0..count).map(|_| one()).collect();
        callers.into_iter().map(|caller| caller.join().expect("a caller ends")).collect()
    })
}

fn one_after_another(caller: &Caller, count: usize) -> Vec<CallerAnswer> {
    (0..count).map(|_| complete(caller, 2, &[])).collect()
}

fn count(answers: &[CallerAnswer], status: u16) -> usize {
    answers.iter().filter(|answer| answer.status == status).count()
}

fn wait_for(what: &str, is_so: impl Fn() -> bool) {
    let end = Instant::now() + WAIT;
    while !is_so() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn urgent_work_starts_while_routine_work_waits() {
    let fleet = small_fleet(1);
    let urgent_row = Row { class: Class::Urgent, ..row(URGENT.1) };
    set_rows(&fleet, vec![row(ROUTINE.1), urgent_row]);
    let (routine, urgent) = (fleet.caller(0, ROUTINE.0), fleet.caller(0, URGENT.0));

    let (flooded, still_waiting) = thread::scope(|scope| {
        let flooded = scope.spawn(|| flood(&routine, 60, 40));
        wait_for("routine work waits", || fleet.in_progress() > 40);
        let answer = complete(&urgent, 8, &[]);
        assert_eq!(answer.status, 200, "{}", answer.body);
        let still_waiting = fleet.in_progress();
        (flooded.join().expect("the flood ends"), still_waiting)
    });

    assert!(still_waiting > 8, "the urgent answer came after the flood: {still_waiting}");
    assert_eq!(count(&flooded, 200), 60);
}

#[test]
fn a_deadline_that_can_not_be_met_is_refused_at_once_with_retry_after() {
    let fleet = small_fleet(1);
    let caller = fleet.caller(0, ROUTINE.0);
    flood(&caller, 30, 20);

    thread::scope(|scope| {
        let flooded = scope.spawn(|| flood(&caller, 70, 40));
        wait_for("the queue is long", || fleet.in_progress() > 55);
        let answer = complete(&caller, 8, &[("sorrellock-deadline-ms", "50")]);

        assert_eq!((answer.status, &answer.outcome[..]), (504, "not-run"), "{}", answer.body);
        assert!(answer.json()["detail"].as_str().unwrap().contains("would wait"));
        let wait: u64 = answer.retry_after.expect("a time to come back").parse().unwrap();
        assert!((1..=60).contains(&wait));
        flooded.join().expect("the flood ends");
    });
}

#[test]
fn huge_prompts_of_one_workspace_are_refused_and_leave_the_other_alone() {
    let fleet = small_fleet(1);
    set_rows(&fleet, vec![Row { tokens_per_s: 1e9, ..row(WORKSPACES[0].0) }]);
    let (huge, other) = (fleet.caller(0, 0), fleet.caller(0, 1));
    let prompt = "x".repeat(120_000);

    let (answers, others) = thread::scope(|scope| {
        let one = || scope.spawn(|| huge.complete(MODEL, &prompt, 1).expect("an answer comes"));
        let flood: Vec<_> = (0..40).map(|_| one()).collect();
        wait_for("prompts wait", || fleet.in_progress() > 10);
        let others = one_after_another(&other, 5);
        let answers: Vec<_> = flood.into_iter().map(|one| one.join().unwrap()).collect();
        (answers, others)
    });

    let refused: Vec<_> = answers.iter().filter(|answer| answer.status != 200).collect();
    assert!(!refused.is_empty(), "all {} huge prompts were taken", answers.len());
    assert!(refused.iter().all(|answer| answer.status == 429 && answer.retry_after.is_some()));
    assert_eq!(count(&others, 200), 5, "{others:?}");
}

#[test]
fn thousands_of_idle_connections_keep_nobody_out() {
    let fleet = small_fleet(1);
    let entry = fleet.entries[0].callers();

    let idle: Vec<TcpStream> = (0..2000).filter_map(|_| TcpStream::connect(entry).ok()).collect();
    let answers = one_after_another(&fleet.caller(0, 1), 5);

    assert_eq!(idle.len(), 2000);
    assert_eq!(count(&answers, 200), 5);
}

#[test]
fn the_limit_of_a_row_holds_and_tells_when_to_come_back() {
    let fleet = small_fleet(1);
    set_rows(&fleet, vec![Row { requests_per_s: 5.0, ..row(ROUTINE.1) }, row(URGENT.1)]);

    let answers = flood(&fleet.caller(0, ROUTINE.0), 40, 1);
    let others = flood(&fleet.caller(0, URGENT.0), 20, 1);

    let passed = count(&answers, 200);
    assert!((4..=12).contains(&passed), "{passed} passed");
    let refused: Vec<_> = answers.iter().filter(|answer| answer.status == 429).collect();
    assert_eq!(refused.len(), 40 - passed);
    assert!(refused.iter().all(|answer| answer.retry_after.is_some()));
    assert_eq!(count(&others, 200), 20);
}

#[test]
fn a_limit_in_flight_holds() {
    let fleet = small_fleet(1);
    set_rows(&fleet, vec![Row { in_flight: 3, ..row(ROUTINE.1) }, row(URGENT.1)]);

    let answers = flood(&fleet.caller(0, ROUTINE.0), 30, 30);

    let passed = count(&answers, 200);
    assert!((1..=10).contains(&passed), "{passed} passed");
    assert_eq!(passed + count(&answers, 429), 30);
}

#[test]
fn one_entry_keeps_a_limit_from_the_moment_at_which_they_know_each_other() {
    const RATE: f64 = 10.0;
    for _ in 0..4 {
        let fleet = small_fleet(2);
        set_rows(&fleet, vec![Row { requests_per_s: RATE, ..row(ROUTINE.1) }]);
        let both = [fleet.caller(0, ROUTINE.0), fleet.caller(1, ROUTINE.0)];

        let (passed, time) = offer(&both, Duration::from_millis(100));

        let most = RATE * (time.as_secs_f64() + 1.0) * 1.2;
        assert!(passed as f64 <= most, "{passed} in {time:?}");
    }
}

#[test]
fn a_limit_holds_over_two_entries_also_after_one_was_stopped() {
    const RATE: f64 = 40.0;
    let fleet = small_fleet(2);
    set_rows(&fleet, vec![Row { requests_per_s: RATE, ..row(ROUTINE.1) }, row(URGENT.1)]);
    let both = [fleet.caller(0, ROUTINE.0), fleet.caller(1, ROUTINE.0)];

    let (passed, time) = offer(&both, Duration::from_millis(1500));
    fleet.entries[0].stop();
    let (passed_alone, time_alone) = offer(&both[1..], Duration::from_millis(3000));

    let most = |time: Duration| RATE * (time.as_secs_f64() + 1.0) * 1.2;
    assert!(passed as f64 <= most(time), "{passed} in {time:?}");
    assert!(passed_alone as f64 <= most(time_alone), "{passed_alone} alone in {time_alone:?}");
    assert!(passed >= RATE as usize / 2, "{passed} in {time:?}");
    assert!(passed_alone >= RATE as usize / 2, "{passed_alone} alone in {time_alone:?}");
}

/// Sends through each caller again and again; how many passed in what time.
fn offer(callers: &[Caller], time: Duration) -> (usize, Duration) {
    let start = Instant::now();
    let send = |caller: &Caller| {
        let mut passed = 0;
        while start.elapsed() < time {
            passed += usize::from(complete(caller, 1, &[]).status == 200);
        }
        passed
    };
    let passed = thread::scope(|scope| {
        let threads: Vec<_> =
            callers.iter().flat_map(|caller| (0..3).map(move |_| caller)).collect();
        let threads: Vec<_> =
            threads.into_iter().map(|caller| scope.spawn(move || send(caller))).collect();
        threads.into_iter().map(|thread| thread.join().expect("a caller ends")).sum()
    });
    (passed, start.elapsed())
}
