//! A new desired state adds a route of streams to a service that has no model engines. Its requests must be served like
//! those on the first routes.

#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;

const ZONES: [&str; 3] = ["pasila", "vantaa", "espoo"];
const MODEL_ENGINES: usize = 6;
const PLAIN_ENGINES: usize = 3;
/// On each route and gateway.
const CLIENTS: usize = 3;
/// "Clients abandon a stream, also before its first event, after a gap of two seconds, four times the objective or eight
/// times that pause, whichever is longest": the objective is 500 ms.
const PATIENCE_MS: u64 = 2_000;
/// A stream takes three seconds.
const EVENTS: u64 = 60;
const GAP_MS: u64 = 50;

/// What the requests on one route came to.
#[derive(Default)]
struct Tally {
    sent: AtomicU64,
    served: AtomicU64,
}

impl Tally {
    fn counts(&self) -> (u64, u64) {
        (self.sent.load(Ordering::SeqCst), self.served.load(Ordering::SeqCst))
    }
}

/// Sends one stream after the other to a route, until the run is over.
fn send_streams(gateway: &Gateway, path: &'static str, tally: &Arc<Tally>, is_over: &Arc<AtomicBool>, record: &Record) -> thread::JoinHandle<()> {
    let (addr, tally, is_over, record) = (gateway.callers, Arc::clone(tally), Arc::clone(is_over), record.clone());
    thread::spawn(move || {
        while !is_over.load(Ordering::SeqCst) {
            let Ok(mut channel) = Channel::open(addr) else { continue };
            channel.set_patience(ms(PATIENCE_MS));
            tally.sent.fetch_add(1, Ordering::SeqCst);
            let headers = [("Model", "m0"), ("Token-Count", "20,120")];
            let outcome = channel.send("POST", path, &headers, "prompt", 20_000);
            let is_served = outcome.status == 200 && outcome.is_whole;
            record.line(&format!(
                "client gets {} for {} on {path} after {} ms, whole: {} {}",
                outcome.status, outcome.id, outcome.took.as_millis(), outcome.is_whole, outcome.why
            ));
            tally.served.fetch_add(u64::from(is_served), Ordering::SeqCst);
            thread::sleep(ms(100));
        }
    })
}

fn main() {
    let record = Record::new();
    let ip = random_ip();
    let store = Store::start(ip);
    store.put("config", "main", &desired_state(7, 16_384, 20_000));
    let set_pace = |engine: Engine| {
        engine.0.events.store(EVENTS, Ordering::SeqCst);
        engine.0.gap_ms.store(GAP_MS, Ordering::SeqCst);
        engine.enter(&store);
        engine
    };
    for n in 0..MODEL_ENGINES {
        set_pace(Engine::start(&format!("i-{n}"), "lexis", ZONES[n % 3], true, ip, &record));
    }
    let plain = |n| set_pace(Engine::start(&format!("p-{n}"), "ledger", ZONES[n % 3], false, ip, &record));
    let plain: Vec<Engine> = (0..PLAIN_ENGINES).map(plain).collect();
    let start = |(n, zone): (usize, &&str)| Gateway::start(&format!("front-{zone}-{n}"), zone, &store, BOUNDS);
    let gateways: Vec<Gateway> = ZONES.iter().enumerate().map(start).collect();
    wait_until("the gateways", ms(15_000), || gateways.iter().all(Gateway::is_ready));
    thread::sleep(ms(4_000));

    let later_path = if trouble() { "/brief/2f" } else { "/match/2f" };
    if trouble() {
        let added = format!(
            "\"routes\":[{{\"name\":\"brief\",\"host\":\"{HOST}\",\"path_prefix\":\"{PLAIN_STREAM_PREFIX}\",\"kind\":\"streaming\",\"timeout_ms\":20000,\"target_latency_ms\":500,\"priority\":1,\"service\":\"ledger\",\"max_attempts\":2,\"public\":false,\"sticky_sessions\":true,\"stream_resume\":true}},"
        );
        store.put("config", "main", &desired_state(9, 16_384, 20_000).replacen("\"routes\":[", &added, 1));
        record.say("the store has accepted a desired state with one more route of streams, to the service `ledger`");
    }
    // Far longer than `config_ms` and `stable_window_ms`.
    thread::sleep(ms(6_000));

    let is_over = Arc::new(AtomicBool::new(false));
    let (first, later) = (Arc::new(Tally::default()), Arc::new(Tally::default()));
    let mut clients = Vec::new();
    for gateway in &gateways {
        for _ in 0..CLIENTS {
            clients.push(send_streams(gateway, "/match/2f", &first, &is_over, &record));
            clients.push(send_streams(gateway, later_path, &later, &is_over, &record));
        }
    }
    thread::sleep(ms(30_000));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let ((first_sent, first_served), (later_sent, later_served)) = (first.counts(), later.counts());
    let runs: usize = plain.iter().map(|engine| engine.arrivals().iter().filter(|arrival| arrival.status == 200).count()).sum();
    record.say(&format!(
        "first route: {first_served} of {first_sent} streams served; later route: {later_served} of {later_sent}; runs at the engines of `ledger`: {runs}"
    ));
    drop(gateways);
    if first_sent < 20 || later_sent < 20 || first_served * 2 < first_sent {
        cleanup_and_exit(2);
    }
    // "In steady state, machines in touch get 20 or more requests on routes that were added later, and serve them less
    // than a quarter as often as those on the first routes."
    let is_broken = later_served * 4 * first_sent < first_served * later_sent;
    record.say(if is_broken { "CONFIG is broken" } else { "CONFIG holds" });
    cleanup_and_exit(i32::from(is_broken));
}
