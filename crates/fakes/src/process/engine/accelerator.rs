//! The accelerator of a stand-in engine: one batch at a time, the urgent first.

use crate::process::{EngineCx, EngineFailure, count};
use sorrellock_http::Responder;
use sorrellock_ports::api::Batch;
use sorrellock_ports::client::format::{BatchAnswer, output_to_format};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::io;
use std::sync::atomic::Ordering as Atomic;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// How much lateness of the threads is made good; a longer one, as after a freeze, is lost.
const MAX_CATCH_UP: Duration = Duration::from_millis(1);
/// Batches that wait; more are refused.
const MAX_WAITING: usize = 4_096;

/// A batch that waits for the accelerator.
#[derive(Debug)]
pub(crate) struct WaitingBatch {
    pub(crate) batch: Batch,
    pub(crate) responder: Responder,
    arrived: Instant,
    priority: u8,
    number: Reverse<u64>,
}

/// The batches that wait for the accelerator.
#[derive(Debug, Default)]
pub(crate) struct Accelerator {
    queue: Mutex<Queue>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Queue {
    waiting: BinaryHeap<WaitingBatch>,
    steps: u32,
    number: u64,
    frozen: bool,
    stopped: bool,
}

impl Accelerator {
    /// Lets a batch wait; gives its responder back if too many do.
    pub(crate) fn add(&self, batch: Batch, responder: Responder) -> Result<(), Responder> {
        let mut queue = self.lock();
        if queue.waiting.len() >= MAX_WAITING || queue.stopped {
            return Err(responder);
        }
        queue.number += 1;
        queue.steps += batch.steps.len() as u32;
        let number = Reverse(queue.number);
        let priority = batch.steps.iter().map(|step| step.priority).max().unwrap_or(0);
        queue.waiting.push(WaitingBatch {
            batch,
            responder,
            arrived: Instant::now(),
            priority,
            number,
        });
        self.changed.notify_all();
        Ok(())
    }

    /// Steps that wait.
    pub(crate) fn waiting_steps(&self) -> u32 {
        self.lock().steps
    }

    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.lock().frozen = frozen;
        self.changed.notify_all();
    }

    pub(crate) fn stop(&self) {
        let mut queue = self.lock();
        queue.stopped = true;
        queue.waiting.clear();
        self.changed.notify_all();
    }

    /// The next batch; nothing once stopped.
    fn next(&self) -> Option<WaitingBatch> {
        let mut queue = self.lock();
        loop {
            if queue.stopped {
                return None;
            }
            if !queue.frozen
                && let Some(next) = queue.waiting.pop()
            {
                queue.steps -= next.batch.steps.len() as u32;
                return Some(next);
            }
            queue = self.changed.wait(queue).expect("no panic holds this lock");
        }
    }

    /// Waits until `at`, and while frozen; false once stopped.
    fn wait_until(&self, at: Instant) -> bool {
        let mut queue = self.lock();
        loop {
            if queue.stopped {
                return false;
            }
            if queue.frozen {
                queue = self.changed.wait(queue).expect("no panic holds this lock");
                continue;
            }
            let left = at.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            let woken = self.changed.wait_timeout(queue, left);
            queue = woken.expect("no panic holds this lock").0;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Queue> {
        self.queue.lock().expect("no panic holds this lock")
    }
}

/// Starts the thread that runs batches, one after the other.
pub(crate) fn run_accelerator(cx: Arc<EngineCx>) -> io::Result<()> {
    thread::Builder::new().name("accelerator".into()).spawn(move || run_batches(&cx)).map(|_| ())
}

fn run_batches(cx: &EngineCx) {
    let mut free_at = Instant::now();
    while let Some(next) = cx.accelerator.next() {
        // A batch starts when it came or when the one before should have ended, so that late
        // wake-ups do not add up.
        let earliest = Instant::now() - MAX_CATCH_UP;
        let start = free_at.max(next.arrived).max(earliest);
        let (answer, time) = run_batch(cx, &next.batch);
        free_at = start + time;
        let waiting = cx.accelerator.waiting_steps();
        cx.state().note_load(waiting);
        if !cx.accelerator.wait_until(free_at) {
            return;
        }
        send(cx, next.responder, answer);
    }
}

fn run_batch(cx: &EngineCx, batch: &Batch) -> (Vec<u8>, Duration) {
    let run = cx.state().run(batch, &cx.counters);
    let time = cx.knobs.slowed(run.time);
    cx.counters.busy_us.fetch_add(time.as_micros() as u64, Atomic::Relaxed);
    let outputs = run.outputs.into_iter().map(output_to_format).collect();
    let answer = serde_json::to_vec(&BatchAnswer { outputs }).expect("outputs are JSON");
    (answer, time)
}

fn send(cx: &EngineCx, responder: Responder, answer: Vec<u8>) {
    if cx.knobs.fails(EngineFailure::CutAfter) {
        count(&cx.counters.failures);
        return responder.abort();
    }
    responder.send(200, &[("content-type", "application/json")], answer);
}

impl Ord for WaitingBatch {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.priority, self.number).cmp(&(other.priority, other.number))
    }
}

impl PartialOrd for WaitingBatch {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for WaitingBatch {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for WaitingBatch {}
