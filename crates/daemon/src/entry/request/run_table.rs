//! Requests in progress by sequence number, in shards so that they don't wait for each other.

use sorrellock_core::id::Sequence;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard};

/// How many shards there are.
const SHARDS: usize = 64;

type Shard<R> = HashMap<Sequence, Arc<Mutex<R>>>;

/// Requests in progress.
pub struct RunTable<R> {
    shards: Vec<Mutex<Shard<R>>>,
}

impl<R> RunTable<R> {
    /// An empty table.
    pub fn new() -> RunTable<R> {
        RunTable { shards: (0..SHARDS).map(|_| Mutex::default()).collect() }
    }

    /// Adds a request.
    pub fn insert(&self, sequence: Sequence, run: R) -> Arc<Mutex<R>> {
        let run = Arc::new(Mutex::new(run));
        self.shard(sequence).insert(sequence, run.clone());
        run
    }

    /// The request of a number.
    pub fn get(&self, sequence: Sequence) -> Option<Arc<Mutex<R>>> {
        self.shard(sequence).get(&sequence).cloned()
    }

    /// Takes a request out. Of several that try, one gets it.
    pub fn remove(&self, sequence: Sequence) -> Option<Arc<Mutex<R>>> {
        self.shard(sequence).remove(&sequence)
    }

    /// All requests, as of now.
    pub fn all(&self) -> Vec<(Sequence, Arc<Mutex<R>>)> {
        let shards = self.shards.iter();
        let copy = |shard: &Mutex<Shard<R>>| {
            let shard = shard.lock().unwrap();
            shard.iter().map(|(sequence, run)| (*sequence, run.clone())).collect::<Vec<_>>()
        };
        shards.flat_map(copy).collect()
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.shards.iter().map(|shard| shard.lock().unwrap().len()).sum()
    }

    /// Whether there are none.
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
