//! A new configuration changes the limits of callers while their connections are open.
//!
//! What callers saw: a connection was closed under them, or their request on it was lost, though they had been idle for less than the limit of
//! the configuration that was in force.
//!
//! The order of events: a caller opens a connection under one configuration; a newer one raises the idle limit; the caller stays idle for longer
//! than the old limit and shorter than the new one. The gateway read the limits once, as it accepted the connection.

use crate::fleet::{HOST, KEY, config, fleet, new_request};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{FakeStore, ServiceMode};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const SHORT_LIMIT: Duration = Duration::from_millis(1_000);
const LONG_LIMIT: Duration = Duration::from_millis(6_000);
/// Beyond the short limit and what is added to it, below four fifths of the long one.
const IDLE: Duration = Duration::from_millis(3_000);

fn set_idle_limit(store: &FakeStore, version: u64, limit: Duration) {
    let mut cfg = config(version, &[KEY]);
    cfg["limits"]["idle_timeout_ms"] = (limit.as_millis() as u64).into();
    store.put("config", "main", cfg);
}

fn wait_in_force(gateway: &GatewayProcess, version: u64) {
    gateway.wait_for_line(&["\"configuration in force\"", &format!("\"version\":{version},")]);
}

/// Makes a call on an open connection. The status line of its answer; nothing where the connection was closed.
fn call(caller: &mut TcpStream) -> Option<String> {
    let answer = exchange(caller, "")?;
    answer.lines().next().map(str::to_owned)
}

/// Makes a call with a header of this value. The head of its answer; nothing where the connection was closed.
fn exchange(caller: &mut TcpStream, padding: &str) -> Option<String> {
    let head = format!(
        "POST /status/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {}\r\n\
         authorization: Bearer {KEY}\r\nx-padding: {padding}\r\ncontent-length: 0\r\n\r\n",
        new_request()
    );
    caller.write_all(head.as_bytes()).ok()?;
    let mut buf = [0; 4096];
    let len = caller.read(&mut buf).ok().filter(|len| *len > 0)?;
    Some(String::from_utf8_lossy(&buf[..len]).into_owned())
}

#[test]
fn a_connection_may_be_idle_for_as_long_as_the_newest_configuration_allows() {
    let fleet = fleet();
    set_idle_limit(&fleet.store, 2, SHORT_LIMIT);
    let gateway = fleet.gateway("one");
    wait_in_force(&gateway, 2);
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));

    set_idle_limit(&fleet.store, 3, LONG_LIMIT);
    wait_in_force(&gateway, 3);
    thread::sleep(IDLE);
    let answer = call(&mut caller);

    assert_eq!(answer.as_deref(), Some("HTTP/1.1 200 OK"));
}

#[test]
fn a_connection_may_be_idle_for_as_long_as_was_allowed_when_it_became_idle() {
    let fleet = fleet();
    set_idle_limit(&fleet.store, 2, LONG_LIMIT);
    let gateway = fleet.gateway("one");
    wait_in_force(&gateway, 2);
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));

    set_idle_limit(&fleet.store, 3, SHORT_LIMIT);
    wait_in_force(&gateway, 3);
    thread::sleep(IDLE);
    let answer = call(&mut caller);

    assert_eq!(answer.as_deref(), Some("HTTP/1.1 200 OK"));
}

#[test]
fn a_connection_is_closed_once_it_is_idle_beyond_the_newest_limit() {
    let fleet = fleet();
    set_idle_limit(&fleet.store, 2, LONG_LIMIT);
    let gateway = fleet.gateway("one");
    wait_in_force(&gateway, 2);
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));
    set_idle_limit(&fleet.store, 3, SHORT_LIMIT);
    wait_in_force(&gateway, 3);
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));

    thread::sleep(IDLE);
    let answer = call(&mut caller);

    assert_eq!(answer, None);
}

/// Beyond the limit of the first configuration, below that of the second one.
const LARGE_HEADER: usize = 30_000;

fn set_head_limit(store: &FakeStore, version: u64, bytes: usize) {
    let mut cfg = config(version, &[KEY]);
    cfg["limits"]["max_header_bytes"] = bytes.into();
    store.put("config", "main", cfg);
}

/// Guards against a proper request that is denied with 431 on a connection which was opened under a smaller limit.
#[test]
fn a_connection_that_takes_smaller_heads_than_the_newest_configuration_allows_is_closed_unused() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));

    set_head_limit(&fleet.store, 2, 2 * LARGE_HEADER);
    wait_in_force(&gateway, 2);
    caller.set_read_timeout(Some(SHORT_LIMIT)).expect("a timeout");
    let closed = caller.read(&mut [0; 64]);
    let mut next = TcpStream::connect(gateway.callers()).expect("a connection");
    let large = exchange(&mut next, &"x".repeat(LARGE_HEADER)).expect("an answer");

    assert_eq!(closed.expect("the end of the connection"), 0);
    assert!(large.starts_with("HTTP/1.1 200"), "{large}");
}

#[test]
fn a_connection_takes_heads_of_the_size_that_is_allowed_when_its_first_one_comes() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    thread::sleep(Duration::from_millis(100));

    set_head_limit(&fleet.store, 2, 2 * LARGE_HEADER);
    wait_in_force(&gateway, 2);
    let large = exchange(&mut caller, &"x".repeat(LARGE_HEADER)).expect("an answer");

    assert!(large.starts_with("HTTP/1.1 200"), "{large}");
}

#[test]
fn a_connection_whose_request_is_served_while_heads_may_become_larger_is_closed_after_its_answer() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));
    fleet.service.set_mode(ServiceMode::ServesAfter(SHORT_LIMIT));

    let serving = thread::spawn(move || exchange(&mut caller, "").expect("an answer"));
    wait_for("the request to be served", || fleet.service.requests() == 2);
    set_head_limit(&fleet.store, 2, 2 * LARGE_HEADER);
    wait_in_force(&gateway, 2);
    let last = serving.join().expect("an answer");

    assert!(last.starts_with("HTTP/1.1 200"), "{last}");
    assert!(last.contains("\r\nconnection: close\r\n"), "{last}");
}

#[test]
fn a_connection_takes_no_larger_heads_than_a_newer_configuration_allows() {
    let fleet = fleet();
    set_head_limit(&fleet.store, 2, 2 * LARGE_HEADER);
    let gateway = fleet.gateway("one");
    wait_in_force(&gateway, 2);
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    assert_eq!(call(&mut caller).as_deref(), Some("HTTP/1.1 200 OK"));

    set_head_limit(&fleet.store, 3, LARGE_HEADER / 2);
    wait_in_force(&gateway, 3);
    caller.set_read_timeout(Some(SHORT_LIMIT)).expect("a timeout");
    let closed = caller.read(&mut [0; 64]);

    assert_eq!(closed.expect("the end of the connection"), 0);
}
