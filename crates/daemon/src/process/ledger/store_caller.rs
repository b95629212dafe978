//! Makes a holder's calls to the platform's store.

use sorrellock_core::process::ledger::{PutCondition, ReadObject, StoreCall, StoreReply};
use sorrellock_ports::api::{ObjectStore, Precondition, StoreError};
use std::sync::Arc;
use std::thread;

/// Maximum number of threads that read the objects of one call in parallel.
const MAX_READERS: usize = 8;

/// Makes a holder's calls to the platform's store.
pub struct StoreCaller<S> {
    store: Arc<S>,
}

impl<S: ObjectStore> StoreCaller<S> {
    /// Creates a caller of `store`.
    pub fn new(store: Arc<S>) -> StoreCaller<S> {
        StoreCaller { store }
    }

    /// Makes one call. Blocks until the store answers or the call fails.
    pub fn call(&self, call: &StoreCall) -> StoreReply {
        let reply = match call {
            StoreCall::Read { keys } => self.read_all(keys).map(StoreReply::Objects),
            StoreCall::Put { key, value, when } => {
                self.store.put(key, value, precondition(*when)).map(StoreReply::Written)
            }
            StoreCall::List { prefix } => self.store.list(prefix).map(|listing| {
                let objects = listing.objects.into_iter();
                StoreReply::Listed(objects.map(|meta| (meta.key, meta.version)).collect())
            }),
            StoreCall::Delete { key, version } => {
                self.store.delete(key, *version).map(|()| StoreReply::Deleted)
            }
        };
        reply.unwrap_or_else(|err| error_reply(&err))
    }

    fn read_all(&self, keys: &[String]) -> Result<Vec<ReadObject>, StoreError> {
        if keys.len() <= 1 {
            return keys.iter().map(|key| self.read(key)).collect();
        }
        let share = keys.len().div_ceil(MAX_READERS);
        thread::scope(|scope| {
            let read = |keys: &[String]| keys.iter().map(|key| self.read(key)).collect::<Vec<_>>();
            let readers: Vec<_> =
                keys.chunks(share).map(|keys| scope.spawn(move || read(keys))).collect();
            let objects = readers.into_iter();
            objects.flat_map(|reader| reader.join().expect("a reader ends")).collect()
        })
    }

    fn read(&self, key: &str) -> Result<ReadObject, StoreError> {
        let object = self.store.get(key)?;
        Ok(object.map(|object| (object.version, object.value)))
    }
}

fn precondition(when: PutCondition) -> Precondition {
    match when {
        PutCondition::Absent => Precondition::Absent,
        PutCondition::Version(version) => Precondition::Version(version),
    }
}

/// Converts an error to a reply. An error that doesn't rule out that the write happened counts as a lost answer.
fn error_reply(err: &StoreError) -> StoreReply {
    match err {
        StoreError::Conflict { found } => StoreReply::Conflict { found: *found },
        StoreError::RateLimited { retry_after } => {
            StoreReply::RateLimited { retry_after: *retry_after }
        }
        StoreError::Unavailable { .. } => StoreReply::Down { detail: err.to_string() },
        StoreError::NoAnswer { .. } | StoreError::Invalid { .. } => {
            StoreReply::NoAnswer { detail: err.to_string() }
        }
    }
}
