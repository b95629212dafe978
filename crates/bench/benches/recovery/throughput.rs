//! Tokens a second before and after an engine dies under full load, against the engines' bound.

use sorrellock_bench::figure_f64;
use sorrellock_local::{Caller, LocalConfig, LocalFleet, MODEL};
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Stages, and engines that hold the same layers.
const PIPELINE: (usize, usize) = (2, 3);
/// Callers that ask again and again.
const CALLERS: usize = 96;
/// Tokens of an answer.
const TOKENS: u32 = 60;
/// Steps that an engine runs together, and its time for them.
const BATCH: (u32, Duration, Duration) = (8, Duration::from_millis(10), Duration::from_micros(50));
/// Until the load has settled, and then before and after the kill.
const SPANS: [Duration; 3] =
    [Duration::from_secs(2), Duration::from_secs(2), Duration::from_secs(5)];
/// Length of the window in which throughput is taken.
const WINDOW: Duration = Duration::from_millis(500);
/// How far the start of the window moves.
const STRIDE: Duration = Duration::from_millis(50);
/// How the error begins of an answer that was refused before it ran.
const REFUSED: &str = "status ";
/// When a refused caller comes back.
const COME_BACK: Duration = Duration::from_millis(20);
/// Share of the bound that counts as back.
const BACK: f64 = 0.95;

/// Prints throughput before and after; tells what is broken.
pub fn measure() -> Vec<String> {
    let mut cfg = LocalConfig::new()
        .with_services(0)
        .with_pipeline(PIPELINE.0, PIPELINE.1)
        .with_times(BATCH.1, BATCH.2);
    cfg.max_batch = BATCH.0;
    let fleet = LocalFleet::start(cfg).expect("the fleet starts");
    let (times, stop) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    let (mut killed, mut failed) = (Instant::now(), 0);
    thread::scope(|scope| {
        let call = |number: usize| {
            let caller = fleet.caller(0, number % 2);
            let (times, stop) = (&times, &stop);
            scope.spawn(move || call_again(&caller, number, times, stop))
        };
        let callers: Vec<_> = (0..CALLERS).map(call).collect();
        thread::sleep(SPANS[0] + SPANS[1]);
        killed = Instant::now();
        fleet.kill_busiest(0);
        thread::sleep(SPANS[2]);
        stop.store(true, Ordering::Release);
        failed = callers.into_iter().map(|caller| caller.join().unwrap_or(1)).sum::<usize>();
    });
    print(&times.into_inner().unwrap(), killed);
    if failed > 0 { vec![format!("{failed} answers under load failed")] } else { Vec::new() }
}

/// Asks until told to stop; gives the answers that failed once they were taken.
fn call_again(
    caller: &Caller,
    number: usize,
    times: &Mutex<Vec<Instant>>,
    stop: &AtomicBool,
) -> usize {
    let mut failed = 0;
    for round in 0.. {
        if stop.load(Ordering::Acquire) {
            break;
        }
        let prompt = format!("load {number} {round}");
        let on_text = |_: &str| times.lock().unwrap().push(Instant::now());
        match caller.stream(MODEL, &prompt, TOKENS, on_text) {
            Ok(_) => {}
            Err(err) if err.to_string().starts_with(REFUSED) => thread::sleep(COME_BACK),
            Err(_) => failed += 1,
        }
    }
    failed
}

fn print(times: &[Instant], killed: Instant) {
    let batch = BATCH.1 + BATCH.2 * BATCH.0;
    let engine = f64::from(BATCH.0) / batch.as_secs_f64();
    let (before, after) = (engine * PIPELINE.1 as f64, engine * (PIPELINE.1 - 1) as f64);
    let rate_before = rate(times, killed - SPANS[1], SPANS[1]);
    let settled = SPANS[2] / 2;
    let rate_after = rate(times, killed + settled, SPANS[2] - settled);
    figure_f64("recovery.throughput.before", rate_before, "tokens/s");
    figure_f64("recovery.throughput.before_bound_ratio", rate_before / before, "ratio");
    figure_f64("recovery.throughput.after", rate_after, "tokens/s");
    figure_f64("recovery.throughput.after_bound_ratio", rate_after / after, "ratio");
    let windows = (SPANS[2] - WINDOW).as_millis() / STRIDE.as_millis();
    let starts = (0..windows as u32).map(|index| STRIDE * index);
    let best = starts.clone().map(|start| rate(times, killed + start, WINDOW)).fold(0.0, f64::max);
    figure_f64("recovery.throughput.best_window_ratio", best / after, "ratio");
    let back = starts.clone().find(|start| rate(times, killed + *start, WINDOW) >= BACK * after);
    if let Some(back) = back {
        figure_f64("recovery.throughput.back_at_95_ms", back.as_secs_f64() * 1e3, "ms");
    }
}

/// Tokens a second in the window that begins at `from`.
fn rate(times: &[Instant], from: Instant, window: Duration) -> f64 {
    let within = times.iter().filter(|time| **time >= from && **time < from + window).count();
    within as f64 / window.as_secs_f64()
}
