//! Applies lists and changes of the endpoints, and handles entries that are removed.

use crate::process::{Gateway, ReadEntry, check_expired, check_left, check_unlisted, note_starts};
use sorrellock_platform::{Change, StoredObject};
use sorrellock_routing::process::knowledge::EntryState;
use sorrellock_routing::process::{Endpoint, EndpointId, Incarnation, Revision};
use spdlog::info;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep_until};

/// How long after a failed call of the store a removed entry may only have expired: the first watch that
/// the store answers returns all changes of the meantime.
const EXPIRY_WINDOW: Duration = Duration::from_secs(3);
/// Entries removed at once, without notice, from which expiry is likelier than the deaths of their
/// endpoints: at least this many, and at least `MIN_EXPIRED_SHARE` of all.
const MIN_EXPIRED: usize = 3;
const MIN_EXPIRED_SHARE: f64 = 0.2;
/// How often missing and unusable entries are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Removes endpoints whose entries stay missing or unusable for too long, and recomputes the paths when an endpoint may get
/// no new work any more. Never returns.
pub(crate) async fn expire_entries(gateway: Rc<Gateway>) {
    loop {
        let asleep_at = Instant::now();
        let work_limit = gateway.knowledge.borrow().next_work_limit(asleep_at.into_std());
        let wake_at = asleep_at + EXPIRY_INTERVAL;
        sleep_until(work_limit.map_or(wake_at, |limit| wake_at.min(limit.into()))).await;
        let now = Instant::now().into_std();
        let to_ask = gateway.knowledge.borrow_mut().left_to_probe(now);
        to_ask.iter().for_each(|id| check_left(&gateway, id));
        let gone = gateway.knowledge.borrow_mut().expire(now);
        for (id, entry) in &gone {
            let why = match entry {
                EntryState::UnusableSince(..) => "its entry can't be used",
                _ => "missing after an outage of the store",
            };
            gateway.endpoint_gone(id, why);
        }
        if !gone.is_empty() || work_limit.is_some_and(|limit| now >= limit) {
            gateway.refresh_paths();
        }
    }
}

impl Gateway {
    /// Applies a list of all entries as of a revision. Missing entries may only have expired in an outage, or be lacking in the copy
    /// that a new era of the store began with.
    pub(crate) fn apply_endpoint_list(
        self: &Rc<Self>,
        objects: Vec<StoredObject>,
        at: Revision,
        after_outage: bool,
    ) {
        let begins_era = at.era > self.knowledge.borrow().endpoints_at().era;
        self.knowledge.borrow_mut().begin_era(at, Instant::now().into_std());
        let listed: HashSet<EndpointId> =
            objects.iter().map(|object| object.name.clone()).collect();
        let entries: Vec<ReadEntry> = objects.into_iter().map(ReadEntry::from).collect();
        note_starts(self, entries.iter());
        self.apply_together(entries.len(), "list", || {
            entries.into_iter().for_each(|entry| self.apply_entry(entry, "list"));
        });
        if after_outage || begins_era {
            let missing =
                self.knowledge.borrow_mut().mark_unlisted(&listed, Instant::now().into_std());
            for id in &missing {
                info!("entry of an endpoint missing after an outage", kv: { endpoint = id.as_str() });
                check_expired(self, id);
            }
            return;
        }
        let missing = self.knowledge.borrow().unlisted(&listed);
        for id in missing {
            self.on_entry_removed(&id, false);
        }
    }

    /// Applies changes in order.
    pub(crate) fn apply_endpoint_changes(self: &Rc<Self>, changes: Vec<Change>) {
        let may_have_expired = self.may_have_expired(&changes);
        let read = |change| match change {
            Change::Written(object) => Ok(ReadEntry::from(object)),
            Change::Removed(name) => Err(name),
        };
        let read: Vec<Result<ReadEntry, EndpointId>> = changes.into_iter().map(read).collect();
        note_starts(self, read.iter().filter_map(|change| change.as_ref().ok()));
        for change in read {
            match change {
                Ok(entry) => self.apply_entry(entry, "watch"),
                Err(removed) => self.on_entry_removed(&removed, may_have_expired),
            }
        }
    }

    /// Returns whether removed entries may only have expired: after an outage, or if many are removed at
    /// once without notice, as a pending watch may not notice an outage.
    fn may_have_expired(&self, changes: &[Change]) -> bool {
        let failed = self.store_failed.get();
        if failed.is_some_and(|failed| failed.elapsed() < EXPIRY_WINDOW) {
            return true;
        }
        let knowledge = self.knowledge.borrow();
        let is_unannounced = |change: &&Change| match change {
            Change::Removed(name) => knowledge.endpoint(name).is_some_and(|e| !e.is_leaving),
            Change::Written(_) => false,
        };
        let share = (knowledge.endpoints().count() as f64 * MIN_EXPIRED_SHARE).ceil() as usize;
        changes.iter().filter(is_unannounced).count() >= share.max(MIN_EXPIRED)
    }

    /// Handles a removed entry: its endpoint left, with or without notice, died, or only can't reach the
    /// store. A health check shows whether it is alive.
    fn on_entry_removed(self: &Rc<Self>, name: &str, may_have_expired: bool) {
        let gateway = self;
        if gateway.knowledge.borrow().is_unusable(name) {
            // It expires like any unusable entry; its health makes no difference.
            gateway.knowledge.borrow_mut().forget_refused(name);
            return;
        }
        let incarnation = gateway.knowledge.borrow().endpoint(name).map(Endpoint::incarnation);
        let is_dead = incarnation.is_some_and(|incarnation| gateway.is_dead(&incarnation))
            && !may_have_expired;
        if is_dead || !gateway.knowledge.borrow_mut().mark_missing(name, Instant::now().into_std())
        {
            gateway.remove_endpoint(name, "watch");
            return;
        }
        if may_have_expired {
            info!("entry of an endpoint missing after an outage", kv: { endpoint = name });
            check_expired(gateway, name);
            return;
        }
        check_unlisted(gateway, name);
    }

    /// Removes an endpoint whose entry is missing, as `source` found that it leaves. One whose entry is back stays. Returns
    /// whether it was removed.
    pub(crate) fn remove_missing(&self, incarnation: &Incarnation, source: &str) -> bool {
        let is_missing = {
            let knowledge = self.knowledge.borrow();
            knowledge.is_missing(&incarnation.id) && knowledge.is_current(incarnation)
        };
        if is_missing {
            self.remove_endpoint(&incarnation.id, source);
        }
        is_missing
    }
}
