//! A run of a request on an endpoint, from its send to its end.

use crate::process::Gateway;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::{RunEnd, RunId, RunRequest};
use std::cell::Cell;
use std::rc::Rc;
use tokio::time::Instant;

/// Reports a run to the crash guard. Unless told otherwise, it was abandoned when this is dropped.
pub(crate) struct RunGuard {
    gateway: Rc<Gateway>,
    id: RunId,
    end: Cell<RunEnd>,
}

impl RunGuard {
    /// Records that a request is sent to the first of `endpoints`, and needs all of them.
    pub(crate) fn begin(
        gateway: &Rc<Gateway>,
        request: Rc<RunRequest>,
        endpoints: Vec<Incarnation>,
    ) -> RunGuard {
        if gateway.crash_guard.borrow().is_last_chance(request.content) {
            gateway.news.notify_one();
        }
        let id = gateway.crash_guard.borrow_mut().begin_run(request, endpoints);
        let end = Cell::new(RunEnd::Abandoned);
        RunGuard { gateway: Rc::clone(gateway), id, end }
    }

    /// Records events that the run has delivered.
    pub(crate) fn on_events(&self, events: u64) {
        let now = Instant::now().into_std();
        self.gateway.crash_guard.borrow_mut().on_events(self.id, events, now);
    }

    /// Records that the run goes on over other endpoints.
    pub(crate) fn on_moved(&self, endpoints: Vec<Incarnation>) {
        self.gateway.crash_guard.borrow_mut().on_moved(self.id, endpoints);
    }

    /// Records that the answer is complete.
    pub(crate) fn on_answered(&self) {
        self.end.set(RunEnd::Answered);
    }

    /// Records that the connection broke before the answer was complete.
    pub(crate) fn on_broke(&self) {
        self.end.set(RunEnd::Broke);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let (now, unix) = (Instant::now().into_std(), super::unix_now());
        self.gateway.crash_guard.borrow_mut().end_run(self.id, self.end.get(), now, unix);
        self.gateway.report_crash_events();
    }
}
