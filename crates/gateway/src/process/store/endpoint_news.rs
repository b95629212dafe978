//! What the store tells of the endpoints, and what is made of entries that go.

use crate::process::{Gateway, ReadEntry, check_lapsed, check_left, check_unlisted, note_starts};
use sorrellock_platform::{Change, StoredObject};
use sorrellock_routing::process::knowledge::EntryState;
use sorrellock_routing::process::{Endpoint, EndpointId, Incarnation, Revision};
use spdlog::info;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// For so long after a failed call of the store a removed entry may only have lapsed: what the
/// store did meanwhile comes with the first watch that it answers.
const LAPSE_DOUBT: Duration = Duration::from_secs(3);
/// Endpoints that vanish at once, unsaid, from which on a lapse is likelier than their deaths: at
/// least so many, and this share of all.
const LEAST_LAPSES: usize = 3;
const LAPSES_SHARE: f64 = 0.2;
/// How often missing entries are looked at.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(200);

/// Gives up endpoints whose entries stay missing or can't be used for too long.
pub(crate) async fn expire_entries(gateway: Rc<Gateway>) {
    loop {
        sleep(EXPIRY_INTERVAL).await;
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
        if !gone.is_empty() {
            gateway.refresh_paths();
        }
    }
}

impl Gateway {
    /// Takes a list of all entries as of a revision. After an outage those that are missing may only have lapsed, and the copy that a
    /// new era of the store began with may lack them.
    pub(crate) fn take_endpoint_list(
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
        for entry in entries {
            self.apply_entry(entry, "list");
        }
        if after_outage || begins_era {
            let missing =
                self.knowledge.borrow_mut().mark_unlisted(&listed, Instant::now().into_std());
            for id in &missing {
                info!("entry of an endpoint missing after an outage", kv: { endpoint = id.as_str() });
                check_lapsed(self, id);
            }
            return;
        }
        let missing = self.knowledge.borrow().unlisted(&listed);
        for id in missing {
            self.on_entry_removed(&id, false);
        }
    }

    /// Takes changes in their order.
    pub(crate) fn take_endpoint_changes(self: &Rc<Self>, changes: Vec<Change>) {
        let may_have_lapsed = self.may_have_lapsed(&changes);
        let read = |change| match change {
            Change::Written(object) => Ok(ReadEntry::from(object)),
            Change::Removed(name) => Err(name),
        };
        let read: Vec<Result<ReadEntry, EndpointId>> = changes.into_iter().map(read).collect();
        note_starts(self, read.iter().filter_map(|change| change.as_ref().ok()));
        for change in read {
            match change {
                Ok(entry) => self.apply_entry(entry, "watch"),
                Err(removed) => self.on_entry_removed(&removed, may_have_lapsed),
            }
        }
    }

    /// Whether entries that were removed may only have lapsed: after an outage, or where many go
    /// at once that did not say so, as an outage can pass unseen by a watch that waits.
    fn may_have_lapsed(&self, changes: &[Change]) -> bool {
        let failed = self.store_failed.get();
        if failed.is_some_and(|failed| failed.elapsed() < LAPSE_DOUBT) {
            return true;
        }
        let knowledge = self.knowledge.borrow();
        let is_unsaid = |change: &&Change| match change {
            Change::Removed(name) => knowledge.endpoint(name).is_some_and(|e| !e.is_leaving),
            Change::Written(_) => false,
        };
        let share = (knowledge.endpoints().count() as f64 * LAPSES_SHARE).ceil() as usize;
        changes.iter().filter(is_unsaid).count() >= share.max(LEAST_LAPSES)
    }

    /// An entry is gone: of an endpoint that left, with a word or without, that died, or that only
    /// doesn't reach the store. Whether it lives, its health tells.
    fn on_entry_removed(self: &Rc<Self>, name: &str, may_have_lapsed: bool) {
        let gateway = self;
        if gateway.knowledge.borrow().is_unusable(name) {
            // It goes in its time; its health does not speak for it.
            gateway.knowledge.borrow_mut().forget_refused(name);
            return;
        }
        let incarnation = gateway.knowledge.borrow().endpoint(name).map(Endpoint::incarnation);
        let is_dead = incarnation.is_some_and(|incarnation| gateway.is_dead(&incarnation))
            && !may_have_lapsed;
        if is_dead || !gateway.knowledge.borrow_mut().mark_missing(name, Instant::now().into_std())
        {
            gateway.remove_endpoint(name, "watch");
            return;
        }
        if may_have_lapsed {
            info!("entry of an endpoint missing after an outage", kv: { endpoint = name });
            check_lapsed(gateway, name);
            return;
        }
        check_unlisted(gateway, name);
    }

    /// Gives up an endpoint whose entry is missing, as `source` found that it leaves. One whose entry is back stays. Tells
    /// whether it was given up.
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
