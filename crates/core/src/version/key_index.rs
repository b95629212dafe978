//! An index of workspaces by the hash of their API key.

use crate::version::Workspace;
use std::sync::Arc;

/// Number of shards of the index, selected by the first byte of the hash. A change copies only the shards that it
/// modifies.
const SHARDS: usize = 256;

/// Workspaces by the hash of their API key. Clones share all shards.
#[derive(Clone, Debug)]
pub(crate) struct KeyIndex {
    shards: Vec<Arc<Vec<Arc<Workspace>>>>,
}

impl KeyIndex {
    pub(crate) fn new() -> KeyIndex {
        KeyIndex { shards: vec![Arc::default(); SHARDS] }
    }

    /// Finds the workspace with this key hash. If several have it, returns the first by name.
    pub(crate) fn get(&self, key_hash: &str) -> Option<&Arc<Workspace>> {
        let shard = &self.shards[shard_of(key_hash)];
        let at = shard.partition_point(|other| other.key_hash.as_str() < key_hash);
        shard.get(at).filter(|found| found.key_hash == key_hash)
    }

    /// Replaces the workspaces of a page's old content by those of its new content. Workspaces that are equal in both
    /// aren't touched.
    pub(crate) fn replace(&mut self, old: &[Arc<Workspace>], new: &[Arc<Workspace>]) {
        for removed in old.iter().filter(|item| find_by_id(new, &item.id) != Some(item)) {
            self.remove(removed);
        }
        for added in new.iter().filter(|item| find_by_id(old, &item.id) != Some(item)) {
            self.insert(added);
        }
    }

    fn remove(&mut self, item: &Arc<Workspace>) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(&item.key_hash)]);
        if let Ok(at) = shard.binary_search_by(|other| sort_key(other).cmp(&sort_key(item))) {
            shard.remove(at);
        }
    }

    fn insert(&mut self, item: &Arc<Workspace>) {
        let shard = Arc::make_mut(&mut self.shards[shard_of(&item.key_hash)]);
        let at = shard.partition_point(|other| sort_key(other) < sort_key(item));
        shard.insert(at, item.clone());
    }
}

/// Finds a workspace by name among those of a page, which are sorted by name.
fn find_by_id<'a>(items: &'a [Arc<Workspace>], id: &str) -> Option<&'a Arc<Workspace>> {
    let at = items.binary_search_by(|item| item.id.as_str().cmp(id)).ok()?;
    items.get(at)
}

fn sort_key(item: &Workspace) -> (&str, &str) {
    (&item.key_hash, &item.id)
}

fn shard_of(key_hash: &str) -> usize {
    let first = key_hash.get(..2).and_then(|digits| usize::from_str_radix(digits, 16).ok());
    first.unwrap_or_default() % SHARDS
}
