//! The simulated daemons that run requests at services.

use crate::net::{DAEMON, Envelope, Msg, RunNumber, peer};
use crate::oracle::Oracle;
use crate::rng::Rng;
use sorrellock_core::id::Incarnation;
use sorrellock_core::process::ledger::{Stamp, StartTable, StartVerdict};
use sorrellock_core::request::{Peer, RequestKey};
use std::collections::HashMap;

/// Small, so that every schedule makes the table forget records and answers.
const MAX_RECORDS: usize = 12;
const MAX_ANSWER_BYTES: usize = 160;
const ANSWER_BYTES: usize = 20;

#[derive(Clone, Copy)]
struct Waiting {
    stamp: Stamp,
    owner: RequestKey,
    entry: Peer,
    run: Option<RunNumber>,
}

pub struct DaemonProcess {
    pub number: usize,
    pub incarnation: Incarnation,
    table: StartTable<RunNumber, (Peer, RequestKey)>,
    work: Vec<Waiting>,
    /// The incarnation that each run message reached first, as a link delivers a message to one incarnation only.
    delivered: HashMap<u64, Incarnation>,
    pub refused_earlier: u64,
}

impl DaemonProcess {
    pub fn new(number: usize, incarnation: Incarnation) -> DaemonProcess {
        DaemonProcess {
            number,
            incarnation,
            table: StartTable::new(MAX_RECORDS, MAX_ANSWER_BYTES),
            work: Vec::new(),
            delivered: HashMap::new(),
            refused_earlier: 0,
        }
    }

    pub fn peer(&self) -> Peer {
        peer(DAEMON, self.number, self.incarnation)
    }

    /// Restarts the daemon, which loses its state.
    pub fn restart(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
        self.table = StartTable::new(MAX_RECORDS, MAX_ANSWER_BYTES);
        self.work.clear();
    }

    pub fn deliver(&mut self, to: Incarnation, from: Peer, msg: Msg, out: &mut Vec<Envelope>) {
        match msg {
            Msg::Run { id, stamp, owner } => self.on_run(to, from, id, stamp, owner, out),
            Msg::Ask { owner, stamp, fence } => {
                let msg = if to == self.incarnation {
                    let status = self.table.ask(&stamp, fence, (from, owner));
                    Msg::Status { owner, stamp, status }
                } else {
                    Msg::Gone { owner, stamp }
                };
                out.push(Envelope { to: from, msg });
            }
            _ => {}
        }
    }

    fn on_run(
        &mut self,
        to: Incarnation,
        from: Peer,
        id: u64,
        stamp: Stamp,
        owner: RequestKey,
        out: &mut Vec<Envelope>,
    ) {
        if *self.delivered.entry(id).or_insert(self.incarnation) != self.incarnation {
            return;
        }
        let refused = Envelope { to: from, msg: Msg::Refused { owner, stamp } };
        if to != self.incarnation {
            self.refused_earlier += 1;
            return out.push(refused);
        }
        match self.table.start(&stamp) {
            StartVerdict::Start => {
                self.work.push(Waiting { stamp, owner, entry: from, run: None });
            }
            StartVerdict::Fenced | StartVerdict::Full => out.push(refused),
            StartVerdict::Repeated | StartVerdict::Forgotten => {}
        }
    }

    /// Whether a run message arrived at any incarnation of the daemon.
    pub fn received(&self, id: u64) -> bool {
        self.delivered.contains_key(&id)
    }

    /// Advances a random run by one step: refuses, runs, or answers it.
    pub fn work(&mut self, rng: &mut Rng, oracle: &mut Oracle, out: &mut Vec<Envelope>) {
        if self.work.is_empty() {
            return;
        }
        let at = rng.below(self.work.len());
        let waiting = self.work[at];
        match waiting.run {
            None if rng.percent(15) => self.refuse(at, out),
            None => self.work[at].run = Some(oracle.run(waiting.stamp.key, waiting.owner)),
            Some(run) => self.end(at, run, out),
        }
    }

    fn refuse(&mut self, at: usize, out: &mut Vec<Envelope>) {
        let Waiting { stamp, owner, entry, .. } = self.work.swap_remove(at);
        let followers = self.table.refuse(&stamp);
        let all = followers.into_iter().chain([(entry, owner)]);
        out.extend(all.map(|(to, owner)| Envelope { to, msg: Msg::Refused { owner, stamp } }));
    }

    fn end(&mut self, at: usize, run: RunNumber, out: &mut Vec<Envelope>) {
        let Waiting { stamp, owner, entry, .. } = self.work.swap_remove(at);
        let followers = self.table.end(&stamp, run, ANSWER_BYTES);
        let all = followers.into_iter().chain([(entry, owner)]);
        out.extend(all.map(|(to, owner)| Envelope { to, msg: Msg::End { owner, stamp, run } }));
    }
}
