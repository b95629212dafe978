//! Steps that wait for an engine, and the batches made of them.

use sorrellock_core::request::Step;
use std::collections::{HashSet, VecDeque};

/// Steps that wait for an engine: higher priority first, then in order of arrival.
#[derive(Debug, Default)]
pub struct WaitingSteps {
    steps: VecDeque<(u8, Step)>,
}

impl WaitingSteps {
    /// How many steps wait.
    pub fn len(&self) -> usize {
        self.steps.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    /// Adds a step behind those of its priority.
    pub fn push(&mut self, priority: u8, step: Step) {
        let place = self.steps.partition_point(|(other, _)| *other >= priority);
        self.steps.insert(place, (priority, step));
    }

    /// Takes up to `most` steps, at most one of each request, so that positions stay in order.
    pub fn take_batch(&mut self, most: usize) -> Vec<Step> {
        let mut taken = Vec::new();
        let mut seen = HashSet::new();
        let mut rest = VecDeque::new();
        for (priority, step) in self.steps.drain(..) {
            if taken.len() < most && seen.insert(step.request) {
                taken.push(step);
            } else {
                rest.push_back((priority, step));
            }
        }
        self.steps = rest;
        taken
    }
}
