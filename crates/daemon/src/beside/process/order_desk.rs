//! Takes orders for the engines of a daemon: one at a time for each, judged by the guard first.

use crate::beside::process::fence_table::FenceTable;
use crate::beside::process::{EngineRunner, Outbox};
use crate::process::{Count, Journal};
use crossbeam::channel::{Receiver, Sender, bounded};
use sorrellock_core::id::EndpointId;
use sorrellock_core::request::Peer;
use sorrellock_ports::api::{Engine, ObjectStore};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{
    Message, OrderAnswer, OrderMessage, OrderRefusal, OrderRequest, OrderResult,
};
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// An order, and who gave it.
type Given = (Peer, OrderRequest);

/// Where orders for one engine go. Its thread has one in hand and none waits. What tells is the flag,
/// not whether the thread waits for an order: one that has just begun doesn't yet, and its engine is
/// idle.
struct LaneInput {
    tx: Sender<Given>,
    has_order: Arc<AtomicBool>,
}

impl LaneInput {
    /// Hands an order over, unless the engine has one. Never blocks.
    fn try_give(&self, given: Given) -> Result<(), OrderRefusal> {
        if self.has_order.swap(true, Ordering::AcqRel) {
            return Err(OrderRefusal::Busy);
        }
        // The lane lives as long as its engine's daemon.
        self.tx.try_send(given).map_err(|_| OrderRefusal::Busy)
    }
}

/// Takes orders for the engines of a daemon.
pub struct OrderDesk<L> {
    lanes: HashMap<EndpointId, LaneInput>,
    outbox: Outbox<L>,
    journal: Arc<Journal>,
}

impl<L: Link> OrderDesk<L> {
    /// Starts a thread for each engine.
    pub fn start<E: Engine, S: ObjectStore>(
        engines: &HashMap<EndpointId, Arc<EngineRunner<L, E>>>,
        store: Option<S>,
        outbox: Outbox<L>,
        journal: Arc<Journal>,
    ) -> OrderDesk<L> {
        let fences = Arc::new(FenceTable::new(store));
        let mut lanes = HashMap::new();
        for (id, runner) in engines {
            let (tx, rx) = bounded(1);
            let has_order = Arc::new(AtomicBool::new(false));
            let lane = Lane {
                has_order: has_order.clone(),
                runner: runner.clone(),
                fences: fences.clone(),
                outbox: outbox.clone(),
                journal: journal.clone(),
            };
            thread::Builder::new()
                .name("engine-orders".into())
                .spawn(move || lane.run(&rx))
                .expect("a thread can be started");
            lanes.insert(id.clone(), LaneInput { tx, has_order });
        }
        OrderDesk { lanes, outbox, journal }
    }

    /// Takes an order, or refuses it at once. Never blocks.
    pub fn on_order(&self, from: Peer, order: OrderRequest, leaving: bool) {
        let refusal = match self.lanes.get(&order.endpoint) {
            None => OrderRefusal::NoSuchEndpoint,
            Some(_) if leaving => OrderRefusal::Leaving,
            Some(lane) => match lane.try_give((from, order.clone())) {
                Ok(()) => return,
                Err(refusal) => refusal,
            },
        };
        refuse(&self.outbox, &self.journal, from, &order, refusal);
    }
}

/// The orders of one engine.
struct Lane<L, E, S> {
    /// An order is in hand.
    has_order: Arc<AtomicBool>,
    runner: Arc<EngineRunner<L, E>>,
    fences: Arc<FenceTable<S>>,
    outbox: Outbox<L>,
    journal: Arc<Journal>,
}

impl<L: Link, E: Engine, S: ObjectStore> Lane<L, E, S> {
    fn run(&self, orders: &Receiver<Given>) {
        for (from, order) in orders {
            let taken = self.take(from, &order);
            // Whoever hears of the end may give the next order.
            self.has_order.store(false, Ordering::Release);
            if let Err(refusal) = taken {
                refuse(&self.outbox, &self.journal, from, &order, refusal);
            }
        }
    }

    fn take(&self, from: Peer, order: &OrderRequest) -> Result<(), OrderRefusal> {
        let admit = || self.fences.admit(&order.model, order.fence);
        admit()?;
        self.outbox.counters().count(Count::OrdersTaken);
        self.journal.note("order taken", Some(from.addr), "guard", describe(order));
        answer(&self.outbox, from, order, OrderResult::Taken);
        self.runner.change_role(order, admit)?;
        self.journal.note("order done", Some(from.addr), "engine", describe(order));
        Ok(())
    }
}

fn refuse<L: Link>(
    outbox: &Outbox<L>,
    journal: &Journal,
    to: Peer,
    order: &OrderRequest,
    refusal: OrderRefusal,
) {
    outbox.counters().count(Count::OrdersRefused);
    let cause = format!("{}: {refusal}", describe(order));
    journal.note("order refused", Some(to.addr), "guard", cause);
    answer(outbox, to, order, OrderResult::Refused(refusal));
}

fn answer<L: Link>(outbox: &Outbox<L>, to: Peer, order: &OrderRequest, result: OrderResult) {
    let (fence, endpoint) = (order.fence, order.endpoint.clone());
    let answer = OrderAnswer { fence, endpoint, result };
    outbox.send(to, Message::Order(OrderMessage::Answer(answer)));
}

fn describe(order: &OrderRequest) -> String {
    let OrderRequest { fence, model, layers, endpoint, .. } = order;
    format!("{endpoint}, layers {} to {} of {model}, number {fence}", layers.first, layers.end)
}
