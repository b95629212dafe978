//! Which prompt prefixes an engine holds.

use std::collections::{BTreeMap, HashMap};

/// Blocks of prompts, the one used longest ago goes first.
#[derive(Debug)]
pub(crate) struct PrefixCache {
    capacity: usize,
    used: u64,
    blocks: HashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
}

/// What the use of a prompt did to the cache.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct PrefixUse {
    /// Blocks at the prompt's front that were there.
    pub(crate) hits: usize,
    /// Blocks that came in.
    pub(crate) stored: Vec<u64>,
    /// Blocks that went.
    pub(crate) dropped: Vec<u64>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: usize) -> PrefixCache {
        PrefixCache { capacity, used: 0, blocks: HashMap::new(), by_use: BTreeMap::new() }
    }

    /// Uses the blocks of a prompt, shortest prefix first.
    pub(crate) fn touch(&mut self, prefixes: &[u64]) -> PrefixUse {
        let mut res = PrefixUse::default();
        let prefixes = &prefixes[..prefixes.len().min(self.capacity)];
        res.hits = prefixes.iter().take_while(|hash| self.blocks.contains_key(hash)).count();
        // The longest prefixes are the first to go, as they serve the fewest prompts.
        for hash in prefixes.iter().rev() {
            if self.mark(*hash) {
                res.stored.push(*hash);
            }
        }
        while self.blocks.len() > self.capacity {
            res.dropped.extend(self.drop_oldest());
        }
        res
    }

    /// Empties the cache and gives what was in it.
    pub(crate) fn clear(&mut self) -> Vec<u64> {
        self.by_use.clear();
        self.blocks.drain().map(|(hash, _)| hash).collect()
    }

    /// Marks a block as used now; tells whether it is new.
    fn mark(&mut self, hash: u64) -> bool {
        self.used += 1;
        let before = self.blocks.insert(hash, self.used);
        if let Some(before) = before {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.used, hash);
        before.is_none()
    }

    fn drop_oldest(&mut self) -> Option<u64> {
        let (_, hash) = self.by_use.pop_first()?;
        self.blocks.remove(&hash);
        Some(hash)
    }
}
