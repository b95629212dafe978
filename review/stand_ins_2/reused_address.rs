//! The address of an engine that crashed is used again by an engine of another service.

use crate::engine::{Engine, EngineConfig};
use crate::gateway::{own_ip, Gateway};
use crate::record::Record;
use crate::store::Store;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

const HOST: &str = "fleet.example";
/// `addr_reuse_s` of the settings.
const ADDR_REUSE: Duration = Duration::from_secs(2);
/// From the start of an engine to its first check-in: within one interval of 1,200 ms.
const FIRST_CHECK_IN: Duration = Duration::from_millis(600);

fn configuration() -> String {
    let route = |name: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","path_prefix":"/{name}/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"target_gap_ms":200,"priority":1,"service":"{service}","max_attempts":2,"public":true,"stream_resume":true}}"#
        )
    };
    let service = |name: &str, model: &str, kind: &str, size_mb: u64| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_conns":978,"engine":{{"slots":192,"kv_token_bytes":590000.0,"models":[{{"name":"{model}","load_s":1.0}}],"step_ms":0.85,"per_seq_ms":0.00382,"context_per_k":0.00512,"read_per_s":196000.0,"pairs_per_m":0.166,"chunk":512,"stride":2,"report_lag_ms":200,"loads_at_once":6,"usual":{{"prompt":760.0,"answer":170.0}},"layers":80,"layer_mb":1750.0,"kinds":[{{"name":"{kind}","size_mb":{size_mb}.0,"pace":1.4,"read_factor":1.0}}]}}}}"#
        )
    };
    format!(
        r#"{{"version":1,"routes":[{},{}],"services":[{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[]}}"#,
        route("match", "lexis"),
        route("note", "scribe"),
        service("lexis", "m0", "h100", 72_000),
        service("scribe", "m1", "l4", 21_600),
    )
}

/// Returns the exit code.
pub fn run(record: &Record, has_trouble: bool) -> i32 {
    let store = Store::start(SocketAddr::new(own_ip(1), 0));
    store.put("config", "main", &configuration());
    let engine = |id, service, model, kind, size_mb, addr, registers_after| {
        let cfg = EngineConfig {
            id,
            service,
            model,
            kind,
            size_mb,
            layer_mb: 1_750,
            zone: "pasila",
            addr,
            registers_after,
        };
        Engine::start(cfg, &store, record)
    };
    let at = |last| SocketAddr::new(own_ip(last), 8463);
    let at_once = Duration::ZERO;
    // Two cards of 41 layers hold the 80 layers of the model.
    let stays = engine("i-a1", "lexis", "m0", "h100", 72_000, at(30), at_once);
    let crashes = engine("i-a2", "lexis", "m0", "h100", 72_000, at(31), at_once);
    let gateways: Vec<Gateway> = (0..2)
        .map(|n| Gateway::start(&format!("front-{n}"), "pasila", own_ip(20 + n), store.addr))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        record.line("a gateway isn't ready");
        return 2;
    }
    let until = Instant::now() + Duration::from_secs(20);
    let held = |engine: &Engine| engine.layers().1 - engine.layers().0;
    while held(&stays) + held(&crashes) < 80 {
        if Instant::now() > until {
            record.line("the layers aren't placed");
            return 2;
        }
        thread::sleep(Duration::from_millis(100));
    }
    record.line(&format!("i-a1 holds {:?}, i-a2 holds {:?}", stays.layers(), crashes.layers()));
    thread::sleep(Duration::from_secs(3));
    record.line("i-a2 crashes");
    crashes.crash();
    thread::sleep(ADDR_REUSE + Duration::from_millis(200));
    // Without the disruption, the engine of the other service starts at an address that nobody had.
    let addr = if has_trouble { crashes.addr } else { at(32) };
    let newcomer = engine("i-b1", "scribe", "m1", "l4", 21_600, addr, FIRST_CHECK_IN);
    thread::sleep(Duration::from_secs(6));
    let too_many: Vec<_> =
        [&stays, &crashes, &newcomer].iter().flat_map(|engine| engine.too_many()).collect();
    for order in &too_many {
        record.line(&format!(
            "LIMIT: engine {} was ordered to hold layers {} to {}, of which its size_mb holds {}",
            order.engine, order.from, order.target, order.fits
        ));
    }
    i32::from(!too_many.is_empty())
}
