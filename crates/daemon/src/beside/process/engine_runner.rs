//! One engine: the requests open at it, the steps that wait, and the thread that runs batches.

use crate::beside::process::Outbox;
use crate::beside::request::{StageRun, WaitingSteps};
use crate::process::Count;
use crossbeam::channel::{Receiver, Sender, bounded};
use sorrellock_core::id::StageIndex;
use sorrellock_core::process::{EndpointFact, Role};
use sorrellock_core::request::{Hop, Refusal, RequestKey, StageVerdict, Step};
use sorrellock_platform::api::{Batch, Engine, EngineInfo, Sampled, SessionId, StepOutput};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{Open, PipelineMessage, StageTrouble};
use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

/// How long one batch may take before the engine counts as failed.
const BATCH_DEADLINE: Duration = Duration::from_secs(30);
/// KV caches that wait to be freed; past it they are left to the engine's own bound.
const RELEASE_QUEUE: usize = 4096;

/// Bounds of one engine's runner.
#[derive(Clone, Copy, Debug)]
pub struct EngineBounds {
    /// The most requests open.
    pub max_sessions: usize,
    /// Bytes of output kept for each request.
    pub replay_budget: usize,
}

/// One engine.
pub struct EngineRunner<L, E> {
    engine: Arc<E>,
    info: EngineInfo,
    bounds: EngineBounds,
    outbox: Outbox<L>,
    state: Mutex<State>,
    ready: Condvar,
    releases: Sender<SessionId>,
    ended: AtomicBool,
}

#[derive(Default)]
struct State {
    runs: HashMap<RequestKey, StageRun>,
    waiting: WaitingSteps,
    running: usize,
}

impl<L: Link, E: Engine> EngineRunner<L, E> {
    /// Starts the threads of one engine.
    pub fn start(
        engine: E,
        info: EngineInfo,
        bounds: EngineBounds,
        outbox: Outbox<L>,
    ) -> Arc<EngineRunner<L, E>> {
        let (tx, rx) = bounded(RELEASE_QUEUE);
        let runner = Arc::new(EngineRunner {
            engine: Arc::new(engine),
            info,
            bounds,
            outbox,
            state: Mutex::default(),
            ready: Condvar::new(),
            releases: tx,
            ended: AtomicBool::new(false),
        });
        let (batches, engine) = (runner.clone(), runner.engine.clone());
        spawn("engine-batches", move || batches.run_batches());
        spawn("engine-releases", move || release_sessions(&*engine, &rx));
        runner
    }

    /// What the daemon tells of this engine.
    pub fn fact(&self) -> EndpointFact {
        let state = self.state();
        EndpointFact {
            id: self.info.endpoint.clone(),
            role: Role::Engine { model: self.info.model.clone(), layers: self.info.layers },
            load: state.runs.len() as u32,
            slots: self.info.max_batch,
        }
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.state().runs.len()
    }

