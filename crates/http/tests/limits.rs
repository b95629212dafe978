//! Bounds in size, time and number, and the end of the listener.

mod common;

use common::{
    PATIENCE, config, connect, echo, get, post, read_all, read_until, send, start, start_with,
    wait_for,
};
use crossbeam::channel::unbounded;
use sorrellock_core::process::callers::MachineLimits;
use sorrellock_http::Responder;
use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(100);

#[test]
fn head_that_never_ends_is_cut_off() {
    let server = start_with(config().with_header_timeout(SHORT), echo);
    let mut slow = connect(&server);
    let mut trickle = slow.try_clone().expect("a socket");
    send(&mut slow, "GET / HTTP/1.1\r\n");

    // A header line now and then must not keep the connection open.
    thread::spawn(move || {
        while trickle.write_all(b"x: y\r\n").is_ok() {
            thread::sleep(Duration::from_millis(10));
        }
    });

    assert!(!read_all(&mut slow).contains("200"));
    assert_eq!(server.counters().header_timeouts.load(Ordering::Relaxed), 1);
}

#[test]
fn connection_without_a_head_is_cut_off() {
    let server = start_with(config().with_header_timeout(SHORT), echo);
    let mut silent = connect(&server);

    assert_eq!(read_all(&mut silent), "");
    assert_eq!(server.counters().header_timeouts.load(Ordering::Relaxed), 1);
}

#[test]
fn second_head_that_never_ends_is_cut_off() {
    let server = start_with(config().with_header_timeout(SHORT), echo);
    let mut stream = connect(&server);
    send(&mut stream, &post("/", "first"));
    read_until(&mut stream, "first");

    send(&mut stream, "GET / HT");

    assert_eq!(read_all(&mut stream), "");
    assert_eq!(server.counters().header_timeouts.load(Ordering::Relaxed), 1);
}

#[test]
fn slow_handler_is_not_cut_off() {
    let cfg = config().with_header_timeout(SHORT).with_idle_timeout(SHORT);
    let server = start_with(cfg, |req| {
        thread::sleep(4 * SHORT);
        echo(req);
    });
    let mut stream = connect(&server);

    send(&mut stream, &post("/", "patient"));

    read_until(&mut stream, "patient");
}

#[test]
fn idle_connection_is_closed() {
    let server = start_with(config().with_idle_timeout(SHORT), echo);
    let mut stream = connect(&server);
    send(&mut stream, &post("/", "first"));
    read_until(&mut stream, "first");

    assert_eq!(read_all(&mut stream), "");
    assert_eq!(server.counters().idle_timeouts.load(Ordering::Relaxed), 1);
}

#[test]
fn slow_body_is_cut_off() {
    let server = start_with(config().with_body_timeout(SHORT), echo);
    let mut stream = connect(&server);

    send(&mut stream, "POST / HTTP/1.1\r\nhost: t\r\ncontent-length: 5\r\n\r\nhe");

    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert_eq!(server.counters().body_timeouts.load(Ordering::Relaxed), 1);
}

#[test]
fn body_of_the_largest_size_passes_and_one_byte_more_gives_413() {
    let server = start_with(config().with_max_body_bytes(8), echo);

    let mut fits = connect(&server);
    send(&mut fits, &post("/", "12345678"));
    read_until(&mut fits, "12345678");
    let mut large = connect(&server);
    send(&mut large, &post("/", "123456789"));
    let answer = read_all(&mut large);

    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
    assert_eq!(server.counters().bodies_too_large.load(Ordering::Relaxed), 1);
    assert_eq!(server.counters().requests.load(Ordering::Relaxed), 1);
}

