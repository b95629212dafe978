//! Runner of one engine: applies messages to its open requests, and queues their work for its threads.

use crate::beside::process::Outbox;
use crate::beside::process::engine_batches::{RunningBatch, run_batches, watch_batches};
use crate::beside::process::engine_calls::{EngineCall, run_calls};
use crate::beside::process::role_change::is_held;
use crate::beside::request::WaitingRequests;
use crate::process::Count;
use crossbeam::channel::{Sender, bounded};
use sorrellock_core::id::{Layer, ModelId};
use sorrellock_core::process::orders::Holding;
use sorrellock_core::process::{EndpointFact, EngineOffer, Role};
use sorrellock_core::request::{
    KeptBudget, LayerRange, Open, PipelineMessage, Refusal, RequestKey, StageCount, StageOutput,
    StageTable, StepTimes,
};
use sorrellock_ports::api::{Engine, EngineInfo};
use sorrellock_wire::connection::Link;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Instant;

/// Full batches of requests that an engine accepts: one runs while the next fills up.
const BATCHES_PER_ENGINE: u32 = 2;
/// Max queued calls to an engine other than batches. Further calls are dropped: a KV cache to be
/// released is left to the engine's own limit, and one to be exported is not handed over.
const CALL_QUEUE: usize = 4096;

/// Limits of one engine's runner.
#[derive(Clone, Debug)]
pub struct EngineBounds {
    /// Max open requests.
    pub max_sessions: usize,
    /// Budget for the output kept for replay, shared by all requests of the daemon.
    pub kept: Arc<KeptBudget>,
}

/// Runner of one engine, shared by its threads.
pub struct EngineRunner<L, E> {
    pub(super) engine: Arc<E>,
    pub(super) info: EngineInfo,
    pub(super) outbox: Outbox<L>,
    pub(super) ready: Condvar,
    pub(super) ended: AtomicBool,
    pub(super) leaving: AtomicBool,
    max_sessions: usize,
    state: Mutex<State>,
    calls: Sender<EngineCall>,
}

/// State of one engine that its threads change under a lock.
pub(super) struct State {
    pub(super) table: StageTable,
    pub(super) waiting: WaitingRequests,
    pub(super) running_batch: Option<RunningBatch>,
    pub(super) times: StepTimes,
    /// The model and layers that the engine holds, by its last report.
    held: EngineInfo,
    /// The model and layers that the engine is to load. It takes no new requests meanwhile.
    pub(super) loading: Option<Holding>,
}

impl State {
    /// Returns whether the current batch takes too long.
    fn is_stuck(&self) -> bool {
        self.running_batch.as_ref().is_some_and(|running_batch| running_batch.stuck)
    }
}

impl<L: Link, E: Engine> EngineRunner<L, E> {
    /// Creates the runner of an engine and starts its threads.
    pub fn start(
        engine: E,
        info: EngineInfo,
        bounds: EngineBounds,
        outbox: Outbox<L>,
    ) -> Arc<EngineRunner<L, E>> {
        let (tx, rx) = bounded(CALL_QUEUE);
        let state = State {
            table: StageTable::new(bounds.kept),
            waiting: WaitingRequests::default(),
            running_batch: None,
            times: StepTimes::default(),
            held: info.clone(),
            loading: None,
        };
        let runner = Arc::new(EngineRunner {
            engine: Arc::new(engine),
            info,
            outbox,
            ready: Condvar::new(),
            ended: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            max_sessions: bounds.max_sessions,
            state: Mutex::new(state),
            calls: tx,
        });
        let (batches, watch, calls) = (runner.clone(), runner.clone(), runner.clone());
        spawn("engine-batches", move || run_batches(&batches));
        spawn("engine-watch", move || watch_batches(&watch));
        spawn("engine-calls", move || run_calls(&calls, &rx));
        runner
    }

    /// Returns what the daemon announces about this engine.
    pub fn fact(&self) -> EndpointFact {
        let state = self.state();
        // An engine that is to load other layers announces none, so that no new route uses it.
        let (model, layers) = match &state.loading {
            Some(_) => (ModelId::new(), LayerRange::new(0, 0)),
            None => (state.held.model.clone(), state.held.layers),
        };
        EndpointFact {
            id: self.info.endpoint.clone(),
            role: Role::Engine { model, layers },
            load: state.table.len() as u32,
            slots: self.info.max_batch * BATCHES_PER_ENGINE,
            engine: Some(offer(&state)),
        }
    }

    /// Returns whether the engine holds these layers and is not loading others.
    pub(super) fn holds_layers(&self, holding: &Holding) -> bool {
        let state = self.state();
        state.loading.is_none() && is_held(&state.held, holding)
    }

    /// Refuses new requests from now on, and has open requests offered to other engines.
    pub(super) fn begin_role_change(&self, to: Holding) {
        self.state().loading = Some(to);
    }

    /// Accepts requests again for the layers that the engine reports. If it reports nothing, it serves no layers.
    pub(super) fn end_role_change(&self, held: Option<EngineInfo>) {
        let mut state = self.state();
        state.loading = None;
        match held {
            Some(held) => state.held = held,
            None => state.held.layers = LayerRange::new(0, 0),
        }
    }

