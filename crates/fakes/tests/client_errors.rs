//! How the clients tell a call that was never sent from one without an answer.

mod common;

use common::{PATIENCE, SHORT, loopback, service_call, wait_for};
use sorrellock_ports::api::{
    Engine, EngineError, InstanceList, ObjectStore, Precondition, Service, ServiceError, StoreError,
};
use sorrellock_ports::client::{HttpEngine, HttpInstanceList, HttpObjectStore, HttpService};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

/// A peer that reads each call's head and then does `act` with the connection.
fn peer(act: impl Fn(&mut TcpStream) + Send + 'static) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(loopback()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let calls = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&calls);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            while read_head(&mut stream) {
                seen.fetch_add(1, Ordering::SeqCst);
                act(&mut stream);
            }
        }
    });
    (addr, calls)
}

fn read_head(stream: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => head.push(byte[0]),
            _ => return false,
        }
    }
    true
}

fn answering(answer: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    peer(move |stream| {
        let _ = stream.write_all(answer.as_bytes());
    })
}

/// A peer that closes the connection after what it sent.
fn closing_after(answer: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    peer(move |stream| {
        let _ = stream.write_all(answer.as_bytes());
        let _ = stream.shutdown(Shutdown::Both);
    })
}

/// An address at which nothing listens.
fn nobody() -> SocketAddr {
    TcpListener::bind(loopback()).expect("a free port").local_addr().expect("an address")
}

#[test]
fn refused_connection_was_never_sent() {
    let addr = nobody();

    let store = HttpObjectStore::new(addr).put("a", b"", Precondition::Absent);
    let engine = HttpEngine::new(addr).info();
    let service = HttpService::new(addr).call(&service_call("/", None, ""), PATIENCE);
    let list = HttpInstanceList::new(addr).instances();

    assert!(matches!(store, Err(StoreError::Unavailable { .. })), "{store:?}");
    assert!(matches!(engine, Err(EngineError::NotSent { .. })), "{engine:?}");
    assert!(matches!(service, Err(ServiceError::NotSent { .. })), "{service:?}");
    assert!(list.is_err(), "{list:?}");
}

#[test]
fn no_time_left_was_never_sent() {
    let (addr, calls) = answering("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");

    let res = HttpService::new(addr).call(&service_call("/", None, ""), Duration::ZERO);

    assert!(matches!(res, Err(ServiceError::NotSent { .. })), "{res:?}");
    assert_eq!(calls.load(Ordering::SeqCst), 0);
}

