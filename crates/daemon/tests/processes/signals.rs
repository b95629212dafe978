//! Graceful shutdown and the other signals.

use crate::daemon_process::wait_until;
use crate::process_fleet::{ProcessFleet, expected};
use nix::sys::signal::Signal;
use sorrellock_local::MODEL;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;

/// Tokens of an answer that runs while signals come.
const TOKENS: u32 = 250;
/// Exit code of a process that ended before its work did.
const CUT_OFF: i32 = 3;

#[test]
fn the_first_sigterm_drains_the_entry() {
    let mut fleet = ProcessFleet::start();
    let (caller, late) = (fleet.caller(0), fleet.caller(1));
    let seen = AtomicU32::new(0);
    let count = |_: &str| {
        seen.fetch_add(1, Ordering::Relaxed);
    };

    let (text, refused) = thread::scope(|scope| {
        let stream = scope.spawn(|| caller.stream(MODEL, "Fetch the status.", TOKENS, count));
        wait_until(|| seen.load(Ordering::Relaxed) > 0, || "no token came".into());
        fleet.entry.signal(Signal::SIGTERM);
        wait_until(|| fleet.dump()["draining"] == true, || fleet.entry.log());
        let refused = late.complete(MODEL, "Too late.", 4);
        (stream.join().unwrap(), refused)
    });

    assert_eq!(text.unwrap(), expected("Fetch the status.", TOKENS));
    let refused = refused.unwrap();
    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{}", refused.body);
    assert!(refused.retry_after.is_some(), "no Retry-After in {refused:?}");
    assert_eq!(refused.json()["title"], "leaving");
    assert_eq!(fleet.entry.wait().code(), Some(0), "{}", fleet.entry.log());
    let record = fleet.engines[0].record();
    let sessions: BTreeSet<_> = record.totals.keys().map(|(session, _)| session).collect();
    assert_eq!(sessions.len(), 1, "the refused request ran");
}

#[test]
fn the_second_sigterm_ends_the_entry_at_once() {
    let mut fleet = ProcessFleet::start();
    let caller = fleet.caller(0);
    let seen = AtomicU32::new(0);
    let count = |_: &str| {
        seen.fetch_add(1, Ordering::Relaxed);
    };

    let (status, text) = thread::scope(|scope| {
        let stream = scope.spawn(|| caller.stream(MODEL, "Never ends.", 30_000, count));
        wait_until(|| seen.load(Ordering::Relaxed) > 0, || "no token came".into());
        fleet.entry.signal(Signal::SIGTERM);
        fleet.entry.wait_for_log("leaving:");
        fleet.entry.signal(Signal::SIGTERM);
        (fleet.entry.wait(), stream.join().unwrap())
    });

    assert_eq!(status.code(), Some(CUT_OFF), "{}", fleet.entry.log());
    assert!(text.is_err(), "a cut answer passed as whole");
}

#[test]
fn sigterm_drains_a_daemon_beside_an_engine() {
    let mut fleet = ProcessFleet::start();
    let caller = fleet.caller(0);
    let seen = AtomicU32::new(0);
    let count = |_: &str| {
        seen.fetch_add(1, Ordering::Relaxed);
    };

    let text = thread::scope(|scope| {
        let stream = scope.spawn(|| caller.stream(MODEL, "Finish this.", TOKENS, count));
        wait_until(|| seen.load(Ordering::Relaxed) > 0, || "no token came".into());
        fleet.beside[1].signal(Signal::SIGTERM);
        stream.join().unwrap()
    });

    assert_eq!(text.unwrap(), expected("Finish this.", TOKENS));
    assert_eq!(fleet.beside[1].wait().code(), Some(0), "{}", fleet.beside[1].log());
}

#[test]
fn sigusr1_writes_the_state_to_the_log() {
    let fleet = ProcessFleet::start();

    fleet.entry.signal(Signal::SIGUSR1);
    fleet.beside[0].signal(Signal::SIGUSR1);

    fleet.entry.wait_for_log("state: {");
    fleet.beside[0].wait_for_log("state: {");
    assert!(fleet.entry.log().contains("\"role\":\"entry\""));
    assert!(!fleet.entry.log().contains("key-treasury"), "a key stands in the log");
}
