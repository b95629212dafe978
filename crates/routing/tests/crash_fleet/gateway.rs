//! One gateway: its guard, its runs, and whether it takes part.

use super::store::Store;
use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::{
    CrashDigest, CrashGuard, CrashReports, HeldRequest, HeldSource, HeldSync, RunId, RunRequest,
    UnixMillis,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A run of a request at an engine.
pub struct Run {
    pub request: Rc<RunRequest>,
    pub engine: usize,
    pub ends: Instant,
    pub next_event: Instant,
    /// The engine that ended under it.
    pub broken: Option<Incarnation>,
    /// Sends of this attempt of its caller, this one included.
    pub sends: u32,
}

/// What a gateway sends to the others.
#[derive(Clone)]
pub struct Message {
    pub from: usize,
    pub reports: CrashReports,
    pub digest: CrashDigest,
}

/// One gateway.
pub struct Gateway {
    pub name: String,
    pub guard: CrashGuard,
    pub sync: HeldSync,
    pub runs: BTreeMap<RunId, Run>,
    /// Requests that it sends later, with the number of their sends by then.
    pub waiting: Vec<(Instant, Rc<RunRequest>, u32)>,
    /// The others that it heard of, when last, and the summary of their records.
    pub peers: BTreeMap<usize, (Instant, CrashDigest)>,
    /// It does nothing until then.
    pub frozen_until: Instant,
    /// Nothing passes between it and the others or the store until then.
    pub cut_until: Instant,
    /// Nothing passes between it and the others until then; it reaches the store.
    pub parted_until: Instant,
    /// It has found something that the others don't know yet.
    pub is_urgent: bool,
    /// The end of its last disturbance.
    pub calm_since: Instant,
}

/// Time without a message after which another gateway counts as gone.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Gateway {
    pub fn new(index: usize, now: Instant) -> Gateway {
        Gateway {
            name: format!("gateway-{index}"),
            guard: CrashGuard::default(),
            sync: HeldSync::default(),
            runs: BTreeMap::new(),
            waiting: Vec::new(),
            peers: BTreeMap::new(),
            frozen_until: now,
            cut_until: now,
            parted_until: now,
            is_urgent: false,
            calm_since: now,
        }
    }

    pub fn is_frozen(&self, now: Instant) -> bool {
        self.frozen_until > now
    }

    pub fn is_cut(&self, now: Instant) -> bool {
        self.cut_until > now
    }

    /// Whether messages pass between it and the others.
    pub fn hears_others(&self, now: Instant) -> bool {
        !self.is_frozen(now) && !self.is_cut(now) && self.parted_until <= now
    }

    pub fn disturb_until(&mut self, until: Instant) {
        self.calm_since = self.calm_since.max(until);
    }

    pub fn receive(&mut self, message: &Message, now: Instant, unix: UnixMillis) {
        self.peers.insert(message.from, (now, message.digest));
        if message.reports != CrashReports::default() {
            self.guard.on_reports(&message.reports, now, unix);
        }
    }

    /// Returns the gateway whose records to read now.
    pub fn fetch_from(&mut self, now: Instant) -> Option<usize> {
        let own = self.guard.digest();
        let live = self.peers.iter().filter(|(_, (at, _))| now - *at < PEER_TIMEOUT);
        let live = live.map(|(index, (_, digest))| (*index, *digest));
        self.sync.fetch_from(own, live, now)
    }

    pub fn records(&self) -> Vec<HeldRequest> {
        self.guard.held().iter().cloned().collect()
    }

    /// Lists the store's records if it is this gateway's turn, and writes what the store lacks.
    pub fn sync_store(
        &mut self,
        index: usize,
        fleet: usize,
        store: &mut Store,
        now: Instant,
        unix: UnixMillis,
    ) {
        let live = self.peers.iter().filter(|(_, (at, _))| now - *at < PEER_TIMEOUT);
        let live: Vec<usize> = live.map(|(peer, _)| *peer).collect();
        let is_first = live.iter().all(|peer| *peer > index);
        let is_parted = live.len() + 1 < fleet;
        let is_reachable = !store.is_down && !self.is_cut(now);
        if self.sync.is_list_due(is_first, is_parted, now) {
            self.sync.on_list(is_reachable, now);
            if is_reachable {
                let records: Vec<HeldRequest> = store.records.values().cloned().collect();
                self.guard.merge(records, HeldSource::Store, unix);
                for own in self.records() {
                    let stored = store.records.get(&own.content);
                    if stored.is_none_or(|stored| stored.generation < own.generation) {
                        self.guard.held_mut().on_missing_in_store(own.content);
                    }
                }
            }
        }
        while let Some(record) = self.guard.held().next_unsaved().filter(|_| is_reachable).cloned()
        {
            self.guard.held_mut().on_saved(record.content);
            store.write(record, unix);
        }
    }
}
