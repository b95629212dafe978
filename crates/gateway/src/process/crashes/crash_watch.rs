//! The crash guard of a gateway: what it learns, and what it decides for requests.

use crate::process::{Count, Gateway};
use crate::request::Call;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::{
    Admission, CrashEvent, CrashRecords, CrashReports, HeldRequest, HeldSource, Turn, UnixMillis,
};
use spdlog::{info, warn};
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::{Instant, sleep};

/// Maximum number of contents in a log line.
const MAX_LOGGED_CONTENTS: usize = 8;
/// The same of parts of prompts.
const MAX_LOGGED_PARTS: usize = 32;

/// Returns the current Unix time. Records of held requests outlast the process, so they can't use its clock.
pub(crate) fn unix_now() -> UnixMillis {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as UnixMillis
}

/// Formats the parts of the prompts of runs, the most frequent ones first, each with the number of runs.
fn list_parts(parts: &BTreeMap<String, usize>) -> String {
    let mut parts: Vec<(&String, &usize)> = parts.iter().collect();
    parts.sort_by_key(|(_, runs)| Reverse(**runs));
    let listed = parts.iter().take(MAX_LOGGED_PARTS).map(|(name, runs)| format!("{name}x{runs}"));
    listed.collect::<Vec<_>>().join(" ")
}

impl Gateway {
    /// Returns how long a request is held back; `None` if it may be sent.
    pub(crate) fn held_for(&self, call: &Call) -> Option<Duration> {
        match self.crash_guard.borrow().admission(&call.run_request, unix_now()) {
            Admission::Free => None,
            Admission::Held { .. } | Admission::TrialDue if call.is_trial.get() => None,
            Admission::Held { retry_in } => Some(retry_in),
            // Only at its admission is a trial claimed.
            Admission::TrialDue => Some(Duration::ZERO),
        }
    }

    /// Decides right before a send whether it may happen.
    pub(crate) fn admit_send(&self, call: &Call, is_trial: bool) -> bool {
        let is_admitted = is_trial || self.held_for(call).is_none();
        if !is_admitted {
            self.counters.add(Count::HeldSends);
        }
        is_admitted
    }

    /// Returns whether a request waits for another run of the same content, as it may crash another endpoint.
    pub(crate) fn awaits_suspect(&self, call: &Call) -> bool {
        let now = Instant::now().into_std();
        self.crash_guard.borrow().is_suspect_running(call.run_request.content, now)
    }

    /// Waits until a request may be sent, where it is told apart from others that may crash endpoints. `count` returns
    /// the number of endpoints to choose from.
    pub(crate) async fn await_turn(&self, call: &Call, count: impl Fn() -> usize) {
        if !self.is_crash_suspect(call) {
            return;
        }
        while let Turn::Wait(wait) = self.turn(call, count()) {
            tokio::select! {
                () = sleep(wait.min(call.time_left())) => {}
                () = self.ending() => return,
            }
            if call.time_left().is_zero() {
                return;
            }
        }
    }

    /// Returns when and where a request may be sent, with `count` endpoints to choose from.
    pub(crate) fn turn(&self, call: &Call, count: usize) -> Turn {
        let now = Instant::now().into_std();
        self.crash_guard.borrow().turn(call.run_request.content, count, now)
    }

    /// Returns whether an endpoint ended under a request, which hasn't run without harm since.
    pub(crate) fn is_crash_suspect(&self, call: &Call) -> bool {
        self.crash_guard.borrow().is_suspect(call.run_request.content)
    }

    /// Returns whether a request may be sent to the first engine of a path. One that is a crash short of being held back doesn't
    /// run where its crash would leave no path to others.
    pub(crate) fn may_risk_path(&self, call: &Call, first: &Incarnation) -> bool {
        if !self.spares_last_path(call) {
            return true;
        }
        let guard = self.crash_guard.borrow();
        // Their paths may not be known to be broken yet.
        let ended = guard.ended_under(call.run_request.content).iter();
        let lost = ended.chain([first]);
        self.paths.borrow().serves_without(&call.service, lost, Instant::now())
    }

    /// Returns whether the crash of any engine that a request may be sent to would leave no path.
    pub(crate) fn risks_last_path(&self, call: &Call) -> bool {
        let now = Instant::now();
        let firsts = self.paths.borrow().first_engines(&call.service, now);
        self.spares_last_path(call)
            && !firsts.is_empty()
            && !firsts.iter().any(|first| self.may_risk_path(call, first))
    }

