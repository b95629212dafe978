//! The thread that runs batches on an engine, and the one that detects batches that take too long.

use crate::beside::process::EngineRunner;
use crate::process::Count;
use sorrellock_core::request::{
    BatchWatch, Chosen, EngineResult, EngineWork, LOOK_INTERVAL, RequestKey,
};
use sorrellock_ports::api::{Batch, Engine, EngineStep, StepOutput};
use sorrellock_wire::connection::Link;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of the call that runs one batch.
const BATCH_DEADLINE: Duration = Duration::from_secs(30);
/// Interval at which a leaving engine offers its open requests for handover, and idle requests are freed.
const OFFER_INTERVAL: Duration = Duration::from_millis(500);

/// The batch that the engine is running.
pub(super) struct RunningBatch {
    watch: BatchWatch,
    tokens: usize,
    /// Whether the batch takes too long. The entries of the requests have been notified.
    pub(super) stuck: bool,
}

/// One request of a batch, with its work.
type WorkItem = (RequestKey, EngineWork);

/// Runs batches until the runner ends.
pub(super) fn run_batches<L: Link, E: Engine>(runner: &EngineRunner<L, E>) {
    while let Some(items) = next_batch(runner) {
        let items = truncate_sessions(runner, items);
        if items.is_empty() {
            continue;
        }
        let batch = Batch { steps: items.iter().map(|(_, work)| engine_step(work)).collect() };
        let counters = runner.outbox.counters();
        counters.count(Count::Batches);
        counters.add(Count::Steps, items.len() as u64);
        let start = Instant::now();
        let outputs = runner.engine.run(&batch, BATCH_DEADLINE);
        let results: Vec<EngineResult> = match outputs {
            Ok(outputs) => outputs.into_iter().map(engine_result).collect(),
            Err(err) => items.iter().map(|_| EngineResult::Failed(err.to_string())).collect(),
        };
        finish(runner, items, results, start);
    }
}

/// Reports an engine as stuck when its batch takes too long, offers open requests for handover while the
/// daemon is leaving or the engine is to load other layers, and frees idle requests.
pub(super) fn watch_batches<L: Link, E: Engine>(runner: &EngineRunner<L, E>) {
    let mut last_offer = Instant::now() - OFFER_INTERVAL;
    while !runner.ended.load(Ordering::Acquire) {
        thread::sleep(LOOK_INTERVAL);
        watch_batch(runner);
        if last_offer.elapsed() < OFFER_INTERVAL {
            continue;
        }
        last_offer = Instant::now();
        let leaving = runner.leaving.load(Ordering::Acquire);
        runner.change(|state, out| {
            state.table.expire(Instant::now(), out);
            if leaving || state.loading.is_some() {
                state.table.on_leaving(out);
            }
        });
    }
}

fn watch_batch<L: Link, E: Engine>(runner: &EngineRunner<L, E>) {
    runner.change(|state, out| {
        let times = state.times;
        let Some(running_batch) = state.running_batch.as_mut() else { return };
        let took = running_batch.watch.look(Instant::now());
        if running_batch.stuck || took < times.stuck_after(running_batch.tokens) {
            return;
        }
        running_batch.stuck = true;
        runner.outbox.counters().count(Count::EnginesStuck);
        state.table.on_stuck(&format!("a batch has taken {took:?}, the engine hangs"), out);
    });
}

fn next_batch<L: Link, E: Engine>(runner: &EngineRunner<L, E>) -> Option<Vec<WorkItem>> {
    let mut state = runner.state();
    while state.waiting.is_empty() {
        if runner.ended.load(Ordering::Acquire) {
            return None;
        }
        state = runner.ready.wait(state).unwrap();
    }
    let mut items: Vec<WorkItem> = Vec::new();
    while items.len() < runner.info.max_batch as usize {
        let Some(request) = state.waiting.pop() else { break };
        items.extend(state.table.start(request).map(|work| (request, work)));
    }
    let tokens = items.iter().map(|(_, work)| work.step.tokens.len()).sum();
    state.running_batch =
        Some(RunningBatch { watch: BatchWatch::new(Instant::now()), tokens, stuck: false });
    Some(items)
}

/// Truncates KV caches whose last positions were abandoned. A cache that can't be truncated counts as lost, and its
/// request is left out of the batch.
fn truncate_sessions<L: Link, E: Engine>(
    runner: &EngineRunner<L, E>,
    items: Vec<WorkItem>,
) -> Vec<WorkItem> {
    let truncate = |work: &EngineWork| match work.truncate {
        Some(position) => runner.engine.truncate(&work.session, position),
        None => Ok(()),
    };
    let mut remaining = Vec::new();
    for (request, work) in items {
        match truncate(&work) {
            Ok(()) => remaining.push((request, work)),
            Err(err) => runner.change(|state, out| {
                let failed = EngineResult::Failed(err.to_string());
                state.table.finish(request, &work.session, failed, Instant::now(), out);
            }),
        }
    }
    remaining
}

fn finish<L: Link, E: Engine>(
    runner: &EngineRunner<L, E>,
    items: Vec<WorkItem>,
    results: Vec<EngineResult>,
    start: Instant,
) {
    let now = Instant::now();
    runner.change(|state, out| {
        if let Some(running_batch) = state.running_batch.take()
            && !running_batch.stuck
        {
            state.times.note(running_batch.tokens, now - start);
        }
        for ((request, work), result) in items.into_iter().zip(results) {
            state.table.finish(request, &work.session, result, now, out);
        }
    });
}

fn engine_step(work: &EngineWork) -> EngineStep {
    EngineStep {
        session: work.session.clone(),
        first: work.step.first,
        tokens: work.step.tokens.clone(),
        activations: work.step.activations.clone(),
        layers: work.layers,
        sample: work.sample,
        priority: work.priority,
    }
}

fn engine_result(output: StepOutput) -> EngineResult {
    match output {
        StepOutput::Activations(activations) => EngineResult::Activations(activations),
        StepOutput::Sampled(sampled) => EngineResult::Chosen(Chosen {
            token: sampled.token,
            text: sampled.text,
            end_of_text: sampled.end_of_text,
        }),
        StepOutput::Refused(detail) => EngineResult::Failed(detail),
    }
}
