//! A server that fails requests after it has run them, with a status that promises the opposite.

use crate::gateway::{own_ip, Gateway};
use crate::http;
use crate::record::Record;
use crate::service::{runs_by_body, Service};
use crate::store::Store;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "fleet.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const OPERATIONS: usize = 60;

fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{prefix}","kind":"{kind}","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"ledger","max_attempts":{attempts},"public":false}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{{"name":"ledger","health_path":"/health","max_conns":110}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"treasury","api_keys":["{KEY}"],"priority":1}}]}}"#,
        route("status", "/status/", "non_idempotent", 1),
        route("ack", "/ack/", "idempotent", 2),
    )
}

/// Returns the exit code.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::start(SocketAddr::new(own_ip(1), 0));
    store.put("config", "main", &configuration());
    let zones = ["pasila", "vantaa", "espoo"];
    let services: Vec<Service> = (0..3)
        .map(|n| {
            Service::start(
                &format!("i-{n}"),
                "ledger",
                zones[n],
                own_ip(10 + n as u8),
                &store,
                record,
            )
        })
        .collect();
    let gateways: Vec<Gateway> = (0..3)
        .map(|n| Gateway::start(&format!("front-{n}"), zones[n], own_ip(20 + n as u8), store.addr))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway isn't ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    if has_trouble {
        record.line("server i-0 fails 45 in 100 of its requests from now on, with 503 and without Not-Executed");
        services[0].fail(45, 503);
    }
    let mut refused = Vec::new();
    let mut next_id = 0;
    for operation in 0..OPERATIONS {
        let body = format!("operation {operation}");
        let began = Instant::now();
        // A client: one retry, only after a promise that the attempt has not run and never will.
        for attempt in 0..2 {
            next_id += 1;
            let id = format!("{:08x}", 0x5000_0000 + next_id);
            let gateway = &gateways[(operation + attempt) % gateways.len()];
            let left = Duration::from_millis(4_000).saturating_sub(began.elapsed());
            let headers = [
                ("Host", HOST.to_owned()),
                ("Request-Id", id.clone()),
                ("Deadline-Ms", left.as_millis().to_string()),
                ("Authorization", format!("Bearer {KEY}")),
                ("Connection", "close".to_owned()),
            ];
            let got = http::request(gateway.callers, "POST", "/status/1", &headers, &body, left);
            let seal = got.head.header("response-seal").unwrap_or("none").to_owned();
            record.line(&format!(
                "client {body}, attempt {id} over {}: {:?}, seal {seal}",
                gateway.name, got.status
            ));
            let Some(status) = got.status.filter(|status| [408, 421, 429, 503].contains(status))
            else {
                break;
            };
            refused.push((id, status));
            let wait = got.head.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
            thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1).min(1.0)));
        }
    }
    thread::sleep(Duration::from_millis(500));
    let run: HashSet<String> =
        services.iter().flat_map(Service::runs).map(|run| run.request).collect();
    let broken: Vec<&(String, u16)> = refused.iter().filter(|(id, _)| run.contains(id)).collect();
    for (id, status) in &broken {
        record.line(&format!("REFUSED: {id} was answered {status} and has run"));
    }
    let twice = runs_by_body(&services).into_values().filter(|runs| *runs > 1).count();
    record.line(&format!(
        "{} attempts that may run once were answered with a promise though they have run; {twice} of {OPERATIONS} operations were applied twice",
        broken.len()
    ));
    i32::from(!broken.is_empty())
}
