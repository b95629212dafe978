//! The simulated entries and their callers.

use crate::net::{DAEMON, ENTRY, Envelope, HOLDER, Msg, addr, peer};
use crate::oracle::{Oracle, Outcome};
use sorrellock_core::id::{Incarnation, Sequence};
use sorrellock_core::process::ledger::{
    Claim, Fingerprint, KeyedRun, KeyedStep, RecordKey, RecordStatus, Stamp, shard_of,
};
use sorrellock_core::request::{Peer, Refusal, RequestKey};
use std::collections::BTreeMap;

/// Number of refused attempts at one key before a request is abandoned.
const MAX_ATTEMPTS: u32 = 6;

pub struct Entry {
    pub number: usize,
    pub incarnation: Incarnation,
    next: Sequence,
    pub runs: BTreeMap<RequestKey, KeyedRun>,
    next_message: u64,
}

/// The rest of the simulation, as an entry sees it.
pub struct EntryContext<'a> {
    pub oracle: &'a mut Oracle,
    pub out: &'a mut Vec<Envelope>,
    /// The daemon that routing chooses.
    pub chosen: Peer,
    /// The holder that this entry sends claims to.
    pub holder: usize,
    pub shards: u16,
}

impl Entry {
    pub fn new(number: usize, incarnation: Incarnation) -> Entry {
        Entry { number, incarnation, next: 0, runs: BTreeMap::new(), next_message: 0 }
    }

    pub fn peer(&self) -> Peer {
        peer(ENTRY, self.number, self.incarnation)
    }

    /// Restarts the entry; its callers lose their connections.
    pub fn restart(&mut self, incarnation: Incarnation) {
        *self = Entry::new(self.number, incarnation);
    }

    pub fn submit(
        &mut self,
        key: RecordKey,
        body: Fingerprint,
        cx: &mut EntryContext,
    ) -> RequestKey {
        self.next += 1;
        let owner = RequestKey { entry: self.incarnation, sequence: self.next };
        cx.oracle.on_submit(key, body);
        self.runs.insert(owner, KeyedRun::new(owner, key, body));
        self.act(owner, KeyedStep::Choose, 0, cx);
        owner
    }

    pub fn deliver(&mut self, msg: Msg, cx: &mut EntryContext) {
        let (owner, step, run) = match msg {
            Msg::Answer { owner, after, answer } => {
                (owner, self.with(owner, |run| run.on_claim_answer(after, answer)), 0)
            }
            Msg::Refused { owner, stamp } => {
                (owner, self.with(owner, |run| run.on_refused(&stamp)), 0)
            }
            Msg::End { owner, stamp, run: number } => {
                (owner, self.with(owner, |run| run.on_end(&stamp)), number)
            }
            Msg::Status { owner, stamp, status } => {
                let number = if let RecordStatus::Ended(number) = status { number } else { 0 };
                (owner, self.with(owner, |run| run.on_record_status(&stamp, &status)), number)
            }
            Msg::Gone { owner, stamp } => (owner, self.with(owner, |run| run.on_gone(&stamp)), 0),
            Msg::Claim { .. } | Msg::Run { .. } | Msg::Ask { .. } => return,
        };
        self.act(owner, step, run, cx);
    }

    pub fn wait_over(&mut self, owner: RequestKey, cx: &mut EntryContext) {
        let step = self.with(owner, KeyedRun::on_wait_over);
        self.act(owner, step, 0, cx);
    }

    pub fn link_lost(&mut self, owner: RequestKey, cx: &mut EntryContext) {
        let step = self.with(owner, KeyedRun::on_link_lost);
        self.act(owner, step, 0, cx);
    }

    pub fn not_sent(&mut self, owner: RequestKey, cx: &mut EntryContext) {
        let step = self.with(owner, KeyedRun::on_not_sent);
        self.act(owner, step, 0, cx);
    }

    pub fn abandon(&mut self, owner: RequestKey, cx: &mut EntryContext) {
        let step = self.with(owner, |run| run.abandon(Refusal::Deadline, "the deadline passed"));
        self.act(owner, step, 0, cx);
    }

    fn with(&mut self, owner: RequestKey, f: impl FnOnce(&mut KeyedRun) -> KeyedStep) -> KeyedStep {
        self.runs.get_mut(&owner).map_or(KeyedStep::Drop, f)
    }

    fn act(&mut self, owner: RequestKey, step: KeyedStep, number: u64, cx: &mut EntryContext) {
        match step {
            KeyedStep::Choose => self.choose(owner, cx),
            KeyedStep::Claim(claim) => self.send_claim(claim, cx),
            KeyedStep::Send(stamp) => self.send_run(owner, stamp, cx),
            KeyedStep::Ask { stamp, target, fence } => {
                cx.out.push(Envelope { to: target, msg: Msg::Ask { owner, stamp, fence } });
            }
            KeyedStep::Wait | KeyedStep::Drop => {}
            KeyedStep::Finish => self.finish(owner, Outcome::Done, number, cx),
            KeyedStep::Mismatch => self.finish(owner, Outcome::Mismatch, 0, cx),
            KeyedStep::NotRun(_) => self.finish(owner, Outcome::NotRun, 0, cx),
            KeyedStep::Unknown(_) => self.finish(owner, Outcome::Unknown, 0, cx),
        }
    }

    fn choose(&mut self, owner: RequestKey, cx: &mut EntryContext) {
        let Some(run) = self.runs.get_mut(&owner) else { return };
        if run.attempts_refused() >= MAX_ATTEMPTS {
            let step = run.abandon(Refusal::Capacity, "no daemon takes it");
            return self.act(owner, step, 0, cx);
        }
        let claim = run.claim(cx.chosen);
        self.send_claim(claim, cx);
    }

    fn send_claim(&mut self, claim: Claim, cx: &mut EntryContext) {
        let _ = shard_of(&claim.key, cx.shards);
        let to = Peer { addr: addr(HOLDER, cx.holder), incarnation: 0 };
        cx.out.push(Envelope { to, msg: Msg::Claim { from: self.peer(), claim } });
    }

    fn send_run(&mut self, owner: RequestKey, stamp: Stamp, cx: &mut EntryContext) {
        self.next_message += 1;
        let id = self.incarnation << 32 | self.next_message;
        let Some(target) = self.runs[&owner].target() else { return };
        assert_eq!(crate::net::role(target.addr), DAEMON);
        cx.out.push(Envelope { to: target, msg: Msg::Run { id, stamp, owner } });
    }

    fn finish(&mut self, owner: RequestKey, end: Outcome, number: u64, cx: &mut EntryContext) {
        let Some(run) = self.runs.remove(&owner) else { return };
        cx.oracle.on_finish(owner, *run.key(), end, number);
    }
}
