//! Requests in progress by sequence number, sharded to reduce lock contention.

use sorrellock_core::id::Sequence;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// Number of shards.
const SHARDS: usize = 64;

type Shard<R> = HashMap<Sequence, Arc<Mutex<R>>>;

/// Requests in progress by sequence number.
pub struct RunTable<R> {
    shards: Vec<Mutex<Shard<R>>>,
}

impl<R> RunTable<R> {
    /// Creates an empty table.
    pub fn new() -> RunTable<R> {
        RunTable { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }

    /// Adds a request and returns it.
    pub fn insert(&self, sequence: Sequence, run: R) -> Arc<Mutex<R>> {
        let run = Arc::new(Mutex::new(run));
        self.shard(sequence).insert(sequence, run.clone());
        run
    }

    /// Returns the request with a sequence number.
    pub fn get(&self, sequence: Sequence) -> Option<Arc<Mutex<R>>> {
        self.shard(sequence).get(&sequence).cloned()
    }

    /// Removes and returns a request. Of several concurrent callers, exactly one gets it.
    pub fn remove(&self, sequence: Sequence) -> Option<Arc<Mutex<R>>> {
        self.shard(sequence).remove(&sequence)
    }

    /// Returns a snapshot of all requests; shards are copied one after another.
    pub fn all(&self) -> Vec<(Sequence, Arc<Mutex<R>>)> {
        let shards = self.shards.iter();
        let copy = |shard: &Mutex<Shard<R>>| {
            let shard = shard.lock().unwrap();
            shard.iter().map(|(sequence, run)| (*sequence, run.clone())).collect::<Vec<_>>()
        };
        shards.flat_map(copy).collect()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().unwrap().len()).sum()
    }

    /// Returns whether the table is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn shard(&self, sequence: Sequence) -> MutexGuard<'_, Shard<R>> {
        self.shards[sequence as usize % SHARDS].lock().unwrap()
    }
}

impl<R> Default for RunTable<R> {
    fn default() -> Self {
        RunTable::new()
    }
}
