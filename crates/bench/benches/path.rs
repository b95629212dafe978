//! The whole path of a request: what it adds to the engines' own time, and how near to the engines'
//! bound its throughput comes. The naive baseline is a client that drives the engines itself.

use eyre::{Result, ensure, eyre};
use sorrellock_bench::{Latencies, figure_f64};
use sorrellock_core::id::TokenId;
use sorrellock_core::request::Activations;
use sorrellock_daemon::process::{LogFormat, set_up_log};
use sorrellock_local::{LocalConfig, LocalFleet, MODEL};
use sorrellock_ports::api::{Batch, Engine, EngineStep, StepOutput};
use sorrellock_ports::client::HttpEngine;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Stages of the pipeline.
const STAGES: usize = 3;
/// Limit of each workspace, out of reach.
const REQUESTS_LIMIT: f64 = 1e6;
/// Engines that hold the same layers.
const REPLICAS: usize = 2;
/// Requests whose latency is measured, and those before them that warm up.
const LATENCY_REQUESTS: u32 = 2_000;
const WARM_UP: u32 = 200;
/// Callers at a time that ask for one token each.
const SHORT_CALLERS: usize = 32;
/// How long they ask.
const SHORT_TIME: Duration = Duration::from_secs(4);
/// Callers at a time of the run at full load: two full batches for each engine.
const FULL_CALLERS: usize = 2 * STAGES * REPLICAS * MAX_BATCH;
/// Tokens of an answer at full load.
const FULL_TOKENS: u32 = 128;
/// Load goes on this long before it is measured, and this long while it is.
const RAMP: Duration = Duration::from_secs(3);
const FULL_TIME: Duration = Duration::from_secs(8);
/// How long each naive client is measured.
const NAIVE_TIME: Duration = Duration::from_secs(2);
/// Steps of a full batch at an engine, its time, and that of each of its tokens.
const MAX_BATCH: usize = 32;
const BATCH_TIME: Duration = Duration::from_millis(4);
const TOKEN_TIME: Duration = Duration::from_micros(50);

fn main() -> Result<()> {
    set_up_log(LogFormat::Off);
    measure_latency()?;
    measure_throughput()
}

/// Engines that take no time: all that a request takes is added by the path.
fn measure_latency() -> Result<()> {
    let cfg = LocalConfig::new()
        .with_pipeline(STAGES, REPLICAS)
        .with_requests_per_s(REQUESTS_LIMIT)
        .with_times(Duration::ZERO, Duration::ZERO);
    let fleet = LocalFleet::start(cfg)?;
    let naive = naive_latency(&fleet)?;
    let added = added_latency(&fleet)?;
    added.print_us("path.added_latency");
    naive.print_us("path.added_latency.naive");
    figure_f64("path.requests_per_s", short_requests(&fleet)?, "requests/s");
    Ok(())
}

/// Time of each one-token answer less the time that the engines were at work meanwhile.
fn added_latency(fleet: &LocalFleet) -> Result<Latencies> {
    let caller = fleet.caller(0, 0);
    latency_of(fleet, |_, prompt| caller.stream(MODEL, prompt, 1, |_| {}))
}

/// The same answers by a client that calls the engines itself, less their time at work.
fn naive_latency(fleet: &LocalFleet) -> Result<Latencies> {
    let client = NaiveClient::new(fleet, 0);
    latency_of(fleet, |number, prompt| client.answer(&format!("latency-{number}"), prompt, 1))
}

/// Asks `ask` for answers of one token, and takes what is not the engines' time.
fn latency_of(fleet: &LocalFleet, ask: impl Fn(u32, &str) -> Result<String>) -> Result<Latencies> {
    let mut latencies = Latencies::new();
    for number in 0..WARM_UP + LATENCY_REQUESTS {
        let prompt = format!("Match trade {number}.");
        let expected = fleet.expected(&prompt, 1);
        let busy = busy(fleet);
        let start = Instant::now();
        let text = ask(number, &prompt)?;
        let elapsed = start.elapsed();
        ensure!(text == expected, "answer {number} is `{text}`, not `{expected}`");
        if number >= WARM_UP {
            latencies.add(elapsed.saturating_sub(self::busy(fleet) - busy));
        }
    }
    Ok(latencies)
}

