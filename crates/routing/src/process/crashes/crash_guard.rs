//! Joins the ends of endpoints to the requests that ran there, and holds back those that crash endpoints.
//!
//! Nearly all requests that run on an endpoint when it ends are innocent. The one that crashed it runs on the next
//! endpoint that ends as well, and never runs for long, so a request is held back once [`MAX_CRASHES`] endpoints ended
//! under runs of it, none of which went on without harm. Gateways report to each other what they find, so runs at
//! different gateways count together.

use super::crash_exchange::{CrashReport, MAX_REPORTED};
use super::crash_suspects::{CrashSuspects, Turn, Verdict};
use super::held_request::{HeldRequest, UnixMillis};
use super::held_requests::{Admission, HeldRequests};
use super::run_registry::{Finding, RunEnd, RunId, RunRegistry};
use super::run_request::RunRequest;
use crate::process::Incarnation;
use crate::request::ContentId;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::mem;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Number of endpoints that end under a request before it is held back.
pub const MAX_CRASHES: usize = 3;
/// How long a request counts as running at another gateway after the last report: two messages.
const RUNNING_ELSEWHERE_FOR: Duration = Duration::from_millis(600);
/// A change that is logged and counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashEvent {
    /// An endpoint ended under so many requests of this gateway that may have crashed it.
    Crashed {
        /// The endpoint.
        endpoint: Incarnation,
        /// The contents of the requests.
        contents: Vec<ContentId>,
        /// The parts of their prompts, and how many requests have each.
        parts: BTreeMap<String, usize>,
    },
    /// A request is held back from now on.
    Held {
        /// Its record.
        held: HeldRequest,
        /// Where the record comes from.
        source: HeldSource,
    },
    /// A request is no longer held back.
    Released {
        /// Its content.
        content: ContentId,
        /// Why it was released.
        source: HeldSource,
    },
}

/// Where a change of a held request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldSource {
    /// Reports of crashes, those of this gateway included.
    Crashes,
    /// Another gateway's records.
    Gateway,
    /// The store.
    Store,
    /// A run without harm.
    Run,
    /// An operator.
    Operator,
}

/// Finds and holds back requests that crash endpoints.
#[derive(Debug, Default)]
pub struct CrashGuard {
    pub(super) runs: RunRegistry,
    pub(super) suspects: CrashSuspects,
    pub(super) held: HeldRequests,
    pub(super) crashes: VecDeque<(CrashReport, Instant)>,
    pub(super) harmless: VecDeque<(ContentId, Instant)>,
    /// Requests one crash short of being held back that other gateways run, and when that was reported.
    pub(super) running_elsewhere: HashMap<ContentId, Instant>,
    pub(super) events: Vec<CrashEvent>,
}

impl CrashGuard {
    /// Records that a request was sent to the first of `endpoints`, and needs all of them.
    pub fn begin_run(&mut self, request: Rc<RunRequest>, endpoints: Vec<Incarnation>) -> RunId {
        self.runs.begin(request, endpoints)
    }

    /// Records events that a run has delivered.
    pub fn on_events(&mut self, run: RunId, events: u64, now: Instant) {
        if let Some(request) = self.runs.on_events(run, events, now) {
            self.on_harmless(&request, now);
        }
    }

    /// Sets the endpoints that a run needs from now on.
    pub fn on_moved(&mut self, run: RunId, endpoints: Vec<Incarnation>) {
        self.runs.set_endpoints(run, endpoints);
    }

    /// Records the end of a run.
    pub fn end_run(&mut self, run: RunId, end: RunEnd, now: Instant, unix: UnixMillis) {
        let Some((request, finding)) = self.runs.end(run, end, now) else { return };
        match finding {
            Finding::Harmless => self.on_harmless(&request, now),
            Finding::Crashed(endpoint) => self.on_crashed(&endpoint, vec![request], now, unix),
            Finding::Unknown => {}
        }
    }

