//! The simulation: several holders, entries and daemons with one store, under a seeded schedule.

use crate::daemons::DaemonProcess;
use crate::entries::{Entry, EntryContext};
use crate::holders::HolderProcess;
use crate::net::{DAEMON, ENTRY, Envelope, HOLDER, Msg, number, role};
use crate::oracle::Oracle;
use crate::rng::Rng;
use crate::store::Store;
use sorrellock_core::clock::ManualClock;
use sorrellock_core::id::Incarnation;
use sorrellock_core::process::ledger::{
    Head, HolderConfig, HolderCounts, fingerprint, head_key, record_key,
};
use sorrellock_core::request::{Peer, RequestKey};
use std::time::Duration;

const HOLDERS: usize = 3;
const ENTRIES: usize = 3;
const DAEMONS: usize = 3;
const SHARDS: u16 = 2;
/// Number of keys in use at a time; the window moves with the submitted requests.
const WINDOW: usize = 10;
/// Number of messages in flight above which no requests are submitted.
const MAX_MESSAGES: usize = 60;

pub struct World {
    pub rng: Rng,
    clock: ManualClock,
    now_ms: u64,
    store: Store,
    pub holders: Vec<HolderProcess>,
    entries: Vec<Entry>,
    pub daemons: Vec<DaemonProcess>,
    net: Vec<Envelope>,
    pub oracle: Oracle,
    faults: bool,
    next_incarnation: Incarnation,
    submitted: usize,
    paused: [Vec<bool>; 3],
}

impl World {
    pub fn new(seed: u64) -> World {
        let clock = ManualClock::new();
        let cfg = HolderConfig::new().with_sizes(4, 14, 1_000).with_writes_per_s(50.0);
        let mut next = 0;
        let mut incarnation = || {
            next += 1;
            next
        };
        let holders = (0..HOLDERS)
            .map(|n| HolderProcess::new(n, incarnation(), SHARDS, cfg, &clock))
            .collect();
        let entries = (0..ENTRIES).map(|n| Entry::new(n, incarnation())).collect();
        let daemons = (0..DAEMONS).map(|n| DaemonProcess::new(n, incarnation())).collect();
        World {
            rng: Rng::new(seed),
            clock,
            now_ms: 1_000_000,
            store: Store::default(),
            holders,
            entries,
            daemons,
            net: Vec::new(),
            oracle: Oracle::default(),
            faults: true,
            next_incarnation: next,
            submitted: 0,
            paused: [vec![false; HOLDERS], vec![false; ENTRIES], vec![false; DAEMONS]],
        }
    }

    /// Makes one random step.
    pub fn step(&mut self) {
        self.advance(8);
        match self.rng.below(100) {
            0..8 => self.submit(),
            8..40 => self.step_holder(),
            40..72 => self.deliver(),
            72..82 => self.step_daemon(),
            82..90 => self.wait_over(),
            90..92 => self.lose_link(),
            92..94 => self.execute_late_call(),
            94..95 => self.abandon(),
            95..98 => self.pause_or_resume(),
            98 => self.toggle_store(),
            _ => self.restart(),
        }
    }

    /// Stops all faults and steps until every request has ended. Returns false if that takes too many steps.
    pub fn drain(&mut self) -> bool {
        self.faults = false;
        self.store.down = false;
        self.paused.iter_mut().flatten().for_each(|paused| *paused = false);
        for _ in 0..60_000 {
            self.advance(8);
            match self.rng.below(100) {
                0..45 => self.step_holder(),
                45..80 => self.deliver(),
                80..92 => self.step_daemon(),
                92..97 => self.wait_over(),
                _ => self.lose_link(),
            }
            if self.entries.iter().all(|entry| entry.runs.is_empty()) {
                return true;
            }
        }
        false
    }

    pub fn holder_counts(&self) -> Vec<HolderCounts> {
        let ended = self.holders.iter().flat_map(|holder| holder.counts.iter().copied());
        let running = self.holders.iter().flat_map(|holder| &holder.holders);
        ended.chain(running.map(|holder| holder.counts())).collect()
    }

    /// Returns the keys of objects that a head refers to and that don't exist.
    pub fn missing_objects(&mut self) -> Vec<String> {
        let mut missing = Vec::new();
        for shard in 0..SHARDS {
            let Some((_, value)) = self.store.read(&head_key(shard), false, &mut self.rng) else {
                continue;
            };
            let head = Head::decode(&value).expect("a head can be read");
            let merged = head.merged.iter().map(|archive| archive.id.index_key(shard));
            let archives = head.merged.iter().chain(&head.recent);
            let keys = merged.chain(archives.map(|archive| archive.id.key(shard)));
            let gone = keys.filter(|key| self.store.read(key, false, &mut self.rng).is_none());
            missing.extend(gone);
        }
        missing
    }

    /// Returns the requests without a final outcome.
    pub fn open(&self) -> Vec<RequestKey> {
        self.entries.iter().flat_map(|entry| entry.runs.keys().copied()).collect()
    }

    fn advance(&mut self, max_ms: usize) {
        let ms = self.rng.below(max_ms) as u64;
        self.clock.advance(Duration::from_millis(ms));
        self.now_ms += ms;
    }

    fn submit(&mut self) {
        if self.net.len() > MAX_MESSAGES {
            return;
        }
        self.submitted += 1;
        let key = self.submitted / 4 + self.rng.below(WINDOW);
        let key = if self.rng.percent(5) { self.rng.below(key + 1) } else { key };
        let body = if self.rng.percent(4) { "other" } else { "usual" };
        let key = record_key("treasury", &key.to_string());
        let body = fingerprint(&[body.as_bytes()]);
        let at = self.rng.below(ENTRIES);
        self.at_entry(at, |entry, cx| {
            entry.submit(key, body, cx);
        });
    }