#[test]
fn chunked_body_that_grows_too_large_gives_413() {
    let server = start_with(config().with_max_body_bytes(8), echo);
    let mut stream = connect(&server);

    send(&mut stream, "POST / HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n");
    send(&mut stream, "5\r\nabcde\r\n5\r\nabcde\r\n0\r\n\r\n");

    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn caller_that_sends_all_of_a_large_body_reads_its_413() {
    let server = start_with(config().with_max_body_bytes(8), echo);
    let mut stream = connect(&server);

    send(&mut stream, &post("/", &"x".repeat(8 << 20)));

    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[test]
fn head_that_is_too_large_gives_431() {
    let server = start_with(config().with_max_header_bytes(8 << 10), echo);
    let mut stream = connect(&server);

    let filler = "y".repeat(16 << 10);
    send(&mut stream, &format!("GET / HTTP/1.1\r\nx: {filler}\r\n\r\n"));

    let answer = read_all(&mut stream);
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer}");
}

#[test]
fn connections_over_the_cap_are_closed_and_counted() {
    let server = start_with(config().with_max_connections(2), echo);
    let open: Vec<TcpStream> = (0..2).map(|_| connect(&server)).collect();
    wait_for("two are open", || server.counters().open.load(Ordering::Relaxed) == 2);

    let mut third = connect(&server);
    assert_eq!(read_all(&mut third), "");
    drop(open);
    wait_for("both are closed", || server.counters().open.load(Ordering::Relaxed) == 0);
    let mut fourth = connect(&server);
    send(&mut fourth, &post("/", "room again"));

    read_until(&mut fourth, "room again");
    assert_eq!(server.counters().refused.load(Ordering::Relaxed), 1);
}

#[test]
fn full_queue_gives_503_at_once() {
    let (go_tx, go_rx) = unbounded::<()>();
    let (taken_tx, taken_rx) = unbounded();
    let server = start_with(config().with_workers(1).with_queue(1), move |req| {
        taken_tx.send(()).expect("the test waits");
        let _ = go_rx.recv_timeout(PATIENCE);
        req.responder.send(200, &[], "served");
    });
    let mut streams = [0; 3].map(|_| connect(&server));
    send(&mut streams[0], &get("/"));
    taken_rx.recv_timeout(PATIENCE).expect("the only worker takes the first");
    send(&mut streams[1], &get("/"));
    wait_for("the second waits", || server.counters().requests.load(Ordering::Relaxed) == 2);

    send(&mut streams[2], &get("/"));
    let answer = read_until(&mut streams[2], "come back later");
    drop(go_tx);

    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer}");
    read_until(&mut streams[0], "served");
    read_until(&mut streams[1], "served");
}

#[test]
fn shutdown_lets_the_answer_in_progress_end_and_closes_idle_connections() {
    let (tx, rx) = unbounded::<Responder>();
    let server = Arc::new(start(move |req| tx.send(req.responder).expect("the test waits")));
    let mut busy = connect(&server);
    send(&mut busy, &get("/"));
    let responder = rx.recv_timeout(PATIENCE).expect("a request");
    let mut idle = connect(&server);
    let body = responder.stream(200, &[]);
    body.push("begun").expect("the caller is there");

    let shutting = Arc::clone(&server);
    let shutdown = thread::spawn(move || shutting.shutdown());
    assert_eq!(read_all(&mut idle), "");
    body.push(", ended").expect("the caller is there");
    body.finish();

    let answer = read_all(&mut busy);
    assert!(answer.ends_with(", ended\r\n0\r\n\r\n"), "{answer}");
    shutdown.join().expect("no panic");
    assert!(TcpStream::connect(server.addr()).is_err());
}

#[test]
fn shutdown_breaks_what_is_left_after_the_drain_timeout() {
    let (tx, rx) = unbounded::<Responder>();
    let server = start_with(config().with_drain_timeout(SHORT), move |req| {
        tx.send(req.responder).expect("the test waits");
    });
    let mut stream = connect(&server);
    send(&mut stream, &get("/"));
    let responder = rx.recv_timeout(PATIENCE).expect("a request");

    server.shutdown();

    assert_eq!(read_all(&mut stream), "");
    assert!(responder.is_gone());
}

#[test]
fn stop_accepting_leaves_open_connections_alone() {
    let server = start(echo);
    let mut stream = connect(&server);
    send(&mut stream, &post("/", "first"));
    read_until(&mut stream, "first");

    server.stop_accepting();
    wait_for("no new connection", || TcpStream::connect(server.addr()).is_err());
    send(&mut stream, &post("/", "second"));

    read_until(&mut stream, "second");
}

#[test]
fn abort_breaks_connections_at_once() {
    let (tx, rx) = unbounded::<Responder>();
    let server = start(move |req| tx.send(req.responder).expect("the test waits"));
    let mut stream = connect(&server);
    send(&mut stream, &get("/"));
    let responder = rx.recv_timeout(PATIENCE).expect("a request");

    server.abort();

    assert_eq!(read_all(&mut stream), "");
    assert!(responder.is_gone());
    assert!(TcpStream::connect(server.addr()).is_err());
}

#[test]
fn a_caller_that_asks_before_it_sends_a_body_without_room_is_refused_at_once() {
    let machine = MachineLimits { memory: 1_000_000, descriptors: 1_024 };
    let server = start_with(config().with_machine(machine), echo);
    let mut stream = connect(&server);

    send(
        &mut stream,
        "POST / HTTP/1.1\r\nhost: t\r\nexpect: 100-continue\r\ncontent-length: 1000000\r\n\r\n",
    );
    let head = read_until(&mut stream, "\r\n\r\n");

    assert!(head.starts_with("HTTP/1.1 503 "), "{head}");
    assert!(head.contains("retry-after: 1\r\n"), "{head}");
}
