//! What a gateway that was told to end takes, and what becomes of it.
//!
//! The story: all gateways of four data centres were replaced, one every quarter of a second. A
//! caller's answer broke off in the middle. Its gateway had been told to end 3.0 s before it took the
//! request, passed it on at once to an engine that ran it without a fault, and ended by itself 7.5 s
//! after the signal, 4.5 s into the answer.
//!
//! The cause: a process on its way out took work, or held answers, that it couldn't finish before its
//! own end. The evidence: nothing broke at the engine, the request waited 6 ms in the gateway, and the
//! connection closed right when the process ends by itself. The tests here show the same cause in
//! whatever else such a process takes.

use crate::fleet::{HOST, KEY, begin, fleet, new_request, send};
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use sorrellock_stand_ins::{EngineMode, FakeService, ServiceMode, new_ip};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

/// Longer than any gateway here lives after its signal.
const OUTLASTS_ALL: Duration = Duration::from_secs(12);

/// Shortens the time between the signal and the kill, of which the gateway keeps half a second.
fn set_grace(gateway: &GatewayProcess, seconds: f64) {
    gateway.change_settings(|text| text.replace("grace_s = 8", &format!("grace_s = {seconds}")));
    gateway.wait_for_line(&["\"bounds changed\""]);
}

fn wait_for_run(service: &FakeService, request: &str) {
    wait_for("the service to run the call", || service.runs(request) == 1);
}

/// Sends a call on a connection that the caller keeps open, and reads nothing yet.
fn call_on_kept_connection(gateway: &GatewayProcess, request: &str) -> TcpStream {
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    let head = format!(
        "POST /status/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {request}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).expect("the head");
    caller
}

#[test]
fn a_call_that_outlasts_the_gateway_gets_a_final_answer() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    set_grace(&gateway, 3.5);
    fleet.service.set_mode(ServiceMode::ServesAfter(OUTLASTS_ALL));
    let (to, request) = (gateway.callers(), new_request());
    let id = request.clone();
    let call = thread::spawn(move || send(to, "/status/a", &id, Some(KEY)));
    wait_for_run(&fleet.service, &request);

    gateway.signal(Signal::SIGTERM);
    let answer = call.join().expect("an answer, not a closed connection");

    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(answer.retry_after, None, "it promises nothing");
    assert_eq!(gateway.wait(), Some(0));
    let line = gateway.wait_for_line(&["\"request ended\"", &request]);
    assert!(line.contains("this gateway ends"), "{line}");
}

#[test]
fn a_call_that_may_outlast_the_gateway_is_refused_and_runs_nowhere() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    set_grace(&gateway, 3.5);
    fleet.service.set_mode(ServiceMode::ServesAfter(Duration::from_millis(1_600)));
    let mut answers = Vec::new();

    gateway.signal(Signal::SIGTERM);
    wait_for("a call to be refused", || {
        let request = new_request();
        let answer = send(gateway.callers(), "/status/a", &request, Some(KEY));
        let is_refused = answer.status == 503;
        answers.push((request, answer));
        is_refused
    });

    let (refused, answer) = answers.pop().expect("the last one");
    assert!(answer.retry_after.is_some(), "{answer:?}");
    assert_eq!(fleet.service.runs(&refused), 0);
    assert!(answers.iter().all(|(_, answer)| answer.status == 200), "{answers:?}");
    let line = gateway.wait_for_line(&["\"refused as this gateway ends\"", &refused]);
    assert!(line.contains("\"since_ms\"") && line.contains("\"left_ms\""), "{line}");
}

#[test]
fn a_gateway_ends_after_its_callers_have_read_their_answers() {
    // Far beyond what the sockets hold by themselves.
    const BYTES: usize = 15 << 20;
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    fleet.service.set_mode(ServiceMode::ServesLarge(BYTES));
    let request = new_request();
    let mut caller = call_on_kept_connection(&gateway, &request);
    gateway.wait_for_line(&["\"request ended\"", "answered", &request]);

    gateway.signal(Signal::SIGTERM);
    // The caller reads on when the gateway has nothing else left to do.
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(5) && !gateway.has_ended() {
        thread::sleep(Duration::from_millis(10));
    }
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).expect("the answer");

    assert!(answer.len() > BYTES, "cut after {} bytes", answer.len());
    assert_eq!(gateway.wait(), Some(0));
}

