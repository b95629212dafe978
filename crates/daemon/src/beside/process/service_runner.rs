//! Runner of one instance of a plain service: a bounded queue of calls, and the threads that make them.

use crate::beside::process::{CallQueue, StartRegistry};
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

/// A queued call, with the entry that sent it and the time of its deadline.
struct QueuedCall {
    entry: Peer,
    call: CallRequest,
    /// Record of the call in the ledger, if it has one.
    stamp: Option<Stamp>,
    deadline: Instant,
}

/// Runner of one instance of a plain service.
pub struct ServiceRunner<L> {
    endpoint: ServiceEndpoint,
    threads: usize,
    queue: Arc<CallQueue<QueuedCall>>,
    open: Arc<AtomicU32>,
    starts: Arc<StartRegistry<L>>,
}

impl<L: Link> ServiceRunner<L> {
    /// Starts `threads` threads with a queue for at most `queue` calls.
    pub fn start<S: Service>(
        endpoint: ServiceEndpoint,
        service: S,
        threads: usize,
        queue: usize,
        starts: Arc<StartRegistry<L>>,
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

    /// Returns what the daemon announces about this instance.
    pub fn fact(&self) -> EndpointFact {
        EndpointFact {
            id: self.endpoint.id.clone(),
            role: Role::Service { service: self.endpoint.service.clone() },
            load: self.open_calls(),
            slots: self.threads as u32,
            engine: None,
        }
    }

    /// Returns the number of queued and running calls.
    pub fn open_calls(&self) -> u32 {
        self.open.load(Ordering::Acquire)
    }

    /// Queues a call that may start. If the queue is full, the newest call of the lowest priority is refused,
    /// which may be this one.
    pub fn call(&self, entry: Peer, call: CallRequest, stamp: Option<Stamp>) {
        let deadline = Instant::now() + Duration::from_millis(call.deadline_ms);
        self.open.fetch_add(1, Ordering::AcqRel);
        let priority = call.priority;
        let queued = QueuedCall { entry, call, stamp, deadline };
        let Some(refused) = self.queue.push(priority, queued) else { return };
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
    queue: &CallQueue<QueuedCall>,
    service: &S,
    starts: &StartRegistry<L>,
    open: &AtomicU32,
) {
    while let Some(queued) = queue.pop() {
        run_call(&queued, service, starts);
        open.fetch_sub(1, Ordering::AcqRel);
    }
}

fn run_call<L: Link, S: Service>(queued: &QueuedCall, service: &S, starts: &StartRegistry<L>) {
    let left = queued.deadline.saturating_duration_since(Instant::now());
    if left.is_zero() {
        let detail = "its deadline passed while it waited".to_owned();
        return refuse(starts, queued, Refusal::Deadline, detail);
    }
    starts.counters().count(Count::Calls);
    let end = match service.call(&service_call(&queued.call), left) {
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
    answer(starts, queued, end);
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

fn refuse<L: Link>(
    starts: &StartRegistry<L>,
    queued: &QueuedCall,
    refusal: Refusal,
    detail: String,
) {
    starts.counters().count(Count::CallsRefused);
    answer(starts, queued, CallEnd::NotRun { refusal, detail });
}

fn answer<L: Link>(starts: &StartRegistry<L>, queued: &QueuedCall, end: CallEnd) {
    starts.end_call(queued.entry, &queued.call, queued.stamp.as_ref(), end);
}
