//! Dispatches messages from other processes to the endpoints of this daemon.

use crate::beside::process::{EngineRunner, OrderDesk, Outbox, ServiceRunner, StartRegistry};
use crate::process::leads::LeadAgent;
use crate::process::ledger::{LedgerHolders, LinkSink};
use crate::process::{ConfigAgent, Count, FleetAgent};
use sorrellock_core::id::{EndpointId, Incarnation};
use sorrellock_core::process::EndpointFact;
use sorrellock_core::process::ledger::{Claim, ClaimAnswer, SeenVerdict, Stamp};
use sorrellock_core::request::{KeptBudget, Peer, Refusal};
use sorrellock_ports::api::Engine;
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_wire::connection::{Link, LinkHandler};
use sorrellock_wire::message::{
    CallEnd, CallMessage, CallRequest, LedgerMessage, Message, Open, OrderMessage, PipelineMessage,
    StageTrouble,
};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Retry delay for claims at a daemon that was started without the platform.
const NO_LEDGER_RETRY_MS: u64 = 10_000;

/// Ledger shards held by a daemon that runs next to endpoints.
pub(super) type BesideLedger<L> = LedgerHolders<HttpObjectStore, LinkSink<L>>;

/// Message handler of a daemon: its endpoints and its process-wide parts.
pub struct BesideHandler<L, E> {
    pub(super) me: Peer,
    pub(super) engines: HashMap<EndpointId, Arc<EngineRunner<L, E>>>,
    pub(super) kept: Arc<KeptBudget>,
    pub(super) services: HashMap<EndpointId, ServiceRunner<L>>,
    pub(super) starts: Arc<StartRegistry<L>>,
    pub(super) ledger: Option<BesideLedger<L>>,
    pub(super) outbox: Outbox<L>,
    pub(super) leaving: AtomicBool,
    pub(super) agent: Arc<FleetAgent>,
    pub(super) config: Arc<ConfigAgent>,
    pub(super) orders: OrderDesk<L>,
    pub(super) leads: Option<Arc<LeadAgent>>,
}

impl<L: Link, E: Engine> BesideHandler<L, E> {
    /// Returns the endpoints that the daemon announces. Stuck engines are left out.
    pub fn endpoints(&self) -> Vec<EndpointFact> {
        let healthy = self.engines.values().filter(|engine| !engine.is_stuck());
        let engines = healthy.map(|engine| engine.fact());
        let services = self.services.values().map(|service| service.fact());
        let mut endpoints: Vec<_> = engines.chain(services).collect();
        endpoints.sort_by(|a, b| a.id.cmp(&b.id));
        endpoints
    }

