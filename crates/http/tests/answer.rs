//! Whole and streamed answers.

mod common;

use common::{
    PATIENCE, config, connect, echo, get, post, read_all, read_until, send, start, start_with,
    wait_for,
};
use crossbeam::channel::{bounded, unbounded};
use sorrellock_http::{Bytes, PushError, Responder};
use std::sync::atomic::Ordering;
use std::thread;

#[test]
fn body_in_the_same_segment_is_echoed() {
    let server = start(echo);
    let mut stream = connect(&server);

    send(&mut stream, &post("/a?b=c", "hello"));

    let answer = read_until(&mut stream, "hello");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
    assert!(answer.contains("x-path: /a?b=c\r\n"), "{answer}");
}

#[test]
fn body_in_a_second_segment_is_read() {
    let server = start(echo);
    let mut stream = connect(&server);
    let whole = post("/", "hello");
    let (head, body) = whole.split_at(whole.len() - 5);

    send(&mut stream, head);
    wait_for("the head arrives", || server.counters().open.load(Ordering::Relaxed) == 1);
    thread::sleep(std::time::Duration::from_millis(50));
    send(&mut stream, body);

    let answer = read_until(&mut stream, "hello");
    assert!(answer.starts_with("HTTP/1.1 200 OK\r\n"), "{answer}");
}

#[test]
fn connection_is_kept_for_the_next_request() {
    let server = start(echo);
    let mut stream = connect(&server);

    for body in ["one", "two", "three"] {
        send(&mut stream, &post("/", body));
        read_until(&mut stream, body);
    }

    assert_eq!(server.counters().accepted.load(Ordering::Relaxed), 1);
    assert_eq!(server.counters().requests.load(Ordering::Relaxed), 3);
}

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = start(echo);
    let mut stream = connect(&server);

    send(&mut stream, &(post("/", "first") + &post("/", "second")));

    let answers = read_until(&mut stream, "second");
    assert!(answers.find("first") < answers.find("second"), "{answers}");
}

#[test]
fn answer_may_come_later_from_another_thread() {
    let (tx, rx) = unbounded::<Responder>();
    let server = start(move |req| tx.send(req.responder).expect("the test waits"));
    let mut stream = connect(&server);
    send(&mut stream, &get("/"));

    let responder = rx.recv_timeout(PATIENCE).expect("a request");
    thread::spawn(move || responder.send(201, &[], "late"));

    let answer = read_until(&mut stream, "late");
    assert!(answer.starts_with("HTTP/1.1 201"), "{answer}");
}

#[test]
fn first_chunk_arrives_before_the_second_is_made() {
    let (tx, rx) = unbounded::<Responder>();
    let server = start(move |req| tx.send(req.responder).expect("the test waits"));
    let mut stream = connect(&server);
    send(&mut stream, &get("/"));
    let responder = rx.recv_timeout(PATIENCE).expect("a request");

    let body = responder.stream(200, &[("content-type", "text/event-stream")]);
    let head = read_until(&mut stream, "\r\n\r\n");
    for token in ["one", "two", "three"] {
        body.push(token).expect("the caller reads");
        // The next chunk is made only once this one has arrived.
        read_until(&mut stream, token);
    }
    body.finish();

    assert!(head.contains("transfer-encoding: chunked\r\n"), "{head}");
    assert_eq!(read_until(&mut stream, "0\r\n\r\n"), "\r\n0\r\n\r\n");
}

#[test]
fn aborted_stream_breaks_the_connection() {
    let server = start(|req| {
        let body = req.responder.stream(200, &[]);
        body.push("part").expect("the caller is there");
        body.abort();
    });
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));

    let answer = read_all(&mut stream);
    assert!(answer.contains("part"), "{answer}");
    assert!(!answer.contains("0\r\n\r\n"), "the cut would be silent: {answer}");
}

#[test]
fn stream_dropped_unfinished_breaks_the_connection() {
    let server = start(|req| drop(req.responder.stream(200, &[])));
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));

    let answer = read_all(&mut stream);
    assert!(!answer.contains("0\r\n\r\n"), "the cut would be silent: {answer}");
}

#[test]
fn full_chunk_queue_is_told() {
    let (tx, rx) = bounded(1);
    let server = start_with(config().with_chunk_queue(2), move |req| {
        let body = req.responder.stream(200, &[]);
        let chunk = Bytes::from(vec![0; 1 << 20]);
        let res = (0..1_000).find_map(|_| body.push(chunk.clone()).err());
        tx.send(res).expect("the test waits");
    });
    let mut stream = connect(&server);

    // Nothing of the answer is read.
    send(&mut stream, &get("/"));

    assert_eq!(rx.recv_timeout(PATIENCE), Ok(Some(PushError::Full)));
}

#[test]
fn last_chunk_passes_a_full_queue() {
    let server = start_with(config().with_chunk_queue(1), |req| {
        let body = req.responder.stream(200, &[]);
        while body.push("x").is_ok() {}
        body.finish_with("last");
    });
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));

    let answer = read_until(&mut stream, "0\r\n\r\n");
    assert!(answer.ends_with("\r\n4\r\nlast\r\n0\r\n\r\n"), "{answer}");
}

#[test]
fn responder_dropped_unanswered_gives_500() {
    let server = start(|req| drop(req.responder));
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));

    let answer = read_until(&mut stream, "unanswered");
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert_eq!(server.counters().unanswered.load(Ordering::Relaxed), 1);
}

#[test]
fn panic_in_the_handler_costs_its_own_request_only() {
    let server = start_with(config().with_workers(1), |req| {
        assert!(req.path != "/panic", "a panic that the test wants");
        echo(req);
    });
    let mut stream = connect(&server);

    send(&mut stream, &get("/panic"));
    let answer = read_until(&mut stream, "unanswered");
    send(&mut stream, &post("/", "after"));
    read_until(&mut stream, "after");

    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
    assert_eq!(server.counters().handler_panics.load(Ordering::Relaxed), 1);
}

#[test]
fn responder_abort_closes_without_an_answer() {
    let server = start(|req| req.responder.abort());
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));

    assert_eq!(read_all(&mut stream), "");
}

#[test]
fn malformed_header_of_a_handler_gives_500_that_names_it() {
    let server = start(|req| req.responder.send(200, &[("x-bad", "a\nb")], "body"));
    let mut stream = connect(&server);

    send(&mut stream, &get("/"));

    let answer = read_until(&mut stream, "x-bad");
    assert!(answer.starts_with("HTTP/1.1 500"), "{answer}");
}

#[test]
fn request_helpers_read_path_query_and_headers() {
    let (tx, rx) = bounded(1);
    let server = start(move |req| {
        let seen = (
            req.path_only().to_owned(),
            req.query("b").map(str::to_owned),
            req.query("none").map(str::to_owned),
            req.header("HOST").map(str::to_owned),
        );
        tx.send(seen).expect("the test waits");
        req.responder.send(204, &[], "");
    });
    let mut stream = connect(&server);

    send(&mut stream, &get("/a/b?a=1&b=2"));

    let seen = rx.recv_timeout(PATIENCE).expect("a request");
    assert_eq!(seen, ("/a/b".into(), Some("2".into()), None, Some("t".into())));
}
