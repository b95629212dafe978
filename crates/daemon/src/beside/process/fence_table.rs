//! Fencing of orders to the engines of a daemon, with one guard per model.

use crate::process::leads::lead_key;
use sorrellock_core::id::{Fence, Incarnation, ModelId, Revision};
use sorrellock_core::process::orders::{FenceGuard, LeadRecord};
use sorrellock_ports::api::{ObjectStore, Precondition, StoreError};
use sorrellock_wire::message::OrderRefusal;
use std::collections::HashMap;
use std::sync::Mutex;

/// Max models with a guard.
const MAX_MODELS: usize = 256;
/// Incarnation in a lead record that names no lead.
const NO_LEAD: Incarnation = 0;

/// Fencing guards by model.
pub(super) struct FenceTable<S> {
    store: Option<S>,
    guards: Mutex<HashMap<ModelId, FenceGuard>>,
}

impl<S: ObjectStore> FenceTable<S> {
    /// Creates an empty table. Without a store it refuses all orders.
    pub(super) fn new(store: Option<S>) -> FenceTable<S> {
        FenceTable { store, guards: Mutex::default() }
    }

    /// Admits or refuses an order by its fencing number. Reads the lead record before the first order of a model.
    pub(super) fn admit(&self, model: &ModelId, fence: Fence) -> Result<(), OrderRefusal> {
        if !self.has_read(model)? {
            let version = self.read_revision(model)?;
            self.guards.lock().unwrap().entry(model.clone()).or_default().on_read(version);
        }
        let mut guards = self.guards.lock().unwrap();
        let guard = guards.entry(model.clone()).or_default();
        guard.admit(fence).map_err(OrderRefusal::Fence)
    }

    fn has_read(&self, model: &ModelId) -> Result<bool, OrderRefusal> {
        let guards = self.guards.lock().unwrap();
        let guard = guards.get(model);
        if guard.is_none() && guards.len() >= MAX_MODELS {
            return Err(OrderRefusal::Busy);
        }
        Ok(guard.is_some_and(FenceGuard::has_read))
    }

    /// Returns the current revision of the model's lead record. A plain read may be served from a stale copy of the
    /// store, so this does a conditional put that is expected to conflict: the store checks it against the current
    /// object. Where there is no object, the put creates one that names no lead, and the next lead overwrites it.
    fn read_revision(&self, model: &ModelId) -> Result<Revision, OrderRefusal> {
        let store = self.store.as_ref();
        let store = store.ok_or_else(|| OrderRefusal::StoreDown("there is no store".into()))?;
        let value = serde_json::to_vec(&LeadRecord { lead: NO_LEAD }).expect("a record is JSON");
        match store.put(&lead_key(model), &value, Precondition::Absent) {
            Ok(version) | Err(StoreError::Conflict { found: version }) => Ok(version),
            Err(err) => Err(OrderRefusal::StoreDown(err.to_string())),
        }
    }
}
