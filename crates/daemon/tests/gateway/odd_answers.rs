//! Bytes of endpoints that are no answers, or never end.

use crate::fleet::{Fleet, KEY, config, fleet, new_request, send};
use crate::gateway_process::GatewayProcess;
use serde_json::json;
use sorrellock_stand_ins::{RawCall, RawService, new_ip};
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// Within this time after its deadline, a caller has its answer.
const LATE: Duration = Duration::from_millis(500);
/// The timeout of the routes here.
const TIMEOUT: Duration = Duration::from_millis(3_000);
/// What an endpoint can write before the gateway closes the connection: its own bound and the system's buffers.
const MAX_READ_BYTES: u64 = 32 << 20;

type Writer = fn(RawCall) -> io::Result<()>;

/// Starts a fleet whose plain service has one endpoint, which writes its answers so.
fn fleet_with(answer: Writer) -> (Fleet, GatewayProcess, RawService) {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let mut cfg = config(2, &[KEY]);
    for route in cfg["routes"].as_array_mut().expect("routes") {
        route["timeout_ms"] = (TIMEOUT.as_millis() as u64).into();
    }
    let mut alerts = cfg["routes"][0].clone();
    alerts["name"] = "alerts".into();
    alerts["path_prefix"] = "/alerts/".into();
    for (route, service) in [(&mut alerts, "odd"), (&mut cfg["routes"][1], "odd")] {
        route["service"] = service.into();
    }
    cfg["routes"].as_array_mut().expect("routes").push(alerts);
    let odd = json!({"name": "odd", "health_path": "/health", "max_conns": 50});
    cfg["services"].as_array_mut().expect("services").push(odd);
    fleet.store.put("config", "main", cfg);
    let raw = RawService::start("odd-1", "odd", new_ip(), &fleet.store, answer).expect("a service");
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
    gateway.wait_for_line(&["\"endpoint joined\"", "odd-1"]);
    (fleet, gateway, raw)
}

fn write_status(mut call: RawCall, status: &str) -> io::Result<()> {
    let id = call.id.clone();
    call.write(format!(
        "HTTP/1.1 {status} Odd\r\nrequest-id: {id}\r\nresponse-seal: odd\r\ncontent-length: 3\r\n\r\nodd"
    ))
}

fn write_head(call: &mut RawCall, framing: &str) -> io::Result<()> {
    let id = call.id.clone();
    call.write(format!("HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nresponse-seal: odd\r\n{framing}"))
}

/// Writes the same bytes until the other side closes the connection.
fn write_endlessly(mut call: RawCall, bytes: &[u8]) -> io::Result<()> {
    let block = bytes.repeat((64 << 10) / bytes.len());
    loop {
        call.write(&block)?;
    }
}

/// Guards against answers whose status is none of the protocol's, passed on as the endpoint's own.
#[test]
fn an_answer_with_a_status_outside_of_the_protocol_is_a_failure() {
    let writers: [(&str, Writer); 7] = [
        ("000", |call| write_status(call, "000")),
        ("099", |call| write_status(call, "099")),
        ("101", |call| write_status(call, "101")),
        ("600", |call| write_status(call, "600")),
        ("999", |call| write_status(call, "999")),
        ("1000", |call| write_status(call, "1000")),
        ("20", |call| write_status(call, "20")),
    ];
    for (status, writer) in writers {
        let (_fleet, gateway, raw) = fleet_with(writer);
        for path in ["/status/a", "/alerts/a"] {
            let answer = send(gateway.callers(), path, &new_request(), Some(KEY));

            assert_eq!(answer.status, 502, "{path} answered with {status}: {answer:?}");
            assert_eq!(answer.signature, None, "{path} answered with {status}");
        }
        assert_eq!(raw.requests(), 2, "status {status}");
    }
}

/// Guards against answers that never end, and hold a caller or the gateway's memory.
#[test]
fn bytes_without_end_are_cut_off() {
    let writers: [(&str, Writer); 9] = [
        ("status line", |mut call| {
            call.write("HTTP/1.1 200 ")?;
            write_endlessly(call, b"x")
        }),
        ("no answer", |call| write_endlessly(call, b"no answer")),
        ("header value", |mut call| {
            write_head(&mut call, "x-odd: ")?;
            write_endlessly(call, b"x")
        }),
        ("headers", |mut call| {
            write_head(&mut call, "")?;
            write_endlessly(call, b"x-odd: odd\r\n")
        }),
        ("interim answers", |call| write_endlessly(call, b"HTTP/1.1 100 Continue\r\n\r\n")),
        ("body without length", |mut call| {
            write_head(&mut call, "\r\n")?;
            write_endlessly(call, b"x")
        }),
        ("chunks", |mut call| {
            write_head(&mut call, "transfer-encoding: chunked\r\n\r\n")?;
            write_endlessly(call, b"1\r\nx\r\n")
        }),
        ("chunk extension", |mut call| {
            write_head(&mut call, "transfer-encoding: chunked\r\n\r\n1;")?;
            write_endlessly(call, b"x")
        }),
        ("trailers", |mut call| {
            write_head(&mut call, "transfer-encoding: chunked\r\n\r\n0\r\n")?;
            write_endlessly(call, b"x-odd: odd\r\n")
        }),
    ];
    for (what, writer) in writers {
        let (_fleet, gateway, raw) = fleet_with(writer);
        for path in ["/status/a", "/alerts/a"] {
            let began = Instant::now();

            let answer = send(gateway.callers(), path, &new_request(), Some(KEY));

            let took = began.elapsed();
            assert!(!answer.is_whole || answer.status >= 502, "{path}, {what}: {answer:?}");
            assert!(took < TIMEOUT + LATE, "{path}, {what}: after {took:?}");
        }
        let sent = raw.sent_bytes();
        assert!(sent <= 2 * MAX_READ_BYTES, "{what}: {sent} bytes were read");
    }
}

/// An answer that comes so slowly that it never ends holds its caller for the route's timeout at most.
#[test]
fn a_body_that_comes_slowly_without_end_is_cut_off_at_the_timeout() {
    let (_fleet, gateway, _raw) = fleet_with(|mut call| {
        write_head(&mut call, "transfer-encoding: chunked\r\n\r\n")?;
        loop {
            call.write("1\r\nx\r\n")?;
            thread::sleep(Duration::from_millis(20));
        }
    });
    for path in ["/status/a", "/alerts/a"] {
        let began = Instant::now();

        let answer = send(gateway.callers(), path, &new_request(), Some(KEY));

        let took = began.elapsed();
        assert!(!answer.is_whole || answer.status == 504, "{path}: {answer:?}");
        assert!(took < TIMEOUT + LATE, "{path}: after {took:?}");
    }
}