#[test]
fn a_stream_that_the_gateway_cuts_by_its_end_is_told_as_such() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    set_grace(&gateway, 0.5);
    let request = new_request();
    let (head, _body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));

    gateway.signal(Signal::SIGTERM);

    assert_eq!(head.status, 200);
    assert_eq!(gateway.wait(), Some(0));
    gateway.wait_for_line(&["\"request ended\"", &request, "\"cut\"", "this gateway ended"]);
    gateway.wait_for_line(&["\"cut as this gateway ends\"", &request, "\"since_ms\""]);
    assert!(gateway.lines(&["caller gone", &request]).is_empty());
}

/// The call that waits keeps the gateway alive beyond the close of idle connections.
#[test]
fn a_new_connection_is_answered_as_long_as_the_gateway_runs() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    let before = new_request();
    let mut idle = call_on_kept_connection(&gateway, &before);
    gateway.wait_for_line(&["\"request ended\"", "answered", &before]);
    fleet.service.set_mode(ServiceMode::ServesAfter(Duration::from_secs(5)));
    let (to, slow) = (gateway.callers(), new_request());
    let id = slow.clone();
    let kept = thread::spawn(move || send(to, "/status/a", &id, Some(KEY)));
    wait_for_run(&fleet.service, &slow);
    fleet.service.set_mode(ServiceMode::Serves);

    gateway.signal(Signal::SIGTERM);
    idle.read_to_end(&mut Vec::new()).expect("the close of an idle connection");
    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

    assert_eq!(answer.status, 200);
    assert_eq!(kept.join().expect("an answer").status, 200);
}

#[test]
fn a_request_whose_body_has_not_come_when_the_gateway_ends_is_refused_as_not_run() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    set_grace(&gateway, 3.5);
    let request = new_request();
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    let head = format!(
        "POST /status/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {request}\r\n\
         authorization: Bearer {KEY}\r\ncontent-length: 10\r\n\r\nhalf"
    );
    caller.write_all(head.as_bytes()).expect("the head");

    gateway.signal(Signal::SIGTERM);
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");

    assert!(answer.starts_with("HTTP/1.1 503 "), "{answer:?}");
    assert!(answer.to_lowercase().contains("retry-after: "), "{answer}");
    assert_eq!(fleet.service.runs(&request), 0);
}

#[test]
fn a_refused_caller_is_told_to_come_back_at_once_only_where_another_gateway_is_ready() {
    let fleet = fleet();
    let gateways = [fleet.gateway("one"), fleet.gateway("two")];
    gateways[0].wait_for_line(&["\"gateway discovered\"", "two"]);
    let refusal = |gateway: &GatewayProcess| {
        let mut told = None;
        wait_for("a stream to be refused", || {
            let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
            told = answer.retry_after;
            answer.status == 503
        });
        told.expect("a time").parse::<f64>().expect("seconds")
    };

    gateways[0].signal(Signal::SIGTERM);
    let while_other_is_ready = refusal(&gateways[0]);
    gateways[1].signal(Signal::SIGTERM);
    gateways[1].wait_for_line(&["\"gateway leaving\""]);
    let while_both_leave = refusal(&gateways[1]);

    assert_eq!(while_other_is_ready, 0.0);
    assert!(while_both_leave > 0.0, "{while_both_leave}");
    for gateway in &gateways {
        gateway.wait_for_line(&["\"refused as this gateway ends\""]);
    }
}

#[test]
fn a_stream_that_loses_its_run_right_before_the_end_starts_no_other() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    set_grace(&gateway, 0.9);
    let request = new_request();
    let (_, mut body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));
    body.read_exact(&mut [0; 60]).expect("the first events");
    let runner = fleet.runner(&request).expect("an engine runs it");

    gateway.signal(Signal::SIGTERM);
    gateway.wait_for_line(&["\"gateway leaving\""]);
    runner.crash();

    assert!(body.read_to_string(&mut String::new()).is_err(), "a cut answer passed as whole");
    assert_eq!(fleet.runs(&request), 1, "a run was begun that nobody could read");
    assert_eq!(gateway.wait(), Some(0));
    gateway.wait_for_line(&["\"request ended\"", &request, "\"cut\"", "this gateway ends"]);
}

