//! A client whose event loop is late: an answer that came in time is read, however late that is.

use http::Method;
use sorrellock_http::{CallError, Client};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use tokio::task::{JoinHandle, LocalSet, spawn_local};

/// Time for an answer.
const LIMIT: Duration = Duration::from_millis(100);
/// When the peer answers.
const DELAY: Duration = Duration::from_millis(40);
/// When the event loop pauses: the request is sent by then.
const PAUSE_AFTER: Duration = Duration::from_millis(10);
/// For how long: far beyond the limit.
const PAUSE: Duration = Duration::from_millis(400);

/// A peer on a thread of its own that sends the parts of each answer one after another.
fn peer(parts: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            spawn(move || {
                let mut buf = [0; 1024];
                while let Ok(1..) = stream.read(&mut buf) {
                    for part in parts {
                        sleep(DELAY / parts.len() as u32);
                        stream.write_all(part.as_bytes()).expect("the client reads on");
                    }
                }
            });
        }
    });
    addr
}

fn block_on<T>(work: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), work)
}

/// The event loop does nothing else for a while, as while it parses, or is stopped.
fn pause_loop() {
    spawn_local(async {
        tokio::time::sleep(PAUSE_AFTER).await;
        sleep(PAUSE);
    });
}

/// Calls from a task of its own, as a gateway does.
fn begin(client: &Client) -> JoinHandle<Result<(), CallError>> {
    let client = client.clone();
    spawn_local(async move { client.call(Method::GET, "/", None, LIMIT).await.map(drop) })
}

async fn get(client: &Client) -> Result<(), CallError> {
    begin(client).await.expect("the call's task ends in order")
}

#[test]
fn an_answer_on_a_new_connection_is_read_after_a_pause() {
    block_on(async {
        let client = Client::new(peer(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]));
        pause_loop();

        assert_eq!(get(&client).await, Ok(()));
    });
}

#[test]
fn an_answer_on_a_kept_connection_is_read_after_a_pause() {
    block_on(async {
        let client = Client::new(peer(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]));
        assert_eq!(get(&client).await, Ok(()));
        pause_loop();

        assert_eq!(get(&client).await, Ok(()));
    });
}

#[test]
fn an_answer_in_parts_is_read_after_a_pause() {
    block_on(async {
        let client =
            Client::new(peer(&["HTTP/1.1 200 OK\r\n", "content-length: 2\r\n\r\n", "o", "k"]));
        pause_loop();

        assert_eq!(get(&client).await, Ok(()));
    });
}

/// What users saw: engines that were well were taken to be dead by a gateway that had paused, and their streams were dropped.
///
/// The order of events: the event loop pauses while an answer comes, until its limit is over. As it goes on, the connection's task reads
/// the answer and hands on one piece of the body; then the task that asked runs, takes the piece, and finds the limit over.
///
/// The cause: the limit counted before what had come by then was read. The evidence: `no whole answer` for an answer that lay in the socket.
#[test]
fn a_chunked_answer_is_read_after_a_pause() {
    block_on(async {
        let client = Client::new(peer(&[
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            "2\r\nok\r\n",
            "3\r\nok2\r\n",
            "0\r\n\r\n",
        ]));
        pause_loop();

        assert_eq!(get(&client).await, Ok(()));
    });
}

/// The pause comes between the call and the turn of the connection's task: the peer could not answer yet.
#[test]
fn a_request_that_waits_to_be_written_is_no_silence_of_the_peer() {
    block_on(async {
        let client = Client::new(peer(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"]));
        assert_eq!(get(&client).await, Ok(()));
        let began = Instant::now();
        let call = begin(&client);
        spawn_local(async { sleep(PAUSE) });

        let err = call.await.expect("the call's task ends in order").expect_err("no answer yet");

        let silence = err.silence().expect("the time is over");
        assert!(silence + PAUSE <= began.elapsed(), "{silence:?}");
    });
}

#[test]
fn a_refused_connection_is_no_silence() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        drop(listener);

        let err = get(&Client::new(addr)).await.expect_err("nobody listens");

        assert_eq!(err.silence(), None);
    });
}

#[test]
fn a_peer_that_never_answers_is_silent() {
    block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let client = Client::new(listener.local_addr().expect("an address"));

        let err = get(&client).await.expect_err("it accepts nothing");

        assert!(err.silence().is_some(), "{err}");
    });
}
