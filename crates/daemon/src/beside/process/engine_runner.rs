//! One engine: hands messages to the requests open at it, and their work to its threads.

use crate::beside::process::Outbox;
use crate::beside::process::engine_batches::{InHand, run_batches, watch_batches};
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

/// Full batches of requests that an engine is offered: one runs while the next gathers.
const BATCHES_IN_HAND: u32 = 2;
/// Calls that wait for an engine besides batches. Past it a KV cache to be freed is left to the
/// engine's own bound, and one to be handed over is not.
const CALL_QUEUE: usize = 4096;

/// Bounds of one engine's runner.
#[derive(Clone, Debug)]
pub struct EngineBounds {
    /// The most requests open.
    pub max_sessions: usize,
    /// Bytes of output kept by all requests of the daemon.
    pub kept: Arc<KeptBudget>,
}

/// One engine.
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

/// What the threads of one engine share.
pub(super) struct State {
    pub(super) table: StageTable,
    pub(super) waiting: WaitingRequests,
    pub(super) in_hand: Option<InHand>,
    pub(super) times: StepTimes,
    /// What the engine holds, as it said last.
    held: EngineInfo,
    /// What it is to hold next; it takes no new requests meanwhile.
    pub(super) loads: Option<Holding>,
}

impl State {
    /// Whether the engine has had a batch in hand for too long.
    fn is_stuck(&self) -> bool {
        self.in_hand.as_ref().is_some_and(|in_hand| in_hand.stuck)
    }
}

impl<L: Link, E: Engine> EngineRunner<L, E> {
    /// Starts the threads of one engine.
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
            in_hand: None,
            times: StepTimes::default(),
            held: info.clone(),
            loads: None,
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

    /// What the daemon tells of this engine.
    pub fn fact(&self) -> EndpointFact {
        let state = self.state();
        // An engine that is to hold other layers serves none for who looks for a route.
        let (model, layers) = match &state.loads {
            Some(_) => (ModelId::new(), LayerRange::new(0, 0)),
            None => (state.held.model.clone(), state.held.layers),
        };
        EndpointFact {
            id: self.info.endpoint.clone(),
            role: Role::Engine { model, layers },
            load: state.table.len() as u32,
            slots: self.info.max_batch * BATCHES_IN_HAND,
            engine: Some(offer(&state)),
        }
    }

    /// Whether the engine holds these layers, and no others next.
    pub(super) fn holds_layers(&self, holding: &Holding) -> bool {
        let state = self.state();
        state.loads.is_none() && is_held(&state.held, holding)
    }

    /// Takes no new requests, and offers what is open to other engines.
    pub(super) fn begin_change(&self, to: Holding) {
        self.state().loads = Some(to);
    }

    /// Takes requests again for what the engine says that it holds; for nothing if it says nothing.
    pub(super) fn end_change(&self, held: Option<EngineInfo>) {
        let mut state = self.state();
        state.loads = None;
        match held {
            Some(held) => state.held = held,
            None => state.held.layers = LayerRange::new(0, 0),
        }
    }

    /// Whether the engine hangs; others are not told of it meanwhile.
    pub fn is_stuck(&self) -> bool {
        self.state().is_stuck()
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.state().table.len()
    }

    /// Ends the threads after the work in hand.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Release);
        self.ready.notify_all();
    }

    /// Offers what is open to other engines, again and again until it is gone.
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

    /// Takes a message about a request that may be open here.
    pub fn take(&self, message: &PipelineMessage) {
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

    /// Whether a request is open here.
    pub fn holds(&self, request: RequestKey) -> bool {
        self.state().table.holds(request)
    }

    /// The link to a peer closed.
    pub fn on_closed(&self, peer: SocketAddr) {
        self.change(|state, out| state.table.on_closed(peer, out));
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Changes the state, and does what comes of it. Messages are queued under the lock, so that
    /// those of one request leave in order.
    pub(super) fn change<T>(&self, change: impl FnOnce(&mut State, &mut StageOutput) -> T) -> T {
        let mut out = StageOutput::default();
        let mut state = self.state();
        let result = change(&mut state, &mut out);
        out.counts.iter().for_each(|count| self.outbox.counters().count(counted(*count)));
        self.outbox.pipeline_each(out.messages);
        let ready = !out.ready.is_empty();
        out.ready.iter().for_each(|(priority, request)| state.waiting.push(*priority, *request));
        drop(state);
        if ready {
            self.ready.notify_one();
        }
        self.call_engine(out.releases, out.exports, out.imports);
        result
    }

    fn call_engine(
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
        if leaving || state.loads.is_some() || !holds {
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
    EngineOffer { capacity, speed: state.held.speed.max(1), loads: state.loads.clone() }
}

fn counted(count: StageCount) -> Count {
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
