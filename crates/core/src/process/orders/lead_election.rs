//! Who leads a model: an object in the store, written under a condition.
//!
//! The live daemon that rendezvous hashing names for the model tries to be its lead. Two that
//! both think they are named clash on the object's version, and the loser reads again. A lead
//! that was paused still has its old fencing number; nothing here depends on it noticing.

use crate::clock::Clock;
use crate::id::{Fence, Incarnation, Revision};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// How often a lead or a candidate reads the object again.
pub const REREAD: Duration = Duration::from_secs(5);
/// For how long a lead that can't reach the store gives orders. This is no matter of safety, which
/// the fencing number sees to: who is cut off from the store likely sees losses that are none.
pub const FRESH: Duration = Duration::from_secs(10);
/// How long a new lead waits before its first order: what the one before it ordered shows in what
/// the engines tell by then, and counts against the bound on loads.
pub const SETTLE: Duration = Duration::from_secs(2);
/// The most time for a call of the store: a lead whose read met a silence reads again twice before what it knows is no
/// longer fresh. As the calls are made by the thread that gives orders, that one waits no longer either.
pub const LEAD_CALL_LIMIT: Duration = Duration::from_secs(1);
/// The wait after a failed call of the store.
pub const RETRY: Duration = Duration::from_millis(500);

/// The value of a lead's object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadRecord {
    /// Who leads.
    pub lead: Incarnation,
}

/// What an election asks of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadAction {
    /// Nothing before this instant.
    Wait(Instant),
    /// Read the object.
    Read,
    /// Write a record that names this daemon, if the object is still at `version` (0: absent).
    Put {
        /// The version that was read.
        version: Revision,
    },
}

/// What came of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// It took effect, and the object is at this version.
    Written(Revision),
    /// The object was at this version, 0 if there was none.
    Conflict(Revision),
    /// No answer came, or the store refused: it may have taken effect or not.
    Unclear,
}

/// One daemon's part in electing the lead of one model.
#[derive(Debug)]
pub struct LeadElection<C> {
    clock: C,
    me: Incarnation,
    named: bool,
    /// The highest version known: what is older comes from an old copy of the store.
    newest: Revision,
    seen: Option<Seen>,
    read_again: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    record: Option<LeadRecord>,
    version: Revision,
    at: Instant,
    /// When this version was first seen.
    since: Instant,
}

impl<C: Clock> LeadElection<C> {
    /// A daemon that is not named and has read nothing.
    pub fn new(clock: C, me: Incarnation) -> LeadElection<C> {
        LeadElection { clock, me, named: false, newest: 0, seen: None, read_again: None }
    }

    /// Takes whether rendezvous hashing names this daemon.
    pub fn on_named(&mut self, named: bool) {
        if named && !self.named {
            self.read_again = None;
        }
        self.named = named;
    }

    /// What to do next.
    pub fn next(&self) -> LeadAction {
        if !self.named {
            return LeadAction::Wait(self.clock.now() + REREAD);
        }
        if let Some(until) = self.read_again.filter(|until| *until > self.clock.now()) {
            return self.put_or_wait(until);
        }
        LeadAction::Read
    }

    /// The fencing number for orders, while this daemon is named and the object named it when it
    /// was last read, at most [`FRESH`] ago.
    pub fn fence(&self) -> Option<Fence> {
        let seen = self.seen.filter(|_| self.named)?;
        if self.clock.now().duration_since(seen.at) > FRESH {
            return None;
        }
        let mine = seen.record.is_some_and(|record| record.lead == self.me);
        mine.then_some(seen.version)
    }

    /// The same once this daemon has led for [`SETTLE`].
    pub fn order_fence(&self) -> Option<Fence> {
        let fence = self.fence()?;
        let led = self.clock.now().duration_since(self.seen?.since);
        (led >= SETTLE).then_some(fence)
    }

    /// The object was read; version 0 means that there is none. An older version than one seen
    /// before comes from an old copy of the store, and counts as a failed read.
    pub fn on_read(&mut self, record: Option<LeadRecord>, version: Revision) {
        if version < self.newest {
            return self.on_read_failed();
        }
        let at = self.clock.now();
        let before = self.seen.filter(|seen| seen.version == version);
        let since = before.map_or(at, |seen| seen.since);
        self.newest = version;
        self.seen = Some(Seen { record, version, at, since });
        self.read_again = Some(at + REREAD);
    }

    /// A read failed.
    pub fn on_read_failed(&mut self) {
        self.read_again = Some(self.clock.now() + RETRY);
    }

    /// A put ended.
    pub fn on_put(&mut self, result: PutResult) {
        match result {
            PutResult::Written(version) => {
                self.on_read(Some(LeadRecord { lead: self.me }), version);
            }
            // A conflict is judged by the store itself, so it also tells of a deletion.
            PutResult::Conflict(found) => self.forget(found),
            PutResult::Unclear => self.forget(self.newest),
        }
    }

    /// Reads again before anything else.
    fn forget(&mut self, newest: Revision) {
        self.newest = newest;
        self.seen = None;
        self.read_again = None;
    }

    fn put_or_wait(&self, until: Instant) -> LeadAction {
        match self.seen {
            Some(seen) if seen.record.is_none_or(|record| record.lead != self.me) => {
                LeadAction::Put { version: seen.version }
            }
            _ => LeadAction::Wait(until),
        }
    }
}
