//! How a stand-in service answers.

use crate::process::{
    Latch, RanCall, Scheduler, ServiceConfig, ServiceCounters, ServiceRecord, count, take_one,
};
use serde::Serialize;
use sorrellock_http::Request;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// The state of a stand-in service.
#[derive(Debug)]
pub(crate) struct ServiceState {
    pub(crate) counters: ServiceCounters,
    pub(crate) scheduler: Scheduler<Box<Request>>,
    pub(crate) latch: Latch,
    pub(crate) record: Mutex<ServiceRecord>,
    pub(crate) refuse: AtomicU64,
    pub(crate) lose_answers: AtomicU64,
    name: String,
    latency_us: AtomicU64,
}

/// The answer to a call: what came in, and the number of the run.
#[derive(Debug, Serialize)]
struct Echo<'a> {
    service: &'a str,
    method: &'a str,
    path: &'a str,
    idempotency_key: Option<&'a str>,
    body: String,
    run: u64,
}

impl ServiceState {
    pub(crate) fn new(cfg: &ServiceConfig, scheduler: Scheduler<Box<Request>>) -> ServiceState {
        ServiceState {
            counters: ServiceCounters::default(),
            scheduler,
            latch: Latch::default(),
            record: Mutex::default(),
            refuse: AtomicU64::new(0),
            lose_answers: AtomicU64::new(0),
            name: cfg.name.clone(),
            latency_us: AtomicU64::new(cfg.latency.as_micros() as u64),
        }
    }

    pub(crate) fn set_latency(&self, latency: Duration) {
        self.latency_us.store(latency.as_micros() as u64, Ordering::Release);
    }

    /// Takes a call in.
    pub(crate) fn arrive(&self, req: Request) {
        count(&self.counters.arrived);
        let Some(req) = self.latch.pass(req, &self.counters.cut) else { return };
        self.start(req);
    }

    /// Refuses a call, or runs it once its latency is over.
    pub(crate) fn start(&self, req: Request) {
        if take_one(&self.refuse) {
            count(&self.counters.refused);
            return req.responder.send(503, &[("retry-after", "1")], "refused, not run");
        }
        let latency = Duration::from_micros(self.latency_us.load(Ordering::Acquire));
        if latency.is_zero() {
            return self.run(req);
        }
        self.scheduler.schedule(Instant::now() + latency, Box::new(req));
    }

    /// Runs a call and answers it.
    pub(crate) fn run(&self, req: Request) {
        let run = self.note(&req);
        count(&self.counters.ran);
        if take_one(&self.lose_answers) {
            count(&self.counters.answers_lost);
            return req.responder.abort();
        }
        let echo = Echo {
            service: &self.name,
            method: req.method.as_str(),
            path: &req.path,
            idempotency_key: req.header("idempotency-key"),
            body: String::from_utf8_lossy(&req.body).into_owned(),
            run,
        };
        let body = serde_json::to_vec(&echo).expect("an echo is JSON");
        req.responder.send(200, &[("content-type", "application/json")], body);
    }

    fn note(&self, req: &Request) -> u64 {
        let call = RanCall {
            method: req.method.to_string(),
            path: req.path.clone(),
            idempotency_key: req.header("idempotency-key").map(str::to_owned),
            body_hash: xxh3_64(&req.body),
            run: 0,
        };
        self.record.lock().expect("no panic holds this lock").add(call)
    }
}
