//! The wait of urgent requests while routine work overloads a local fleet.

use crate::figure;
use hdrhistogram::Histogram;
use serde_json::json;
use sorrellock_core::version::{Class, Row};
use sorrellock_local::{Caller, LocalConfig, LocalFleet, MODEL, WORKSPACES, write_rows};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Requests that the engines run at a time; the overload keeps twice as many busy.
const SLOTS: usize = 16;
const TOKENS: u32 = 10;
const URGENT_TOKENS: u32 = 1;
/// Urgent callers, each with a pause between its requests.
const URGENT_CALLERS: usize = 2;
const PAUSE: Duration = Duration::from_millis(10);
const PHASE: Duration = Duration::from_secs(7);
const SETTLE: Duration = Duration::from_millis(800);
/// The promised ratio of waits with and without overload.
const MOST_RATIO: f64 = 1.2;

fn start() -> LocalFleet {
    let mut cfg = LocalConfig::new().with_pipeline(1, 2);
    cfg = cfg.with_times(Duration::from_millis(10), Duration::ZERO);
    cfg.max_batch = SLOTS as u32 / 2;
    LocalFleet::start(cfg).expect("a local fleet starts")
}

fn set_class(fleet: &LocalFleet, class: Class) {
    let rows = WORKSPACES.iter().enumerate().map(|(number, (id, _))| {
        let class = if number == 1 { class } else { Class::Routine };
        Row { class, requests_per_s: 1e6, tokens_per_s: 1e9, ..Row::new(*id, "default") }
    });
    write_rows(&fleet.platform, rows.collect());
    thread::sleep(SETTLE);
}

fn ask(caller: &Caller, tokens: u32) -> bool {
    let body =
        json!({ "model": MODEL, "prompt": "Is the cold chain whole?", "max_tokens": tokens });
    let answer = caller.send("/v1/completions", &[], &body.to_string());
    answer.is_ok_and(|answer| answer.status == 200)
}

/// Times of urgent answers, in microseconds, while `routine` callers ask without a pause.
fn waits(fleet: &LocalFleet, routine: usize) -> Histogram<u64> {
    let over = AtomicBool::new(false);
    let (routine_caller, urgent_caller) = (fleet.caller(0, 0), fleet.caller(0, 1));
    thread::scope(|scope| {
        for _ in 0..routine {
            scope.spawn(|| {
                while !over.load(Ordering::Relaxed) {
                    ask(&routine_caller, TOKENS);
                }
            });
        }
        thread::sleep(SETTLE);
        let urgent: Vec<_> =
            (0..URGENT_CALLERS).map(|_| scope.spawn(|| time(&urgent_caller))).collect();
        let mut all = Histogram::new(3).expect("three digits are allowed");
        for caller in urgent {
            all.add(caller.join().expect("a caller ends")).expect("times fit");
        }
        over.store(true, Ordering::Relaxed);
        all
    })
}

fn time(caller: &Caller) -> Histogram<u64> {
    let mut times = Histogram::new(3).expect("three digits are allowed");
    let start = Instant::now();
    while start.elapsed() < PHASE {
        let asked = Instant::now();
        if ask(caller, URGENT_TOKENS) {
            times.record(asked.elapsed().as_micros() as u64).expect("a time fits");
        }
        thread::sleep(PAUSE);
    }
    times
}

fn print(name: &str, times: &Histogram<u64>) {
    for (quantile, text) in [(0.5, "p50_ms"), (0.9, "p90_ms"), (0.99, "p99_ms")] {
        let value = times.value_at_quantile(quantile) as f64 / 1e3;
        figure(&format!("share.urgent_wait.{text}{name}"), value, "ms");
    }
}

/// Measures; whether urgent work waits no longer under overload than promised.
pub fn measure() -> bool {
    let fleet = start();
    set_class(&fleet, Class::Urgent);
    let calm = waits(&fleet, SLOTS / 2);
    let overload = waits(&fleet, SLOTS * 2);
    set_class(&fleet, Class::Routine);
    let naive = waits(&fleet, SLOTS * 2);
    print("", &overload);
    print(".calm", &calm);
    print(".naive", &naive);
    let ratio = |quantile| {
        overload.value_at_quantile(quantile) as f64 / calm.value_at_quantile(quantile) as f64
    };
    figure("share.urgent_wait.ratio_p50", ratio(0.5), "1");
    figure("share.urgent_wait.ratio_p99", ratio(0.99), "1");
    ratio(0.5) <= MOST_RATIO
}