    /// Returns whether the engine is stuck. A stuck engine is not announced.
    pub fn is_stuck(&self) -> bool {
        self.state().is_stuck()
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.state().table.len()
    }

    /// Stops the threads after their current work.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.ready.notify_all();
    }

    /// Offers open requests to other engines, repeatedly until none is left.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::Release);
        self.change(|state, out| state.table.on_leaving(out));
    }

    /// Opens a request, or moves it to a higher attempt.
    pub fn open(&self, open: Open, leaving: bool) {
        self.change(|state, out| {
            let refusal = self.refusal(state, &open, leaving);
            state.table.on_open(open, refusal, Instant::now(), out);
        });
    }

    /// Handles a message about a request that may be open here.
    pub fn on_message(&self, message: &PipelineMessage) {
        self.change(|state, out| {
            let table = &mut state.table;
            match message {
                PipelineMessage::Step(step) => table.on_step(step, Instant::now(), out),
                PipelineMessage::Resend { request, attempt, stage, from } => {
                    table.on_resend(*request, *attempt, *stage, *from, out);
                }
                PipelineMessage::Probe { request, .. } => {
                    table.on_probe(*request, Instant::now(), out);
                }
                PipelineMessage::AskHandover { request, attempt, since, endpoint, to } => {
                    if *endpoint == self.info.endpoint {
                        table.on_ask_handover(*request, *attempt, *since, *to, out);
                    }
                }
                PipelineMessage::Handover { request, attempt, handover } => {
                    table.on_handover(*request, *attempt, handover.clone(), out);
                }
                PipelineMessage::Close { request, endpoint, attempt } => {
                    if *endpoint == self.info.endpoint {
                        table.on_close(*request, *attempt, out);
                    }
                }
                PipelineMessage::Open(_)
                | PipelineMessage::Token(_)
                | PipelineMessage::Trouble { .. }
                | PipelineMessage::Progress { .. } => {}
            }
        });
    }

    /// Returns whether a request is open here.
    pub fn holds(&self, request: RequestKey) -> bool {
        self.state().table.holds(request)
    }

    /// Handles a closed link to a peer.
    pub fn on_closed(&self, peer: SocketAddr) {
        self.change(|state, out| state.table.on_closed(peer, out));
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Changes the state and carries out the resulting output. Messages are queued under the lock, so that those of one
    /// request are sent in order.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut State, &mut StageOutput) -> T) -> T {
        let mut out = StageOutput::default();
        let mut state = self.state();
        let result = change(&mut state, &mut out);
        out.counts.iter().for_each(|count| self.outbox.counters().count(counter_for(*count)));
        self.outbox.pipeline_each(out.messages);
        let ready = !out.ready.is_empty();
        out.ready.iter().for_each(|(priority, request)| state.waiting.push(*priority, *request));
        drop(state);
        if ready {
            self.ready.notify_one();
        }
        self.queue_engine_calls(out.releases, out.exports, out.imports);
        result
    }

    fn queue_engine_calls(
        &self,
        releases: Vec<String>,
        exports: Vec<sorrellock_core::request::KvExport>,
        imports: Vec<(RequestKey, String, sorrellock_core::request::Handover)>,
    ) {
        let releases = releases.into_iter().map(EngineCall::Release);
        let exports = exports.into_iter().map(EngineCall::Export);
        let imports = imports.into_iter().map(|(request, session, handover)| EngineCall::Import {
            request,
            session,
            handover,
        });
        for call in releases.chain(exports).chain(imports) {
            if self.calls.try_send(call).is_err() {
                self.outbox.counters().count(Count::EngineCallsDropped);
            }
        }
    }

    fn refusal(&self, state: &State, open: &Open, leaving: bool) -> Option<Refusal> {
        let hop = open.route.hops.get(usize::from(open.stage));
        let held = state.held.layers;
        let holds =
            hop.is_some_and(|hop| hop.layers.first >= held.first && hop.layers.end <= held.end);
        if leaving || state.loading.is_some() || !holds {
            return Some(Refusal::Leaving);
        }
        let full = state.table.len() >= self.max_sessions;
        (state.is_stuck() || full).then_some(Refusal::Capacity)
    }
}

fn offer(state: &State) -> EngineOffer {
    let capacity = match state.held.capacity {
        0 => state.held.layers.count() as Layer,
        capacity => capacity,
    };
    EngineOffer { capacity, speed: state.held.speed.max(1), loads: state.loading.clone() }
}

fn counter_for(count: StageCount) -> Count {
    match count {
        StageCount::Repeated => Count::StepsRepeated,
        StageCount::Stale => Count::StepsStale,
        StageCount::Gap => Count::StepsGap,
        StageCount::Replay => Count::Replays,
        StageCount::Trouble => Count::StageTroubles,
        StageCount::HandedOver => Count::HandedOver,
        StageCount::Expired => Count::SessionsExpired,
    }
}

fn spawn(name: &str, body: impl FnOnce() + Send + 'static) {
    thread::Builder::new().name(name.into()).spawn(body).expect("a thread can be started");
}
