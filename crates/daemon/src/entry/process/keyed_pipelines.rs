//! Pipeline requests with an idempotency key: the record names the daemon of the first stage, and no
//! stage is opened before that daemon counts the request as running.

use crate::entry::process::calls::Run;
use crate::entry::process::{Calls, FleetRoutes, NewPipeline, RUN_WAIT};
use crate::entry::request::{CallRun, Keyed, RunRecord};
use sorrellock_core::id::EndpointId;
use sorrellock_core::process::ledger::Stamp;
use sorrellock_core::request::{Peer, Route, RouteSource};
use sorrellock_http::Responder;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallEnd, CallRequest, LedgerMessage};
use std::sync::{Arc, Mutex};

impl<L: Link> Calls<L> {
    /// Starts an admitted pipeline request with a key.
    pub fn start_pipeline(self: &Arc<Self>, new: NewPipeline, responder: Responder) {
        let (sequence, deadline) = (new.request.sequence, new.deadline);
        self.cancel_when_gone(&responder, sequence);
        let run = CallRun {
            request: new.request,
            workspace: new.workspace.clone(),
            service: new.pipeline.id.clone(),
            sent: CallRequest::empty(new.request),
            daemon: self.me,
            tried: Vec::new(),
            idempotent: false,
            earlier_unknown: None,
            keyed: new.once.map(|once| Keyed::new(new.request, once)),
            pipeline: Some((new, Route { hops: Vec::new() })),
            deadline,
            responder: Some(responder),
            in_flight: None,
            permit: None,
        };
        let run = self.runs.insert(sequence, run);
        self.timer.add(deadline, sequence);
        self.choose_keyed(run.lock().unwrap());
    }

    /// Chooses a route that avoids the first stage of the previous one.
    pub(super) fn next_first_stage(&self, run: &mut Run<'_>) -> Option<(EndpointId, Peer)> {
        let run = &mut **run;
        let (new, route) = run.pipeline.as_mut()?;
        let tried: Vec<_> = route.hops.first().cloned().into_iter().collect();
        *route = FleetRoutes::new(self.fleet.view(), &new.pipeline).route(&tried)?;
        let first = route.hops.first()?;
        Some((first.endpoint.clone(), first.daemon))
    }

    /// Asks the daemon of the first stage to count the request as running, after the record was granted.
    pub(super) fn send_begin(&self, run: Run<'_>, stamp: Stamp) {
        let message = LedgerMessage::Begin { owner: run.request, stamp };
        if self.ledger.send(run.daemon, message).is_err() {
            return self.not_sent(run);
        }
        self.wait(run, RUN_WAIT);
    }

    /// Ends the granted record of a pipeline request that is abandoned before it began at this entry: its
    /// daemon may count it as running.
    pub(super) fn end_granted(&self, run: &CallRun, detail: &str) {
        let granted = run.keyed.as_ref().and_then(|keyed| keyed.run.granted());
        let Some(stamp) = granted.filter(|_| run.pipeline.is_some()) else { return };
        let end = CallEnd::Unknown { detail: detail.to_owned() };
        let _ = self.ledger.send(run.daemon, LedgerMessage::Ended { stamp, end });
    }

    /// Begins a pipeline request that its daemon counts as running; from then on it is driven like one
    /// without a key. Returns false if the record is not this request's own.
    pub(super) fn begin_pipeline(&self, run: &Mutex<CallRun>, stamp: &Stamp) -> bool {
        let mut run = run.lock().unwrap();
        let waits = |keyed: &Keyed| keyed.run.is_own(stamp) && keyed.run.target().is_some();
        let own = run.keyed.as_ref().is_some_and(waits);
        if !own {
            return false;
        }
        let Some((new, route)) = run.pipeline.take() else { return false };
        let Some(responder) = run.responder.take() else { return false };
        let record = RunRecord { stamp: *stamp, daemon: run.daemon };
        self.runs.remove(run.request.sequence);
        drop(run);
        self.pipelines.begin(new, route, Some(record), responder);
        true
    }
}
