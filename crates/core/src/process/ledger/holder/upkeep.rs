//! Upkeep of a shard's objects: what no head refers to is deleted.

use super::holder::Doing;
use super::{Holder, HolderStep, Prepared, StoreCall};
use crate::clock::Clock;
use crate::id::Revision;
use crate::process::ledger::archive_prefix;
use std::collections::VecDeque;

/// Heads put between two deletes while claims wait.
const PUTS_PER_DELETE: u32 = 8;

/// What is to be done besides claims.
#[derive(Clone, Debug)]
pub(super) struct Upkeep {
    /// A merged archive whose short keys are to be written next.
    pub(super) put_keys: Option<Prepared>,
    pub(super) put_since_delete: u32,
    list: bool,
    litter: VecDeque<(String, Revision)>,
}

impl Upkeep {
    pub(super) fn new() -> Upkeep {
        Upkeep { put_keys: None, put_since_delete: 0, list: false, litter: VecDeque::new() }
    }

    /// There may be litter.
    pub(super) fn begin(&mut self) {
        self.list = true;
    }

    pub(super) fn clear(&mut self) {
        *self = Upkeep::new();
    }
}

impl<C: Clock> Holder<C> {
    pub(super) fn has_work(&self) -> bool {
        let upkeep = &self.upkeep;
        !self.waiting.is_empty()
            || upkeep.list
            || !upkeep.litter.is_empty()
            || upkeep.put_keys.is_some()
    }

    /// Whether upkeep goes before the claims that wait.
    pub(super) fn upkeep_first(&self) -> bool {
        let turn = self.upkeep.put_since_delete >= PUTS_PER_DELETE;
        self.upkeep.put_keys.is_some()
            || turn && (self.upkeep.list || !self.upkeep.litter.is_empty())
    }

    pub(super) fn next_upkeep(&mut self) -> HolderStep {
        if let Some(prepared) = self.upkeep.put_keys.take() {
            return self.put_keys(prepared);
        }
        if self.upkeep.list {
            self.upkeep.list = false;
            let prefix = archive_prefix(self.shard);
            return self.call(Doing::List, StoreCall::List { prefix });
        }
        let Some((key, version)) = self.upkeep.litter.pop_front() else { return HolderStep::Idle };
        self.upkeep.put_since_delete = 0;
        self.call(Doing::Delete, StoreCall::Delete { key, version })
    }

    /// An object is litter if no head refers to it and it is older than the head known: its writer
    /// meant it for a head put on a lower version, and that put can only clash by now.
    pub(super) fn on_listed(&mut self, objects: Vec<(String, Revision)>) {
        let Some(loaded) = &self.loaded else { return };
        let is_litter = |(key, version): &(String, Revision)| {
            *version < loaded.version && !loaded.head.refers_to(self.shard, key)
        };
        self.upkeep.litter = objects.into_iter().filter(is_litter).collect();
    }
}
