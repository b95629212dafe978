//! All pipeline requests of an entry: starts them, takes tokens, repairs routes, ends them.

use crate::entry::process::{FleetCell, InProgress, Timer};
use crate::entry::request::{Answer, CompletionRequest, PipelineRun, Problem, RunTable};
use crate::entry::version::InFlight;
use crate::process::{Count, Counters};
use sorrellock_core::id::{Position, Sequence, StageIndex, WorkspaceId};
use sorrellock_core::process::admission::Ended;
use sorrellock_core::request::{
    Driver, DriverVerdict, Hop, NotRun, Peer, Refusal, RequestKey, Route, TokenOut, Unknown,
    choose_route,
};
use sorrellock_core::version::{Class, Pipeline};
use sorrellock_http::Responder;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{Message, PipelineMessage, StageTrouble};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// A pipeline request that was admitted.
pub struct NewPipeline {
    /// Its identity.
    pub request: RequestKey,
    /// Whose it is.
    pub workspace: WorkspaceId,
    /// What the caller asked.
    pub asked: CompletionRequest,
    /// The pipeline.
    pub pipeline: Pipeline,
    /// When the caller no longer needs it.
    pub deadline: Instant,
    /// Its class.
    pub class: Class,
}

/// All pipeline requests of an entry.
pub struct Pipelines<L> {
    pub(super) me: Peer,
    pub(super) link: Arc<L>,
    pub(super) fleet: Arc<FleetCell>,
    pub(super) in_progress: Arc<InProgress>,
    pub(super) timer: Arc<Timer>,
    pub(super) counters: Arc<Counters>,
    pub(super) max_attempts: u32,
    pub(super) runs: RunTable<PipelineRun>,
}

type Run<'a> = MutexGuard<'a, PipelineRun>;

impl<L: Link> Pipelines<L> {
    /// Starts an admitted request: from here on it is answered once, through `responder`.
    pub fn start(self: &Arc<Self>, new: NewPipeline, responder: Responder) {
        let sequence = new.request.sequence;
        let Some(route) = self.route(&new.pipeline, &[]) else {
            self.in_progress.leave(sequence, Ended::NotRun);
            self.counters.count(Count::NotRun);
            let detail = format!("no engines hold all layers of {}", new.pipeline.model);
            return Problem::from(NotRun::never_sent(Refusal::Capacity, detail)).send(responder);
        };
        self.cancel_when_gone(&responder, sequence);
        let run = self.new_run(new, route, responder);
        let deadline = run.deadline;
        let run = self.runs.insert(sequence, run);
        self.timer.add(deadline, sequence);
        let run = run.lock().unwrap();
        let fresh = vec![true; run.driver.route().hops.len()];
        self.send_attempt(&run, fresh);
    }