/// One-token answers a second.
fn short_requests(fleet: &LocalFleet) -> Result<f64> {
    let end = Instant::now() + SHORT_TIME;
    let ask = |number: usize| -> Result<u64> {
        let caller = fleet.caller(0, number % 2);
        let prompt = format!("Explain break {number}.");
        let expected = fleet.expected(&prompt, 1);
        let mut answered = 0;
        while Instant::now() < end {
            let text = caller.stream(MODEL, &prompt, 1, |_| {})?;
            ensure!(text == expected, "caller {number} got `{text}`, not `{expected}`");
            answered += 1;
        }
        Ok(answered)
    };
    let counts = in_parallel(SHORT_CALLERS, ask)?;
    Ok(counts.iter().sum::<u64>() as f64 / SHORT_TIME.as_secs_f64())
}

/// Engines that take their time: how much of what they allow arrives at the callers.
fn measure_throughput() -> Result<()> {
    let cfg = LocalConfig::new()
        .with_pipeline(STAGES, REPLICAS)
        .with_requests_per_s(REQUESTS_LIMIT)
        .with_max_batch(MAX_BATCH as u32)
        .with_times(BATCH_TIME, TOKEN_TIME);
    let fleet = LocalFleet::start(cfg)?;
    let naive_one = naive_tokens_per_s(&fleet, 1)?;
    let naive_many = naive_tokens_per_s(&fleet, STAGES * REPLICAS)?;
    let tokens = full_load(&fleet)?;
    let bound = bound();
    figure_f64("path.tokens_per_s", tokens, "tokens/s");
    figure_f64("path.tokens_per_s.bound", bound, "tokens/s");
    figure_f64("path.tokens_per_s.naive", naive_one, "tokens/s");
    figure_f64("path.tokens_per_s.naive_many", naive_many, "tokens/s");
    figure_f64("path.bound_ratio", tokens / bound, "ratio");
    figure_f64("path.bound_ratio.naive", naive_one / bound, "ratio");
    figure_f64("path.bound_ratio.naive_many", naive_many / bound, "ratio");
    figure_f64("path.mean_batch", mean_batch(&fleet), "steps");
    Ok(())
}

/// What the engines of each stage allow when every batch is full and follows the one before at once.
fn bound() -> f64 {
    let full = BATCH_TIME + TOKEN_TIME * MAX_BATCH as u32;
    (REPLICAS * MAX_BATCH) as f64 / full.as_secs_f64()
}

/// Tokens a second that reach many callers at a time, as streams.
fn full_load(fleet: &LocalFleet) -> Result<f64> {
    let (ended, tokens) = (AtomicBool::new(false), AtomicU64::new(0));
    let ask = |number: usize| -> Result<()> {
        let caller = fleet.caller(0, number % 2);
        let prompt = format!("Draft {number}");
        let expected = fleet.expected(&prompt, FULL_TOKENS);
        while !ended.load(Ordering::Relaxed) {
            let count = |_: &str| {
                tokens.fetch_add(1, Ordering::Relaxed);
            };
            let text = caller.stream(MODEL, &prompt, FULL_TOKENS, count)?;
            ensure!(text == expected, "caller {number} got a wrong answer under load");
        }
        Ok(())
    };
    thread::scope(|scope| {
        let callers = scope.spawn(|| in_parallel(FULL_CALLERS, ask));
        thread::sleep(RAMP);
        let (start, before) = (Instant::now(), tokens.load(Ordering::Relaxed));
        thread::sleep(FULL_TIME);
        let made = tokens.load(Ordering::Relaxed) - before;
        let rate = made as f64 / start.elapsed().as_secs_f64();
        ended.store(true, Ordering::Relaxed);
        callers.join().map_err(|_| eyre!("a caller panicked"))??;
        Ok(rate)
    })
}

