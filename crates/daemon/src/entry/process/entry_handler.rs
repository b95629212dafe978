//! Dispatches messages from other processes to the components that handle them.

use crate::entry::process::{Calls, FleetCell, Gate, LimitDesk, Pipelines};
use crate::process::leads::LeadAgent;
use crate::process::ledger::{LedgerHolders, LinkSink};
use crate::process::{ConfigAgent, Count, Counters, FleetAgent, Journal};
use sorrellock_core::id::Incarnation;
use sorrellock_core::request::Peer;
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_wire::connection::{Link, LinkHandler};
use sorrellock_wire::message::{
    CallMessage, GrantMessage, LedgerMessage, Message, OrderMessage, PipelineMessage,
};
use std::net::SocketAddr;
use std::sync::Arc;

/// Holds the ledger shards kept by an entry.
pub(super) type EntryLedger<L> = LedgerHolders<HttpObjectStore, LinkSink<L>>;

/// Dispatches messages from other processes to the components that handle them.
pub struct EntryHandler<L> {
    pub(super) me: Peer,
    pub(super) pipelines: Arc<Pipelines<L>>,
    pub(super) calls: Arc<Calls<L>>,
    pub(super) holders: Arc<EntryLedger<L>>,
    pub(super) gate: Arc<Gate<L>>,
    pub(super) limits: Arc<LimitDesk<L>>,
    pub(super) fleet: Arc<FleetCell>,
    pub(super) agent: Arc<FleetAgent>,
    pub(super) config: Arc<ConfigAgent>,
    pub(super) counters: Arc<Counters>,
    pub(super) journal: Arc<Journal>,
    pub(super) leads: Arc<LeadAgent>,
}

impl<L: Link> EntryHandler<L> {
    fn on_pipeline(&self, message: PipelineMessage) {
        match message {
            PipelineMessage::Token(out) => self.pipelines.on_token(&out),
            PipelineMessage::Trouble { request, attempt, stage, trouble, detail } => {
                self.pipelines.on_trouble(request, attempt, stage, trouble, &detail);
            }
            PipelineMessage::Resend { request, attempt, from, .. } => {
                self.pipelines.on_resend(request, attempt, from);
            }
            PipelineMessage::Progress { request, attempt, progress } => {
                self.pipelines.on_progress(request, attempt, &progress);
            }
            _ => self.counters.count(Count::Misdirected),
        }
    }
}

impl<L: Link> EntryHandler<L> {
    fn on_ledger(&self, from: Peer, message: LedgerMessage) {
        match message {
            LedgerMessage::Claim(claim) => self.holders.claim(from, claim),
            message if self.calls.on_ledger(&message) => {}
            _ => self.counters.count(Count::LateAnswers),
        }
    }
}

impl<L: Link> LinkHandler for EntryHandler<L> {
    fn on_message(&self, from: Peer, to: Incarnation, message: Message) {
        self.fleet.on_contact(from.addr);
        if to != 0 && to != self.me.incarnation {
            return self.counters.count(Count::Misdirected);
        }
        match message {
            Message::Pipeline(message) => self.on_pipeline(message),
            Message::Call(CallMessage::End { request, attempt, end }) => {
                self.calls.on_end(request, attempt, end);
            }
            Message::Call(_) => self.counters.count(Count::Misdirected),
            Message::Ledger(message) => self.on_ledger(from, message),
            Message::Fleet(message) => self.agent.on_message(from, message),
            Message::Config(message) => self.config.on_message(from, message),
            Message::Grant(GrantMessage::Ask(ask)) => self.limits.on_ask(from, &ask),
            Message::Grant(GrantMessage::Grant(grant)) => {
                self.gate.on_grant(from.incarnation, &grant);
            }
            Message::Order(OrderMessage::Answer(answer)) => self.leads.on_answer(from, answer),
            Message::Order(_) => self.counters.count(Count::Misdirected),
        }
    }

    fn on_closed(&self, peer: SocketAddr) {
        self.agent.on_closed(peer);
        if self.fleet.avoid(peer) {
            self.journal.note("instance avoided", Some(peer), "link", "its link closed");
        }
        self.pipelines.on_closed(peer);
        self.calls.on_closed(peer);
    }
}
