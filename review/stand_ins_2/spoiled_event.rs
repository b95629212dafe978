//! An engine spoils the id of an event that it writes together with the one before.

use crate::engine::{Engine, EngineConfig, EVENTS};
use crate::gateway::{own_ip, Gateway};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "fleet.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const STREAMS: usize = 360;
/// One in forty answers: 0.025, of the largest dose of 0.0289 on the sheet.
const SPOILED_ONE_IN: u32 = 40;

fn configuration() -> String {
    format!(
        r#"{{"version":1,"routes":[{{"name":"match","host":"{HOST}","path_prefix":"/match/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"target_gap_ms":200,"priority":1,"service":"lexis","max_attempts":2,"public":false,"stream_resume":true}}],"services":[{{"name":"lexis","health_path":"/health","max_conns":978,"engine":{{"slots":192,"kv_token_bytes":590000.0,"models":[{{"name":"m0","load_s":1.0}}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"stride":2,"report_lag_ms":200,"loads_at_once":6,"usual":{{"prompt":760.0,"answer":170.0}},"layers":80,"layer_mb":1750.0,"kinds":[{{"name":"h100","size_mb":144000.0,"pace":1.4,"read_factor":1.0}}]}}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"treasury","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Ids of the events of a stream, as the client got them.
fn ids(body: &str) -> Vec<u64> {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.trim().parse().ok()).collect()
}

/// Returns the exit code.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::start(SocketAddr::new(own_ip(1), 0));
    store.put("config", "main", &configuration());
    let zones = ["pasila", "vantaa", "espoo"];
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
                zone: zones[n],
                addr: SocketAddr::new(own_ip(30 + n as u8), 8463),
                registers_after: Duration::ZERO,
            };
            Engine::start(cfg, &store, record)
        })
        .collect();
    let gateways: Vec<Gateway> = (0..3)
        .map(|n| Gateway::start(&format!("front-{n}"), zones[n], own_ip(20 + n as u8), store.addr))
        .collect();
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
    thread::sleep(Duration::from_secs(14));
    if has_trouble {
        record.line(
            "engine i-a1 spoils one in 40 of its answers from now on: the id of one event is wrong",
        );
        engines[0].spoil_one_in(SPOILED_ONE_IN);
    }
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let whole: Arc<Mutex<usize>> = Arc::default();
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            thread::sleep(Duration::from_millis(60));
            let (record, broken, whole) = (record.clone(), Arc::clone(&broken), Arc::clone(&whole));
            let (addr, name) = (gateways[n % 3].callers, gateways[n % 3].name.clone());
            thread::spawn(move || {
                let id = format!("{:08x}", 0x7000_0000 + n);
                let headers = [
                    ("Host", HOST.to_owned()),
                    ("Request-Id", id.clone()),
                    ("Deadline-Ms", "20000".to_owned()),
                    ("Model", "m0".to_owned()),
                    ("Token-Count", "60,80".to_owned()),
                    ("Prefix-Hash", format!("5c1e07a2:40,{n:08x}:20")),
                    ("Authorization", format!("Bearer {KEY}")),
                ];
                let limit = Duration::from_secs(5);
                let got = http::request(addr, "POST", "/match/1", &headers, &format!("prompt {n}"), limit);
                let ids = ids(&got.body);
                let ends = if got.is_whole { "whole" } else { "cut" };
                let all: Vec<u64> = (1..=EVENTS).collect();
                record.line(&format!("client got {id} over {name}: {:?}, {} events, {ends}", got.status, ids.len()));
                if got.status != Some(200) || !got.is_whole {
                    return;
                }
                *whole.lock().unwrap() += 1;
                if ids != all {
                    let missing: Vec<&u64> = all.iter().filter(|event| !ids.contains(event)).collect();
                    let line = format!("ORDER: the stream {id} ended as complete; missing events {missing:?}; got {ids:?}");
                    record.line(&line);
                    broken.lock().unwrap().push(line);
                }
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    let broken = broken.lock().unwrap().len();
    let spoiled = engines.iter().flat_map(Engine::runs).filter(|run| run.spoiled.is_some()).count();
    let whole = *whole.lock().unwrap();
    record.line(&format!("{spoiled} runs were spoiled; of {whole} streams that ended as complete, {broken} lack events"));
    if whole < STREAMS / 2 {
        return 2;
    }
    i32::from(broken > 0)
}
