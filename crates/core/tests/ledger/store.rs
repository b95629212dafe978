//! The simulated store, with versions, conditional writes, and a history for stale reads.

use crate::rng::Rng;
use sorrellock_core::id::Revision;
use sorrellock_core::process::ledger::{PutCondition, ReadObject, StoreCall, StoreReply};
use std::collections::BTreeMap;
use std::time::Duration;

/// Versions and values of one object, oldest first; the value `None` is a deletion.
type History = Vec<(Revision, Option<Vec<u8>>)>;

#[derive(Default)]
pub struct Store {
    objects: BTreeMap<String, History>,
    revision: Revision,
    pub writes: u64,
    pub down: bool,
}

impl Store {
    /// Executes a call. With `faults` it may be rate limited, and a read may return an older state.
    pub fn apply(&mut self, call: &StoreCall, rng: &mut Rng, faults: bool) -> StoreReply {
        if self.down {
            return StoreReply::Down { detail: "the model's store is down".into() };
        }
        if faults && rng.percent(3) {
            return StoreReply::RateLimited { retry_after: Duration::from_millis(50) };
        }
        let stale = faults && rng.percent(10);
        match call {
            StoreCall::Read { keys } => {
                StoreReply::Objects(keys.iter().map(|key| self.read(key, stale, rng)).collect())
            }
            StoreCall::Put { key, value, when } => self.put(key, value, *when),
            StoreCall::Delete { key, version } => self.delete(key, *version),
            StoreCall::List { prefix } => StoreReply::Listed(self.list(prefix)),
        }
    }

    pub fn read(&self, key: &str, stale: bool, rng: &mut Rng) -> ReadObject {
        let history = self.objects.get(key)?;
        let back = if stale { rng.below(3) } else { 0 };
        let at = history.len().checked_sub(1 + back)?;
        let (version, value) = &history[at];
        value.clone().map(|value| (*version, value))
    }

    pub fn list(&self, prefix: &str) -> Vec<(String, Revision)> {
        let under = self.objects.iter().filter(|(key, _)| key.starts_with(prefix));
        let live = under.filter_map(|(key, history)| {
            let (version, value) = history.last()?;
            value.is_some().then(|| (key.clone(), *version))
        });
        live.collect()
    }

    fn version(&self, key: &str) -> Revision {
        let last = self.objects.get(key).and_then(|history| history.last());
        last.filter(|(_, value)| value.is_some()).map_or(0, |(version, _)| *version)
    }

    fn put(&mut self, key: &str, value: &[u8], when: PutCondition) -> StoreReply {
        let found = self.version(key);
        let holds = match when {
            PutCondition::Absent => found == 0,
            PutCondition::Version(version) => found == version,
        };
        if !holds {
            return StoreReply::Conflict { found };
        }
        StoreReply::Written(self.write(key, Some(value.to_vec())))
    }

    fn delete(&mut self, key: &str, version: Revision) -> StoreReply {
        let found = self.version(key);
        if found == 0 || found != version {
            return StoreReply::Conflict { found };
        }
        self.write(key, None);
        StoreReply::Deleted
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>) -> Revision {
        self.revision += 1;
        self.writes += 1;
        self.objects.entry(key.to_owned()).or_default().push((self.revision, value));
        self.revision
    }
}
