//! The thread that gives an engine batches, and the one that watches how long they take.

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

/// How long one batch may take before the call is given up.
const BATCH_DEADLINE: Duration = Duration::from_secs(30);
/// How often a leaving engine offers what is open, and idle requests are looked for.
const OFFER_INTERVAL: Duration = Duration::from_millis(500);

/// A batch that the engine has in hand.
pub(super) struct InHand {
    watch: BatchWatch,
    tokens: usize,
    /// Whether it takes too long; the requests were told.
    pub(super) stuck: bool,
}

/// Work of one request in a batch.
type Work = (RequestKey, EngineWork);

/// Runs batch after batch until the runner ends.
pub(super) fn run_batches<L: Link, E: Engine>(runner: &EngineRunner<L, E>) {
    while let Some(works) = next_batch(runner) {
        let works = truncate_first(runner, works);
        if works.is_empty() {
            continue;
        }
        let batch = Batch { steps: works.iter().map(|(_, work)| engine_step(work)).collect() };
        let counters = runner.outbox.counters();
        counters.count(Count::Batches);
        counters.add(Count::Steps, works.len() as u64);
        let start = Instant::now();
        let outputs = runner.engine.run(&batch, BATCH_DEADLINE);
        let results: Vec<EngineResult> = match outputs {
            Ok(outputs) => outputs.into_iter().map(engine_result).collect(),
            Err(err) => works.iter().map(|_| EngineResult::Failed(err.to_string())).collect(),
        };
        finish(runner, works, results, start);
    }
}

/// Tells the requests of a batch in hand when it takes too long, offers what is open while the
/// daemon is leaving, and frees what is idle.
pub(super) fn watch_batches<L: Link, E: Engine>(runner: &EngineRunner<L, E>) {
    let mut offered = Instant::now() - OFFER_INTERVAL;
    while !runner.ended.load(Ordering::Acquire) {
        thread::sleep(LOOK_INTERVAL);
        watch_batch(runner);
        if offered.elapsed() < OFFER_INTERVAL {
            continue;
        }
        offered = Instant::now();
        let leaving = runner.leaving.load(Ordering::Acquire);
        runner.change(|state, out| {
            state.table.expire(Instant::now(), out);
            if leaving || state.loads.is_some() {
                state.table.on_leaving(out);
            }
        });
    }
}

fn watch_batch<L: Link, E: Engine>(runner: &EngineRunner<L, E>) {
    runner.change(|state, out| {
        let times = state.times;
        let Some(in_hand) = state.in_hand.as_mut() else { return };
        let took = in_hand.watch.look(Instant::now());
        if in_hand.stuck || took < times.stuck_after(in_hand.tokens) {
            return;
        }
        in_hand.stuck = true;
        runner.outbox.counters().count(Count::EnginesStuck);
        state.table.on_stuck(&format!("a batch has taken {took:?}, the engine hangs"), out);
    });
}

fn next_batch<L: Link, E: Engine>(runner: &EngineRunner<L, E>) -> Option<Vec<Work>> {
    let mut state = runner.state();
    while state.waiting.is_empty() {
        if runner.ended.load(Ordering::Acquire) {
            return None;
        }
        state = runner.ready.wait(state).unwrap();
    }
    let mut works: Vec<Work> = Vec::new();
    while works.len() < runner.info.max_batch as usize {
        let Some(request) = state.waiting.pop() else { break };
        works.extend(state.table.start(request).map(|work| (request, work)));
    }
    let tokens = works.iter().map(|(_, work)| work.step.tokens.len()).sum();
    state.in_hand = Some(InHand { watch: BatchWatch::new(Instant::now()), tokens, stuck: false });
    Some(works)
}

/// Cuts KV caches back where positions were given up. A cache that can't be cut counts as lost.
fn truncate_first<L: Link, E: Engine>(runner: &EngineRunner<L, E>, works: Vec<Work>) -> Vec<Work> {
    let cut = |work: &EngineWork| match work.truncate {
        Some(position) => runner.engine.truncate(&work.session, position),
        None => Ok(()),
    };
    let mut left = Vec::new();
    for (request, work) in works {
        match cut(&work) {
            Ok(()) => left.push((request, work)),
            Err(err) => runner.change(|state, out| {
                let failed = EngineResult::Failed(err.to_string());
                state.table.finish(request, &work.session, failed, Instant::now(), out);
            }),
        }
    }
    left
}

fn finish<L: Link, E: Engine>(
    runner: &EngineRunner<L, E>,
    works: Vec<Work>,
    results: Vec<EngineResult>,
    start: Instant,
) {
    let now = Instant::now();
    runner.change(|state, out| {
        if let Some(in_hand) = state.in_hand.take()
            && !in_hand.stuck
        {
            state.times.note(in_hand.tokens, now - start);
        }
        for ((request, work), result) in works.into_iter().zip(results) {
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
