//! The last word on what starts here: each record and each attempt once.

use crate::beside::process::Outbox;
use crate::process::{Count, Counters};
use sorrellock_core::process::ledger::{
    RecordStatus, SeenRequests, SeenVerdict, Stamp, StartTable, StartVerdict,
};
use sorrellock_core::request::{Peer, Refusal, RequestKey};
use sorrellock_wire::connection::Link;
use sorrellock_wire::message::{CallEnd, CallMessage, CallRequest, LedgerMessage, Message};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

/// Records of the ledger that are remembered.
const MAX_RECORDS: usize = 65_536;
/// Bytes of answers that are kept for retries.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Requests without a key that are remembered.
const MAX_REQUESTS: usize = 65_536;

/// An entry's request that a run is for, or that follows it.
type Follower = (Peer, RequestKey);

/// What was started and refused here, and what became of it.
pub struct Starts<L> {
    table: Mutex<StartTable<CallEnd, Follower>>,
    seen: Mutex<SeenRequests>,
    /// Pipeline requests under way, which their entries drive.
    driven: Mutex<HashMap<Stamp, SocketAddr>>,
    outbox: Outbox<L>,
}

impl<L: Link> Starts<L> {
    /// Nothing was started yet.
    pub fn new(outbox: Outbox<L>) -> Starts<L> {
        Starts {
            table: Mutex::new(StartTable::new(MAX_RECORDS, MAX_ANSWER_BYTES)),
            seen: Mutex::new(SeenRequests::new(MAX_REQUESTS)),
            driven: Mutex::default(),
            outbox,
        }
    }

    /// The counters of the process.
    pub fn counters(&self) -> &Counters {
        self.outbox.counters()
    }

    /// A call was refused, or ended: whoever waits for it hears so.
    pub fn end_call(&self, entry: Peer, call: &CallRequest, stamp: Option<&Stamp>, end: CallEnd) {
        if let Some(stamp) = stamp {
            return self.end(entry, call.request, stamp, end);
        }
        let (request, attempt) = (call.request, call.attempt);
        self.outbox.call(entry, CallMessage::End { request, attempt, end });
    }

    /// Judges a call without a record. One that came before must not be passed on again.
    pub fn see(&self, call: &CallRequest) -> SeenVerdict {
        let verdict = self.seen.lock().unwrap().see(call.request, call.attempt);
        if verdict != SeenVerdict::New {
            self.outbox.counters().count(Count::StartsRepeated);
        }
        verdict
    }

    /// Whether a run with a record may start; if not, `entry` hears why.
    pub fn start(&self, entry: Peer, owner: RequestKey, stamp: &Stamp) -> bool {
        let verdict = self.table.lock().unwrap().start(stamp);
        let counters = self.outbox.counters();
        let end = match verdict {
            StartVerdict::Start => return true,
            StartVerdict::Repeated => {
                counters.count(Count::StartsRepeated);
                return false;
            }
            StartVerdict::Fenced => {
                counters.count(Count::StartsFenced);
                let detail = "its record was given up before it came".into();
                CallEnd::NotRun { refusal: Refusal::Superseded, detail }
            }
            StartVerdict::Full => {
                counters.count(Count::CallsRefused);
                let detail = format!("{MAX_RECORDS} recorded calls are under way");
                CallEnd::NotRun { refusal: Refusal::Capacity, detail }
            }
            StartVerdict::Forgotten => {
                counters.count(Count::StartsForgotten);
                CallEnd::Unknown { detail: "whether it ran is remembered no longer".into() }
            }
        };
        self.tell_end(entry, owner, stamp, end);
        false
    }

    /// A run that was to start was refused, or ended: its entry and all who follow it hear so.
    pub fn end(&self, entry: Peer, owner: RequestKey, stamp: &Stamp, end: CallEnd) {
        let followers = self.finish(stamp, end.clone());
        for (to, owner) in followers.into_iter().chain([(entry, owner)]) {
            self.tell_end(to, owner, stamp, end.clone());
        }
    }

