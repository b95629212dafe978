//! Outputs that a stage keeps for replay, limited per request and per daemon.

use crate::id::Position;
use crate::request::Step;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Bytes of a kept step in addition to its tokens and activations.
const STEP_BYTES: usize = size_of::<Step>();

/// Memory budget for the kept output of all requests of a daemon.
#[derive(Debug)]
pub struct KeptBudget {
    max_bytes: usize,
    max_request_bytes: usize,
    used: AtomicUsize,
    dropped: AtomicU64,
}

impl KeptBudget {
    /// Creates a budget of `max_bytes`, of which one request at one stage may use `max_request_bytes`.
    pub fn new(max_bytes: usize, max_request_bytes: usize) -> Arc<KeptBudget> {
        let (used, dropped) = (AtomicUsize::new(0), AtomicU64::new(0));
        Arc::new(KeptBudget { max_bytes, max_request_bytes, used, dropped })
    }

    /// Returns the number of bytes kept.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Returns the number of outputs that were dropped to stay within the budget.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Outputs of one request at one stage. When the budget is exceeded, the oldest are dropped first; the
/// newest is always kept, so that a lost message can be resent.
#[derive(Debug)]
pub struct KeptOutput {
    steps: VecDeque<Step>,
    bytes: usize,
    budget: Arc<KeptBudget>,
}

impl KeptOutput {
    /// Creates an empty store.
    pub fn new(budget: Arc<KeptBudget>) -> KeptOutput {
        KeptOutput { steps: VecDeque::new(), bytes: 0, budget }
    }

    /// Returns the number of bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps an output that follows the last one, and drops the oldest ones if the budget is exceeded.
    pub fn push(&mut self, output: Step) {
        self.add(size(&output));
        self.steps.push_back(output);
        while self.steps.len() > 1 && self.is_over_budget() {
            self.budget.dropped.fetch_add(1, Ordering::Relaxed);
            let oldest = self.steps.pop_front().expect("at least two steps are kept");
            self.sub(size(&oldest));
        }
    }

    /// Returns all outputs from `position` on as one step, or `None` if some are no longer kept.
    pub fn from_position(&self, position: Position) -> Option<Step> {
        let start = self.steps.iter().position(|step| step.end() > position)?;
        let mut joined = self.steps[start].clone();
        if joined.first > position {
            return None;
        }
        joined = joined.from_position(position);
        for step in self.steps.range(start + 1..) {
            joined.append(step);
        }
        Some(joined)
    }

    /// Returns the most recently kept step.
    pub fn newest(&self) -> Option<&Step> {
        self.steps.back()
    }

    /// Returns whether a token in `step` differs from the one kept at the same position.
    pub fn differs(&self, step: &Step) -> bool {
        let overlapping = self.steps.iter().rev().take_while(|kept| kept.end() > step.first);
        overlapping.filter(|kept| kept.first < step.end()).any(|kept| kept.differs(step))
    }

    /// Drops the outputs at `position` and above.
    pub fn truncate(&mut self, position: Position) {
        while self.steps.back().is_some_and(|step| step.end() > position) {
            let last = self.steps.pop_back().expect("the deque is not empty");
            self.sub(size(&last));
            if last.first < position {
                let part = last.below_position(position);
                self.add(size(&part));
                self.steps.push_back(part);
            }
        }
    }

    /// Returns copies of all kept steps.
    pub fn steps(&self) -> Vec<Step> {
        self.steps.iter().cloned().collect()
    }

    fn is_over_budget(&self) -> bool {
        self.bytes > self.budget.max_request_bytes || self.budget.used() > self.budget.max_bytes
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.used.fetch_add(bytes, Ordering::Relaxed);
    }

    fn sub(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.budget.used.fetch_sub(bytes, Ordering::Relaxed);
    }
}

impl Drop for KeptOutput {
    fn drop(&mut self) {
        self.budget.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

fn size(step: &Step) -> usize {
    STEP_BYTES + step.activations.data.len() + size_of_val(&step.tokens[..])
}