    /// Takes a token from a last stage.
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
            DriverVerdict::Gap => self.rebuild(run, &[], "a token is missing"),
        }
    }

    /// Takes what a stage can't go on with.
    pub fn on_trouble(
        &self,
        request: RequestKey,
        attempt: u32,
        stage: StageIndex,
        trouble: StageTrouble,
        detail: &str,
    ) {
        let Some(run) = self.find(request) else { return };
        let run = run.lock().unwrap();
        if run.driver.attempt() != attempt || run.driver.finished() {
            return;
        }
        self.counters.count(Count::StageTroubles);
        let Some(hop) = run.driver.route().hops.get(usize::from(stage)).cloned() else { return };
        match trouble {
            StageTrouble::EngineFailed | StageTrouble::NextClosed | StageTrouble::Refused(_) => {
                self.replace(run, &[hop], detail);
            }
            StageTrouble::NoSession | StageTrouble::ReplaySpent | StageTrouble::Diverged => {
                self.rebuild(run, &[], detail);
            }
        }
    }

    /// Sends the sequence again from a position on, as the first stage asked.
    pub fn on_resend(&self, request: RequestKey, from: Position) {
        let Some(run) = self.find(request) else { return };
        let run = run.lock().unwrap();
        let step = run.driver.prefill().from_position(from);
        self.send(run.driver.route().hops[0].daemon, PipelineMessage::Step(step));
    }

    /// A daemon can't be reached: requests that pass it take another route.
    pub fn on_closed(&self, peer: SocketAddr) {
        for (_, run) in self.runs.all() {
            let run = run.lock().unwrap();
            let hops = run.driver.route().hops.iter();
            let lost: Vec<Hop> = hops.filter(|hop| hop.daemon.addr == peer).cloned().collect();
            if !lost.is_empty() && !run.driver.finished() {
                self.replace(run, &lost, &format!("the link to {peer} closed"));
            }
        }
    }

    /// The deadline of a request passed.
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

    fn new_run(&self, new: NewPipeline, route: Route, responder: Responder) -> PipelineRun {
        let answer = Answer::new(new.request, &new.asked, responder);
        let prompt_len = new.asked.prompt.len() as Position;
        let max_tokens = new.asked.max_tokens;
        let in_flight = self.count_in_flight(&route);
        PipelineRun {
            request: new.request,
            workspace: new.workspace,
            driver: Driver::new(new.request, route, new.asked.prompt, max_tokens),
            answer,
            pipeline: new.pipeline,
            deadline: new.deadline,
            priority: new.class.priority(),
            prompt_len,
            max_tokens,
            in_flight,
            left: Vec::new(),
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

    /// The best route that passes none of `without`.
    fn route(&self, pipeline: &Pipeline, without: &[Hop]) -> Option<Route> {
        let mut candidates = self.fleet.view().engines(&pipeline.model);
        candidates.retain(|candidate| without.iter().all(|hop| hop.endpoint != candidate.endpoint));
        choose_route(&candidates, pipeline.layers)
    }

    /// The route in force with the lost stages replaced by engines of the same layers.
    fn patched_route(&self, run: &PipelineRun, lost: &[Hop]) -> Option<Route> {
        let view = self.fleet.view();
        let mut candidates = view.engines(&run.pipeline.model);
        candidates.retain(|candidate| {
            let is_lost = |hop: &Hop| {
                hop.endpoint == candidate.endpoint || hop.daemon.addr == candidate.daemon.addr
            };
            !lost.iter().any(is_lost)
        });
        let replace = |hop: &Hop| -> Option<Hop> {
            if !lost.contains(hop) {
                return Some(hop.clone());
            }
            let same_layers = candidates.iter().filter(|candidate| candidate.layers == hop.layers);
            let best = same_layers.min_by_key(|candidate| candidate.load)?;
            Some(Hop { daemon: best.daemon, endpoint: best.endpoint.clone(), layers: best.layers })
        };
        let hops: Option<Vec<Hop>> = run.driver.route().hops.iter().map(replace).collect();
        hops.map(|hops| Route { hops })
    }

    fn count_in_flight(&self, route: &Route) -> Vec<InFlight> {
        let view = self.fleet.view();
        route.hops.iter().filter_map(|hop| view.count(&hop.endpoint)).collect()
    }

    /// Replaces lost stages; the others keep what they have.
    fn replace(&self, run: Run<'_>, lost: &[Hop], cause: &str) {
        match self.patched_route(&run, lost) {
            Some(route) => {
                let fresh = run.fresh_stages(&route);
                self.reroute(run, route, fresh, cause);
            }
            None => self.rebuild(run, lost, cause),
        }
    }

    /// Takes a new route, all of whose stages start from nothing.
    fn rebuild(&self, run: Run<'_>, lost: &[Hop], cause: &str) {
        match self.route(&run.pipeline, lost) {
            Some(route) => {
                let fresh = vec![true; route.hops.len()];
                self.reroute(run, route, fresh, cause);
            }
            None => {
                let detail = format!("no engines are left for it: {cause}");
                self.fail(run, Unknown { detail }.into());
            }
        }
    }

    fn reroute(&self, mut run: Run<'_>, route: Route, fresh: Vec<bool>, cause: &str) {
        if run.driver.attempt() >= self.max_attempts {
            let detail = format!("{} attempts failed, the last: {cause}", self.max_attempts);
            return self.fail(run, Unknown { detail }.into());
        }
        self.counters.count(Count::Reroutes);
        let dropped: Vec<Hop> = run
            .driver
            .route()
            .hops
            .iter()
            .filter(|hop| !route.hops.contains(hop))
            .cloned()
            .collect();
        for hop in &dropped {
            self.send(hop.daemon, PipelineMessage::Close { request: run.request });
        }
        run.left.extend(dropped);
        run.in_flight = self.count_in_flight(&route);
        run.driver.reroute(route);
        self.send_attempt(&run, fresh);
    }

    /// Opens the attempt in force at the first stage, and gives it what it must run: all if it
    /// starts from nothing, else the last token, in case that one was lost.
    fn send_attempt(&self, run: &PipelineRun, fresh: Vec<bool>) {
        let first = run.driver.route().hops[0].daemon;
        let from_nothing = fresh[0];
        self.send(first, PipelineMessage::Open(run.open(self.me, fresh)));
        let mut step = run.driver.prefill();
        if !from_nothing {
            step = step.from_position(step.end() - 1);
        }
        self.send(first, PipelineMessage::Step(step));
    }

    fn emit(&self, mut run: Run<'_>, out: &TokenOut) {
        self.counters.count(Count::Tokens);
        if run.answer.push(&out.text).is_err() {
            self.counters.count(Count::CallersGone);
            self.end(run);
        }
    }

    fn emit_last(&self, mut run: Run<'_>, out: &TokenOut) {
        self.counters.count(Count::Tokens);
        self.counters.count(Count::Done);
        let _ = run.answer.push(&out.text);
        run.answer.finish(out.end_of_text);
        self.end(run);
    }

    fn fail(&self, mut run: Run<'_>, problem: Problem) {
        self.counters.count(Count::Unknown);
        run.answer.fail(&problem);
        self.end(run);
    }

    /// Frees what the request holds, here and at its stages.
    fn end(&self, run: Run<'_>) {
        if self.runs.remove(run.request.sequence).is_none() {
            return;
        }
        let work = f64::from(run.prompt_len) + f64::from(run.driver.emitted());
        self.in_progress.leave(run.request.sequence, Ended::Ran { work });
        for hop in run.stages_to_close() {
            self.send(hop.daemon, PipelineMessage::Close { request: run.request });
        }
    }

    fn find(&self, request: RequestKey) -> Option<Arc<Mutex<PipelineRun>>> {
        if request.entry != self.me.incarnation {
            return None;
        }
        self.runs.get(request.sequence)
    }

    fn send(&self, to: Peer, message: PipelineMessage) {
        if self.link.send(to, Message::Pipeline(message)).is_err() {
            self.counters.count(Count::SendsRefused);
        }
    }
}