/// Tokens a second of clients that drive the engines themselves, one request at a time each.
fn naive_tokens_per_s(fleet: &LocalFleet, clients: usize) -> Result<f64> {
    let end = Instant::now() + NAIVE_TIME;
    let ask = |number: usize| -> Result<u64> {
        let client = NaiveClient::new(fleet, number);
        let mut answers = 0;
        while Instant::now() < end {
            let prompt = format!("Draft {number}-{answers}");
            let session = format!("naive-{clients}-{number}-{answers}");
            let text = client.answer(&session, &prompt, NAIVE_TOKENS)?;
            ensure!(text == fleet.expected(&prompt, NAIVE_TOKENS), "a naive answer is wrong");
            answers += 1;
        }
        Ok(answers * u64::from(NAIVE_TOKENS))
    };
    let start = Instant::now();
    let tokens: u64 = in_parallel(clients, ask)?.iter().sum();
    Ok(tokens as f64 / start.elapsed().as_secs_f64())
}

/// Tokens of a naive client's answer.
const NAIVE_TOKENS: u32 = 16;

/// A client that drives one engine of each stage itself, as a hub.
struct NaiveClient {
    engines: Vec<(HttpEngine, sorrellock_core::request::LayerRange)>,
}

impl NaiveClient {
    fn new(fleet: &LocalFleet, replica: usize) -> NaiveClient {
        let of_stage = |stage: usize| {
            let engine = &fleet.engines[stage * fleet.cfg.replicas + replica % fleet.cfg.replicas];
            (HttpEngine::new(engine.engine.addr()), engine.engine.info().layers)
        };
        NaiveClient { engines: (0..fleet.cfg.stages).map(of_stage).collect() }
    }

    fn answer(&self, session: &str, prompt: &str, max_tokens: u32) -> Result<String> {
        let mut input: Vec<TokenId> = prompt.bytes().map(TokenId::from).collect();
        let (mut first, mut text) = (0, String::new());
        for _ in 0..max_tokens {
            let (token, piece) = self.step(session, first, &input)?;
            text.push_str(&piece);
            first += input.len() as u32;
            input = vec![token];
        }
        for (engine, _) in &self.engines {
            engine.release(&[session.to_owned()])?;
        }
        Ok(text)
    }

    /// Runs the tokens from `first` on through all stages, one call each.
    fn step(&self, session: &str, first: u32, tokens: &[TokenId]) -> Result<(TokenId, String)> {
        let mut activations = Activations::default();
        for (index, (engine, layers)) in self.engines.iter().enumerate() {
            let step = EngineStep {
                session: session.to_owned(),
                first,
                tokens: tokens.to_vec(),
                activations: std::mem::take(&mut activations),
                layers: *layers,
                sample: index + 1 == self.engines.len(),
                priority: 0,
            };
            let outputs = engine.run(&Batch { steps: vec![step] }, Duration::from_secs(5))?;
            match outputs.into_iter().next() {
                Some(StepOutput::Activations(output)) => activations = output,
                Some(StepOutput::Sampled(sampled)) => return Ok((sampled.token, sampled.text)),
                other => return Err(eyre!("an engine gave {other:?}")),
            }
        }
        Err(eyre!("the last engine chose no token"))
    }
}

fn busy(fleet: &LocalFleet) -> Duration {
    let engines = fleet.engines.iter();
    let us = engines.map(|engine| engine.engine.counters().busy_us.load(Ordering::Relaxed));
    Duration::from_micros(us.sum())
}

fn mean_batch(fleet: &LocalFleet) -> f64 {
    let sum = |read: fn(&sorrellock_fakes::EngineCounters) -> &AtomicU64| -> u64 {
        let engines = fleet.engines.iter();
        engines.map(|engine| read(engine.engine.counters()).load(Ordering::Relaxed)).sum()
    };
    sum(|counters| &counters.steps) as f64 / sum(|counters| &counters.batches) as f64
}

/// Runs `body` on several threads at a time, each with its number.
fn in_parallel<T: Send>(
    threads: usize,
    body: impl Fn(usize) -> Result<T> + Sync,
) -> Result<Vec<T>> {
    thread::scope(|scope| {
        let body = &body;
        let running: Vec<_> =
            (0..threads).map(|number| scope.spawn(move || body(number))).collect();
        running
            .into_iter()
            .map(|thread| thread.join().map_err(|_| eyre!("a thread panicked"))?)
            .collect()
    })
}