    /// Records that an endpoint ended without having announced it.
    pub fn on_endpoint_ended(&mut self, endpoint: &Incarnation, now: Instant, unix: UnixMillis) {
        let requests = self.runs.on_endpoint_ended(endpoint, now);
        if !requests.is_empty() {
            self.on_crashed(endpoint, requests, now, unix);
        }
    }

    fn on_crashed(
        &mut self,
        endpoint: &Incarnation,
        requests: Vec<Rc<RunRequest>>,
        now: Instant,
        unix: UnixMillis,
    ) {
        let identities = requests.iter().flat_map(|request| request.identities());
        let mut contents: Vec<ContentId> = identities.collect();
        // Parts sort before nearly all contents, and are the fewer.
        contents.sort_by_key(|identity| (!identity.is_part(), *identity));
        contents.dedup();
        contents.truncate(MAX_REPORTED);
        let report = CrashReport { endpoint: endpoint.clone(), contents: contents.clone() };
        self.crashes.push_back((report, now));
        let mut parts = BTreeMap::new();
        for part in requests.iter().flat_map(|request| &request.parts) {
            *parts.entry(part.name.clone()).or_default() += 1;
        }
        self.events.push(CrashEvent::Crashed { endpoint: endpoint.clone(), contents, parts });
        for request in requests {
            for identity in request.identities() {
                self.count(identity, endpoint, Some(Rc::clone(&request)), now);
            }
        }
        self.hold_convicted(now, unix);
    }

    /// Counts the end of an endpoint for a content or part.
    pub(super) fn count(
        &mut self,
        identity: ContentId,
        endpoint: &Incarnation,
        request: Option<Rc<RunRequest>>,
        now: Instant,
    ) {
        match self.held.get(identity).is_some_and(HeldRequest::is_held) {
            true => self.held.add_endpoint(identity, endpoint),
            false => self.suspects.add(identity, endpoint, request, now),
        }
    }

    /// Holds back the suspects that explain the crashes best, until all crashes are explained or may have other causes.
    pub fn hold_convicted(&mut self, now: Instant, unix: UnixMillis) {
        loop {
            let held: Vec<&HeldRequest> = self.held.iter().filter(|held| held.is_held()).collect();
            let verdicts = self.suspects.verdicts(&held, now);
            if verdicts.is_empty() {
                return;
            }
            verdicts.into_iter().for_each(|verdict| self.hold(verdict, unix));
        }
    }

    /// Holds a suspect back.
    fn hold(&mut self, verdict: Verdict, unix: UnixMillis) {
        let content = verdict.identity;
        let Some(suspect) = self.suspects.get(content) else { return };
        let request = suspect.request.clone();
        let held = HeldRequest {
            content,
            generation: 0,
            held_at: unix,
            crashes: suspect.endpoints.len(),
            endpoints: suspect.endpoints.clone(),
            workspace: request.as_ref().and_then(|request| request.workspace.clone()),
            path: request.as_ref().map(|request| request.path.clone()),
            part: request.as_ref().and_then(|request| request.part_name(content)),
            is_doubtful: verdict.is_doubtful,
            trial_by: None,
        };
        self.suspects.excuse_all(content, &[]);
        // The gateways that ran it save the record.
        if let Some(held) = self.held.hold(held, request.is_some(), unix) {
            let source = HeldSource::Crashes;
            self.events.push(CrashEvent::Held { held: held.clone(), source });
        }
    }

    fn on_harmless(&mut self, request: &RunRequest, now: Instant) {
        self.suspects.sound.add(request.identities(), now);
        for identity in request.identities() {
            if self.release(identity, HeldSource::Run) || self.suspects.excuse_all(identity, &[]) {
                self.harmless.push_back((identity, now));
            }
        }
    }

    /// Releases a held request. Returns whether it was held back.
    pub fn release(&mut self, content: ContentId, source: HeldSource) -> bool {
        let is_released = self.held.release(content);
        if is_released {
            self.on_released(content, source);
        }
        is_released
    }

    pub(super) fn on_released(&mut self, content: ContentId, source: HeldSource) {
        if let Some(held) = self.held.get(content) {
            self.suspects.excuse_all(content, &held.endpoints);
        }
        self.events.push(CrashEvent::Released { content, source });
    }

