//! The list of instances, which lags.

use sorrellock_ports::api::Instance;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Changes of the list that wait to be shown.
const MAX_CHANGES: usize = 1_024;

/// The lists set so far that are not yet shown, and the one shown.
#[derive(Debug, Default)]
pub(crate) struct Instances {
    changes: VecDeque<(Instant, Vec<Instance>)>,
    shown: Vec<Instance>,
}

impl Instances {
    /// Sets the list; tells whether an earlier one was dropped unseen, as too many waited.
    pub(crate) fn set(&mut self, instances: Vec<Instance>) -> bool {
        self.changes.push_back((Instant::now(), instances));
        let full = self.changes.len() > MAX_CHANGES;
        if full {
            self.changes.pop_front();
        }
        full
    }

    /// The list as it was `lag` ago.
    pub(crate) fn shown(&mut self, lag: Duration) -> &[Instance] {
        while self.changes.front().is_some_and(|(set, _)| set.elapsed() >= lag) {
            if let Some((_, instances)) = self.changes.pop_front() {
                self.shown = instances;
            }
        }
        &self.shown
    }
}
