//! The handle of the thread that leads models.

use crate::process::leads::Driver;
use crate::process::{ConfigAgent, Count, Counters, FleetAgent, Journal};
use crossbeam::channel::{Sender, bounded};
use sorrellock_core::process::orders::{LEAD_CALL_LIMIT, PlannerConfig};
use sorrellock_core::request::Peer;
use sorrellock_ports::api::ObjectStore;
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::OrderAnswer;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

/// Maximum number of answers queued for the lead's thread.
const ANSWER_CAPACITY: usize = 1024;

/// The parts of a daemon that the thread that leads models uses.
pub struct LeadCx<L> {
    /// The links to the daemons beside engines.
    pub link: Arc<L>,
    /// The membership agent.
    pub fleet: Arc<FleetAgent>,
    /// The configuration agent.
    pub config: Arc<ConfigAgent>,
    /// The counters of the daemon.
    pub counters: Arc<Counters>,
    /// The journal of the daemon.
    pub journal: Arc<Journal>,
    /// The settings of the planner.
    pub planner: PlannerConfig,
}

/// The handle of the thread that leads models: those for which rendezvous hashing names this daemon.
pub struct LeadAgent {
    answers: Sender<(Peer, OrderAnswer)>,
    stopped: Arc<AtomicBool>,
    counters: Arc<Counters>,
}

impl LeadAgent {
    /// Starts the thread.
    pub fn start<S: ObjectStore, L: Link>(store: S, cx: LeadCx<L>) -> Arc<LeadAgent> {
        let (tx, rx) = bounded(ANSWER_CAPACITY);
        let stopped = Arc::new(AtomicBool::new(false));
        let agent =
            LeadAgent { answers: tx, stopped: stopped.clone(), counters: cx.counters.clone() };
        let store = store.with_call_limit(LEAD_CALL_LIMIT);
        let driver = Driver::new(store, cx, rx, stopped);
        thread::Builder::new()
            .name("leads".into())
            .spawn(move || driver.run())
            .expect("a thread can be started");
        Arc::new(agent)
    }

    /// Queues the answer to an order.
    pub fn on_answer(&self, from: Peer, answer: OrderAnswer) {
        if self.answers.try_send((from, answer)).is_err() {
            self.counters.count(Count::LateAnswers);
        }
    }

    /// Makes the thread end, as the end of the process would.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }
}
