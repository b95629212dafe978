//! Pipeline requests of an entry: starts them, receives their tokens and ends them.

use crate::entry::process::{FleetCell, FleetRoutes, InProgress, Timer};
use crate::entry::request::{
    Answer, CompletionRequest, PipelineRun, Problem, RunOnce, RunRecord, RunTable,
};
use crate::entry::version::InFlight;
use crate::process::{Count, Counters};
use sorrellock_core::id::{Position, Sequence, WorkspaceId};
use sorrellock_core::process::admission::Ended;
use sorrellock_core::request::{
    Driver, DriverConfig, DriverVerdict, NotRun, Outgoing, Peer, Refusal, RequestKey, Route,
    RouteSource, StallDetector, TokenOut, Unknown,
};
use sorrellock_core::version::{Class, Pipeline};
use sorrellock_http::Responder;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallEnd, LedgerMessage, Message};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// An admitted pipeline request.
pub struct NewPipeline {
    /// The key of the request.
    pub request: RequestKey,
    /// The workspace that sent it.
    pub workspace: WorkspaceId,
    /// The parsed request body.
    pub asked: CompletionRequest,
    /// The pipeline.
    pub pipeline: Pipeline,
    /// When the request times out.
    pub deadline: Instant,
    /// The priority class.
    pub class: Class,
    /// The ledger key and fingerprint, if it must run at most once.
    pub once: Option<RunOnce>,
}

/// Runs the pipeline requests of an entry.
pub struct Pipelines<L> {
    pub(super) me: Peer,
    pub(super) link: Arc<L>,
    pub(super) fleet: Arc<FleetCell>,
    pub(super) in_progress: Arc<InProgress>,
    pub(super) timer: Arc<Timer>,
    pub(super) checks: Arc<Timer>,
    pub(super) counters: Arc<Counters>,
    pub(super) max_attempts: u32,
    pub(super) runs: RunTable<PipelineRun>,
}

pub(super) type Run<'a> = MutexGuard<'a, PipelineRun>;

impl<L: Link> Pipelines<L> {
    /// Starts an admitted request, which is answered exactly once, through `responder`.
    pub fn start(self: &Arc<Self>, new: NewPipeline, responder: Responder) {
        let sequence = new.request.sequence;
        let routes = FleetRoutes::new(self.fleet.view(), &new.pipeline);
        let Some(route) = routes.route(&[]) else {
            self.in_progress.mark_ended(sequence, Ended::NotRun);
            self.counters.count(Count::NotRun);
            let detail = format!("no engines hold all layers of {}", new.pipeline.model);
            return Problem::from(NotRun::never_sent(Refusal::Capacity, detail)).send(responder);
        };
        self.begin(new, route, None, responder);
    }

    /// Starts a request on a route. If it has a record, its end is reported to the record's daemon.
    pub fn begin(
        self: &Arc<Self>,
        new: NewPipeline,
        route: Route,
        record: Option<RunRecord>,
        responder: Responder,
    ) {
        let sequence = new.request.sequence;
        self.cancel_when_gone(&responder, sequence);
        let run = self.new_run(new, route, record, responder);
        let deadline = run.deadline;
        let run = self.runs.insert(sequence, run);
        self.timer.add(deadline, sequence);
        let run = run.lock().unwrap();
        self.checks.add(run.stall.due(), sequence);
        self.send_all(run.driver.open());
    }

    /// Starts the thread that checks requests for stalls.
    pub fn watch(self: &Arc<Self>) {
        let pipelines = self.clone();
        self.checks.start(move |sequence| pipelines.on_check(sequence));
    }

    /// Handles a token from a last stage.
    pub fn on_token(&self, out: &TokenOut) {
        let Some(run) = self.find(out.request) else {
            return self.counters.count(Count::LateAnswers);
        };
        let mut run = run.lock().unwrap();
        match run.driver.on_token(out) {
            DriverVerdict::Emit => self.emit(run, out),
            DriverVerdict::EmitLast => self.emit_last(run, out),
            DriverVerdict::Repeated | DriverVerdict::Stale => {
                self.counters.count(Count::LateAnswers)
            }
            DriverVerdict::Gap => self.send_all([run.driver.ask_missing()]),
        }
    }

    /// Handles the expiry of a request's deadline.
    pub fn on_deadline(&self, sequence: Sequence) {
        let Some(run) = self.runs.get(sequence) else { return };
        let run = run.lock().unwrap();
        let detail = format!("the deadline passed after {} tokens", run.driver.emitted());
        self.fail(run, Problem { status: 504, ..Unknown { detail }.into() });
    }

