//! Requests whose turn comes late, as the gateway did nothing for a while.

use crate::fleet::{Fleet, fleet, new_request};
use crate::gateway_process::GatewayProcess;
use sorrellock_stand_ins::{HOST, KEY};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const CALLERS: usize = 20;
/// Time for bytes to reach the gateway's socket.
const SHORT_WHILE: Duration = Duration::from_millis(100);
/// Time for a request to reach an endpoint.
const LONG_WHILE: Duration = Duration::from_millis(1_000);

fn request(path: &str) -> String {
    let id = new_request();
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: 30000\r\n\
         token-count: 10,40\r\nmodel: m\r\nauthorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Opens a connection on which a first call has been answered.
fn kept_connection(gateway: &GatewayProcess) -> TcpStream {
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    caller.write_all(request("/status/a").as_bytes()).expect("the first request");
    let mut buf = [0; 4096];
    let len = caller.read(&mut buf).expect("the first answer");
    assert!(buf[..len].starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buf[..len]));
    caller
}

/// Has callers send a request each and leave while the gateway stands still.
fn leave_unread(gateway: &GatewayProcess, callers: Vec<TcpStream>, path: &str) {
    thread::sleep(SHORT_WHILE);
    gateway.pause();
    for mut caller in callers {
        caller.write_all(request(path).as_bytes()).expect("the request");
    }
    thread::sleep(SHORT_WHILE);
    gateway.resume();
    thread::sleep(LONG_WHILE);
}

fn sent(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|engine| engine.seen().requests.len()).sum()
}

#[test]
fn a_stream_whose_caller_left_before_its_turn_is_not_sent_on() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let callers = (0..CALLERS).map(|_| kept_connection(&gateway)).collect();

    leave_unread(&gateway, callers, "/match/a");

    assert_eq!(sent(&fleet), 0);
}

#[test]
fn a_call_whose_caller_left_before_its_turn_is_not_sent_on() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let callers = (0..CALLERS).map(|_| kept_connection(&gateway)).collect();
    let before = fleet.service.arrivals().len();

    leave_unread(&gateway, callers, "/status/a");

    assert_eq!(fleet.service.arrivals().len() - before, 0);
}

#[test]
fn a_new_connection_that_was_closed_before_its_turn_brings_no_request() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    gateway.pause();
    for _ in 0..CALLERS {
        let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
        caller.write_all(request("/match/a").as_bytes()).expect("the request");
    }

    leave_unread(&gateway, Vec::new(), "/match/a");

    assert_eq!(sent(&fleet), 0);
}
