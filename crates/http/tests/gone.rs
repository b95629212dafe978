//! Callers that go away.

mod common;

use common::{PATIENCE, connect, echo, get, post, read_until, send, start, wait_for};
use crossbeam::channel::unbounded;
use sorrellock_http::{PushError, Responder, Server};
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// A server, a caller's connection, and what answers the request that came on it.
fn one_request() -> (Server, TcpStream, Responder) {
    let (tx, rx) = unbounded::<Responder>();
    let server = start(move |req| tx.send(req.responder).expect("the test waits"));
    let mut stream = connect(&server);
    send(&mut stream, &get("/"));
    let responder = rx.recv_timeout(PATIENCE).expect("a request");
    (server, stream, responder)
}

#[test]
fn on_gone_is_called_before_the_answer_began() {
    let (server, stream, responder) = one_request();
    let (gone_tx, gone_rx) = unbounded();
    responder.on_gone(move || gone_tx.send(()).expect("the test waits"));

    drop(stream);

    gone_rx.recv_timeout(PATIENCE).expect("the hook is called");
    assert!(responder.is_gone());
    assert_eq!(server.counters().gone.load(Ordering::Relaxed), 1);
}

#[test]
fn on_gone_is_called_while_streaming() {
    let (_server, mut stream, responder) = one_request();
    let (gone_tx, gone_rx) = unbounded();
    responder.on_gone(move || gone_tx.send(()).expect("the test waits"));
    let body = responder.stream(200, &[]);
    body.push("one").expect("the caller is there");
    read_until(&mut stream, "one");

    drop(stream);

    gone_rx.recv_timeout(PATIENCE).expect("the hook is called");
    assert!(body.is_gone());
    assert_eq!(body.push("two"), Err(PushError::Gone));
}

#[test]
fn on_gone_is_called_at_once_if_the_caller_had_gone() {
    let (_server, stream, responder) = one_request();
    drop(stream);
    wait_for("the caller is gone", || responder.is_gone());
    let called = Arc::new(AtomicU64::new(0));

    let count = Arc::clone(&called);
    responder.on_gone(move || {
        count.fetch_add(1, Ordering::SeqCst);
    });

    assert_eq!(called.load(Ordering::SeqCst), 1);
}

#[test]
fn on_gone_is_not_called_after_a_whole_answer() {
    let called = Arc::new(AtomicU64::new(0));
    let count = Arc::clone(&called);
    let server = start(move |req| {
        let count = Arc::clone(&count);
        req.responder.on_gone(move || {
            count.fetch_add(1, Ordering::SeqCst);
        });
        if req.path == "/stream" {
            let body = req.responder.stream(200, &[]);
            body.push("whole").expect("the caller is there");
            return body.finish();
        }
        req.responder.send(200, &[], req.path.into_bytes());
    });

    for (path, end) in [("/plain", "/plain"), ("/stream", "0\r\n\r\n")] {
        let mut stream = connect(&server);
        send(&mut stream, &get(path));
        read_until(&mut stream, end);
    }

    wait_for("both are closed", || server.counters().open.load(Ordering::Relaxed) == 0);
    assert_eq!(called.load(Ordering::SeqCst), 0);
    assert_eq!(server.counters().gone.load(Ordering::Relaxed), 0);
}

#[test]
fn hook_is_freed_with_a_whole_answer() {
    let held = Arc::new(());
    let in_hook = Arc::clone(&held);
    let server = start(move |req| {
        let in_hook = Arc::clone(&in_hook);
        req.responder.on_gone(move || drop(in_hook));
        req.responder.send(200, &[], "done");
    });
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));
    read_until(&mut stream, "done");

    // This test and the handler hold it, the hook no longer does.
    wait_for("the hook is freed", || Arc::strong_count(&held) == 2);
}

#[test]
fn malformed_http_does_not_hurt_other_connections() {
    let server = start(echo);
    let mut good = connect(&server);
    send(&mut good, &post("/", "before"));
    read_until(&mut good, "before");

    for garbage in ["\0\0\0\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n", "nonsense \r\n\r\n"]
    {
        let mut bad = connect(&server);
        send(&mut bad, garbage);
        common::read_all(&mut bad);
    }
    send(&mut good, &post("/", "after"));

    read_until(&mut good, "after");
    assert_eq!(server.counters().malformed.load(Ordering::Relaxed), 4);
}