    /// Cancels a request whose caller went away.
    pub fn cancel(&self, sequence: Sequence) {
        let Some(run) = self.runs.get(sequence) else { return };
        self.counters.count(Count::CallersGone);
        let detail = "the caller went away".to_owned();
        self.fail(run.lock().unwrap(), Unknown { detail }.into());
    }

    fn new_run(
        &self,
        new: NewPipeline,
        route: Route,
        record: Option<RunRecord>,
        responder: Responder,
    ) -> PipelineRun {
        let stream = new.asked.stream;
        let mut answer = Answer::new(new.request, &new.asked, responder);
        if record.is_some() {
            answer.keep();
        }
        let prompt_len = new.asked.prompt.len() as Position;
        let in_flight = self.count_in_flight(&route);
        let cfg = DriverConfig {
            request: new.request,
            entry: self.me,
            prompt: new.asked.prompt,
            max_tokens: new.asked.max_tokens,
            priority: new.class.priority(),
            max_attempts: self.max_attempts,
        };
        PipelineRun {
            request: new.request,
            workspace: new.workspace,
            driver: Driver::new(cfg, route),
            stall: StallDetector::new(Instant::now()),
            without_route: None,
            answer,
            stream,
            record,
            pipeline: new.pipeline,
            deadline: new.deadline,
            prompt_len,
            in_flight,
        }
    }

    fn cancel_when_gone(self: &Arc<Self>, responder: &Responder, sequence: Sequence) {
        let this = Arc::downgrade(self);
        responder.on_gone(move || {
            if let Some(this) = this.upgrade() {
                this.cancel(sequence);
            }
        });
    }

    pub(super) fn count_in_flight(&self, route: &Route) -> Vec<InFlight> {
        let view = self.fleet.view();
        route.hops.iter().filter_map(|hop| view.count(&hop.endpoint)).collect()
    }

    fn emit(&self, mut run: Run<'_>, out: &TokenOut) {
        self.counters.count(Count::Tokens);
        let due = run.stall.due();
        run.stall.on_token(Instant::now());
        if run.stall.due() < due {
            self.checks.add(run.stall.due(), run.request.sequence);
        }
        if run.answer.push(&out.text).is_err() {
            self.counters.count(Count::CallersGone);
            self.report_unknown(&run, "the caller went away");
            self.end(run);
        }
    }

    fn emit_last(&self, mut run: Run<'_>, out: &TokenOut) {
        self.counters.count(Count::Tokens);
        self.counters.count(Count::Done);
        let _ = run.answer.push(&out.text);
        run.answer.finish(out.end_of_text);
        self.report_done(&run, out.end_of_text);
        self.end(run);
    }

    pub(super) fn fail(&self, mut run: Run<'_>, problem: Problem) {
        if run.driver.finished() {
            return;
        }
        self.counters.count(Count::Unknown);
        run.answer.fail(&problem);
        self.report_unknown(&run, &problem.detail);
        self.end(run);
    }

    /// Sends the complete answer to the daemon of the record, which keeps it for retries.
    fn report_done(&self, run: &PipelineRun, end_of_text: bool) {
        let Some((content_type, body)) = run.answer.replay(end_of_text, run.stream) else { return };
        let content_type = Some(content_type.to_owned());
        self.report_end(run, CallEnd::Done { status: 200, content_type, body: body.into_bytes() });
    }

    fn report_unknown(&self, run: &PipelineRun, detail: &str) {
        self.report_end(run, CallEnd::Unknown { detail: detail.to_owned() });
    }

    fn report_end(&self, run: &PipelineRun, end: CallEnd) {
        let Some(RunRecord { stamp, daemon }) = run.record else { return };
        let message = Message::Ledger(LedgerMessage::Ended { stamp, end });
        if self.link.send(daemon, message).is_err() {
            self.counters.count(Count::SendsRefused);
        }
    }

    /// Removes the request and closes its stages.
    fn end(&self, mut run: Run<'_>) {
        if self.runs.remove(run.request.sequence).is_none() {
            return;
        }
        let work = f64::from(run.prompt_len) + f64::from(run.driver.emitted());
        self.in_progress.mark_ended(run.request.sequence, Ended::Ran { work });
        self.send_all(run.driver.close());
    }

    pub(super) fn find(&self, request: RequestKey) -> Option<Arc<Mutex<PipelineRun>>> {
        if request.entry != self.me.incarnation {
            return None;
        }
        self.runs.get(request.sequence)
    }

    pub(super) fn send_all(&self, messages: impl IntoIterator<Item = Outgoing>) {
        let each = messages.into_iter().map(|out| (out.to, Message::Pipeline(out.message)));
        let refused = self.link.send_each(each);
        self.counters.add(Count::SendsRefused, refused as u64);
    }
}
