//! A new desired state raises `max_header_bytes`. Requests that keep to it must be taken on channels that were open
//! before as well.

#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::thread;

const ZONES: [&str; 3] = ["pasila", "vantaa", "espoo"];
const CHANNELS_PER_ZONE: usize = 20;
const LIMIT_BEFORE: u64 = 16_384;
const LIMIT_AFTER: u64 = 65_536;
/// Longer than the limit before, far shorter than the one after.
const LONG_HEADER_BYTES: usize = 24_000;

fn main() {
    let record = Record::new();
    let ip = random_ip();
    let store = Store::start(ip);
    let first_limit = if trouble() { LIMIT_BEFORE } else { LIMIT_AFTER };
    store.put("config", "main", &desired_state(7, first_limit, 20_000));
    for (n, zone) in ZONES.iter().enumerate() {
        Engine::start(&format!("p-{n}"), "ledger", zone, false, ip, &record).enter(&store);
    }
    let start = |(n, zone): (usize, &&str)| Gateway::start(&format!("front-{zone}-{n}"), zone, &store, BOUNDS);
    let gateways: Vec<Gateway> = ZONES.iter().enumerate().map(start).collect();
    wait_until("the gateways", ms(15_000), || gateways.iter().all(Gateway::is_ready));
    thread::sleep(ms(4_000));

    let mut kept = Vec::new();
    for gateway in &gateways {
        for _ in 0..CHANNELS_PER_ZONE {
            let Ok(mut channel) = Channel::open(gateway.callers) else { continue };
            let outcome = channel.send("POST", "/status/2f", &[], "trade 4711", 4_000);
            record.line(&format!("client gets {} for {}, a short request", outcome.status, outcome.id));
            if outcome.status == 200 && !closes(&outcome) {
                kept.push(channel);
            }
        }
    }
    let sent_before = kept.len();
    if trouble() {
        store.put("config", "main", &desired_state(9, LIMIT_AFTER, 20_000));
        record.say(&format!("the store has accepted a desired state with max_header_bytes {LIMIT_AFTER}"));
    }
    // Far longer than `config_ms`, shorter than four fifths of `idle_timeout_ms`.
    thread::sleep(ms(6_000));

    let long = "y".repeat(LONG_HEADER_BYTES);
    let (mut served, mut denied) = (0, 0);
    for channel in &mut kept {
        let outcome = channel.send("POST", "/status/2f", &[("X-Trace", &long)], "trade 4712", 4_000);
        record.line(&format!("client gets {} for {}, a request with a long header", outcome.status, outcome.id));
        match outcome.status {
            200 => served += 1,
            300..=499 if ![408, 421, 429].contains(&outcome.status) => denied += 1,
            _ => {}
        }
    }
    let all = sent_before + kept.len();
    let allowed = 5.0 + all as f64 / 500.0;
    record.say(&format!("{all} requests; of {} with a long header on kept channels {served} served, {denied} denied", kept.len()));
    drop(gateways);
    if kept.len() < 30 {
        cleanup_and_exit(2);
    }
    let is_broken = f64::from(denied) > allowed;
    record.say(if is_broken { "DENIED is broken" } else { "DENIED holds" });
    cleanup_and_exit(i32::from(is_broken));
}
