//! Repairs of pipeline requests that can't continue: applies the decisions of the driver.

use crate::entry::process::pipelines::Run;
use crate::entry::process::{FleetRoutes, Pipelines};
use crate::entry::request::Problem;
use crate::process::Count;
use sorrellock_core::id::{Attempt, Position, Sequence, StageIndex};
use sorrellock_core::request::{
    Repair, RequestKey, StageProgress, StageTrouble, StallAction, Unknown,
};
use sorrellock_wire::connection::Link;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often a request without a route retries to find one.
const ROUTE_RETRY: Duration = Duration::from_millis(50);
/// How long a request without a route is held before it is abandoned.
const ROUTE_WAIT: Duration = Duration::from_secs(3);
/// Retry delay for callers whose request found no engines.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl<L: Link> Pipelines<L> {
    /// Handles a failure reported by a stage.
    pub fn on_trouble(
        &self,
        request: RequestKey,
        attempt: Attempt,
        stage: StageIndex,
        trouble: StageTrouble,
        detail: &str,
    ) {
        let Some(run) = self.find(request) else { return };
        let mut run = run.lock().unwrap();
        self.counters.count(Count::StageTroubles);
        let view = self.fleet.view();
        let pipeline = run.pipeline.clone();
        let routes = FleetRoutes::new(view, &pipeline);
        let repair = run.driver.on_trouble(attempt, stage, trouble, &routes);
        self.apply(run, repair, detail);
    }

    /// Handles the loss of the link to a daemon: reroutes requests with a stage there.
    pub fn on_closed(&self, peer: SocketAddr) {
        let view = self.fleet.view();
        for (_, run) in self.runs.all() {
            let mut run = run.lock().unwrap();
            let pipeline = run.pipeline.clone();
            let repair = run.driver.on_closed(peer, &FleetRoutes::new(view.clone(), &pipeline));
            self.apply(run, repair, &format!("the link to {peer} closed"));
        }
    }

    /// Resends the sequence from a position on, as requested by the first stage.
    pub fn on_resend(&self, request: RequestKey, attempt: Attempt, from: Position) {
        let Some(run) = self.find(request) else { return };
        let step = run.lock().unwrap().driver.on_resend(attempt, from);
        self.send_all(step);
    }

    /// Handles a stage's answer to a probe.
    pub fn on_progress(&self, request: RequestKey, attempt: Attempt, progress: &StageProgress) {
        let Some(run) = self.find(request) else { return };
        let mut run = run.lock().unwrap();
        if run.driver.attempt() == attempt {
            run.stall.on_progress(progress);
        }
    }

    /// Checks whether a request makes progress.
    pub(super) fn on_check(&self, sequence: Sequence) {
        let Some(run) = self.runs.get(sequence) else { return };
        let mut run = run.lock().unwrap();
        if run.driver.finished() {
            return;
        }
        if run.without_route.is_some() {
            return self.look_for_route(run);
        }
        let stages = run.driver.route().hops.len() as StageIndex;
        let action = run.stall.check(Instant::now(), stages);
        self.checks.add(run.stall.due(), sequence);
        match action {
            StallAction::Wait => {}
            StallAction::Nudge => {
                self.counters.count(Count::Stalls);
                self.send_all(run.driver.nudge());
            }
            StallAction::Probe => self.send_all(run.driver.probes()),
            StallAction::Blame(stages) => {
                self.counters.add(Count::StagesBlamed, stages.len() as u64);
                let pipeline = run.pipeline.clone();
                let routes = FleetRoutes::new(self.fleet.view(), &pipeline);
                let repair = run.driver.on_stalled(&stages, &routes);
                self.apply(run, repair, &format!("stages {stages:?} make no progress"));
            }
        }
    }

    fn look_for_route(&self, mut run: Run<'_>) {
        let pipeline = run.pipeline.clone();
        let repair = run.driver.retry(&FleetRoutes::new(self.fleet.view(), &pipeline));
        self.apply(run, repair, "no engines were left for it");
    }

    fn apply(&self, run: Run<'_>, repair: Repair, cause: &str) {
        match repair {
            Repair::Ignored => {}
            Repair::Sent(messages) => {
                self.counters.count(Count::Reroutes);
                self.take_route(run);
                self.send_all(messages);
            }
            Repair::NoRoute => self.wait_for_route(run, cause),
            Repair::Spent => {
                let detail = format!("too many attempts brought no token, the last: {cause}");
                self.fail(run, Unknown { detail }.into());
            }
        }
    }

    fn take_route(&self, mut run: Run<'_>) {
        run.without_route = None;
        run.in_flight = self.count_in_flight(run.driver.route());
        run.stall.on_attempt(Instant::now());
        self.checks.add(run.stall.due(), run.request.sequence);
    }

    fn wait_for_route(&self, mut run: Run<'_>, cause: &str) {
        let now = Instant::now();
        let since = *run.without_route.get_or_insert(now);
        if now - since > ROUTE_WAIT {
            let detail = format!("no engines are left for it: {cause}");
            let problem = Problem::from(Unknown { detail });
            return self.fail(run, Problem { retry_after: Some(RETRY_AFTER), ..problem });
        }
        self.checks.add(now + ROUTE_RETRY, run.request.sequence);
    }
}