    /// Returns whether the daemon is leaving and refuses new work.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Acquire)
    }

    /// Returns the number of open requests and calls.
    pub fn open_work(&self) -> usize {
        let requests: usize = self.engines.values().map(|engine| engine.open_requests()).sum();
        let calls: u32 = self.services.values().map(|service| service.open_calls()).sum();
        requests + calls as usize
    }

    fn on_pipeline(&self, message: PipelineMessage) {
        match message {
            PipelineMessage::Open(open) => self.on_open(open),
            PipelineMessage::Token(_)
            | PipelineMessage::Trouble { .. }
            | PipelineMessage::Progress { .. } => self.outbox.counters().count(Count::LateAnswers),
            message => self.dispatch_to_engines(&message),
        }
    }

    /// Passes a message to the engines of its request. A route may pass several engines of one daemon; each handles the
    /// messages for its own stage.
    fn dispatch_to_engines(&self, message: &PipelineMessage) {
        let request = message.request();
        let close =
            matches!(message, PipelineMessage::Close { .. } | PipelineMessage::AskHandover { .. });
        let mut known = false;
        for runner in self.engines.values().filter(|runner| close || runner.holds(request)) {
            runner.on_message(message);
            known = true;
        }
        if !known {
            self.outbox.counters().count(Count::StepsStale);
        }
    }

    fn on_open(&self, open: Open) {
        let hop = open.route.hops.get(usize::from(open.stage));
        let runner = hop.and_then(|hop| self.engines.get(&hop.endpoint));
        let Some(runner) = runner else {
            let (request, attempt, stage) = (open.request, open.attempt, open.stage);
            let trouble = StageTrouble::Refused(Refusal::BadRequest);
            let detail = format!("stage {stage}: no such endpoint at {}", self.me.addr);
            let message = PipelineMessage::Trouble { request, attempt, stage, trouble, detail };
            return self.outbox.pipeline(open.entry, message);
        };
        runner.open(open, self.is_leaving());
    }

    fn on_call(&self, from: Peer, message: CallMessage) {
        match message {
            CallMessage::Request(call) => self.on_call_request(from, call),
            CallMessage::Cancel { .. } => {}
            CallMessage::End { .. } => self.outbox.counters().count(Count::LateAnswers),
        }
    }

    fn on_call_request(&self, from: Peer, call: CallRequest) {
        match self.starts.record_call(&call) {
            SeenVerdict::New => self.dispatch_call(from, call, None),
            SeenVerdict::Repeated => {}
            SeenVerdict::Forgotten => {
                let detail = "whether it came before is remembered no longer".to_owned();
                self.starts.end_call(from, &call, None, CallEnd::Unknown { detail });
            }
        }
    }

    /// Passes a call that may start to its service, or refuses it.
    fn dispatch_call(&self, from: Peer, call: CallRequest, stamp: Option<Stamp>) {
        let service = self.services.get(&call.endpoint);
        let refusal = match service {
            Some(service) if !self.is_leaving() => return service.call(from, call, stamp),
            Some(_) => Refusal::Leaving,
            None => Refusal::BadRequest,
        };
        self.outbox.counters().count(Count::CallsRefused);
        let detail = format!("{} takes no call for {}", self.me.addr, call.endpoint);
        let end = CallEnd::NotRun { refusal, detail };
        self.starts.end_call(from, &call, stamp.as_ref(), end);
    }

    fn refuse_claim(&self, from: Peer, claim: &Claim) {
        let detail = format!("{} keeps no ledger; start it with --platform", self.me.addr);
        let answer =
            ClaimAnswer::Refused { store_down: true, detail, retry_after_ms: NO_LEDGER_RETRY_MS };
        let (owner, after) = (claim.owner, claim.after);
        let message = LedgerMessage::Answer { owner, after, answer };
        self.outbox.send(from, Message::Ledger(message));
    }

    fn on_ledger(&self, from: Peer, message: LedgerMessage) {
        match message {
            LedgerMessage::Claim(claim) => match &self.ledger {
                Some(ledger) => ledger.claim(from, claim),
                None => self.refuse_claim(from, &claim),
            },
            LedgerMessage::Run { stamp, call } => {
                if self.starts.start(from, call.request, &stamp) {
                    self.dispatch_call(from, call, Some(stamp));
                }
            }
            LedgerMessage::Begin { owner, stamp } => {
                self.starts.begin(from, owner, stamp, self.is_leaving());
            }
            LedgerMessage::Ended { stamp, end } => self.starts.on_ended(&stamp, end),
            LedgerMessage::Ask { owner, stamp, fence } => {
                self.starts.on_query(from, owner, stamp, fence);
            }
            LedgerMessage::Answer { .. }
            | LedgerMessage::End { .. }
            | LedgerMessage::Told { .. }
            | LedgerMessage::Gone { .. } => self.outbox.counters().count(Count::LateAnswers),
        }
    }

    fn on_misdirected(&self, from: Peer, message: Message) {
        self.outbox.counters().count(Count::Misdirected);
        match message {
            Message::Call(CallMessage::Request(call)) => {
                let detail = format!("{} was restarted", self.me.addr);
                let end = CallEnd::NotRun { refusal: Refusal::Superseded, detail };
                self.starts.end_call(from, &call, None, end);
            }
            Message::Ledger(message) => self.starts.on_misdirected(from, message),
            _ => {}
        }
    }
}

impl<L: Link, E: Engine> LinkHandler for BesideHandler<L, E> {
    fn on_message(&self, from: Peer, to: Incarnation, message: Message) {
        if to != 0 && to != self.me.incarnation {
            return self.on_misdirected(from, message);
        }
        match message {
            Message::Pipeline(message) => self.on_pipeline(message),
            Message::Call(message) => self.on_call(from, message),
            Message::Ledger(message) => self.on_ledger(from, message),
            Message::Fleet(message) => self.agent.on_message(from, message),
            Message::Config(message) => self.config.on_message(from, message),
            Message::Grant(_) => self.outbox.counters().count(Count::Misdirected),
            Message::Order(OrderMessage::Order(order)) => {
                self.orders.on_order(from, order, self.is_leaving());
            }
            Message::Order(OrderMessage::Answer(answer)) => {
                self.leads.iter().for_each(|leads| leads.on_answer(from, answer.clone()));
            }
        }
    }

    fn on_closed(&self, peer: SocketAddr) {
        self.starts.on_closed(peer);
        self.agent.on_closed(peer);
        self.engines.values().for_each(|runner| runner.on_closed(peer));
    }
}
