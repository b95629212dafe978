//! An endpoint closes a connection that was idle just as a gateway uses it again.
//!
//! What callers saw: 503 for a call though its endpoint was well, and for a second all calls were refused or went to other endpoints.
//!
//! The order of events: a kept connection to an endpoint is closed by the endpoint, as idle or as one beyond its limit. Before the gateway has
//! read that, it sends a request on the connection, which is returned unsent. The gateway takes this for a failure of the endpoint: it suspects it,
//! reports the suspicion to all gateways, and looks for another endpoint.
//!
//! The evidence: the endpoint accepts connections and answers all the while. A gateway that is late, as after a large configuration, has a
//! longer time between the close and reading it.

use crate::fleet::{HOST, KEY, fleet, new_request, send};
use crate::gateway_process::GatewayProcess;
use sorrellock_stand_ins::{FakeProxy, ProxyMode, new_ip};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Long enough for bytes to pass the proxy and for the proxy to close its connections.
const SHORT_WHILE: Duration = Duration::from_millis(100);

/// Sends a call, and has the proxy close all connections to the endpoint before the gateway goes on: it reads both at once.
fn call_as_connections_close(gateway: &GatewayProcess, proxy: &FakeProxy, path: &str) -> String {
    let request = new_request();
    let mut caller = TcpStream::connect(gateway.callers()).expect("a connection");
    // A first call on this connection, so that the gateway only has to read the second one.
    let head = |id: &str, connection: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\nauthorization: Bearer {KEY}\r\n\
             connection: {connection}\r\ncontent-length: 0\r\n\r\n"
        )
    };
    caller.write_all(head(&new_request(), "keep-alive").as_bytes()).expect("the first head");
    let mut buf = [0; 4096];
    let len = caller.read(&mut buf).expect("the first answer");
    assert!(buf[..len].starts_with(b"HTTP/1.1 200"), "{}", String::from_utf8_lossy(&buf[..len]));

    // It reads the request and the close in the order in which they come, if it is at rest and has stopped before both.
    thread::sleep(SHORT_WHILE);
    gateway.pause();
    caller.write_all(head(&request, "close").as_bytes()).expect("the head");
    thread::sleep(SHORT_WHILE);
    proxy.set_mode(ProxyMode::Resets);
    thread::sleep(SHORT_WHILE);
    proxy.set_mode(ProxyMode::Passes);
    gateway.resume();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).expect("an answer");
    answer
}

#[test]
fn a_call_on_a_connection_that_the_endpoint_closes_goes_over_a_new_one() {
    let fleet = fleet();
    let proxy = FakeProxy::start(new_ip(), fleet.service.addr()).expect("a proxy");
    fleet.service.tell_addr(proxy.addr(), &fleet.store);
    let gateway = fleet.gateway("one");

    let answers: Vec<String> =
        (0..5).map(|_| call_as_connections_close(&gateway, &proxy, "/status/a")).collect();

    for answer in &answers {
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
    assert_eq!(gateway.lines(&["\"endpoint suspected\""]), Vec::<String>::new());
    let after = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
    assert_eq!(after.status, 200);
}
