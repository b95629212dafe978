//! Keeps the records of held requests in the store, so that they outlast all gateways, and claims trials there.

use super::unix_now;
use crate::process::{Count, FirstData, Gateway};
use sorrellock_platform::{Kind, Store, StoreError};
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::crashes::{HeldRequest, HeldSource, RunRequest};
use sorrellock_routing::request::ContentId;
use spdlog::{info, warn};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// Interval at which the store is checked and written, beyond changes.
const SYNC_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// Maximum number of records to write in one round.
const MAX_SAVES: usize = 32;
/// Maximum number of expired records to remove in one round, as each is a call.
const MAX_REMOVALS: usize = 16;

/// Lists and writes records, indefinitely. Each gateway lists at its start unless it reads those of a relay, and later one for all.
pub(crate) async fn sync_held(gateway: Rc<Gateway>, store: Store) {
    FirstData::new(&gateway).await.wait_for_held().await;
    loop {
        if let Err(err) = sync_once(&gateway, &store).await {
            gateway.on_store_failed(&err);
            let text = err.to_string();
            warn!("held requests not synchronized with the store", kv: { err = text.as_str() });
            sleep(RETRY_DELAY).await;
        }
        // Both a change and the time are reasons to go on.
        let _ = timeout(SYNC_INTERVAL, gateway.held_changed.notified()).await;
    }
}

async fn sync_once(gateway: &Gateway, store: &Store) -> Result<(), StoreError> {
    if is_list_due(gateway) {
        let res = list(gateway, store).await;
        gateway.held_sync.borrow_mut().on_list(res.is_ok(), Instant::now().into_std());
        res?;
    }
    for _ in 0..MAX_SAVES {
        let unsaved = gateway.crash_guard.borrow().held().next_unsaved().cloned();
        let Some(record) = unsaved else { break };
        save(gateway, store, &record).await?;
    }
    Ok(())
}

fn is_list_due(gateway: &Gateway) -> bool {
    let now = Instant::now();
    let fleet_state = gateway.fleet_state.borrow();
    let is_first = fleet_state.rank(&gateway.settings.instance, now) == 0;
    let is_parted = fleet_state.live(now) < fleet_state.sharers.listed();
    gateway.held_sync.borrow().is_list_due(is_first, is_parted, now.into_std())
}

/// Merges the store's records. Has those written that it lacks, as it may have come back from an older copy, and
/// removes the expired ones.
async fn list(gateway: &Gateway, store: &Store) -> Result<(), StoreError> {
    let listing = store.list(Kind::HeldRequests).await?;
    gateway.refuse_nameless(&listing.nameless, "HeldRequests");
    let now = unix_now();
    let mut records = Vec::new();
    let mut expired = Vec::new();
    for object in &listing.objects {
        match object.read::<HeldRequest>() {
            Ok(record) if record.is_expired(now) => expired.push(object.name.clone()),
            Ok(record) => records.push(record),
            Err(fault) => {
                let what = "record of a held request refused";
                gateway.refuse_own_object(Count::HeldRecordsRefused, what, &object.name, &fault);
            }
        }
    }
    let generations: HashMap<ContentId, u32> =
        records.iter().map(|record| (record.content, record.generation)).collect();
    gateway.merge_held(records, HeldSource::Store);
    let is_newer = |own: &HeldRequest| {
        generations.get(&own.content).is_none_or(|stored| *stored < own.generation)
    };
    let newer: Vec<HeldRequest> =
        gateway.held_records().into_iter().filter(|own| is_newer(own)).collect();
    for own in &newer {
        gateway.crash_guard.borrow_mut().held_mut().on_missing_in_store(own.content);
    }
    for name in expired.iter().take(MAX_REMOVALS) {
        match store.remove(Kind::HeldRequests, name).await {
            Ok(()) | Err(StoreError::NotFound) => {}
            Err(err) => return Err(err),
        }
    }
    Ok(())
}

/// Writes a record, merged with the store's.
async fn save(gateway: &Gateway, store: &Store, record: &HeldRequest) -> Result<(), StoreError> {
    let name = record.content.to_string();
    match store.create(Kind::HeldRequests, &name, record).await {
        Ok(_) => {}
        Err(StoreError::Conflict) => match read(gateway, store, record.content).await? {
            Some((stored, revision)) => {
                let mut merged = stored.clone();
                if merged.merge(record.clone(), unix_now()) {
                    store.replace(Kind::HeldRequests, &name, revision, &merged).await?;
                }
                gateway.merge_held(vec![merged], HeldSource::Store);
            }
            None => return Ok(()),
        },
        Err(err) => return Err(err),
    }
    let mut guard = gateway.crash_guard.borrow_mut();
    // A change meanwhile is written next.
    if guard.held().get(record.content).is_none_or(|now| now.generation <= record.generation) {
        guard.held_mut().on_saved(record.content);
    }
    Ok(())
}

/// Reads a record. One that can't be read is removed, so that it can be written anew.
async fn read(
    gateway: &Gateway,
    store: &Store,
    content: ContentId,
) -> Result<Option<(HeldRequest, Revision)>, StoreError> {
    let name = content.to_string();
    let object = match store.get(Kind::HeldRequests, &name).await {
        Ok(object) => object,
        Err(StoreError::NotFound) => return Ok(None),
        Err(err) => return Err(err),
    };
    match object.read::<HeldRequest>() {
        Ok(record) => Ok(Some((record, object.revision))),
        Err(fault) => {
            let what = "record of a held request refused";
            gateway.refuse_own_object(Count::HeldRecordsRefused, what, &name, &fault);
            store.remove(Kind::HeldRequests, &name).await?;
            Ok(None)
        }
    }
}

impl Gateway {
    /// Claims the trials of all that a request is held back for. Returns whether this gateway may send it once.
    pub(crate) async fn claim_trials(&self, request: &RunRequest) -> bool {
        let due = self.crash_guard.borrow().trials_due(request, unix_now());
        for id in &due {
            if !self.claim_trial(*id).await {
                return false;
            }
        }
        !due.is_empty()
    }

    /// Claims the trial of a held request for this gateway. The store grants it to one gateway only, also while some
    /// don't reach each other; without the store there is no trial.
    async fn claim_trial(&self, content: ContentId) -> bool {
        let store = self.store.borrow().clone();
        let Some(store) = store else { return false };
        match self.try_claim_trial(&store, content).await {
            Ok(is_claimed) => is_claimed,
            Err(err) => {
                let (content, text) = (content.to_string(), err.to_string());
                info!("trial of a held request not claimed", kv: {
                    content = content.as_str(), err = text.as_str()
                });
                false
            }
        }
    }

    async fn try_claim_trial(&self, store: &Store, content: ContentId) -> Result<bool, StoreError> {
        let Some((mut record, revision)) = read(self, store, content).await? else {
            return Ok(false);
        };
        if !record.is_held() || record.trial_by.is_some() {
            self.merge_held(vec![record], HeldSource::Store);
            return Ok(false);
        }
        record.trial_by = Some(self.settings.instance.clone());
        store.replace(Kind::HeldRequests, &content.to_string(), revision, &record).await?;
        self.merge_held(vec![record], HeldSource::Store);
        self.counters.add(Count::HeldTrials);
        let content = content.to_string();
        info!("held request tried", kv: { content = content.as_str() });
        Ok(true)
    }
}
