//! A caller's complete request with the route that it matched.

use crate::process::{Count, Gateway, Phase};
use crate::request::Sends;
use http::{HeaderMap, Method, Uri};
use sorrellock_http::{ByteSegments, CallerSlot};
use sorrellock_platform::CallerHead;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::RunRequest;
use sorrellock_routing::version::{ConfigVersion, Route, ServiceName, WorkspaceName};
use spdlog::{Level, log, warn};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// A caller's complete request, with its route and limits.
pub(crate) struct Call {
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: ByteSegments,
    /// The place of its connection among the callers.
    pub(crate) slot: Arc<CallerSlot>,
    pub(crate) route: Route,
    /// Version of the configuration under which it was admitted.
    pub(crate) config_version: ConfigVersion,
    pub(crate) service: ServiceName,
    pub(crate) workspace: Option<WorkspaceName>,
    /// Priority rank, 0 is the highest. The workspace's rank overrides the route's.
    pub(crate) rank: u32,
    /// Rank in the queue for capacity, where the callers of its service differ in rank.
    pub(crate) capacity_rank: Option<u8>,
    pub(crate) arrived: Instant,
    /// When the caller must have an answer: its own deadline or the route's, whichever is earlier.
    pub(crate) deadline: Instant,
    /// When the caller stops waiting.
    pub(crate) caller_deadline: Instant,
    pub(crate) end: EndGuard,
    /// What identifies it among its repeats.
    pub(crate) run_request: Rc<RunRequest>,
    /// The endpoint for which a permit was taken that is not used yet.
    pub(crate) permit: RefCell<Option<Incarnation>>,
    /// Its sends so far.
    pub(crate) sends: Sends,
    /// It is held back, and may be sent once to see whether it does no more harm.
    pub(crate) is_trial: Cell<bool>,
}

impl Call {
    /// Returns the time left until the caller stops waiting.
    pub(crate) fn caller_time_left(&self) -> Duration {
        self.caller_deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time left until the final answer is due.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the request id, for log lines.
    pub(crate) fn id(&self) -> &str {
        &self.head.request_id
    }
}

/// Counts and logs how a request ended. If no end was reported when it is dropped, the caller has gone away or the
/// gateway has shut down.
pub(crate) struct EndGuard {
    gateway: Rc<Gateway>,
    request: String,
    arrived: Instant,
    is_reported: Cell<bool>,
}

impl EndGuard {
    pub(crate) fn new(gateway: Rc<Gateway>, request: String, arrived: Instant) -> EndGuard {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        EndGuard { gateway, request, arrived, is_reported: Cell::new(false) }
    }

    /// Counts and logs how the request ended. Only the first call has an effect.
    pub(crate) fn report(&self, count: Count, outcome: &str, status: u16, why: &str) {
        if self.is_reported.replace(true) {
            return;
        }
        self.gateway.counters.add(count);
        let took = self.arrived.elapsed();
        self.gateway.counters.whole_answer.record(took);
        let (request, ms) = (self.request.as_str(), took.as_millis() as u64);
        // Warnings are logged even when the log's buffer is full of routine lines.
        let level = if count == Count::Answered { Level::Info } else { Level::Warn };
        log!(level, "request ended", kv: { request, outcome, status, ms, why });
    }

    /// Counts something beside the end.
    pub(crate) fn count(&self, count: Count) {
        self.gateway.counters.add(count);
    }

    /// Counts and logs that the request is refused because the gateway, asked to shut down, has too little time for it.
    pub(crate) fn report_refused_leaving(&self) {
        self.report_leaving(Count::RefusedLeaving, "refused as this gateway ends");
    }

    /// Counts and logs that the request is cut by the gateway's shutdown.
    pub(crate) fn report_cut_leaving(&self) {
        self.report_leaving(Count::CutLeaving, "cut as this gateway ends");
    }

    /// Logs the request's arrival relative to the shutdown signal, and the time that was left then.
    fn report_leaving(&self, count: Count, message: &str) {
        let Some(leaving) = self.gateway.leaving.get() else { return };
        self.gateway.counters.add(count);
        let arrived = self.arrived.into_std();
        // Negative if the request arrived before the signal.
        let since = arrived.saturating_duration_since(leaving.signalled).as_millis() as i64
            - leaving.signalled.saturating_duration_since(arrived).as_millis() as i64;
        let left_ms = leaving.left(arrived).as_millis() as u64;
        warn!("{}", message, kv: { request = self.request.as_str(), since_ms = since, left_ms });
    }
}

impl Drop for EndGuard {
    fn drop(&mut self) {
        if !self.is_reported.get() && *self.gateway.phase.borrow() == Phase::Ended {
            self.report_cut_leaving();
            self.report(Count::Cut, "cut", 0, "this gateway ended first");
        }
        self.report(Count::CallersGone, "caller gone", 0, "the caller closed its connection");
        self.gateway.in_flight.set(self.gateway.in_flight.get() - 1);
    }
}
