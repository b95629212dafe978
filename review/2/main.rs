//! Engines leave without reporting `draining`, in a moment in which their slots are taken. The system must have stopped
//! sending requests to each of them `drain_ms` after the store accepted that its entry is gone.

#[path = "../stand_ins/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Instant;

const DRAIN_MS: u128 = 2_000;
const ZONES: [&str; 3] = ["pasila", "vantaa", "espoo"];
const ENGINES: usize = 12;
const CLIENTS_PER_ZONE: usize = 40;

fn main() {
    let record = Record::new();
    let ip = random_ip();
    let store = Store::start(ip);
    store.put("config", "main", &desired_state(7, 16_384, 20_000));
    let engines: Vec<Engine> = (0..ENGINES)
        .map(|n| {
            let engine = Engine::start(&format!("i-{n}"), "lexis", ZONES[n % 3], true, ip, &record);
            // Streams of a second and a half.
            engine.0.events.store(60, Ordering::SeqCst);
            engine.0.gap_ms.store(25, Ordering::SeqCst);
            engine.enter(&store);
            engine
        })
        .collect();
    let start = |(n, zone): (usize, &&str)| Gateway::start(&format!("front-{zone}-{n}"), zone, &store, BOUNDS);
    let gateways: Vec<Gateway> = ZONES.iter().enumerate().map(start).collect();
    wait_until("the gateways", ms(15_000), || gateways.iter().all(Gateway::is_ready));
    thread::sleep(ms(3_000));

    let is_over = Arc::new(AtomicBool::new(false));
    let (served, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let mut clients = Vec::new();
    for gateway in &gateways {
        for _ in 0..CLIENTS_PER_ZONE {
            let (addr, is_over, record) = (gateway.callers, Arc::clone(&is_over), record.clone());
            let (served, failed) = (Arc::clone(&served), Arc::clone(&failed));
            clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::SeqCst) {
                    let Ok(mut channel) = Channel::open(addr) else { continue };
                    let headers = [("Model", "m0"), ("Token-Count", "20,120")];
                    let outcome = channel.send("POST", "/match/2f", &headers, "prompt", 20_000);
                    let is_served = outcome.status == 200 && outcome.is_whole;
                    record.line(&format!(
                        "client gets {} for {} after {} ms, whole: {} {}",
                        outcome.status, outcome.id, outcome.took.as_millis(), outcome.is_whole, outcome.why
                    ));
                    if is_served { &served } else { &failed }.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(ms(if is_served { 20 } else { 200 }));
                }
            }));
        }
    }
    thread::sleep(ms(5_000));

    let mut left: Vec<(Engine, Instant)> = Vec::new();
    for zone in ZONES {
        let here = engines.iter().filter(|engine| engine.0.zone == zone);
        let engine = here.max_by_key(|engine| engine.arrivals().len()).expect("an engine").clone();
        // Other callers hold its slots for a while: what comes, a question for its health as well, waits for one.
        *engine.0.busy_until.lock().unwrap() = Instant::now() + ms(1_300);
        thread::sleep(ms(100));
        if trouble() {
            engine.0.is_leaving.store(true, Ordering::SeqCst);
            store.remove("servers", &engine.0.id);
        }
        let at = Instant::now();
        let requests = engine.arrivals().len();
        record.say(&format!("{:.3} s: {} leaves: {}, {requests} requests so far", record.at(at), engine.0.id, trouble()));
        left.push((engine, at));
        thread::sleep(ms(6_000));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));

    let mut late = 0;
    for (engine, at) in left.iter().filter(|_| trouble()) {
        let arrivals = engine.arrivals();
        let after = arrivals.iter().filter(|arrival| arrival.at > *at && arrival.status != 421);
        let after: Vec<u128> = after.map(|arrival| (arrival.at - *at).as_millis()).collect();
        let beyond = after.iter().filter(|ms| **ms > DRAIN_MS).count();
        late += beyond;
        record.say(&format!(
            "{}: {} requests after its entry was gone, {beyond} of them over {DRAIN_MS} ms after, the last {} ms after",
            engine.0.id, after.len(), after.iter().max().unwrap_or(&0)
        ));
        for (came, end, status) in engine.0.health_asked.lock().unwrap().iter().filter(|(came, ..)| came > at) {
            let (asked, took) = ((*came - *at).as_millis(), (*end - *came).as_millis());
            record.line(&format!("{}: asked for its health {asked} ms after, answered {status} in {took} ms", engine.0.id));
        }
    }
    let (served, failed) = (served.load(Ordering::SeqCst), failed.load(Ordering::SeqCst));
    record.say(&format!("streams served {served}, not served {failed}"));
    drop(gateways);
    if served < 100 {
        cleanup_and_exit(2);
    }
    record.say(if late > 0 { "DRAIN is broken" } else { "DRAIN holds" });
    cleanup_and_exit(i32::from(late > 0));
}
