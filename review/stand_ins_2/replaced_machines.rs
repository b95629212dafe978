//! Machines are removed for good and replaced by others, many times, one at a time; then all processes are killed once.

use crate::engine::{Engine, EngineConfig};
use crate::gateway::{own_ip, Gateway};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "fleet.example";
const GATEWAYS: usize = 5;
const REPLACED: usize = 24;
/// `recovery_s` of the settings.
const RECOVERY: Duration = Duration::from_secs(12);
/// Twenty streams a second, each of a second, where the engines have room for thirty at once.
const INTERVAL: Duration = Duration::from_millis(50);
const LOAD: Duration = Duration::from_secs(8);
const ZONES: [&str; 3] = ["pasila", "vantaa", "espoo"];

/// Two of the tenants differ in priority, which goes before that of the route.
fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"match","host":"{HOST}","path_prefix":"/match/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"target_gap_ms":200,"priority":1,"service":"lexis","max_attempts":2,"public":false,"stream_resume":true}}],"services":[{{"name":"lexis","health_path":"/health","max_conns":978,"engine":{{"slots":192,"kv_token_bytes":590000.0,"models":[{{"name":"m0","load_s":1.0}}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"stride":2,"report_lag_ms":200,"loads_at_once":6,"usual":{{"prompt":760.0,"answer":170.0}},"layers":80,"layer_mb":1750.0,"kinds":[{{"name":"h100","size_mb":144000.0,"pace":1.4,"read_factor":1.0}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"treasury","api_keys":["key-0"],"priority":1}},{{"name":"bank","api_keys":["key-1"],"priority":2}}]}}"#
    )
}

/// Returns the exit code.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::start(SocketAddr::new(own_ip(1), 0));
    store.put("config", "main", &configuration());
    let names = ["i-a1", "i-b1", "i-c1"];
    let engines: Vec<Engine> = (0..3)
        .map(|n| {
            let cfg = EngineConfig {
                id: names[n],
                service: "lexis",
                model: "m0",
                kind: "h100",
                size_mb: 144_000,
                layer_mb: 1_750,
                zone: ZONES[n],
                addr: SocketAddr::new(own_ip(200 + n as u8), 8463),
                registers_after: Duration::ZERO,
            };
            Engine::start(cfg, &store, record)
        })
        .collect();
    let mut started = 0;
    let mut start = |zone: &str| {
        started += 1;
        Gateway::start(&format!("front-{zone}-{started}"), zone, own_ip(10 + started), store.addr)
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|n| start(ZONES[n % 3])).collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway isn't ready");
        return 2;
    }
    let until = Instant::now() + Duration::from_secs(20);
    while engines.iter().any(|engine| engine.layers() != (0, 80)) {
        if Instant::now() > until {
            record.line("the layers aren't placed");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    thread::sleep(Duration::from_secs(2));
    let before = load(record, &gateways, "a");
    if has_trouble {
        for n in 0..REPLACED {
            let at = n % GATEWAYS;
            let zone = ZONES[at % 3];
            record.line(&format!(
                "{} is removed for good, and another machine comes",
                gateways[at].name
            ));
            gateways[at].kill();
            gateways[at] = start(zone);
            if !gateways[at].wait_ready() {
                record.line("the new gateway isn't ready");
                return 2;
            }
        }
        thread::sleep(Duration::from_secs(2));
    }
    record.line("the final fault: all processes are killed, and start again 0.5 s later");
    gateways.iter_mut().for_each(Gateway::kill);
    gateways.iter_mut().for_each(|gateway| gateway.kill_and_restart(Duration::from_millis(500)));
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway isn't ready again");
        return 2;
    }
    thread::sleep(RECOVERY);
    let after = load(record, &gateways, "b");
    let refused: usize =
        gateways.iter().map(|gateway| gateway.log_lines("\"capacity refused\"").len()).sum();
    record.line(&format!("lines `capacity refused` of the gateways that are left: {refused}"));
    record.line(&format!(
        "RECOVER: before the final fault {} of {} were served, later than 12 s after it {} of {}",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 {
        return 2;
    }
    i32::from(after.0 * 4 < after.1)
}

/// Sends streams for a while. Returns how many were served, and how many there were.
fn load(record: &Record, gateways: &[Gateway], name: &str) -> (usize, usize) {
    let served: Arc<Mutex<usize>> = Arc::default();
    let addrs: Vec<SocketAddr> = gateways.iter().map(|gateway| gateway.callers).collect();
    let began = Instant::now();
    let mut clients = Vec::new();
    while began.elapsed() < LOAD {
        let (n, served, addrs, record) =
            (clients.len(), Arc::clone(&served), addrs.clone(), record.clone());
        let name = name.to_owned();
        clients.push(thread::spawn(move || {
            if client(&record, &addrs, &name, n) {
                *served.lock().unwrap() += 1;
            }
        }));
        thread::sleep(INTERVAL);
    }
    let all = clients.len();
    clients.into_iter().for_each(|client| drop(client.join()));
    let served = *served.lock().unwrap();
    (served, all)
}

/// A client with one retry, after a refusal that promises that nothing has run. Returns whether it was served.
fn client(record: &Record, addrs: &[SocketAddr], name: &str, n: usize) -> bool {
    let began = Instant::now();
    for attempt in 0..2 {
        let left = Duration::from_secs(20).saturating_sub(began.elapsed());
        let id = format!("{name}{n:06x}{attempt}");
        let headers = [
            ("Host", HOST.to_owned()),
            ("Request-Id", id.clone()),
            ("Deadline-Ms", left.as_millis().to_string()),
            ("Model", "m0".to_owned()),
            ("Token-Count", "400,400".to_owned()),
            ("Prefix-Hash", format!("5c1e07a2:40,{name}{n:07x}:360")),
            ("Authorization", format!("Bearer key-{}", n % 2)),
        ];
        let addr = addrs[(n + attempt) % addrs.len()];
        let body = format!("prompt {name}{n}");
        let got = http::request(addr, "POST", "/match/1", &headers, &body, Duration::from_secs(4));
        let retry_after = got.head.header("retry-after").and_then(|wait| wait.parse::<f64>().ok());
        record.line(&format!(
            "client {id}: {:?}, {}, {} ms, Retry-After {retry_after:?}",
            got.status,
            if got.is_whole { "whole" } else { "cut" },
            got.ms
        ));
        if got.status == Some(200) && got.is_whole {
            return true;
        }
        if got.status != Some(503) {
            return false;
        }
        thread::sleep(Duration::from_secs_f64(retry_after.unwrap_or(0.1).clamp(0.0, 6.0)));
    }
    false
}