    /// Ends the batch thread after the batch in hand.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.ready.notify_all();
    }

    /// Opens a request, or moves it to a higher attempt. `leaving`: take no request that is new here.
    pub fn open(&self, open: Open, leaving: bool) {
        let mut state = self.state();
        let request = open.request;
        let fresh = open.fresh.get(usize::from(open.stage)) == Some(&true);
        match state.runs.get_mut(&request) {
            Some(run) if open.attempt <= run.session.attempt() => return,
            Some(run) if !fresh => run.raise(open),
            None if !fresh => {
                return self.trouble(
                    &open,
                    open.stage,
                    StageTrouble::NoSession,
                    "no such request here",
                );
            }
            found => {
                if let Some(old) = found {
                    let _ = self.releases.try_send(old.engine_session.clone());
                } else if let Some(refusal) = self.refusal(&state, leaving) {
                    let trouble = StageTrouble::Refused(refusal);
                    return self.trouble(&open, open.stage, trouble, "refused before starting");
                }
                state.runs.insert(request, StageRun::new(open, self.bounds.replay_budget));
            }
        }
        self.pass_on(&state.runs[&request]);
    }

    /// Takes a step.
    pub fn step(&self, step: Step) {
        let mut state = self.state();
        let Some(run) = state.runs.get_mut(&step.request) else {
            self.outbox.counters().count(Count::StepsStale);
            return;
        };
        if run.is_last()
            && step.tokens.first().is_some_and(|token| run.diverges(step.first, *token))
        {
            let detail = format!("token at position {} differs", step.first);
            return self.trouble(run.open(), run.open().stage, StageTrouble::Diverged, &detail);
        }
        match run.session.accept(&step) {
            StageVerdict::Run(step) => {
                let priority = run.open().priority;
                state.waiting.push(priority, step);
                drop(state);
                self.ready.notify_one();
            }
            StageVerdict::Repeat(kept) => {
                self.outbox.counters().count(Count::StepsRepeated);
                self.send_on(run, kept);
            }
            StageVerdict::Spent => {
                self.outbox.counters().count(Count::StepsRepeated);
                self.send_chosen(run, step.first);
            }
            StageVerdict::Gap { next } => {
                self.outbox.counters().count(Count::StepsGap);
                self.ask_again(run, next);
            }
            StageVerdict::Stale | StageVerdict::Early => {
                self.outbox.counters().count(Count::StepsStale);
            }
        }
    }

    /// Sends kept output again, from a position on.
    pub fn resend(&self, request: RequestKey, from: u32) {
        let state = self.state();
        let Some(run) = state.runs.get(&request) else { return };
        self.replay(run, from);
    }

    /// Frees what is held for a request.
    pub fn close(&self, request: RequestKey) {
        let removed = self.state().runs.remove(&request);
        if let Some(run) = removed {
            let _ = self.releases.try_send(run.engine_session);
        }
    }

    /// Tells the entries of all requests that pass a peer that its link closed, and frees those
    /// whose entry was there.
    pub fn on_closed(&self, matches: impl Fn(&Hop) -> bool, is_entry: impl Fn(&Open) -> bool) {
        let mut state = self.state();
        for run in state.runs.values() {
            for stage in run.stages_at(&matches) {
                self.trouble(run.open(), stage, StageTrouble::NextClosed, "link closed");
            }
        }
        let orphans = state.runs.extract_if(|_, run| is_entry(run.open()));
        orphans.for_each(|(_, run)| drop(self.releases.try_send(run.engine_session)));
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    fn refusal(&self, state: &State, leaving: bool) -> Option<Refusal> {
        if leaving {
            return Some(Refusal::Leaving);
        }
        (state.runs.len() >= self.bounds.max_sessions).then_some(Refusal::Capacity)
    }

    fn trouble(&self, open: &Open, stage: StageIndex, trouble: StageTrouble, detail: &str) {
        self.outbox.counters().count(Count::StageTroubles);
        let detail = format!("stage {stage}: {detail} (told by {})", self.info.endpoint);
        let (request, attempt) = (open.request, open.attempt);
        let message = PipelineMessage::Trouble { request, attempt, stage, trouble, detail };
        self.outbox.pipeline(open.entry, message);
    }

    /// Passes the attempt on to the next stage, and replays into it if it starts from nothing.
    fn pass_on(&self, run: &StageRun) {
        let (Some(next), Some(open)) = (run.next_hop(), run.open_for_next()) else { return };
        self.outbox.pipeline(next.daemon, PipelineMessage::Open(open));
        if run.must_replay() {
            self.replay(run, 0);
        }
    }

    fn replay(&self, run: &StageRun, from: u32) {
        self.outbox.counters().count(Count::Replays);
        match run.session.replay() {
            Some(kept) if kept.end() > from => self.send_on(run, kept.from_position(from)),
            Some(_) => {}
            None if run.session.accepted() == 0 => {}
            None => self.trouble(
                run.open(),
                run.open().stage,
                StageTrouble::ReplaySpent,
                "nothing kept",
            ),
        }
    }

    /// Sends an output to where it goes next.
    fn send_on(&self, run: &StageRun, output: Step) {
        match run.next_hop() {
            Some(next) => self.outbox.pipeline(next.daemon, PipelineMessage::Step(output)),
            None => self.send_chosen(run, output.first),
        }
    }

    fn send_chosen(&self, run: &StageRun, from: u32) {
        if !run.is_last() {
            return;
        }
        for out in run.chosen_from(from) {
            self.outbox.pipeline(run.open().entry, PipelineMessage::Token(out));
        }
    }

    /// Asks the stage before to send again; the first stage has the entry before it.
    fn ask_again(&self, run: &StageRun, from: u32) {
        let (request, attempt) = (run.open().request, run.open().attempt);
        let stage = usize::from(run.open().stage);
        let before = match stage {
            0 => run.open().entry,
            _ => run.open().route.hops[stage - 1].daemon,
        };
        self.outbox.pipeline(before, PipelineMessage::Resend { request, attempt, from });
    }

    fn run_batches(&self) {
        while let Some(steps) = self.next_batch() {
            let (batch, sessions) = self.engine_batch(&steps);
            let counters = self.outbox.counters();
            counters.count(Count::Batches);
            counters.add(Count::Steps, steps.len() as u64);
            match self.engine.run(&batch, BATCH_DEADLINE) {
                Ok(outputs) => self.finish(&steps, &sessions, outputs),
                Err(err) => self.fail(&steps, &err.to_string()),
            }
        }
    }

    fn next_batch(&self) -> Option<Vec<Step>> {
        let mut state = self.state();
        state.running = 0;
        while state.waiting.is_empty() {
            if self.ended.load(Ordering::Acquire) {
                return None;
            }
            state = self.ready.wait(state).unwrap();
        }
        let steps = state.waiting.take_batch(self.info.max_batch as usize);
        state.running = steps.len();
        Some(steps)
    }

    /// The batch, and for each of `steps` the session it runs in; closed requests have none.
    fn engine_batch(&self, steps: &[Step]) -> (Batch, Vec<Option<SessionId>>) {
        let state = self.state();
        let mut batch = Batch::default();
        let mut sessions = Vec::new();
        for step in steps {
            let run = state.runs.get(&step.request);
            let run = run.filter(|run| step.end() <= run.session.accepted());
            sessions.push(run.map(|run| run.engine_session.clone()));
            batch.steps.extend(run.map(|run| run.engine_step(step)));
        }
        (batch, sessions)
    }

    fn finish(&self, steps: &[Step], sessions: &[Option<SessionId>], outputs: Vec<StepOutput>) {
        let mut state = self.state();
        let ran = steps
            .iter()
            .zip(sessions)
            .filter_map(|(step, session)| Some((step, session.as_ref()?)));
        for ((step, session), output) in ran.zip(outputs) {
            let Some(run) = state.runs.get_mut(&step.request) else { continue };
            if run.engine_session != *session {
                continue;
            }
            match output {
                StepOutput::Activations(activations) => {
                    let attempt = run.session.attempt();
                    let output = Step { attempt, activations, ..step.clone() };
                    run.session.keep(&output);
                    self.send_on(run, output);
                }
                StepOutput::Sampled(sampled) => self.finish_token(run, step, sampled),
                StepOutput::Refused(detail) => {
                    self.trouble(run.open(), run.open().stage, StageTrouble::EngineFailed, &detail);
                }
            }
        }
    }

    /// A token was chosen: to the entry, and round to the first stage unless it was the last.
    fn finish_token(&self, run: &mut StageRun, step: &Step, sampled: Sampled) {
        let out = run.choose(step.end() - 1, sampled);
        if !run.is_final(&out) {
            let next = Step {
                request: out.request,
                attempt: out.attempt,
                first: out.position + 1,
                tokens: vec![out.token],
                activations: Default::default(),
            };
            self.outbox.pipeline(run.first_hop().daemon, PipelineMessage::Step(next));
        }
        self.outbox.pipeline(run.open().entry, PipelineMessage::Token(out));
    }

    fn fail(&self, steps: &[Step], detail: &str) {
        let state = self.state();
        for step in steps {
            if let Some(run) = state.runs.get(&step.request) {
                self.trouble(run.open(), run.open().stage, StageTrouble::EngineFailed, detail);
            }
        }
    }
}

fn release_sessions<E: Engine>(engine: &E, rx: &Receiver<SessionId>) {
    while let Ok(first) = rx.recv() {
        let mut sessions = vec![first];
        sessions.extend(rx.try_iter());
        let _ = engine.release(&sessions);
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.into()).spawn(body).expect("a thread can be started");
}
