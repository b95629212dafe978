//! Requests by cause, from the logs of gateways.

use sorrellock_cli::explain::{
    Account, Aims, Cause, GroupCounts, Grouping, LogLine, common_reason,
};
use std::fs;
use std::process::Command;

const AIMS: Aims = Aims { first_ms: 600, pause_ms: 300, period_ms: 1_000 };

fn line(at: u64, event: &str, fields: &str) -> String {
    format!(r#"{{"level":"info","timestamp":{at},"payload":"{event}","kv":{{{fields}}},"tid":1}}"#)
}

fn taken(at: u64, request: &str) -> String {
    line(at, "request taken", &format!(r#""request":"{request}""#))
}

fn step(event: &str, request: &str) -> String {
    line(2_000, event, &format!(r#""request":"{request}""#))
}

fn ended(request: &str, outcome: &str, why: &str) -> String {
    let fields = format!(r#""request":"{request}","outcome":"{outcome}","ms":9,"why":"{why}""#);
    line(3_000, "request ended", &fields)
}

fn stream(request: &str, first_ms: u64, pause_ms: u64, failovers: u64) -> String {
    let why = format!(
        "9 events, first in {first_ms} ms, longest pause {pause_ms} ms after 3, {failovers} failovers, last over e"
    );
    ended(request, "answered", &why)
}

fn causes(lines: &[String]) -> Vec<(Cause, u64)> {
    let mut account = Account::new(AIMS);
    lines.iter().filter_map(|line| LogLine::parse(line)).for_each(|line| account.add(&line));
    account.finish().by_cause()
}

#[test]
fn streams_that_keep_to_the_aims_and_calls_have_no_cause() {
    let lines = [
        taken(1_000, "a"),
        stream("a", 600, 300, 1),
        taken(1_000, "b"),
        ended("b", "answered", "answered by e"),
        ended("c", "not allowed", "no route"),
    ];

    assert_eq!(causes(&lines), []);
}

#[test]
fn late_streams_count_by_what_happened_to_them() {
    let lines = [
        taken(1_000, "a"),
        step("request sent", "a"),
        stream("a", 601, 0, 0),
        taken(1_000, "b"),
        step("request sent", "b"),
        step("request sent", "b"),
        stream("b", 601, 400, 1),
        taken(1_000, "c"),
        stream("c", 50, 301, 1),
        taken(1_000, "d"),
        step("stream moved to another path", "d"),
        stream("d", 50, 301, 0),
        taken(1_000, "e"),
        step("stream waits for a repair", "e"),
        stream("e", 50, 301, 1),
        taken(1_000, "f"),
        stream("f", 50, 301, 0),
    ];

    let mut found: Vec<Cause> = causes(&lines).into_iter().map(|(cause, _)| cause).collect();

    found.sort();
    let expected = [
        Cause::FirstEventLate,
        Cause::FirstEventAfterRepeat,
        Cause::PauseByFailover,
        Cause::PauseByRepair,
        Cause::PauseByMove,
        Cause::Pause,
    ];
    assert_eq!(found, expected);
}

#[test]
fn requests_without_an_answer_count_by_their_reason() {
    let lines = [
        taken(1_000, "a"),
        ended("a", "not run", "all paths are full: espoo open 36% of 158537 tokens"),
        taken(1_000, "b"),
        ended("b", "not run", "all paths are full: vantaa open 99% of 8 tokens"),
        taken(1_000, "c"),
        ended("c", "may have run", "i-d67c642d66: no answer in 399 ms"),
        taken(1_000, "d"),
    ];

    let found = causes(&lines);

    let full = Cause::Refused("all paths are full".to_owned());
    let silent = Cause::Failed("no answer in N ms".to_owned());
    assert_eq!(found, [(full, 2), (silent, 1), (Cause::NoEnd, 1)]);
}

#[test]
fn reasons_lose_ids_numbers_and_details() {
    assert_eq!(common_reason("no engines hold all layers: espoo 4"), "no engines hold all layers");
    assert_eq!(common_reason("i-1: connect: refused"), "connect");
}

#[test]
fn the_command_prints_causes_and_writes_periods() {
    let dir = std::env::temp_dir().join(format!("explain-{}", std::process::id()));
    fs::create_dir_all(&dir).expect("a folder");
    let (log, csv) = (dir.join("day.log"), dir.join("day.csv"));
    let lines = [
        format!("  12.5 front-1 {}", taken(1_000, "a")),
        "worth 0.5".to_owned(),
        stream("a", 700, 0, 0),
        taken(3_500, "b"),
    ];
    fs::write(&log, lines.join("\n")).expect("the log");

    let ran = Command::new(env!("CARGO_BIN_EXE_sorrellock"))
        .args(["explain", "--period-ms", "1000", "--csv"])
        .args([&csv, &log])
        .output()
        .expect("it runs");

    let output = String::from_utf8_lossy(&ran.stdout).into_owned();
    assert!(ran.status.success(), "{}", String::from_utf8_lossy(&ran.stderr));
    assert!(output.starts_with("2 requests"), "{output}");
    assert!(output.contains("first event late"), "{output}");
    let text = fs::read_to_string(&csv).expect("the CSV");
    let expected =
        "start_s,taken,cause,requests\n0,1,first event late,1\n2,1,no end: its gateway ended,1\n";
    assert_eq!(text, expected);
    let _ = fs::remove_dir_all(&dir);
}

#[test]
fn a_log_that_is_not_there_is_named() {
    let ran = Command::new(env!("CARGO_BIN_EXE_sorrellock"))
        .args(["explain", "/nowhere/day.log"])
        .output()
        .expect("it runs");

    assert_eq!(ran.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&ran.stderr).contains("can't read /nowhere/day.log"));
}

#[test]
fn requests_are_counted_by_a_field_of_their_first_line() {
    let taken = |request: &str, workspace: &str, rank: u32| {
        let fields = format!(
            r#""request":"{request}","workspace":"{workspace}","rank":{rank},"route":"r","at":"north""#
        );
        line(1_000, "request taken", &fields)
    };
    let lines = [
        taken("a", "treasury", 0),
        ended("a", "not run", "no capacity in time"),
        taken("b", "treasury", 1),
        stream("b", 601, 0, 0),
        taken("c", "", 1),
    ];
    let by = |grouping| {
        let mut account = Account::new(AIMS).with_grouping(Some(grouping));
        lines.iter().filter_map(|line| LogLine::parse(line)).for_each(|line| account.add(&line));
        account.finish().groups().clone()
    };

    let workspaces = by(Grouping::Workspace);
    let ranks = by(Grouping::Rank);

    let counts = |taken, refused, late, failed| GroupCounts { taken, refused, late, failed };
    assert_eq!(workspaces["treasury"], counts(2, 1, 1, 0));
    assert_eq!(workspaces["-"], counts(1, 0, 0, 1), "no workspace");
    assert_eq!(ranks["1"], counts(2, 0, 1, 1));
    assert_eq!(by(Grouping::Route)["r"].taken, 3);
    assert_eq!(by(Grouping::DataCentre)["north"].taken, 3);
    assert_eq!(Grouping::parse("data-centre"), Some(Grouping::DataCentre));
}
