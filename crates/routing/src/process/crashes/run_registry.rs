//! The runs of this gateway, by the endpoints that they need.

use super::run_request::RunRequest;
use crate::process::Incarnation;
use crate::request::ContentId;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time from the first event of a run after which its request counts as harmless: it crashes an endpoint when it begins
/// to run there, or not at all.
const HARMLESS_AFTER: Duration = Duration::from_millis(300);
/// Number of events that it must have delivered by then: on a slow endpoint everything takes longer.
const HARMLESS_EVENTS: u64 = 4;
/// Time between a broken run and the end of its endpoint within which the one explains the other.
const SAME_CRASH_WITHIN: Duration = Duration::from_secs(2);
/// Maximum number of broken runs and ended endpoints to remember.
const MAX_REMEMBERED: usize = 4_096;

/// Identifies a run of this gateway.
pub type RunId = u64;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// With a complete answer.
    Answered,
    /// Its connection broke.
    Broke,
    /// The endpoint refused it, or this gateway or the caller abandoned it.
    Abandoned,
}

/// What the end of a run says about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Finding {
    /// The request ran without harm.
    Harmless,
    /// It ran on this endpoint when that ended.
    Crashed(Incarnation),
    /// Nothing yet.
    Unknown,
}

#[derive(Debug)]
struct Run {
    request: Rc<RunRequest>,
    /// The endpoints that it needs; the first one received it.
    endpoints: Vec<Incarnation>,
    /// Number of events that it has delivered, and when the first one came.
    events: u64,
    first_event: Option<Instant>,
    /// That it does no harm has been found. It may be long ago when the run ends.
    is_found_harmless: bool,
    /// The end of one of its endpoints has been counted for its request.
    is_counted: bool,
}

impl Run {
    fn is_harmless(&self, now: Instant) -> bool {
        let is_old =
            self.first_event.is_some_and(|first| now.duration_since(first) >= HARMLESS_AFTER);
        is_old && self.events >= HARMLESS_EVENTS
    }

    /// Returns whether it may yet do harm.
    fn is_undecided(&self, now: Instant) -> bool {
        !self.is_counted && !self.is_harmless(now)
    }

    fn needs(&self, endpoint: &Incarnation) -> bool {
        self.endpoints.contains(endpoint)
    }
}

/// The open runs, and those that broke recently while their endpoint's end wasn't known.
#[derive(Debug, Default)]
pub(super) struct RunRegistry {
    next: RunId,
    open: HashMap<RunId, Run>,
    broken: VecDeque<(Run, Instant)>,
    ended: VecDeque<(Incarnation, Instant)>,
}

impl RunRegistry {
    pub(super) fn begin(&mut self, request: Rc<RunRequest>, endpoints: Vec<Incarnation>) -> RunId {
        self.next += 1;
        let run = Run {
            request,
            endpoints,
            events: 0,
            first_event: None,
            is_found_harmless: false,
            is_counted: false,
        };
        self.open.insert(self.next, run);
        self.next
    }

    /// Records events that a run has delivered. Returns its request once they show that it does no harm.
    pub(super) fn on_events(
        &mut self,
        id: RunId,
        events: u64,
        now: Instant,
    ) -> Option<Rc<RunRequest>> {
        let run = self.open.get_mut(&id).filter(|_| events > 0)?;
        run.events += events;
        run.first_event.get_or_insert(now);
        if run.is_found_harmless || !run.is_harmless(now) {
            return None;
        }
        run.is_found_harmless = true;
        Some(Rc::clone(&run.request))
    }

    /// Sets the endpoints that an open run needs from now on.
    pub(super) fn set_endpoints(&mut self, id: RunId, endpoints: Vec<Incarnation>) {
        if let Some(run) = self.open.get_mut(&id) {
            run.endpoints = endpoints;
        }
    }

    /// Ends a run. Returns its request and what the end says about it.
    pub(super) fn end(
        &mut self,
        id: RunId,
        end: RunEnd,
        now: Instant,
    ) -> Option<(Rc<RunRequest>, Finding)> {
        let run = self.open.remove(&id)?;
        let request = Rc::clone(&run.request);
        if run.is_found_harmless {
            return Some((request, Finding::Unknown));
        }
        if end == RunEnd::Answered || run.is_harmless(now) {
            return Some((request, Finding::Harmless));
        }
        if end == RunEnd::Abandoned || run.is_counted {
            return Some((request, Finding::Unknown));
        }
        self.drop_expired(now);
        let ended = self.ended.iter().find(|(endpoint, _)| run.needs(endpoint));
        if let Some((endpoint, _)) = ended {
            return Some((request, Finding::Crashed(endpoint.clone())));
        }
        self.broken.push_back((run, now));
        Some((request, Finding::Unknown))
    }

    /// Returns the requests that ran on an endpoint when it ended, and haven't run without harm.
    pub(super) fn on_endpoint_ended(
        &mut self,
        endpoint: &Incarnation,
        now: Instant,
    ) -> Vec<Rc<RunRequest>> {
        self.drop_expired(now);
        if self.ended.iter().any(|(ended, _)| ended == endpoint) {
            return Vec::new();
        }
        self.ended.push_back((endpoint.clone(), now));
        let mut requests = Vec::new();
        self.broken.retain(|(run, _)| {
            let is_explained = run.needs(endpoint);
            if is_explained {
                requests.push(Rc::clone(&run.request));
            }
            !is_explained
        });
        for run in self.open.values_mut() {
            if run.needs(endpoint) && !run.is_counted && !run.is_harmless(now) {
                run.is_counted = true;
                requests.push(Rc::clone(&run.request));
            }
        }
        requests
    }

    /// Returns the contents of the open runs that may yet do harm.
    pub(super) fn undecided(&self, now: Instant) -> impl Iterator<Item = ContentId> {
        let undecided = self.open.values().filter(move |run| run.is_undecided(now));
        undecided.map(|run| run.request.content)
    }

    /// Returns whether an open run of this content may yet show that it does harm.
    pub(super) fn is_running(&self, content: ContentId, now: Instant) -> bool {
        let mut runs = self.open.values();
        runs.any(|run| run.request.content == content && run.is_undecided(now))
    }

    /// Returns whether an open run on an endpoint belongs to a request that meets `is_suspect` and may yet do harm.
    pub(super) fn has_suspect(
        &self,
        endpoint: &Incarnation,
        is_suspect: impl Fn(ContentId) -> bool,
        now: Instant,
    ) -> bool {
        let mut runs = self.open.values();
        runs.any(|run| {
            run.endpoints.first() == Some(endpoint)
                && run.is_undecided(now)
                && is_suspect(run.request.content)
        })
    }

    fn drop_expired(&mut self, now: Instant) {
        let is_expired = |at: Instant| now.duration_since(at) > SAME_CRASH_WITHIN;
        while self.broken.len() > MAX_REMEMBERED
            || self.broken.front().is_some_and(|(_, at)| is_expired(*at))
        {
            self.broken.pop_front();
        }
        while self.ended.len() > MAX_REMEMBERED
            || self.ended.front().is_some_and(|(_, at)| is_expired(*at))
        {
            self.ended.pop_front();
        }
    }
}
