//! One daemon's part in leading one model: what the election asks of the store.

use crate::process::leads::lead_key;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::{Fence, Incarnation, ModelId, Revision};
use sorrellock_core::process::orders::{LeadAction, LeadElection, LeadRecord, PutResult};
use sorrellock_ports::api::{ObjectStore, Precondition, StoreError};

/// The most calls of the store in a row for one model.
const MAX_CALLS: usize = 4;

/// A change of the lead as this daemon sees it.
pub(super) enum LeadChange {
    /// This daemon leads now.
    Taken(Fence),
    /// It does so no more.
    Lost(Fence),
}

/// One daemon's part in leading one model.
pub(super) struct ModelLead {
    key: String,
    me: Incarnation,
    election: LeadElection<SystemClock>,
    led: Option<Fence>,
}

impl ModelLead {
    pub(super) fn new(model: &ModelId, me: Incarnation) -> ModelLead {
        let election = LeadElection::new(SystemClock, me);
        ModelLead { key: lead_key(model), me, election, led: None }
    }

    /// The fencing number for orders, once this daemon has led for a moment.
    pub(super) fn order_fence(&self) -> Option<Fence> {
        self.election.order_fence()
    }

    /// Does what the election asks for now, and tells what changed.
    pub(super) fn drive<S: ObjectStore>(&mut self, store: &S, named: bool) -> Option<LeadChange> {
        self.election.set_candidate(named);
        for _ in 0..MAX_CALLS {
            match self.election.next() {
                LeadAction::Wait(_) => break,
                LeadAction::Read => self.read(store),
                LeadAction::Put { version } => self.put(store, version),
            }
        }
        let now = self.election.fence();
        let before = std::mem::replace(&mut self.led, now);
        match (before, self.led) {
            (before, Some(fence)) if before != Some(fence) => Some(LeadChange::Taken(fence)),
            (Some(fence), None) => Some(LeadChange::Lost(fence)),
            _ => None,
        }
    }

    fn read<S: ObjectStore>(&mut self, store: &S) {
        match store.get(&self.key) {
            Ok(Some(object)) => {
                // A record that can't be read is replaced, as if it named nobody.
                let record = serde_json::from_slice(&object.value).ok();
                self.election.on_read(record, object.version);
            }
            Ok(None) => self.election.on_read(None, 0),
            Err(_) => self.election.on_read_failed(),
        }
    }

    fn put<S: ObjectStore>(&mut self, store: &S, version: Revision) {
        let when = match version {
            0 => Precondition::Absent,
            version => Precondition::Version(version),
        };
        let value = serde_json::to_vec(&LeadRecord { lead: self.me }).expect("a record is JSON");
        let result = match store.put(&self.key, &value, when) {
            Ok(version) => PutResult::Written(version),
            Err(StoreError::Conflict { found }) => PutResult::Conflict(found),
            Err(_) => PutResult::Unclear,
        };
        self.election.on_put(result);
    }
}
