//! The thread that leads models: it takes part in elections, plans, and sends orders.

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

/// Interval at which the members are read and a plan is made.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);

/// How long a daemon leads nothing after its start. At first it knows no other member, so rendezvous
/// hashing would name it the lead of every model.
const START_WAIT: Duration = Duration::from_secs(3);

/// The state of the thread that leads models.
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
                    self.replan();
                    next = Instant::now() + PLAN_INTERVAL;
                }
            }
        }
    }

    fn replan(&mut self) {
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
            self.send_order(&engines, &order);
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

    /// Sends an order if this daemon leads its model. For other models, their leads make the same plan.
    fn send_order(&mut self, engines: &EngineTable, order: &Move) {
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

/// Returns the demands of the pipelines whose engines get orders. Of pipelines that share a model,
/// the first counts.
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
