//! The objects of the stand-in platform.

use sorrellock_core::id::Revision;
use sorrellock_ports::api::{Listing, Object, ObjectMeta, Precondition};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Deleted keys that are remembered for watches.
const MAX_TOMBSTONES: usize = 65_536;

/// Objects in memory, with one revision for all.
#[derive(Clone, Debug, Default)]
pub(crate) struct Store {
    revision: Revision,
    objects: BTreeMap<String, Stored>,
    tombstones: BTreeMap<String, Revision>,
    deletions: BTreeMap<Revision, String>,
    compacted: Revision,
}

#[derive(Clone, Debug)]
struct Stored {
    version: Revision,
    value: Arc<[u8]>,
}

impl Store {
    pub(crate) fn revision(&self) -> Revision {
        self.revision
    }

    pub(crate) fn get(&self, key: &str) -> Option<Object> {
        let stored = self.objects.get(key)?;
        let value = stored.value.to_vec();
        Some(Object { key: key.to_owned(), version: stored.version, value })
    }

    pub(crate) fn version(&self, key: &str) -> Revision {
        self.objects.get(key).map_or(0, |stored| stored.version)
    }

    /// The revision at which `key` was last written or deleted, 0 for never.
    pub(crate) fn last_change(&self, key: &str) -> Revision {
        self.version(key).max(self.tombstones.get(key).copied().unwrap_or(0))
    }

    /// Writes, if the condition holds; else gives the version found, 0 for none.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: &[u8],
        when: Precondition,
    ) -> Result<Revision, Revision> {
        let found = self.version(key);
        let holds = match when {
            Precondition::Absent => found == 0,
            Precondition::Version(version) => found != 0 && found == version,
        };
        if holds { Ok(self.write(key, value)) } else { Err(found) }
    }

    /// Writes without a condition.
    pub(crate) fn write(&mut self, key: &str, value: &[u8]) -> Revision {
        self.revision += 1;
        if let Some(deleted) = self.tombstones.remove(key) {
            self.deletions.remove(&deleted);
        }
        let stored = Stored { version: self.revision, value: value.into() };
        self.objects.insert(key.to_owned(), stored);
        self.revision
    }

    /// Deletes an object at `version`; else gives the version found, 0 for none.
    pub(crate) fn delete(&mut self, key: &str, version: Revision) -> Result<Revision, Revision> {
        let found = self.version(key);
        if found == 0 || found != version {
            return Err(found);
        }
        self.revision += 1;
        self.objects.remove(key);
        self.tombstones.insert(key.to_owned(), self.revision);
        self.deletions.insert(self.revision, key.to_owned());
        self.forget_oldest();
        Ok(self.revision)
    }

    pub(crate) fn list(&self, prefix: &str) -> Listing {
        let under = self.objects.range(prefix.to_owned()..);
        let objects = under
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| ObjectMeta { key: key.clone(), version: stored.version })
            .collect();
        Listing { revision: self.revision, objects }
    }

    /// What changed under `prefix` after revision `after`; deleted objects at version 0.
    pub(crate) fn changes(&self, prefix: &str, after: Revision) -> Listing {
        let mut listing = self.list(prefix);
        listing.objects.retain(|meta| meta.version > after);
        let gone = self.tombstones.range(prefix.to_owned()..);
        let gone = gone
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, revision)| **revision > after)
            .map(|(key, _)| ObjectMeta { key: key.clone(), version: 0 });
        listing.objects.extend(gone);
        listing.objects.sort_by(|a, b| a.key.cmp(&b.key));
        listing
    }

    /// Whether the deletions after `after` are all remembered.
    pub(crate) fn remembers(&self, after: Revision) -> bool {
        after >= self.compacted
    }

    fn forget_oldest(&mut self) {
        if self.deletions.len() <= MAX_TOMBSTONES {
            return;
        }
        if let Some((revision, key)) = self.deletions.pop_first() {
            self.tombstones.remove(&key);
            self.compacted = revision;
        }
    }
}