    /// Returns whether one more crash holds a request back, and several data centres have engines that could serve others meanwhile.
    fn spares_last_path(&self, call: &Call) -> bool {
        self.crash_guard.borrow().is_last_chance(call.run_request.content)
            && self.has_several_data_centres(&call.service)
    }

    fn has_several_data_centres(&self, service: &str) -> bool {
        let knowledge = self.knowledge.borrow();
        let mut engines = knowledge.endpoints().filter(|endpoint| endpoint.service == service);
        let Some(first) = engines.next() else { return false };
        engines.any(|endpoint| endpoint.data_centre != first.data_centre)
    }

    /// Returns whether a suspect of this gateway runs on an endpoint.
    pub(crate) fn runs_suspect(&self, endpoint: &Incarnation) -> bool {
        self.crash_guard.borrow().has_suspect(endpoint, Instant::now().into_std())
    }

    /// Records that an endpoint has ended. One that announced it has finished its runs, or cuts them in order.
    pub(crate) fn on_endpoint_crashed(&self, incarnation: &Incarnation) {
        let now = Instant::now();
        let is_announced = self.fleet_state.borrow().is_leaving(incarnation, now)
            || self.knowledge.borrow().is_leaving(incarnation);
        if is_announced {
            return;
        }
        let unix = unix_now();
        self.crash_guard.borrow_mut().on_endpoint_ended(incarnation, now.into_std(), unix);
        self.report_crash_events();
    }

    /// Applies what another gateway found.
    pub(crate) fn receive_crash_reports(&self, reports: &CrashReports) {
        let now = Instant::now().into_std();
        self.crash_guard.borrow_mut().on_reports(reports, now, unix_now());
        self.report_crash_events();
    }

    /// Holds back what explains crashes that all gateways have reported by now.
    pub(crate) fn hold_convicted(&self) {
        let now = Instant::now().into_std();
        self.crash_guard.borrow_mut().hold_convicted(now, unix_now());
        self.report_crash_events();
    }

    /// Merges what another gateway has.
    pub(crate) fn merge_crash_records(&self, records: CrashRecords) {
        let now = Instant::now().into_std();
        self.crash_guard.borrow_mut().merge_records(records, now, unix_now());
        self.report_crash_events();
    }

    /// Merges records of held requests.
    pub(crate) fn merge_held(&self, records: Vec<HeldRequest>, source: HeldSource) {
        self.crash_guard.borrow_mut().merge(records, source, unix_now());
        self.report_crash_events();
    }

    /// Logs and counts the changes of the crash guard, and has them sent to the other gateways.
    pub(crate) fn report_crash_events(&self) {
        let events = self.crash_guard.borrow_mut().take_events();
        if events.is_empty() {
            return;
        }
        events.iter().for_each(|event| self.report_crash_event(event));
        self.news.notify_one();
        self.held_changed.notify_one();
    }

    fn report_crash_event(&self, event: &CrashEvent) {
        match event {
            CrashEvent::Crashed { endpoint, contents, parts } => {
                self.counters.add_many(Count::RunsCrashed, contents.len());
                let listed: Vec<String> =
                    contents.iter().take(MAX_LOGGED_CONTENTS).map(ToString::to_string).collect();
                let listed = listed.join(" ");
                warn!("endpoint ended under requests", kv: {
                    endpoint = endpoint.id.as_str(), requests = contents.len(),
                    contents = listed.as_str(), parts = list_parts(parts).as_str()
                });
            }
            CrashEvent::Held { held, source } => {
                self.counters.add(Count::RequestsHeld);
                let content = held.content.to_string();
                let endpoints: Vec<String> =
                    held.endpoints.iter().map(ToString::to_string).collect();
                let endpoints = endpoints.join(" ");
                warn!("request held back", kv: {
                    content = content.as_str(), endpoints = endpoints.as_str(),
                    workspace = held.workspace.as_deref().unwrap_or(""),
                    path = held.path.as_deref().unwrap_or(""),
                    part = held.part.as_deref().unwrap_or(""), is_doubtful = held.is_doubtful, source:?
                });
            }
            CrashEvent::Released { content, source } => {
                self.counters.add(Count::RequestsReleased);
                let content = content.to_string();
                info!("request released", kv: { content = content.as_str(), source:? });
            }
        }
    }
}
