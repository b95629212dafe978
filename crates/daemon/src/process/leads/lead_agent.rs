//! The handle of a daemon's part in leading models.

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

/// Answers that wait for the lead's thread.
const ANSWERS: usize = 1024;

/// What a daemon's part in leading models works with.
pub struct LeadCx<L> {
    /// The links to the daemons beside engines.
    pub link: Arc<L>,
    /// The members.
    pub fleet: Arc<FleetAgent>,
    /// The configuration in force.
    pub config: Arc<ConfigAgent>,
    /// The counters of the daemon.
    pub counters: Arc<Counters>,
    /// The journal of the daemon.
    pub journal: Arc<Journal>,
    /// How orders are planned.
    pub planner: PlannerConfig,
}

/// A daemon's part in leading models: it leads those for which rendezvous hashing names it.
pub struct LeadAgent {
    answers: Sender<(Peer, OrderAnswer)>,
    stopped: Arc<AtomicBool>,
    counters: Arc<Counters>,
}

impl LeadAgent {
    /// Starts the thread.
    pub fn start<S: ObjectStore, L: Link>(store: S, cx: LeadCx<L>) -> Arc<LeadAgent> {
        let (tx, rx) = bounded(ANSWERS);
        let stopped = Arc::new(AtomicBool::new(false));
        let desk =
            LeadAgent { answers: tx, stopped: stopped.clone(), counters: cx.counters.clone() };
        let store = store.with_call_limit(LEAD_CALL_LIMIT);
        let driver = Driver::new(store, cx, rx, stopped);
        thread::Builder::new()
            .name("leads".into())
            .spawn(move || driver.run())
            .expect("a thread can be started");
        Arc::new(desk)
    }

    /// Takes the answer to an order.
    pub fn on_answer(&self, from: Peer, answer: OrderAnswer) {
        if self.answers.try_send((from, answer)).is_err() {
            self.counters.count(Count::LateAnswers);
        }
    }

    /// Ends the thread, as the end of the process does.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
    }
}
