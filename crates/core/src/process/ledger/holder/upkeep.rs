//! Upkeep of a shard's objects: short keys are written, and objects that no head refers to are deleted.

use super::holder::PendingCall;
use super::{Holder, HolderStep, Prepared, StoreCall};
use crate::clock::Clock;
use crate::id::Revision;
use crate::process::ledger::archive_prefix;
use std::collections::VecDeque;

/// Number of head puts between two deletes while claims wait.
const PUTS_PER_DELETE: u32 = 8;

/// Pending work other than claims.
#[derive(Clone, Debug)]
pub(super) struct Upkeep {
    /// A merged archive whose short keys are to be written next.
    pub(super) put_keys: Option<Prepared>,
    /// Puts of the head since the last delete.
    pub(super) puts_since_delete: u32,
    /// Whether the objects are to be listed.
    list_due: bool,
    /// Objects to delete, with their versions.
    orphans: VecDeque<(String, Revision)>,
}

impl Upkeep {
    pub(super) fn new() -> Upkeep {
        Upkeep { put_keys: None, puts_since_delete: 0, list_due: false, orphans: VecDeque::new() }
    }

    /// Schedules a listing of the objects, as some may be unreferenced.
    pub(super) fn schedule_listing(&mut self) {
        self.list_due = true;
    }

    pub(super) fn clear(&mut self) {
        *self = Upkeep::new();
    }
}

impl<C: Clock> Holder<C> {
    pub(super) fn has_work(&self) -> bool {
        let upkeep = &self.upkeep;
        !self.waiting.is_empty()
            || upkeep.list_due
            || !upkeep.orphans.is_empty()
            || upkeep.put_keys.is_some()
    }

    /// Whether upkeep takes precedence over waiting claims.
    pub(super) fn upkeep_first(&self) -> bool {
        let delete_due = self.upkeep.puts_since_delete >= PUTS_PER_DELETE;
        self.upkeep.put_keys.is_some()
            || delete_due && (self.upkeep.list_due || !self.upkeep.orphans.is_empty())
    }

    pub(super) fn next_upkeep(&mut self) -> HolderStep {
        if let Some(prepared) = self.upkeep.put_keys.take() {
            return self.put_keys(prepared);
        }
        if self.upkeep.list_due {
            self.upkeep.list_due = false;
            let prefix = archive_prefix(self.shard);
            return self.call(PendingCall::List, StoreCall::List { prefix });
        }
        let Some((key, version)) = self.upkeep.orphans.pop_front() else { return HolderStep::Idle };
        self.upkeep.puts_since_delete = 0;
        self.call(PendingCall::Delete, StoreCall::Delete { key, version })
    }

    /// Selects the orphaned objects: those that the head doesn't refer to and that are older than the
    /// head. The writer of such an object meant it for a head put that is conditional on a lower
    /// version, which can only fail by now.
    pub(super) fn on_listed(&mut self, objects: Vec<(String, Revision)>) {
        let Some(loaded) = &self.loaded else { return };
        let is_orphan = |(key, version): &(String, Revision)| {
            *version < loaded.version && !loaded.head.refers_to(self.shard, key)
        };
        self.upkeep.orphans = objects.into_iter().filter(is_orphan).collect();
    }
}
