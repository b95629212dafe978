//! Queue of rumors to pass on, the least often sent first.

use crate::id::Incarnation;
use std::collections::{BTreeSet, HashMap};

/// How often a rumor is sent, in addition to the logarithm of the number of listeners. Digests repair
/// what that misses: three times the logarithm cost three times the bytes and saved no tick.
const EXTRA_REPEATS: u32 = 2;

#[derive(Clone, Copy, Debug)]
struct Queued {
    times_sent: u32,
    /// Orders rumors sent equally often: the newer one goes first.
    order: u64,
    whole: bool,
}

/// Holds the rumors to pass on, at most one per instance: the latest.
#[derive(Debug, Default)]
pub(super) struct RumorQueue {
    queued: HashMap<Incarnation, Queued>,
    by_times_sent: BTreeSet<(u32, u64, Incarnation)>,
    next_order: u64,
}

impl RumorQueue {
    /// Queues the latest state of an instance and resets its send count. `whole`: includes the profile.
    pub fn push(&mut self, incarnation: Incarnation, whole: bool) {
        let was_whole = self.remove(incarnation).is_some_and(|queued| queued.whole);
        self.next_order += 1;
        let order = u64::MAX - self.next_order;
        self.insert(incarnation, Queued { times_sent: 0, order, whole: whole || was_whole });
    }

    /// Removes the rumor of an instance.
    pub fn forget(&mut self, incarnation: Incarnation) {
        self.remove(incarnation);
    }

    /// Passes the rumors to `take`, the least often sent first, until it returns false. Counts each
    /// accepted rumor as sent and drops it once it was sent often enough for `listeners`.
    pub fn take_next(&mut self, listeners: usize, mut take: impl FnMut(Incarnation, bool) -> bool) {
        let enough = EXTRA_REPEATS + usize::BITS - listeners.leading_zeros();
        let mut taken = Vec::new();
        for (_, _, incarnation) in &self.by_times_sent {
            if !take(*incarnation, self.queued[incarnation].whole) {
                break;
            }
            taken.push(*incarnation);
        }
        for incarnation in taken {
            let Some(mut queued) = self.remove(incarnation) else { continue };
            queued.times_sent += 1;
            if queued.times_sent < enough {
                self.insert(incarnation, queued);
            }
        }
    }

    fn insert(&mut self, incarnation: Incarnation, queued: Queued) {
        self.by_times_sent.insert((queued.times_sent, queued.order, incarnation));
        self.queued.insert(incarnation, queued);
    }

    fn remove(&mut self, incarnation: Incarnation) -> Option<Queued> {
        let queued = self.queued.remove(&incarnation)?;
        self.by_times_sent.remove(&(queued.times_sent, queued.order, incarnation));
        Some(queued)
    }
}
