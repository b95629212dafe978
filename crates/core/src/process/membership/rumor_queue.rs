//! Rumors that are still to be passed on, those told the least first.

use crate::id::Incarnation;
use std::collections::{BTreeSet, HashMap};

/// How often a rumor is told, beside the logarithm of the members that listen. Digests heal what
/// that misses: three times the logarithm cost three times the bytes and no tick less.
const MORE_REPEATS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Queued {
    told: u32,
    /// Tells the order of two rumors told equally often: the newer goes first.
    order: u64,
    whole: bool,
}

/// Rumors that are still to be passed on. At most one an instance: the latest.
#[derive(Debug, Default)]
pub(super) struct RumorQueue {
    queued: HashMap<Incarnation, Queued>,
    by_told: BTreeSet<(u32, u64, Incarnation)>,
    next_order: u64,
}

impl RumorQueue {
    /// Queues the latest on an instance, to be told as if new. `whole`: with its profile.
    pub fn push(&mut self, incarnation: Incarnation, whole: bool) {
        let was_whole = self.remove(incarnation).is_some_and(|queued| queued.whole);
        self.next_order += 1;
        let order = u64::MAX - self.next_order;
        self.insert(incarnation, Queued { told: 0, order, whole: whole || was_whole });
    }

    /// Takes an instance's rumor off.
    pub fn forget(&mut self, incarnation: Incarnation) {
        self.remove(incarnation);
    }

    /// Goes through the rumors, those told the least first, as long as `take` takes them; counts
    /// each as told, and drops it once it was told often enough for `listeners`.
    pub fn tell(&mut self, listeners: usize, mut take: impl FnMut(Incarnation, bool) -> bool) {
        let enough = MORE_REPEATS + usize::BITS - listeners.leading_zeros();
        let mut told = Vec::new();
        for (_, _, incarnation) in &self.by_told {
            if !take(*incarnation, self.queued[incarnation].whole) {
                break;
            }
            told.push(*incarnation);
        }
        for incarnation in told {
            let Some(mut queued) = self.remove(incarnation) else { continue };
            queued.told += 1;
            if queued.told < enough {
                self.insert(incarnation, queued);
            }
        }
    }

    fn insert(&mut self, incarnation: Incarnation, queued: Queued) {
        self.by_told.insert((queued.told, queued.order, incarnation));
        self.queued.insert(incarnation, queued);
    }

    fn remove(&mut self, incarnation: Incarnation) -> Option<Queued> {
        let queued = self.queued.remove(&incarnation)?;
        self.by_told.remove(&(queued.told, queued.order, incarnation));
        Some(queued)
    }
}