    fn step_holder(&mut self) {
        let at = self.rng.below(HOLDERS);
        if self.paused[0][at] {
            return;
        }
        let shard = self.rng.below(usize::from(SHARDS));
        let holder = &mut self.holders[at];
        holder.step(shard, &mut self.store, &mut self.rng, self.faults, self.now_ms);
        // Under faults the holder may be paused between a step and the sending of its answers.
        if !self.faults || self.rng.percent(80) {
            self.holders[at].take_answers(&mut self.net);
        }
    }

    fn step_daemon(&mut self) {
        let at = self.rng.below(DAEMONS);
        if !self.paused[2][at] {
            self.daemons[at].work(&mut self.rng, &mut self.oracle, &mut self.net);
        }
    }

    /// Delivers a random message. Under faults it may be duplicated or lost.
    fn deliver(&mut self) {
        if self.net.is_empty() {
            return;
        }
        let at = self.rng.below(self.net.len());
        let to = &self.net[at].to;
        let process = usize::from(role(to.addr) - 1);
        if self.paused[process][number(to.addr)] {
            return;
        }
        let envelope = if self.faults && self.rng.percent(6) {
            self.net[at].clone()
        } else {
            self.net.swap_remove(at)
        };
        if self.faults && self.rng.percent(6) {
            return self.lose_message(&envelope);
        }
        self.dispatch(envelope);
    }

    /// Loses a message. If it is a run that never arrived and has no copies, its sender may be notified that it was
    /// not sent.
    fn lose_message(&mut self, envelope: &Envelope) {
        let Msg::Run { owner, id, .. } = envelope.msg else { return };
        let copies =
            self.net.iter().any(|other| matches!(other.msg, Msg::Run { id: o, .. } if o == id));
        let seen = self.daemons.iter().any(|daemon| daemon.received(id));
        if !copies && !seen && self.rng.percent(50) {
            let found = self.entries.iter().position(|e| e.incarnation == owner.entry);
            if let Some(at) = found {
                self.at_entry(at, |entry, cx| entry.not_sent(owner, cx));
            }
        }
    }

    fn dispatch(&mut self, envelope: Envelope) {
        let at = number(envelope.to.addr);
        match role(envelope.to.addr) {
            HOLDER => {
                if let Msg::Claim { from, claim } = envelope.msg {
                    self.holders[at].claim(from, claim);
                }
            }
            ENTRY => self.at_entry(at, |entry, cx| entry.deliver(envelope.msg, cx)),
            DAEMON => {
                let from = self.sender(&envelope.msg);
                let to = envelope.to.incarnation;
                self.daemons[at].deliver(to, from, envelope.msg, &mut self.net);
            }
            _ => {}
        }
    }

    /// Returns the entry that sent a message to a daemon.
    fn sender(&self, msg: &Msg) -> Peer {
        let owner = match msg {
            Msg::Run { owner, .. } | Msg::Ask { owner, .. } => *owner,
            _ => RequestKey { entry: 0, sequence: 0 },
        };
        let entry = self.entries.iter().find(|entry| entry.incarnation == owner.entry);
        entry.map_or_else(|| self.entries[0].peer(), Entry::peer)
    }

    fn wait_over(&mut self) {
        if let Some((at, owner)) = self.any_request() {
            self.at_entry(at, |entry, cx| entry.wait_over(owner, cx));
        }
    }

    fn lose_link(&mut self) {
        if let Some((at, owner)) = self.any_request() {
            self.at_entry(at, |entry, cx| entry.link_lost(owner, cx));
        }
    }

    fn abandon(&mut self) {
        if let Some((at, owner)) = self.any_request() {
            self.at_entry(at, |entry, cx| entry.abandon(owner, cx));
        }
    }

    fn execute_late_call(&mut self) {
        let at = self.rng.below(HOLDERS);
        self.holders[at].execute_late_call(&mut self.store, &mut self.rng);
    }

    fn pause_or_resume(&mut self) {
        let role = self.rng.below(3);
        let at = self.rng.below(self.paused[role].len());
        self.paused[role][at] = !self.paused[role][at] && self.rng.percent(60);
    }

    fn toggle_store(&mut self) {
        self.store.down = !self.store.down && self.rng.percent(12);
    }

    fn restart(&mut self) {
        self.next_incarnation += 1;
        let incarnation = self.next_incarnation;
        match self.rng.below(5) {
            0 | 1 => {
                let at = self.rng.below(HOLDERS);
                self.holders[at].restart(incarnation);
            }
            2 | 3 => {
                let at = self.rng.below(DAEMONS);
                self.daemons[at].restart(incarnation);
            }
            _ => {
                let at = self.rng.below(ENTRIES);
                self.entries[at].restart(incarnation);
            }
        }
    }

    fn any_request(&mut self) -> Option<(usize, RequestKey)> {
        let at = self.rng.below(ENTRIES);
        if self.paused[1][at] {
            return None;
        }
        let count = self.entries[at].runs.len();
        let skip = self.rng.below(count);
        self.entries[at].runs.keys().nth(skip).map(|owner| (at, *owner))
    }

    fn at_entry(&mut self, at: usize, act: impl FnOnce(&mut Entry, &mut EntryContext)) {
        let chosen = self.rng.below(DAEMONS);
        // Views of the fleet differ and lag, so entries may use different holders for the same shard.
        let holder = if self.rng.percent(30) { self.rng.below(HOLDERS) } else { 0 };
        let mut cx = EntryContext {
            oracle: &mut self.oracle,
            out: &mut self.net,
            chosen: self.daemons[chosen].peer(),
            holder,
            shards: SHARDS,
        };
        act(&mut self.entries[at], &mut cx);
    }
}
