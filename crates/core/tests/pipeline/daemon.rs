//! A simulated daemon with its engine: a thin shell around a stage table, like the real one.

use super::choices::Choices;
use super::engine::{SimEngine, salt};
use sorrellock_core::process::Liveness;
use sorrellock_core::request::{
    EngineResult, EngineWork, Handover, Hop, KeptBudget, KvExport, LayerRange, Outgoing, Peer,
    PipelineMessage, Refusal, RequestKey, StageOutput, StageTable, StageTrouble,
};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// Bytes kept for replay per daemon and per request; small enough to be exceeded now and then.
const KEPT_BYTES: (usize, usize) = (6_000, 3_000);
/// Maximum number of requests in one batch.
const MAX_BATCH: usize = 3;

/// An engine call other than a batch.
enum Call {
    Release(String),
    Export(KvExport),
    Import(RequestKey, String, Handover),
}

/// A simulated daemon with its engine.
pub struct SimDaemon {
    pub peer: Peer,
    pub layers: LayerRange,
    pub alive: bool,
    pub frozen: bool,
    pub liveness: Liveness,
    pub table: StageTable,
    pub budget: Arc<KeptBudget>,
    pub engine: SimEngine,
    pub diverged: usize,
    waiting: VecDeque<RequestKey>,
    in_progress: Vec<(RequestKey, EngineWork, EngineResult)>,
    calls: VecDeque<Call>,
}

impl SimDaemon {
    pub fn new(addr: SocketAddr, layers: LayerRange) -> SimDaemon {
        let budget = KeptBudget::new(KEPT_BYTES.0, KEPT_BYTES.1);
        SimDaemon {
            peer: Peer { addr, incarnation: 1 },
            layers,
            alive: true,
            frozen: false,
            liveness: Liveness::Live,
            table: StageTable::new(budget.clone()),
            budget,
            engine: SimEngine::default(),
            diverged: 0,
            waiting: VecDeque::new(),
            in_progress: Vec::new(),
            calls: VecDeque::new(),
        }
    }

    pub fn hop(&self) -> Hop {
        Hop { daemon: self.peer, endpoint: self.peer.addr.to_string(), layers: self.layers }
    }

    pub fn runs(&self) -> bool {
        self.alive && !self.frozen
    }

    /// Restarts without state, as a new incarnation.
    pub fn restart(&mut self) {
        let incarnation = self.peer.incarnation + 1;
        let diverged = self.diverged;
        *self = SimDaemon::new(self.peer.addr, self.layers);
        self.peer.incarnation = incarnation;
        self.diverged = diverged;
    }

    pub fn take(&mut self, message: &PipelineMessage, now: Instant) -> Vec<Outgoing> {
        let mut out = StageOutput::default();
        let table = &mut self.table;
        match message {
            PipelineMessage::Open(open) => {
                let leaving = self.liveness != Liveness::Live;
                let refusal = leaving.then_some(Refusal::Leaving);
                table.on_open(open.clone(), refusal, now, &mut out);
            }
            PipelineMessage::Step(step) => table.on_step(step, now, &mut out),
            PipelineMessage::Resend { request, attempt, stage, from } => {
                table.on_resend(*request, *attempt, *stage, *from, &mut out);
            }
            PipelineMessage::Probe { request, .. } => table.on_probe(*request, now, &mut out),
            PipelineMessage::AskHandover { request, attempt, since, to, .. } => {
                table.on_ask_handover(*request, *attempt, *since, *to, &mut out);
            }
            PipelineMessage::Handover { request, attempt, handover } => {
                table.on_handover(*request, *attempt, handover.clone(), &mut out);
            }
            PipelineMessage::Close { request, attempt, .. } => {
                table.on_close(*request, *attempt, &mut out);
            }
            _ => panic!("a message for an entry came to a daemon: {message:?}"),
        }
        self.absorb(out)
    }

    pub fn on_closed(&mut self, peer: SocketAddr) -> Vec<Outgoing> {
        let mut out = StageOutput::default();
        self.table.on_closed(peer, &mut out);
        self.absorb(out)
    }

    pub fn offer_handover(&mut self) -> Vec<Outgoing> {
        let mut out = StageOutput::default();
        self.table.on_leaving(&mut out);
        self.absorb(out)
    }

    pub fn expire(&mut self, now: Instant) {
        let mut out = StageOutput::default();
        self.table.expire(now, &mut out);
        self.absorb(out);
    }

    /// Makes one engine transition: starts or ends a batch, or makes a call.
    pub fn turn(
        &mut self,
        choices: &mut Choices,
        faults: bool,
        fixed: bool,
        now: Instant,
    ) -> Vec<Outgoing> {
        let mut out = StageOutput::default();
        if !self.calls.is_empty() && choices.one_in(2) {
            let call = self.calls.pop_front().expect("there is one");
            self.make_call(call, choices, faults, &mut out);
        } else if self.in_progress.is_empty() {
            self.start_batch(choices, faults, fixed);
        } else if faults && choices.one_in(200) {
            self.table.on_stuck("the engine hangs", &mut out);
        } else {
            for (request, work, result) in std::mem::take(&mut self.in_progress) {
                self.table.finish(request, &work.session, result, now, &mut out);
            }
        }
        self.absorb(out)
    }

    fn start_batch(&mut self, choices: &mut Choices, faults: bool, fixed: bool) {
        while self.in_progress.len() < MAX_BATCH {
            let Some(request) = self.waiting.pop_front() else { return };
            let Some(work) = self.table.start(request) else { continue };
            let fails = faults && choices.one_in(80);
            let ran = !fails || choices.one_in(2);
            let mut result = EngineResult::Failed("no answer".into());
            if ran {
                let salt = salt(choices, fixed);
                let given = self.engine.run(&work, salt);
                result = if fails { result } else { given };
            }
            self.in_progress.push((request, work, result));
        }
    }

    fn make_call(
        &mut self,
        call: Call,
        choices: &mut Choices,
        faults: bool,
        out: &mut StageOutput,
    ) {
        let fails = faults && choices.one_in(10);
        match call {
            Call::Release(session) => drop(self.engine.sessions.remove(&session)),
            Call::Export(export) => {
                if let Some(position) = export.truncate {
                    self.engine.truncate(&export.session, position);
                }
                let kv = self.engine.export(&export.session).filter(|_| !fails);
                self.table.on_exported(export.request, kv, out);
            }
            Call::Import(..) if faults && choices.one_in(10) => {}
            Call::Import(request, session, mut handover) => {
                let kv = std::mem::take(&mut handover.kv);
                if !fails {
                    self.engine.import(&session, &kv);
                }
                let result = if fails { Err("no room".to_owned()) } else { Ok(handover) };
                self.table.on_imported(request, &session, result, out);
            }
        }
    }

    fn absorb(&mut self, out: StageOutput) -> Vec<Outgoing> {
        self.waiting.extend(out.ready.into_iter().map(|(_, request)| request));
        self.calls.extend(out.releases.into_iter().map(Call::Release));
        self.calls.extend(out.exports.into_iter().map(Call::Export));
        let imports = out.imports.into_iter();
        self.calls.extend(imports.map(|(request, session, kv)| Call::Import(request, session, kv)));
        let diverged = |outgoing: &&Outgoing| {
            let trouble = StageTrouble::Diverged;
            matches!(&outgoing.message, PipelineMessage::Trouble { trouble: t, .. } if *t == trouble)
        };
        self.diverged += out.messages.iter().filter(diverged).count();
        out.messages
    }
}
