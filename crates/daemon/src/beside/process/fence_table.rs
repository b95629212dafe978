//! The guards before the engines of a daemon, one for each model that gave an order.

use crate::process::leads::lead_key;
use sorrellock_core::id::{Fence, Incarnation, ModelId, Revision};
use sorrellock_core::process::orders::{FenceGuard, LeadRecord};
use sorrellock_ports::api::{ObjectStore, Precondition, StoreError};
use sorrellock_wire::message::OrderRefusal;
use std::collections::HashMap;
use std::sync::Mutex;

/// The most models that have a guard.
const MAX_MODELS: usize = 256;
/// A record that names nobody.
const NOBODY: Incarnation = 0;

/// The guards before the engines of a daemon.
pub(super) struct FenceTable<S> {
    store: Option<S>,
    guards: Mutex<HashMap<ModelId, FenceGuard>>,
}

impl<S: ObjectStore> FenceTable<S> {
    /// Guards that have read nothing. Without a store they refuse all orders.
    pub(super) fn new(store: Option<S>) -> FenceTable<S> {
        FenceTable { store, guards: Mutex::default() }
    }

    /// Admits an order, or refuses it. Reads who leads before the first order of a model.
    pub(super) fn admit(&self, model: &ModelId, fence: Fence) -> Result<(), OrderRefusal> {
        if !self.has_read(model)? {
            let version = self.read(model)?;
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

    /// The version of the lead's object. A plain read may come from an old copy of the store, so
    /// this is a put that is to clash: the store judges it by the object as it is. Where there is
    /// no object it makes one that names nobody, and the next lead writes over it.
    fn read(&self, model: &ModelId) -> Result<Revision, OrderRefusal> {
        let store = self.store.as_ref();
        let store = store.ok_or_else(|| OrderRefusal::StoreDown("there is no store".into()))?;
        let value = serde_json::to_vec(&LeadRecord { lead: NOBODY }).expect("a record is JSON");
        match store.put(&lead_key(model), &value, Precondition::Absent) {
            Ok(version) | Err(StoreError::Conflict { found: version }) => Ok(version),
            Err(err) => Err(OrderRefusal::StoreDown(err.to_string())),
        }
    }
}
