//! Executes orders for the engines of a daemon, one at a time per engine, once the fencing guard admits them.

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

/// An order and its sender.
type ReceivedOrder = (Peer, OrderRequest);

/// Sends orders to the thread of one engine, which executes one at a time; none is queued. The flag says whether the
/// engine has an order. Whether the thread waits at the channel does not: a newly started thread does not wait yet
/// although its engine is idle.
struct OrderSender {
    tx: Sender<ReceivedOrder>,
    has_order: Arc<AtomicBool>,
}

impl OrderSender {
    /// Sends an order to the thread, unless the engine has one. Never blocks.
    fn try_send(&self, received: ReceivedOrder) -> Result<(), OrderRefusal> {
        if self.has_order.swap(true, Ordering::AcqRel) {
            return Err(OrderRefusal::Busy);
        }
        // The thread runs until the daemon ends, so the channel does not close before.
        self.tx.try_send(received).map_err(|_| OrderRefusal::Busy)
    }
}

/// Receives orders for the engines of a daemon.
pub struct OrderDesk<L> {
    senders: HashMap<EndpointId, OrderSender>,
    outbox: Outbox<L>,
    journal: Arc<Journal>,
}

impl<L: Link> OrderDesk<L> {
    /// Starts one thread per engine.
    pub fn start<E: Engine, S: ObjectStore>(
        engines: &HashMap<EndpointId, Arc<EngineRunner<L, E>>>,
        store: Option<S>,
        outbox: Outbox<L>,
        journal: Arc<Journal>,
    ) -> OrderDesk<L> {
        let fences = Arc::new(FenceTable::new(store));
        let mut senders = HashMap::new();
        for (id, runner) in engines {
            let (tx, rx) = bounded(1);
            let has_order = Arc::new(AtomicBool::new(false));
            let worker = OrderWorker {
                has_order: has_order.clone(),
                runner: runner.clone(),
                fences: fences.clone(),
                outbox: outbox.clone(),
                journal: journal.clone(),
            };
            thread::Builder::new()
                .name("engine-orders".into())
                .spawn(move || worker.run(&rx))
                .expect("a thread can be started");
            senders.insert(id.clone(), OrderSender { tx, has_order });
        }
        OrderDesk { senders, outbox, journal }
    }

    /// Passes an order to the thread of its engine, or refuses it at once. Never blocks.
    pub fn on_order(&self, from: Peer, order: OrderRequest, leaving: bool) {
        let refusal = match self.senders.get(&order.endpoint) {
            None => OrderRefusal::NoSuchEndpoint,
            Some(_) if leaving => OrderRefusal::Leaving,
            Some(sender) => match sender.try_send((from, order.clone())) {
                Ok(()) => return,
                Err(refusal) => refusal,
            },
        };
        refuse(&self.outbox, &self.journal, from, &order, refusal);
    }
}

/// Executes the orders of one engine.
struct OrderWorker<L, E, S> {
    /// Whether an order is being executed.
    has_order: Arc<AtomicBool>,
    runner: Arc<EngineRunner<L, E>>,
    fences: Arc<FenceTable<S>>,
    outbox: Outbox<L>,
    journal: Arc<Journal>,
}

impl<L: Link, E: Engine, S: ObjectStore> OrderWorker<L, E, S> {
    fn run(&self, orders: &Receiver<ReceivedOrder>) {
        for (from, order) in orders {
            let result = self.execute(from, &order);
            // Cleared before the refusal is sent, as its receiver may send the next order at once.
            self.has_order.store(false, Ordering::Release);
            if let Err(refusal) = result {
                refuse(&self.outbox, &self.journal, from, &order, refusal);
            }
        }
    }

    fn execute(&self, from: Peer, order: &OrderRequest) -> Result<(), OrderRefusal> {
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
