//! Bytes of endpoints that are no answers.

use crate::fleet::{Fleet, KEY, config, fleet, new_request, send};
use crate::gateway_process::GatewayProcess;
use serde_json::json;
use sorrellock_stand_ins::{RawCall, RawService, new_ip};
use std::io;
use std::time::Duration;

/// The timeout of the routes here.
const TIMEOUT: Duration = Duration::from_millis(3_000);

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
