//! Load reports, which lag.

use sorrellock_ports::api::LoadReport;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Changes of the load that are remembered.
const MAX_REPORTS: usize = 8_192;

/// The load as it was over the last while.
#[derive(Debug, Default)]
pub(crate) struct LoadLog {
    reports: VecDeque<(Instant, LoadReport)>,
    shown: LoadReport,
}

impl LoadLog {
    /// Adds a report; tells whether an old one was forgotten for it.
    pub(crate) fn add(&mut self, report: LoadReport, lag: Duration) -> bool {
        self.forget(lag);
        let full = self.reports.len() == MAX_REPORTS;
        if full {
            self.reports.pop_front();
        }
        self.reports.push_back((Instant::now(), report));
        full
    }

    /// The load as it was `lag` ago.
    pub(crate) fn shown(&mut self, lag: Duration) -> LoadReport {
        self.forget(lag);
        self.shown.clone()
    }

    fn forget(&mut self, lag: Duration) {
        while self.reports.front().is_some_and(|(at, _)| at.elapsed() >= lag) {
            if let Some((_, report)) = self.reports.pop_front() {
                self.shown = report;
            }
        }
    }
}
