//! Start, signals, logs, metrics and bad settings.

use crate::fleet::{Fleet, KEY, begin, fleet, new_request, read_rest, send, whole_stream};
use crate::gateway_process::{GatewayProcess, command, settings, wait_for, write_settings};
use nix::sys::signal::Signal;
use sorrellock_stand_ins::new_ip;

#[test]
fn sigterm_lets_a_stream_finish_and_ends_in_order() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    let (head, mut body) = begin(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    assert_eq!(head.status, 200);

    gateway.signal(Signal::SIGTERM);
    wait_for("readiness to fail", || !gateway.is_ready());
    let all = read_rest(&mut body);

    assert_eq!(all, whole_stream());
    assert_eq!(gateway.wait(), Some(0));
    gateway.wait_for_line(&["\"gateway leaving\"", "\"in_flight\":1"]);
    gateway.wait_for_line(&["\"gateway ended\"", "\"in_flight\":0"]);
}

#[test]
fn a_gateway_that_ends_refuses_streams_that_may_outlast_it_and_serves_calls() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let mut refused = None;

    gateway.signal(Signal::SIGTERM);
    wait_for("a stream to be refused", || {
        let request = new_request();
        let answer = send(gateway.callers(), "/match/a", &request, Some(KEY));
        refused = (answer.status != 200).then_some((request, answer));
        refused.is_some()
    });
    let call = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

    let (request, answer) = refused.expect("one was refused");
    assert_eq!(answer.status, 503);
    // No other gateway is there: its successor is ready after its end, 7.5 s after the signal, and a
    // caller waits for three tenths of its 20 s at most.
    let wait: f64 = answer.retry_after.expect("a time").parse().expect("seconds");
    assert!(wait > 2.0 && wait <= 6.0, "{wait}");
    assert_eq!(fleet.runs(&request), 0);
    assert_eq!(call.status, 200);
    gateway.wait_for_line(&["\"request ended\"", &request, "this gateway ends"]);
}

#[test]
fn sighup_reads_the_settings_again_and_breaks_nothing() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    gateway.signal(Signal::SIGHUP);

    gateway.wait_for_line(&["settings reloaded"]);
    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    assert_eq!(answer.status, 200);
}

#[test]
fn each_final_outcome_has_its_line() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let requests: Vec<String> = (0..4).map(|_| new_request()).collect();

    send(gateway.callers(), "/match/a", &requests[0], Some(KEY));
    send(gateway.callers(), "/status/a", &requests[1], Some(KEY));
    send(gateway.callers(), "/nowhere/a", &requests[2], Some(KEY));
    send(gateway.callers(), "/status/a", &requests[3], Some("no key"));

    for (request, outcome) in
        requests.iter().zip(["answered", "answered", "not allowed", "not allowed"])
    {
        let line = gateway.wait_for_line(&["\"request ended\"", request]);
        assert!(line.contains(outcome), "{line}");
        assert_eq!(gateway.lines(&["\"request ended\"", request]).len(), 1);
    }
}

#[test]
fn a_log_that_nobody_reads_delays_no_request() {
    let fleet = fleet();
    let gateway = unread_gateway(&fleet);

    fill_log(&gateway);

    assert!(counter(&gateway, "sorrellock_log_lines_dropped") > 0);
}

#[test]
fn a_full_log_keeps_the_failures() {
    let fleet = fleet();
    let mut gateway = unread_gateway(&fleet);
    let failed: Vec<String> = (0..20).map(|_| new_request()).collect();
    fill_log(&gateway);

    for request in &failed {
        assert_eq!(send(gateway.callers(), "/status/a", request, Some("no key")).status, 401);
    }
    let served = new_request();
    assert_eq!(send(gateway.callers(), "/status/a", &served, Some(KEY)).status, 200);
    gateway.read_log();

    for request in &failed {
        gateway.wait_for_line(&["\"request ended\"", "not allowed", request]);
    }
    assert_eq!(counter(&gateway, "sorrellock_log_failures_dropped"), 0);
    assert_eq!(gateway.lines(&[&served]).len(), 0, "the log was not full");
}

