//! One daemon's part in the election of one model's lead: makes the calls to the store that the
//! election requests.

use crate::process::leads::lead_key;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::id::{Fence, Incarnation, ModelId, Revision};
use sorrellock_core::process::orders::{LeadAction, LeadElection, LeadRecord, PutResult};
use sorrellock_ports::api::{ObjectStore, Precondition, StoreError};

/// Maximum number of consecutive calls to the store for one model.
const MAX_STORE_CALLS: usize = 4;

/// A change of whether this daemon leads a model.
pub(super) enum LeadChange {
    /// This daemon became the lead.
    Taken(Fence),
    /// This daemon is no longer the lead.
    Lost(Fence),
}

/// One daemon's part in the election of one model's lead.
pub(super) struct ModelLead {
    key: String,
    me: Incarnation,
    election: LeadElection<SystemClock>,
    led_fence: Option<Fence>,
}

impl ModelLead {
    pub(super) fn new(model: &ModelId, me: Incarnation) -> ModelLead {
        let election = LeadElection::new(SystemClock, me);
        ModelLead { key: lead_key(model), me, election, led_fence: None }
    }

    /// Returns the fencing number for orders, once the election allows this daemon to send them.
    pub(super) fn order_fence(&self) -> Option<Fence> {
        self.election.order_fence()
    }

    /// Makes the calls that the election requests now, and returns what changed.
    pub(super) fn drive<S: ObjectStore>(&mut self, store: &S, named: bool) -> Option<LeadChange> {
        self.election.set_candidate(named);
        for _ in 0..MAX_STORE_CALLS {
            match self.election.next() {
                LeadAction::Wait(_) => break,
                LeadAction::Read => self.read(store),
                LeadAction::Put { version } => self.put(store, version),
            }
        }
        let now = self.election.fence();
        let before = std::mem::replace(&mut self.led_fence, now);
        match (before, self.led_fence) {
            (before, Some(fence)) if before != Some(fence) => Some(LeadChange::Taken(fence)),
            (Some(fence), None) => Some(LeadChange::Lost(fence)),
            _ => None,
        }
    }

    fn read<S: ObjectStore>(&mut self, store: &S) {
        match store.get(&self.key) {
            Ok(Some(object)) => {
                // A record that can't be parsed is replaced, as if it named no lead.
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
