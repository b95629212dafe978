//! Decides which calls and pipeline requests may start at this daemon, so that each record and each attempt starts at
//! most once.

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

/// Max ledger records that are retained.
const MAX_RECORDS: usize = 65_536;
/// Max bytes of answers that are kept for retries.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// Max requests without a key that are retained.
const MAX_REQUESTS: usize = 65_536;

/// An entry and its request that waits for the end of a run.
type Follower = (Peer, RequestKey);

/// Registry of the runs that were started or refused here, with their outcomes.
pub struct StartRegistry<L> {
    table: Mutex<StartTable<CallEnd, Follower>>,
    seen: Mutex<SeenRequests>,
    /// Running pipeline requests, with the address of the entry that drives each.
    driven: Mutex<HashMap<Stamp, SocketAddr>>,
    outbox: Outbox<L>,
}

impl<L: Link> StartRegistry<L> {
    /// Creates an empty registry.
    pub fn new(outbox: Outbox<L>) -> StartRegistry<L> {
        StartRegistry {
            table: Mutex::new(StartTable::new(MAX_RECORDS, MAX_ANSWER_BYTES)),
            seen: Mutex::new(SeenRequests::new(MAX_REQUESTS)),
            driven: Mutex::default(),
            outbox,
        }
    }

    /// Returns the counters of the process.
    pub fn counters(&self) -> &Counters {
        self.outbox.counters()
    }

    /// Sends the end of a refused or completed call to all that wait for it.
    pub fn end_call(&self, entry: Peer, call: &CallRequest, stamp: Option<&Stamp>, end: CallEnd) {
        if let Some(stamp) = stamp {
            return self.end(entry, call.request, stamp, end);
        }
        let (request, attempt) = (call.request, call.attempt);
        self.outbox.call(entry, CallMessage::End { request, attempt, end });
    }

    /// Records a call without a ledger record, and returns whether it is new. A call that arrived before must not be
    /// passed to the service again.
    pub fn record_call(&self, call: &CallRequest) -> SeenVerdict {
        let verdict = self.seen.lock().unwrap().see(call.request, call.attempt);
        if verdict != SeenVerdict::New {
            self.outbox.counters().count(Count::StartsRepeated);
        }
        verdict
    }

    /// Returns whether a run with a record may start. If not, sends the reason to `entry`, unless the run is a repeat.
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
        self.send_end(entry, owner, stamp, end);
        false
    }

    /// Sends the end of a run that was refused or has ended to its entry and its followers.
    pub fn end(&self, entry: Peer, owner: RequestKey, stamp: &Stamp, end: CallEnd) {
        let followers = self.finish(stamp, end.clone());
        for (to, owner) in followers.into_iter().chain([(entry, owner)]) {
            self.send_end(to, owner, stamp, end.clone());
        }
    }

    /// Starts a pipeline request with a record, if it may start. Its entry drives it and reports its end.
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

    /// Handles a closed link: requests that an entry there drives end as unknown, as their end may never be reported.
    pub fn on_closed(&self, peer: SocketAddr) {
        let driven = self.driven.lock().unwrap();
        let lost = driven.iter().filter(|(_, entry)| **entry == peer);
        let lost: Vec<Stamp> = lost.map(|(stamp, _)| *stamp).collect();
        drop(driven);
        for stamp in lost {
            let detail = format!("the link to its entry {peer} closed while it ran");
            self.on_ended(&stamp, CallEnd::Unknown { detail });
        }
    }

    /// Handles the end of a run, as reported by the entry that drives it, and sends it to the followers.
    pub fn on_ended(&self, stamp: &Stamp, end: CallEnd) {
        self.driven.lock().unwrap().remove(stamp);
        for (to, owner) in self.finish(stamp, end.clone()) {
            self.send_end(to, owner, stamp, end.clone());
        }
    }

    /// Answers a query for the status of a record. With `fence`, a record that was not seen yet will never start.
    pub fn on_query(&self, from: Peer, owner: RequestKey, stamp: Stamp, fence: bool) {
        let told = self.table.lock().unwrap().ask(&stamp, fence, (from, owner));
        self.send(from, LedgerMessage::Told { owner, stamp, told });
    }

    /// Answers a message for an earlier incarnation of this daemon, whose records are not known here.
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

    /// Returns the number of records and the bytes of answers that are retained.
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
        self.send_end(entry, owner, stamp, end);
    }

    fn send_end(&self, to: Peer, owner: RequestKey, stamp: &Stamp, end: CallEnd) {
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
