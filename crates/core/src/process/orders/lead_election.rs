//! Election of a model's lead by conditional writes of an object in the store.
//!
//! The live daemon that rendezvous hashing selects for the model is the candidate and tries to become
//! lead. If two daemons both see themselves as candidate, one write fails with a version conflict, and
//! that daemon reads again. A lead that was paused still has its old fencing number; correctness doesn't
//! depend on it noticing that it was replaced.

use crate::clock::Clock;
use crate::id::{Fence, Incarnation, Revision};
use serde::{Deserialize, Serialize};
use std::time::{Duration, Instant};

/// Interval at which the candidate, lead or not, reads the object again.
pub const READ_INTERVAL: Duration = Duration::from_secs(5);
/// How long a lead that can't reach the store keeps giving orders. Safety doesn't depend on this, as
/// the fencing number ensures it. The limit exists because a daemon that is cut off from the store
/// probably also sees engines as lost that aren't.
pub const LEAD_LEASE: Duration = Duration::from_secs(10);
/// How long a new lead waits before its first order. By then the engines report the orders of the
/// previous lead, so that these count against the limit on concurrent loads.
pub const FIRST_ORDER_DELAY: Duration = Duration::from_secs(2);
/// Timeout of a store call. It is short enough that a lead whose read timed out can read twice more before
/// [`LEAD_LEASE`] expires. It also bounds the delay of orders, as the same thread makes the calls and gives orders.
pub const LEAD_CALL_LIMIT: Duration = Duration::from_secs(1);
/// Delay before the next read after a failed one.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Value of the object that records a model's lead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadRecord {
    /// Incarnation of the lead.
    pub lead: Incarnation,
}

/// Next step that an election requests from its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadAction {
    /// Do nothing before this instant.
    Wait(Instant),
    /// Read the object.
    Read,
    /// Write a record with this daemon as lead if the object is still at `version` (0: absent).
    Put {
        /// The version that was read.
        version: Revision,
    },
}

/// Result of a put.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PutResult {
    /// It succeeded, and the object is at this version.
    Written(Revision),
    /// It failed because the object was at this version (0: absent).
    Conflict(Revision),
    /// No answer came, or the store refused. The put may have taken effect or not.
    Unclear,
}

/// One daemon's side of the election of one model's lead.
#[derive(Debug)]
pub struct LeadElection<C> {
    clock: C,
    me: Incarnation,
    is_candidate: bool,
    /// Newest known version of the object. A read that finds a lower one comes from a stale copy of the store.
    known_version: Revision,
    last_read: Option<LastRead>,
    next_read: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct LastRead {
    record: Option<LeadRecord>,
    version: Revision,
    at: Instant,
    /// When this version was first read.
    first_seen: Instant,
}

impl<C: Clock> LeadElection<C> {
    /// Creates the election of a daemon that is not the candidate and has read nothing.
    pub fn new(clock: C, me: Incarnation) -> LeadElection<C> {
        LeadElection {
            clock,
            me,
            is_candidate: false,
            known_version: 0,
            last_read: None,
            next_read: None,
        }
    }

    /// Sets whether rendezvous hashing selects this daemon as candidate.
    pub fn set_candidate(&mut self, is_candidate: bool) {
        if is_candidate && !self.is_candidate {
            self.next_read = None;
        }
        self.is_candidate = is_candidate;
    }

    /// Returns what to do next.
    pub fn next(&self) -> LeadAction {
        if !self.is_candidate {
            return LeadAction::Wait(self.clock.now() + READ_INTERVAL);
        }
        if let Some(until) = self.next_read.filter(|until| *until > self.clock.now()) {
            return self.put_or_wait(until);
        }
        LeadAction::Read
    }

    /// Returns the fencing number for orders if this daemon is the candidate and the last successful
    /// read, at most [`LEAD_LEASE`] ago, found it to be lead.
    pub fn fence(&self) -> Option<Fence> {
        let last_read = self.last_read.filter(|_| self.is_candidate)?;
        if self.clock.now().duration_since(last_read.at) > LEAD_LEASE {
            return None;
        }
        let is_lead = last_read.record.is_some_and(|record| record.lead == self.me);
        is_lead.then_some(last_read.version)
    }

    /// Returns the same as [`LeadElection::fence`] once this daemon has led for [`FIRST_ORDER_DELAY`].
    pub fn order_fence(&self) -> Option<Fence> {
        let fence = self.fence()?;
        let led_for = self.clock.now().duration_since(self.last_read?.first_seen);
        (led_for >= FIRST_ORDER_DELAY).then_some(fence)
    }

    /// Handles a read of the object; version 0 means that there is none. A version below the known
    /// one comes from a stale copy of the store and counts as a failed read.
    pub fn on_read(&mut self, record: Option<LeadRecord>, version: Revision) {
        if version < self.known_version {
            return self.on_read_failed();
        }
        let at = self.clock.now();
        let previous = self.last_read.filter(|last_read| last_read.version == version);
        let first_seen = previous.map_or(at, |last_read| last_read.first_seen);
        self.known_version = version;
        self.last_read = Some(LastRead { record, version, at, first_seen });
        self.next_read = Some(at + READ_INTERVAL);
    }

    /// Handles a failed read.
    pub fn on_read_failed(&mut self) {
        self.next_read = Some(self.clock.now() + RETRY_DELAY);
    }

    /// Handles the result of a put.
    pub fn on_put(&mut self, result: PutResult) {
        match result {
            PutResult::Written(version) => {
                self.on_read(Some(LeadRecord { lead: self.me }), version);
            }
            // The store checks the condition against the current object, so the version is right even if it
            // is lower than the known one because the object was deleted.
            PutResult::Conflict(found) => self.invalidate(found),
            PutResult::Unclear => self.invalidate(self.known_version),
        }
    }

    /// Discards the last read, so that the next action is a read.
    fn invalidate(&mut self, known_version: Revision) {
        self.known_version = known_version;
        self.last_read = None;
        self.next_read = None;
    }

    fn put_or_wait(&self, until: Instant) -> LeadAction {
        match self.last_read {
            Some(last_read) if last_read.record.is_none_or(|record| record.lead != self.me) => {
                LeadAction::Put { version: last_read.version }
            }
            _ => LeadAction::Wait(until),
        }
    }
}
