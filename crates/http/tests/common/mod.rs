//! Fixtures of the listener's tests.
#![allow(dead_code)]

use sorrellock_http::{Request, Server, ServerConfig};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Time after which a test gives up on something that should come.
pub const PATIENCE: Duration = Duration::from_secs(10);

pub fn config() -> ServerConfig {
    ServerConfig::new(SocketAddr::from(([127, 0, 0, 1], 0)))
}

pub fn start(handler: impl Fn(Request) + Send + Sync + 'static) -> Server {
    start_with(config(), handler)
}

pub fn start_with(cfg: ServerConfig, handler: impl Fn(Request) + Send + Sync + 'static) -> Server {
    Server::start(cfg, handler).expect("a free port")
}

/// Answers with the body that came in.
pub fn echo(req: Request) {
    req.responder.send(200, &[("x-path", &req.path)], req.body);
}

pub fn connect(server: &Server) -> TcpStream {
    let stream = TcpStream::connect(server.addr()).expect("the listener takes connections");
    stream.set_read_timeout(Some(PATIENCE)).expect("a timeout above 0");
    stream.set_nodelay(true).expect("TCP");
    stream
}

pub fn send(stream: &mut TcpStream, text: &str) {
    stream.write_all(text.as_bytes()).expect("the connection is open");
}

pub fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: t\r\n\r\n")
}

pub fn post(path: &str, body: &str) -> String {
    let len = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: t\r\ncontent-length: {len}\r\n\r\n{body}")
}

/// Reads until `end` was read; panics if it does not come.
pub fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut byte = [0];
    while !text.ends_with(end.as_bytes()) {
        let n = stream.read(&mut byte).unwrap_or_else(|err| {
            panic!("no {end:?} in time: {err}; read {:?}", String::from_utf8_lossy(&text))
        });
        assert!(n > 0, "the connection was closed after {:?}", String::from_utf8_lossy(&text));
        text.extend_from_slice(&byte);
    }
    String::from_utf8(text).expect("text")
}

/// Reads until the connection is closed or broken.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    let mut buf = [0; 4096];
    loop {
        match stream.read(&mut buf) {
            Ok(0) => break,
            Ok(n) => text.extend_from_slice(&buf[..n]),
            Err(err) if err.kind() == std::io::ErrorKind::ConnectionReset => break,
            Err(err) => panic!("the connection was not closed in time: {err}"),
        }
    }
    String::from_utf8(text).expect("text")
}

/// Waits until `done`; panics if that takes too long.
pub fn wait_for(what: &str, done: impl Fn() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(1));
    }
}
