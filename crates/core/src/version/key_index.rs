//! Finds workspaces by the hash of their callers' key.

use crate::version::Workspace;
use std::sync::Arc;

/// Parts of the index, by the first byte of the hash. A change copies the parts that it touches.
const SHARDS: usize = 256;

/// Workspaces by the hash of their callers' key. Clones share all parts.
#[derive(Clone, Debug)]
pub(crate) struct KeyIndex {
    shards: Vec<Arc<Vec<Arc<Workspace>>>>,
}

impl KeyIndex {
    pub(crate) fn new() -> KeyIndex {
        KeyIndex { shards: vec![Arc::default(); SHARDS] }
    }

    /// The workspace of a key's hash; the first in order of name, should several have it.
    pub(crate) fn get(&self, key_hash: &str) -> Option<&Arc<Workspace>> {
        let shard = &self.shards[shard_of(key_hash)];
        let at = shard.partition_point(|other| other.key_hash.as_str() < key_hash);
        shard.get(at).filter(|found| found.key_hash == key_hash)
    }

    /// Takes out the workspaces of a page's old content, and in those of its new one. Those that
    /// are the same in both are left alone.
    pub(crate) fn replace(&mut self, old: &[Arc<Workspace>], new: &[Arc<Workspace>]) {
        for gone in old.iter().filter(|item| find(new, &item.id) != Some(item)) {
            self.remove(gone);
        }
        for come in new.iter().filter(|item| find(old, &item.id) != Some(item)) {
            self.insert(come);
        }
    }

    fn remove(&mut self, item: &Arc<Workspace>) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(&item.key_hash)]);
        if let Ok(at) = shard.binary_search_by(|other| order(other).cmp(&order(item))) {
            shard.remove(at);
        }
    }

    fn insert(&mut self, item: &Arc<Workspace>) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(&item.key_hash)]);
        let at = shard.partition_point(|other| order(other) < order(item));
        shard.insert(at, item.clone());
    }
}

/// Finds a workspace by name among those of a page, which are in order of name.
fn find<'a>(items: &'a [Arc<Workspace>], id: &str) -> Option<&'a Arc<Workspace>> {
    let at = items.binary_search_by(|item| item.id.as_str().cmp(id)).ok()?;
    items.get(at)
}

fn order(item: &Workspace) -> (&str, &str) {
    (&item.key_hash, &item.id)
}

fn shard_of(key_hash: &str) -> usize {
    let first = key_hash.get(..2).and_then(|digits| usize::from_str_radix(digits, 16).ok());
    first.unwrap_or_default() % SHARDS
}