    /// Returns whether a request may be sent.
    pub fn admission(&self, request: &RunRequest, unix: UnixMillis) -> Admission {
        self.held.admission(request.identities(), unix)
    }

    /// Returns the identities of a request whose trial is due, all of which have to be claimed.
    pub fn trials_due(&self, request: &RunRequest, unix: UnixMillis) -> Vec<ContentId> {
        match self.admission(request, unix) {
            Admission::TrialDue => self.held.active(request.identities(), unix),
            Admission::Free | Admission::Held { .. } => Vec::new(),
        }
    }

    /// Returns the record by which a request is held back.
    pub fn held_by(&self, request: &RunRequest, unix: UnixMillis) -> Option<&HeldRequest> {
        let active = self.held.active(request.identities(), unix);
        active.first().and_then(|identity| self.held.get(*identity))
    }

    /// Returns the identities of the records of a part with this name.
    pub fn held_parts(&self, name: &str) -> Vec<ContentId> {
        let parts = self.held.iter().filter(|held| held.part.as_deref() == Some(name));
        parts.map(|held| held.content).collect()
    }

    /// Returns whether an endpoint ended under a request that hasn't run without harm since.
    pub fn is_suspect(&self, content: ContentId) -> bool {
        self.suspects.crashes(content) > 0
    }

    /// Returns whether one more crash holds a request back. The other gateways are told at once when it runs.
    pub fn is_last_chance(&self, content: ContentId) -> bool {
        self.suspects.is_last_chance(content)
    }

    /// Returns the endpoints that ended under a request since it last ran without harm.
    pub fn ended_under(&self, content: ContentId) -> &[Incarnation] {
        self.suspects.ended_under(content)
    }

    /// Returns whether a gateway runs a request already that is a crash short of being held back, so that its fate
    /// there should be known before it is sent to another endpoint.
    pub fn is_suspect_running(&self, content: ContentId, now: Instant) -> bool {
        self.suspects.is_last_chance(content)
            && (self.runs.is_running(content, now) || self.is_running_elsewhere(content, now))
    }

    fn is_running_elsewhere(&self, content: ContentId, now: Instant) -> bool {
        let reported = self.running_elsewhere.get(&content);
        reported.is_some_and(|at| now.duration_since(*at) < RUNNING_ELSEWHERE_FOR)
    }

    /// Returns whether a suspect runs on an endpoint which may yet crash it. Two suspects are told apart only on
    /// different endpoints.
    pub fn has_suspect(&self, endpoint: &Incarnation, now: Instant) -> bool {
        !self.suspects.is_empty()
            && self.runs.has_suspect(endpoint, |content| self.is_suspect(content), now)
    }

    /// Returns when and where a request may be sent, with `count` endpoints to choose from. Those that are a crash short
    /// of being held back wait until all gateways know of each other's, and each goes to an endpoint of its own, so that
    /// the next crash tells them apart.
    pub fn turn(&self, content: ContentId, count: usize, now: Instant) -> Turn {
        self.suspects.turn(content, count, now)
    }

    /// Returns the number of suspects.
    pub fn suspects(&self) -> usize {
        self.suspects.len()
    }

    /// Returns how many suspects and records were dropped for want of space.
    pub fn evicted(&self) -> u64 {
        self.suspects.evicted() + self.held.evicted()
    }

    /// Returns the records of held requests.
    pub fn held(&self) -> &HeldRequests {
        &self.held
    }

    /// Returns the records of held requests, to be saved.
    pub fn held_mut(&mut self) -> &mut HeldRequests {
        &mut self.held
    }

    /// Returns the changes since the last call.
    pub fn take_events(&mut self) -> Vec<CrashEvent> {
        mem::take(&mut self.events)
    }

    /// Drops what has expired.
    pub fn drop_expired(&mut self, now: Instant, unix: UnixMillis) {
        self.suspects.drop_expired(now);
        self.running_elsewhere.retain(|_, at| now.duration_since(*at) < RUNNING_ELSEWHERE_FOR);
        self.held.drop_expired(unix);
    }
}
