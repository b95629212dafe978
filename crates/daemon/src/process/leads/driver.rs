//! The thread that leads: elections, a plan, and its orders.

use crate::process::leads::model_lead::LeadChange;
use crate::process::leads::{EngineTable, LeadCx, ModelLead};
use crate::process::{ConfigAgent, Count};
use crossbeam::channel::Receiver;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::{Fence, ModelId};
use sorrellock_core::process::membership::{MembershipView, rendezvous};
use sorrellock_core::process::orders::{Demand, Move, OrderBook, Planner};
use sorrellock_core::request::Peer;
use sorrellock_ports::api::ObjectStore;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{Message, OrderAnswer, OrderMessage, OrderRequest, OrderResult};
use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How often the members are looked at and a plan is made.
const INTERVAL: Duration = Duration::from_millis(500);

/// How long a daemon that starts leads nothing: alone, as it is at first, it would be named for all.
const START_WAIT: Duration = Duration::from_secs(3);

/// The thread that leads.
pub(super) struct Driver<S, L> {
    store: S,
    cx: LeadCx<L>,
    answers: Receiver<(Peer, OrderAnswer)>,
    stopped: Arc<AtomicBool>,
    leads: BTreeMap<ModelId, ModelLead>,
    planner: Planner<SystemClock>,
    book: OrderBook<SystemClock>,
}

impl<S: ObjectStore, L: Link> Driver<S, L> {
    pub(super) fn new(
        store: S,
        cx: LeadCx<L>,
        answers: Receiver<(Peer, OrderAnswer)>,
        stopped: Arc<AtomicBool>,
    ) -> Driver<S, L> {
        let planner = Planner::new(SystemClock, cx.planner);
        let book = OrderBook::new(SystemClock);
        Driver { store, cx, answers, stopped, leads: BTreeMap::new(), planner, book }
    }

    pub(super) fn run(mut self) {
        let mut next = Instant::now() + START_WAIT;
        while !self.stopped.load(Ordering::Acquire) {
            match self.answers.recv_deadline(next) {
                Ok((from, answer)) => self.on_answer(from, &answer),
                Err(_) => {
                    self.look();
                    next = Instant::now() + INTERVAL;
                }
            }
        }
    }

    fn look(&mut self) {
        if !self.cx.config.is_ready() {
            return;
        }
        let demands = demands(&self.cx.config);
        let members = self.cx.fleet.view();
        self.elect(&members, &demands);
        let mut engines = EngineTable::new(&members, &demands);
        self.book.apply(&mut engines.slots);
        if self.leads.values().all(|lead| lead.order_fence().is_none()) {
            return self.planner.observe(&engines.slots);
        }
        for order in self.planner.plan(&engines.slots, &demands) {
            self.give(&engines, &order);
        }
    }

    fn elect(&mut self, members: &MembershipView, demands: &[Demand]) {
        let me = self.cx.fleet.me();
        self.leads.retain(|model, _| demands.iter().any(|demand| demand.model == *model));
        for Demand { model, .. } in demands {
            let lead = self.leads.entry(model.clone());
            let lead = lead.or_insert_with(|| ModelLead::new(model, me.incarnation));
            let live = members.live().map(|fact| fact.peer.incarnation);
            let named = rendezvous(model.as_bytes(), live) == Some(me.incarnation);
            match lead.drive(&self.store, named) {
                Some(LeadChange::Taken(fence)) => {
                    self.cx.counters.count(Count::LeadsTaken);
                    let cause = format!("of model {model}, fencing number {fence}");
                    self.cx.journal.note("lead taken", None, "election", cause);
                }
                Some(LeadChange::Lost(fence)) => {
                    let cause = format!("of model {model}, fencing number was {fence}");
                    self.cx.journal.note("lead lost", None, "election", cause);
                }
                None => {}
            }
        }
    }

    /// Gives an order, if this daemon leads its model; another lead makes the same plan.
    fn give(&mut self, engines: &EngineTable, order: &Move) {
        let fence = self.leads.get(&order.to.model).and_then(ModelLead::order_fence);
        let (Some(fence), Some(daemon)) = (fence, engines.daemon(&order.endpoint)) else { return };
        self.book.on_given(order);
        self.cx.counters.count(Count::OrdersGiven);
        let cause = format!("{} is to hold {}, fencing number {fence}", order.endpoint, order.to);
        self.cx.journal.note("order given", Some(daemon.addr), "plan", cause);
        let message = Message::Order(OrderMessage::Order(request(order, fence)));
        if self.cx.link.send(daemon, message).is_err() {
            self.cx.counters.count(Count::SendsRefused);
        }
    }

    fn on_answer(&mut self, from: Peer, answer: &OrderAnswer) {
        match &answer.result {
            OrderResult::Taken => self.book.on_taken(&answer.endpoint),
            OrderResult::Refused(refusal) => {
                self.book.on_refused(&answer.endpoint);
                let cause = format!("{}: {refusal}", answer.endpoint);
                self.cx.journal.note("order refused there", Some(from.addr), "answer", cause);
            }
        }
    }
}

fn request(order: &Move, fence: Fence) -> OrderRequest {
    OrderRequest {
        fence,
        model: order.to.model.clone(),
        layers: order.to.layers,
        adapter: None,
        version: String::new(),
        endpoint: order.endpoint.clone(),
    }
}

/// What the pipelines need whose engines get orders; of two that share a model, the first counts.
fn demands(config: &ConfigAgent) -> Vec<Demand> {
    let mut demands: Vec<Demand> = Vec::new();
    for pipeline in config.view().pipelines().iter().filter(|pipeline| pipeline.stages > 0) {
        if demands.iter().any(|demand| demand.model == pipeline.model) {
            continue;
        }
        let share = f64::from(pipeline.share);
        let (model, layers) = (pipeline.model.clone(), pipeline.layers);
        demands.push(Demand::new(model, layers, pipeline.stages, share));
    }
    demands
}