/// A gateway that serves, and whose log nobody reads.
fn unread_gateway(fleet: &Fleet) -> GatewayProcess {
    let gateway = GatewayProcess::start_unread("one", "north", fleet.store.addr());
    wait_for("a stream to be served", || {
        gateway.is_ready()
            && send(gateway.callers(), "/match/a", &new_request(), Some(KEY)).status == 200
    });
    gateway
}

/// Sends requests until the lines of an unread log fill the pipe and the buffer: each leaves over
/// 500 bytes.
fn fill_log(gateway: &GatewayProcess) {
    for _ in 0..2_500 {
        let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
        assert_eq!(answer.status, 200);
    }
}

/// A counter's value on the metrics page.
fn counter(gateway: &GatewayProcess, name: &str) -> u64 {
    let url = format!("http://{}/metrics", gateway.metrics());
    let page = ureq::get(url).call().expect("metrics").into_body().read_to_string();
    let page = page.expect("text");
    let value = page.lines().find_map(|line| line.strip_prefix(&format!("{name} ")));
    value.expect("the counter").parse().expect("a number")
}

#[test]
fn changed_bounds_are_in_force_after_a_hang_up() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");

    // As long as is kept for the end itself: nothing that runs is waited for.
    gateway.change_settings(|text| text.replace("grace_s = 8", "grace_s = 0.5"));
    let line = gateway.wait_for_line(&["\"bounds changed\""]);
    let (head, _body) = begin(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    gateway.signal(Signal::SIGTERM);

    assert_eq!(head.status, 200);
    assert!(line.contains("500ms"), "{line}");
    assert_eq!(gateway.wait(), Some(0));
    gateway.wait_for_line(&["\"gateway ended\"", "\"in_flight\":1"]);
}

#[test]
fn a_changed_address_waits_for_a_restart_and_says_so() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    gateway.change_settings(|text| text.replace("node_name = \"one\"", "node_name = \"two\""));

    let line = gateway.wait_for_line(&["settings changed"]);
    assert!(line.contains("restart"), "{line}");
}

#[test]
fn metrics_tell_counters_and_latencies() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    send(gateway.callers(), "/match/a", &new_request(), Some(KEY));

    let url = format!("http://{}/metrics", gateway.metrics());
    let page = ureq::get(url).call().expect("metrics").into_body().read_to_string();

    let page = page.expect("text");
    for name in ["sorrellock_requests 1", "sorrellock_answered 1", "first_byte_us{q=\"p99.9\"}"] {
        assert!(page.contains(name), "no {name} in:\n{page}");
    }
}

#[test]
fn bad_settings_end_the_process_and_name_the_field() {
    let good = settings("one", "north", new_ip(), "127.0.0.1:1".parse().expect("an address"));
    let table = [
        ("grace_s = 8", "grace_s = -1", "bounds.grace_s"),
        ("address = \"127.0.0.1:1\"", "address = \"here\"", "platform.address"),
        ("node_name = \"one\"", "", "node_name"),
    ];

    for (index, (from, to, field)) in table.into_iter().enumerate() {
        let path = write_settings(&format!("bad-{index}"), &good.replace(from, to));
        for role in [&["gateway"][..], &["check", "gateway"]] {
            let out = command(role, &path).output().expect("the command runs");
            let errors = String::from_utf8_lossy(&out.stderr).into_owned();
            assert_eq!(out.status.code(), Some(2), "{role:?}: {errors}");
            assert!(errors.contains(field), "{role:?}: no {field} in {errors}");
        }
    }
}

#[test]
fn changed_bounds_are_in_force_also_where_no_signal_tells_of_them() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    gateway.change_settings_unsaid(|text| text.replace("grace_s = 8", "grace_s = 0.5"));

    let line = gateway.wait_for_line(&["\"bounds changed\""]);
    assert!(line.contains("grace: 500ms"), "{line}");
}
