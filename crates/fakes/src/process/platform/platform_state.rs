//! How the stand-in platform answers.

use super::calls::INSTANCES_PATH;
use crate::process::{
    Instances, Knobs, Outage, PlatformCounters, Scheduler, Store, WATCH_PATH, Watches, count,
};
use sorrellock_core::id::Revision;
use sorrellock_http::{Request, Responder};
use sorrellock_ports::api::{Instance, Listing};
use sorrellock_ports::client::format::RETRY_AFTER;
use std::sync::atomic::Ordering::Acquire;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// Calls that an outage holds back; more are cut off at once.
const MAX_HELD: usize = 16_384;
pub(crate) const JSON: (&str, &str) = ("content-type", "application/json");

/// What is to be done later.
#[derive(Debug)]
pub(crate) enum Event {
    /// A call whose latency is over.
    Call(Box<Request>),
    /// The wait of a watch may be over.
    WatchesDue(Instant),
    /// An outage may begin or end.
    OutageEdge,
}

/// The state of a stand-in platform.
#[derive(Debug)]
pub(crate) struct PlatformState {
    pub(crate) knobs: Knobs,
    pub(crate) counters: PlatformCounters,
    pub(crate) scheduler: Scheduler<Event>,
    data: Mutex<Data>,
}

/// What one lock guards, so that no watch misses a write.
#[derive(Debug, Default)]
pub(crate) struct Data {
    pub(crate) store: Store,
    pub(crate) old_copy: Option<Store>,
    pub(crate) instances: Instances,
    pub(crate) watches: Watches,
    held: Vec<Responder>,
}

impl PlatformState {
    pub(crate) fn new(knobs: Knobs, scheduler: Scheduler<Event>) -> PlatformState {
        let counters = PlatformCounters::default();
        PlatformState { knobs, counters, scheduler, data: Mutex::default() }
    }

    pub(crate) fn data(&self) -> MutexGuard<'_, Data> {
        self.data.lock().expect("no panic holds this lock")
    }

    /// Takes a call in.
    pub(crate) fn arrive(self: &Arc<Self>, req: Request) {
        let latency = self.knobs.latency();
        if latency.is_zero() {
            return self.answer(req);
        }
        self.scheduler.schedule(Instant::now() + latency, Event::Call(Box::new(req)));
    }

    /// Does what has come due.
    pub(crate) fn on_event(self: &Arc<Self>, event: Event) {
        match event {
            Event::Call(req) => self.answer(*req),
            Event::WatchesDue(at) => self.end_watches(at),
            Event::OutageEdge => self.on_outage_edge(),
        }
    }

    /// Answers what an outage that began cuts off, or lets go of what one that ended held.
    pub(crate) fn on_outage_edge(&self) {
        let outage = self.knobs.outage();
        if outage == Outage::None {
            let held = std::mem::take(&mut self.data().held);
            held.into_iter().for_each(Responder::abort);
            return;
        }
        let watches = self.data().watches.take_all();
        for responder in watches {
            self.refuse_or_hold(responder, outage);
        }
    }

    /// Sets the list of instances, to be shown after the lag.
    pub(crate) fn show_instances(&self, instances: Vec<Instance>) {
        if self.data().instances.set(instances) {
            count(&self.counters.lists_dropped);
        }
    }

    /// Writes without a condition, as a test may.
    pub(crate) fn write(&self, key: &str, value: &[u8]) -> Revision {
        let mut data = self.data();
        let revision = data.store.write(key, value);
        wake(data, key);
        revision
    }

    /// Deletes without a condition, as a test may.
    pub(crate) fn erase(&self, key: &str) -> bool {
        let mut data = self.data();
        let version = data.store.version(key);
        let deleted = data.store.delete(key, version).is_ok();
        wake(data, key);
        deleted
    }

    fn answer(self: &Arc<Self>, req: Request) {
        let outage = self.knobs.outage();
        let stays = req.path_only() == INSTANCES_PATH && self.knobs.list_stays.load(Acquire);
        if outage != Outage::None && !stays {
            count(&self.counters.out);
            return self.refuse_or_hold(req.responder, outage);
        }
        let is_write = req.method != "GET";
        let limit = if is_write { &self.knobs.writes } else { &self.knobs.reads };
        if !limit.take() {
            count(&self.counters.rate_limited);
            return req.responder.send(429, &[(RETRY_AFTER, "1")], "too many calls");
        }
        if req.path_only() == WATCH_PATH {
            return self.watch(req);
        }
        let reply = self.reply(&req);
        reply.send(req.responder);
    }

    fn refuse_or_hold(&self, responder: Responder, outage: Outage) {
        if outage == Outage::Refuse {
            return responder.send(503, &[(RETRY_AFTER, "1")], "the store is down");
        }
        let mut data = self.data();
        if data.held.len() < MAX_HELD {
            return data.held.push(responder);
        }
        drop(data);
        count(&self.counters.cut);
        responder.abort();
    }
}

/// Answers the watches that a change of `key` ends.
pub(crate) fn wake(mut data: MutexGuard<'_, Data>, key: &str) {
    let inner = &mut *data;
    let woken = inner.watches.woken_by(key, &inner.store);
    drop(data);
    for (responder, listing) in woken {
        send_listing(responder, &listing);
    }
}

pub(crate) fn send_listing(responder: Responder, listing: &Listing) {
    let body = serde_json::to_vec(listing).expect("a listing is JSON");
    responder.send(200, &[JSON], body);
}