#[test]
fn a_stream_that_usually_outlasts_the_gateway_is_refused_right_after_the_signal() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    set_grace(&gateway, 1.1);
    // Each takes 0.8 s, and 0.6 s will be left.
    for _ in 0..2 {
        assert_eq!(send(gateway.callers(), "/match/a", &new_request(), Some(KEY)).status, 200);
    }

    gateway.signal(Signal::SIGTERM);
    gateway.wait_for_line(&["\"gateway leaving\""]);
    let request = new_request();
    let answer = send(gateway.callers(), "/match/a", &request, Some(KEY));

    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.retry_after.is_some());
    assert_eq!(fleet.runs(&request), 0);
}

/// The course of the story: kept connections on which requests still come after the signal. Each is closed
/// with its answer, so that each brings one stream.
#[test]
fn a_stream_that_comes_late_on_a_kept_connection_is_refused_and_none_is_cut() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");
    set_grace(&gateway, 3.5);
    assert_eq!(send(gateway.callers(), "/match/a", &new_request(), Some(KEY)).status, 200);
    let mut kept: Vec<TcpStream> = (0..8).map(|_| kept_connection(&gateway)).collect();
    let mut refused = None;

    gateway.signal(Signal::SIGTERM);
    gateway.wait_for_line(&["\"gateway leaving\""]);
    while refused.is_none() {
        let caller = kept.pop().expect("one was refused before all were used");
        let (request, answer) = stream_on(caller);
        let is_refused = answer.starts_with("HTTP/1.1 503 ");
        assert!(is_refused || answer.ends_with("\r\n0\r\n\r\n"), "cut: {answer}");
        refused = is_refused.then_some(request);
    }

    assert_eq!(fleet.runs(&refused.expect("the last one")), 0);
}

/// A connection on which a call was answered.
fn kept_connection(gateway: &GatewayProcess) -> TcpStream {
    let request = new_request();
    let mut caller = call_on_kept_connection(gateway, &request);
    let mut buf = [0; 4_096];
    let len = caller.read(&mut buf).expect("an answer");
    assert!(buf[..len].starts_with(b"HTTP/1.1 200 "));
    caller
}

/// Asks for a stream on a connection, and reads all that comes on it.
fn stream_on(mut caller: TcpStream) -> (String, String) {
    let request = new_request();
    let head = format!(
        "POST /match/a HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {request}\r\n\
         authorization: Bearer {KEY}\r\ntoken-count: 10,40\r\ncontent-length: 0\r\n\r\n"
    );
    caller.write_all(head.as_bytes()).expect("the head");
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    (request, answer)
}

#[test]
fn a_stream_without_its_first_event_at_the_end_gets_a_final_answer() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    set_grace(&gateway, 0.9);
    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::Mute));
    let (to, request) = (gateway.callers(), new_request());
    let id = request.clone();
    let stream = thread::spawn(move || send(to, "/match/a", &id, Some(KEY)));
    wait_for("an engine to run the stream", || fleet.runs(&request) == 1);

    gateway.signal(Signal::SIGTERM);
    let answer = stream.join().expect("an answer, not a closed connection");

    assert_eq!(answer.status, 502, "it may have run");
    assert_eq!(gateway.wait(), Some(0));
}

#[test]
fn calls_that_wait_at_the_end_all_get_a_final_answer_and_no_other_attempt() {
    const CALLS: usize = 60;
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    set_grace(&gateway, 3.5);
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    let services = [&fleet.service, &second.expect("the second endpoint")];
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);
    services.iter().for_each(|one| one.set_mode(ServiceMode::ServesAfter(OUTLASTS_ALL)));
    let runs = |id: &str| services.iter().map(|service| service.runs(id)).sum::<u32>();
    let to = gateway.callers();
    let requests: Vec<String> = (0..CALLS).map(|_| new_request()).collect();
    let send_one = |id: String| thread::spawn(move || send(to, "/status/a", &id, Some(KEY)));
    let calls: Vec<_> = requests.iter().cloned().map(send_one).collect();
    wait_for("all calls to run", || requests.iter().all(|request| runs(request) == 1));

    gateway.signal(Signal::SIGTERM);
    let statuses: Vec<u16> =
        calls.into_iter().map(|call| call.join().expect("an answer").status).collect();

    assert_eq!(statuses, vec![502; CALLS]);
    assert!(requests.iter().all(|request| runs(request) == 1));
    assert_eq!(gateway.wait(), Some(0));
}
