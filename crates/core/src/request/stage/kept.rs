//! Outputs that a stage keeps for replay, within a budget of its own and one of the daemon.

use crate::id::Position;
use crate::request::Step;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// Bytes that a kept step takes besides tokens and activations.
const STEP_BYTES: usize = size_of::<Step>();

/// Bytes that all requests of a daemon keep together.
#[derive(Debug)]
pub struct KeptBudget {
    most: usize,
    most_each: usize,
    used: AtomicUsize,
    dropped: AtomicU64,
}

impl KeptBudget {
    /// A budget of `most` bytes, of which one request at one stage gets `most_each`.
    pub fn new(most: usize, most_each: usize) -> Arc<KeptBudget> {
        let (used, dropped) = (AtomicUsize::new(0), AtomicU64::new(0));
        Arc::new(KeptBudget { most, most_each, used, dropped })
    }

    /// Bytes kept.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }

    /// Outputs that were dropped as there was no room.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

/// Outputs of one request at one stage. When the budget is passed the oldest go first; the
/// newest is always kept, so that a lost message can be sent again.
#[derive(Debug)]
pub struct KeptOutput {
    steps: VecDeque<Step>,
    bytes: usize,
    budget: Arc<KeptBudget>,
}

impl KeptOutput {
    /// Nothing kept.
    pub fn new(budget: Arc<KeptBudget>) -> KeptOutput {
        KeptOutput { steps: VecDeque::new(), bytes: 0, budget }
    }

    /// Bytes kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Keeps an output that follows the last.
    pub fn push(&mut self, output: Step) {
        self.add(size(&output));
        self.steps.push_back(output);
        while self.steps.len() > 1 && self.is_over() {
            self.budget.dropped.fetch_add(1, Ordering::Relaxed);
            let oldest = self.steps.pop_front().expect("there are two at least");
            self.sub(size(&oldest));
        }
    }

    /// All outputs from `position` on as one step; nothing if some are kept no longer.
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

    /// The outputs of the last step kept.
    pub fn newest(&self) -> Option<&Step> {
        self.steps.back()
    }

    /// Whether a token at one of the positions of `step` differs from the one kept there.
    pub fn differs(&self, step: &Step) -> bool {
        let overlapping = self.steps.iter().rev().take_while(|kept| kept.end() > step.first);
        overlapping.filter(|kept| kept.first < step.end()).any(|kept| kept.differs(step))
    }

    /// Drops the outputs at `position` and above.
    pub fn truncate(&mut self, position: Position) {
        while self.steps.back().is_some_and(|step| step.end() > position) {
            let last = self.steps.pop_back().expect("it was just seen");
            self.sub(size(&last));
            if last.first < position {
                let part = last.below_position(position);
                self.add(size(&part));
                self.steps.push_back(part);
            }
        }
    }

    /// Copies of all that is kept.
    pub fn steps(&self) -> Vec<Step> {
        self.steps.iter().cloned().collect()
    }

    fn is_over(&self) -> bool {
        self.bytes > self.budget.most_each || self.budget.used() > self.budget.most
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
