//! Requests that come while a gateway shuts down in calm, until it is gone.
//!
//! Reported of other systems: such requests were taken and passed on, and cut without an answer at the end of the grace.

use crate::fleet::{KEY, config, fleet, new_request, try_send};
use crate::gateway_process::GatewayProcess;
use nix::sys::signal::Signal;
use serde_json::json;
use sorrellock_stand_ins::{FakeService, HOST, ServiceMode, new_ip};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

const CALLERS: usize = 16;
const GAP: Duration = Duration::from_millis(20);

/// A request as its caller saw it.
struct Seen {
    request: String,
    /// Its status, and whether its body came whole; nothing where the connection closed first.
    answer: Option<(u16, bool)>,
}

/// Sends requests one after the other until the gateway is gone.
fn call_until_gone(to: SocketAddr, path: &str, is_gone: &AtomicBool) -> Vec<Seen> {
    let mut all = Vec::new();
    while !is_gone.load(Ordering::Relaxed) {
        let request = new_request();
        let answer = try_send(to, path, &request).map(|answer| (answer.status, answer.is_whole));
        if answer.is_none() {
            thread::sleep(GAP);
        }
        all.push(Seen { request, answer });
    }
    all
}

/// Stops the gateway while callers send to `path` until it is gone. Returns what they saw.
fn stop_under_load(gateway: &mut GatewayProcess, path: &str) -> Vec<Seen> {
    let (to, is_gone) = (gateway.callers(), AtomicBool::new(false));
    thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|_| scope.spawn(|| call_until_gone(to, path, &is_gone))).collect();
        thread::sleep(Duration::from_millis(700));
        gateway.signal(Signal::SIGTERM);
        assert_eq!(gateway.wait(), Some(0));
        is_gone.store(true, Ordering::Relaxed);
        callers.into_iter().flat_map(|caller| caller.join().expect("what it saw")).collect()
    })
}

fn assert_none_lost(seen: &[Seen], runs: impl Fn(&str) -> u32) {
    let is_lost = |one: &&Seen| runs(&one.request) > 0 && !matches!(one.answer, Some((_, true)));
    let lost: Vec<_> = seen.iter().filter(is_lost).map(|one| &one.request).collect();
    assert!(
        lost.is_empty(),
        "{} of {} ran and got no whole answer: {lost:?}",
        lost.len(),
        seen.len()
    );
    let refused = seen.iter().filter(|one| one.answer.is_some_and(|(status, _)| status == 503));
    let refused_run = refused.filter(|one| runs(&one.request) > 0).count();
    assert_eq!(refused_run, 0, "requests that ran were refused as not run");
    assert!(seen.iter().any(|one| one.answer == Some((200, true))), "none was served");
}

#[test]
fn calls_that_come_until_the_end_are_answered_where_they_ran() {
    for work in [30, 400, 1_500, 3_000].map(Duration::from_millis) {
        let fleet = fleet();
        let mut gateway = fleet.gateway("one");
        fleet.service.set_mode(ServiceMode::ServesAfter(work));
        let seen = stop_under_load(&mut gateway, "/status/a");

        assert_none_lost(&seen, |request| fleet.service.runs(request));
    }
}

#[test]
fn a_service_that_slows_down_after_the_signal_costs_no_answer() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    fleet.service.set_mode(ServiceMode::ServesAfter(GAP));
    let service = fleet.service.clone();
    let slowing = thread::spawn(move || {
        thread::sleep(Duration::from_millis(3_000));
        service.set_mode(ServiceMode::ServesAfter(Duration::from_millis(2_000)));
    });
    let seen = stop_under_load(&mut gateway, "/status/a");
    slowing.join().expect("the change");

    assert_none_lost(&seen, |request| fleet.service.runs(request));
}

#[test]
fn streams_that_come_until_the_end_are_whole_where_they_ran() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    let seen = stop_under_load(&mut gateway, "/match/a");

    assert_none_lost(&seen, |request| fleet.runs(request));
}

#[test]
fn streams_of_a_service_without_a_model_are_whole_where_they_ran() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    let mut cfg = config(2, &[KEY]);
    cfg["routes"].as_array_mut().expect("routes").push(json!({
        "name": "alerts", "host": HOST, "path_prefix": "/alerts/", "kind": "streaming",
        "timeout_ms": 20_000, "target_latency_ms": 500, "priority": 1, "service": "ledger",
        "max_attempts": 2, "public": false, "stream_resume": false,
    }));
    fleet.store.put("config", "main", cfg);
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    let second = second.expect("a second endpoint");
    second.set_mode(ServiceMode::Streams(GAP));
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);
    let seen = stop_under_load(&mut gateway, "/alerts/a");

    assert_none_lost(&seen, |request| fleet.service.runs(request) + second.runs(request));
}
