//! One instance of a plain service: a bounded queue of calls and the threads that pass them on.

use crate::beside::process::{CallQueue, Starts};
use crate::process::Count;
use sorrellock_core::process::ledger::Stamp;
use sorrellock_core::process::{EndpointFact, Role};
use sorrellock_core::request::{Peer, Refusal};
use sorrellock_ports::api::{Service, ServiceCall, ServiceError};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallEnd, CallRequest};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::ServiceEndpoint;

/// A call with the entry that sent it, and the instant at which its deadline passes.
struct Waiting {
    entry: Peer,
    call: CallRequest,
    /// Its record in the ledger, if it has one.
    stamp: Option<Stamp>,
    deadline: Instant,
}

/// One instance of a plain service.
pub struct ServiceRunner<L> {
    endpoint: ServiceEndpoint,
    threads: usize,
    queue: Arc<CallQueue<Waiting>>,
    open: Arc<AtomicU32>,
    starts: Arc<Starts<L>>,
}

impl<L: Link> ServiceRunner<L> {
    /// Starts `threads` threads, before which `queue` calls may wait.
    pub fn start<S: Service>(
        endpoint: ServiceEndpoint,
        service: S,
        threads: usize,
        queue: usize,
        starts: Arc<Starts<L>>,
    ) -> ServiceRunner<L> {
        let queue = Arc::new(CallQueue::new(queue));
        let open = Arc::new(AtomicU32::new(0));
        let service = Arc::new(service);
        for _ in 0..threads {
            let (queue, service, starts, open) =
                (queue.clone(), service.clone(), starts.clone(), open.clone());
            thread::Builder::new()
                .name("service-calls".into())
                .spawn(move || run_calls(&queue, &*service, &starts, &open))
                .expect("a thread can be started");
        }
        ServiceRunner { endpoint, threads, queue, open, starts }
    }

    /// What the daemon tells of this instance.
    pub fn fact(&self) -> EndpointFact {
        EndpointFact {
            id: self.endpoint.id.clone(),
            role: Role::Service { service: self.endpoint.service.clone() },
            load: self.open_calls(),
            slots: self.threads as u32,
            engine: None,
        }
    }

    /// How many calls wait or run.
    pub fn open_calls(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// Takes a call that may start, or refuses it at once; where the queue is full, the newest
    /// call of the lowest priority is refused in its place.
    pub fn call(&self, entry: Peer, call: CallRequest, stamp: Option<Stamp>) {
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        self.open.fetch_add(1, Ordering::AcqRel);
        let priority = call.priority;
        let waiting = Waiting { entry, call, stamp, deadline };
        let Some(refused) = self.queue.push(priority, waiting) else { return };
        self.open.fetch_sub(1, Ordering::AcqRel);
        let detail = format!("the queue of endpoint {} is full", self.endpoint.id);
        refuse(&self.starts, &refused, Refusal::Capacity, detail);
    }
}

impl<L> Drop for ServiceRunner<L> {
    fn drop(&mut self) {
        self.queue.close();
    }
}

fn run_calls<L: Link, S: Service>(
    queue: &CallQueue<Waiting>,
    service: &S,
    starts: &Starts<L>,
    open: &AtomicU32,
) {
    while let Some(waiting) = queue.pop() {
        run_call(&waiting, service, starts);
        open.fetch_sub(1, Ordering::AcqRel);
    }
}

fn run_call<L: Link, S: Service>(waiting: &Waiting, service: &S, starts: &Starts<L>) {
    let left = waiting.deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        let detail = "its deadline passed while it waited".to_owned();
        return refuse(starts, waiting, Refusal::Deadline, detail);
    }
    starts.counters().count(Count::Calls);
    let end = match service.call(&service_call(&waiting.call), left) {
        Ok(answer) => CallEnd::Done {
            status: answer.status,
            content_type: answer.content_type,
            body: answer.body,
        },
        Err(ServiceError::NotSent { detail }) => {
            CallEnd::NotRun { refusal: Refusal::Capacity, detail }
        }
        Err(ServiceError::NoAnswer { detail }) => CallEnd::Unknown { detail },
    };
    answer(starts, waiting, end);
}

fn service_call(call: &CallRequest) -> ServiceCall {
    ServiceCall {
        method: call.method.clone(),
        path: call.path.clone(),
        content_type: call.content_type.clone(),
        idempotency_key: call.idempotency_key.clone(),
        body: call.body.clone(),
    }
}

fn refuse<L: Link>(starts: &Starts<L>, waiting: &Waiting, refusal: Refusal, detail: String) {
    starts.counters().count(Count::CallsRefused);
    answer(starts, waiting, CallEnd::NotRun { refusal, detail });
}

fn answer<L: Link>(starts: &Starts<L>, waiting: &Waiting, end: CallEnd) {
    starts.end_call(waiting.entry, &waiting.call, waiting.stamp.as_ref(), end);
}
