//! The store, with the records that gateways keep there.

use sorrellock_routing::process::crashes::{HeldRequest, UnixMillis};
use sorrellock_routing::request::ContentId;
use std::collections::BTreeMap;

/// The store of the fleet.
#[derive(Default)]
pub struct Store {
    pub records: BTreeMap<ContentId, HeldRequest>,
    pub is_down: bool,
}

impl Store {
    pub fn write(&mut self, record: HeldRequest, now: UnixMillis) {
        match self.records.get_mut(&record.content) {
            Some(stored) => drop(stored.merge(record, now)),
            None => drop(self.records.insert(record.content, record)),
        }
    }

    /// Grants a trial to the first gateway that claims it.
    pub fn claim_trial(&mut self, content: ContentId, gateway: &str) -> Option<HeldRequest> {
        let record = self.records.get_mut(&content).filter(|_| !self.is_down)?;
        if !record.is_held() || record.trial_by.is_some() {
            return None;
        }
        record.trial_by = Some(gateway.to_owned());
        Some(record.clone())
    }
}