    /// A pipeline request with a record begins, if it may; its entry drives it, and tells its end.
    pub fn begin(&self, entry: Peer, owner: RequestKey, stamp: Stamp, leaving: bool) {
        if !self.start(entry, owner, &stamp) {
            return;
        }
        if leaving {
            let detail = "its daemon is leaving".into();
            let end = CallEnd::NotRun { refusal: Refusal::Leaving, detail };
            return self.end(entry, owner, &stamp, end);
        }
        self.driven.lock().unwrap().insert(stamp, entry.addr);
        self.send(entry, LedgerMessage::Told { owner, stamp, told: RecordStatus::Running });
    }

    /// The link to a process closed: the end of what an entry there drives may never be told.
    pub fn on_closed(&self, peer: SocketAddr) {
        let driven = self.driven.lock().unwrap();
        let lost = driven.iter().filter(|(_, entry)| **entry == peer);
        let lost: Vec<Stamp> = lost.map(|(stamp, _)| *stamp).collect();
        drop(driven);
        for stamp in lost {
            let detail = format!("the link to its entry {peer} closed while it ran");
            self.ended(&stamp, CallEnd::Unknown { detail });
        }
    }

    /// The entry tells how a run that it drives ended: all who follow it hear so.
    pub fn ended(&self, stamp: &Stamp, end: CallEnd) {
        self.driven.lock().unwrap().remove(stamp);
        for (to, owner) in self.finish(stamp, end.clone()) {
            self.tell_end(to, owner, stamp, end.clone());
        }
    }

    /// Answers what became of a record.
    pub fn ask(&self, from: Peer, owner: RequestKey, stamp: Stamp, fence: bool) {
        let told = self.table.lock().unwrap().ask(&stamp, fence, (from, owner));
        self.send(from, LedgerMessage::Told { owner, stamp, told });
    }

    /// Answers for an earlier incarnation, of which nothing is known here.
    pub fn on_misdirected(&self, from: Peer, message: LedgerMessage) {
        match message {
            LedgerMessage::Run { stamp, call } => {
                self.refuse_earlier(from, call.request, &stamp);
            }
            LedgerMessage::Begin { owner, stamp } => self.refuse_earlier(from, owner, &stamp),
            LedgerMessage::Ask { owner, stamp, .. } => {
                self.send(from, LedgerMessage::Gone { owner, stamp });
            }
            _ => {}
        }
    }

    /// Records and bytes of answers that are remembered.
    pub fn size(&self) -> (usize, usize) {
        self.table.lock().unwrap().size()
    }

    fn finish(&self, stamp: &Stamp, end: CallEnd) -> Vec<Follower> {
        let mut table = self.table.lock().unwrap();
        if let CallEnd::NotRun { .. } = end {
            return table.refuse(stamp);
        }
        let bytes = size_of(&end);
        table.end(stamp, end, bytes)
    }

    fn refuse_earlier(&self, entry: Peer, owner: RequestKey, stamp: &Stamp) {
        let detail = "its daemon was restarted before it came".into();
        let end = CallEnd::NotRun { refusal: Refusal::Superseded, detail };
        self.tell_end(entry, owner, stamp, end);
    }

    fn tell_end(&self, to: Peer, owner: RequestKey, stamp: &Stamp, end: CallEnd) {
        self.send(to, LedgerMessage::End { owner, stamp: *stamp, end });
    }

    fn send(&self, to: Peer, message: LedgerMessage) {
        self.outbox.send(to, Message::Ledger(message));
    }
}

fn size_of(end: &CallEnd) -> usize {
    match end {
        CallEnd::Done { content_type, body, .. } => {
            body.len() + content_type.as_ref().map_or(0, String::len)
        }
        CallEnd::NotRun { detail, .. } | CallEnd::Unknown { detail } => detail.len(),
    }
}