#[test]
fn malformed_path_or_header_was_never_sent() {
    let (addr, calls) = answering("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
    let client = HttpService::new(addr);

    let path = client.call(&service_call("/a b", None, ""), PATIENCE);
    let header = client.call(&service_call("/", Some("a\nb"), ""), PATIENCE);

    assert!(matches!(path, Err(ServiceError::NotSent { .. })), "{path:?}");
    assert!(matches!(header, Err(ServiceError::NotSent { .. })), "{header:?}");
    assert_eq!(calls.load(Ordering::SeqCst), 0);
}

#[test]
fn connection_closed_after_sending_gives_no_answer_and_no_second_try() {
    let (addr, calls) = closing_after("");

    let store = HttpObjectStore::new(addr).put("a", b"", Precondition::Absent);
    let engine = HttpEngine::new(addr).info();
    let service = HttpService::new(addr).call(&service_call("/", None, ""), PATIENCE);

    assert!(matches!(store, Err(StoreError::NoAnswer { .. })), "{store:?}");
    assert!(matches!(engine, Err(EngineError::NoAnswer { .. })), "{engine:?}");
    assert!(matches!(service, Err(ServiceError::NoAnswer { .. })), "{service:?}");
    assert_eq!(calls.load(Ordering::SeqCst), 3);
}

#[test]
fn answer_cut_short_gives_no_answer() {
    let (addr, _) = closing_after("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf");
    let (chunked, _) =
        closing_after("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n");

    for addr in [addr, chunked] {
        let service = HttpService::new(addr).call(&service_call("/", None, ""), PATIENCE);
        let engine = HttpEngine::new(addr).export_kv("s");

        assert!(matches!(service, Err(ServiceError::NoAnswer { .. })), "{service:?}");
        assert!(matches!(engine, Err(EngineError::NoAnswer { .. })), "{engine:?}");
    }
}

#[test]
fn silence_until_the_deadline_gives_no_answer() {
    let (addr, _) = answering("");

    let store = HttpObjectStore::new(addr).with_timeout(SHORT).get("a");
    let service = HttpService::new(addr).call(&service_call("/", None, ""), SHORT);

    assert!(matches!(store, Err(StoreError::NoAnswer { .. })), "{store:?}");
    assert!(matches!(service, Err(ServiceError::NoAnswer { .. })), "{service:?}");
}

#[test]
fn answer_that_trickles_past_the_deadline_gives_no_answer() {
    let (addr, _) = peer(|stream| {
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\n");
        while stream.write_all(b"x").is_ok() {
            thread::sleep(SHORT / 10);
        }
    });

    let res = HttpService::new(addr).call(&service_call("/", None, ""), SHORT);

    assert!(matches!(res, Err(ServiceError::NoAnswer { .. })), "{res:?}");
}

#[test]
fn redirects_and_errors_are_passed_on_and_not_followed() {
    for (answer, status) in [
        ("HTTP/1.1 307 Temporary Redirect\r\nlocation: /b\r\ncontent-length: 0\r\n\r\n", 307),
        ("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n", 404),
        ("HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n", 500),
        ("HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n", 503),
    ] {
        let (addr, calls) = answering(answer);

        let res = HttpService::new(addr).call(&service_call("/a", None, ""), PATIENCE);

        assert_eq!(res.expect("an answer").status, status);
        assert_eq!(calls.load(Ordering::SeqCst), 1);
    }
}

#[test]
fn statuses_of_the_store_are_told_apart() {
    let cases = [
        (
            "HTTP/1.1 412 Precondition Failed\r\netag: \"7\"\r\ncontent-length: 0\r\n\r\n",
            "Conflict",
        ),
        ("HTTP/1.1 429 Too Many\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n", "RateLimited"),
        ("HTTP/1.1 503 Unavailable\r\ncontent-length: 0\r\n\r\n", "Unavailable"),
        ("HTTP/1.1 502 Bad Gateway\r\ncontent-length: 0\r\n\r\n", "NoAnswer"),
        ("HTTP/1.1 400 Bad Request\r\ncontent-length: 0\r\n\r\n", "Invalid"),
        ("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n", "NoAnswer"),
    ];
    for (answer, expected) in cases {
        let (addr, _) = answering(answer);

        let res = HttpObjectStore::new(addr).put("a", b"", Precondition::Absent);

        let err = res.expect_err(answer);
        assert!(format!("{err:?}").starts_with(expected), "{answer}: {err:?}");
    }
}

#[test]
fn error_names_the_step_and_the_peer() {
    let addr = nobody();

    let err = HttpEngine::new(addr).load().expect_err("nobody listens");

    let text = err.to_string();
    assert!(text.contains(&format!("GET /v1/load at {addr}")), "{text}");
}

#[test]
fn connection_is_used_again() {
    let connections = Arc::new(AtomicUsize::new(0));
    let listener = TcpListener::bind(loopback()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let seen = Arc::clone(&connections);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            seen.fetch_add(1, Ordering::SeqCst);
            while read_head(&mut stream) {
                let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
            }
        }
    });
    let store = HttpObjectStore::new(addr);

    for _ in 0..10 {
        assert_eq!(store.get("a"), Ok(None));
    }

    assert_eq!(connections.load(Ordering::SeqCst), 1);
}

#[test]
fn peer_that_closed_an_idle_connection_is_reached_anew() {
    let closed = Arc::new(AtomicUsize::new(0));
    let closing = Arc::clone(&closed);
    let (addr, calls) = peer(move |stream| {
        let _ = stream.write_all(b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n");
        let _ = stream.shutdown(Shutdown::Both);
        closing.fetch_add(1, Ordering::SeqCst);
    });
    let store = HttpObjectStore::new(addr);

    for number in 1..=5 {
        assert_eq!(store.get("a"), Ok(None));
        wait_for("the peer closes", || closed.load(Ordering::SeqCst) == number);
    }

    assert_eq!(calls.load(Ordering::SeqCst), 5);
}

/// A peer that answers each call on each of its connections after a while, until the ones that are open go silent
/// for good; new ones work.
fn silenced_once(delay: Duration) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind(loopback()).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let silenced = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&silenced);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let count = Arc::clone(&count);
            let opened = count.load(Ordering::SeqCst);
            thread::spawn(move || {
                while read_head(&mut stream) && count.load(Ordering::SeqCst) == opened {
                    thread::sleep(delay);
                    let answer = "HTTP/1.1 200 OK\r\netag: \"1\"\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer.as_bytes()).expect("the caller reads");
                }
                // It stays open, and nothing comes.
                thread::sleep(PATIENCE);
            });
        }
    });
    (addr, silenced)
}

#[test]
fn a_call_without_an_answer_gives_up_the_idle_connections_before_it() {
    let (addr, silenced) = silenced_once(Duration::from_millis(50));
    let store = HttpObjectStore::new(addr).with_timeout(SHORT * 10);
    // Calls at the same time leave a connection each.
    let calls = [(); 3].map(|()| {
        let store = store.clone();
        thread::spawn(move || store.get("a").is_ok())
    });
    assert!(calls.into_iter().all(|call| call.join().expect("a call")));

    silenced.fetch_add(1, Ordering::SeqCst);
    let first = store.get("a");
    let second = store.get("a");

    assert!(matches!(first, Err(StoreError::NoAnswer { .. })), "{first:?}");
    assert!(second.is_ok(), "{second:?}");
}
