//! Endpoints whose leave or end was known when the store came back from an older copy, which may have them ready.

use crate::process::{Endpoint, EndpointId, Incarnation, StartMillis};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// After so long, and again and again, an endpoint that had left and is still listed as ready is asked: the entry of one that has
/// ended is gone by then, and one that leaves has said so again.
const ASK_EVERY: Duration = Duration::from_millis(3_500);
/// For how long a leave is remembered whose endpoint isn't listed: far longer than a copy is old.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// The most that are remembered.
const MAX_LEFT: usize = 4_096;
/// For how long a leave is reported whose endpoint isn't listed: longer than its copied entry is valid for.
const REPORTED_FOR: Duration = Duration::from_secs(5);
/// The most that are reported at once: more than leave in the seconds that a copy is old.
const MAX_REPORTED: usize = 64;

/// An incarnation that had left.
#[derive(Clone, Copy, Debug)]
struct Left {
    started: Option<StartMillis>,
    since: Instant,
    /// When it is asked next.
    ask_at: Instant,
}

/// The endpoints that had left before the present era of the store, by id.
#[derive(Clone, Debug, Default)]
pub(super) struct LeftEndpoints {
    left: BTreeMap<EndpointId, Left>,
    /// Those of them that said in this era that they are well.
    returned: BTreeMap<EndpointId, Option<StartMillis>>,
}

impl LeftEndpoints {
    /// A new era begins: what endpoints said in the one before no longer counts.
    pub(super) fn begin_era(&mut self) {
        self.returned.clear();
    }

    /// The leave of an incarnation binds in the era that begins at `now`.
    pub(super) fn insert(&mut self, incarnation: Incarnation, now: Instant) {
        if self.left.len() < MAX_LEFT {
            let left = Left { started: incarnation.started, since: now, ask_at: now + ASK_EVERY };
            self.left.entry(incarnation.id).or_insert(left);
        }
    }

    /// Whether an endpoint had left, in its incarnation.
    pub(super) fn holds(&self, endpoint: &Endpoint) -> bool {
        self.left.get(&endpoint.id).is_some_and(|left| left.started == endpoint.started)
    }

    /// An endpoint tells by itself whether it leaves.
    pub(super) fn remove(&mut self, id: &str) {
        self.left.remove(id);
    }

    /// An endpoint that had left says that it is well.
    pub(super) fn note_returned(&mut self, incarnation: &Incarnation) {
        self.remove(&incarnation.id);
        self.returned.insert(incarnation.id.clone(), incarnation.started);
    }

    /// Whether an endpoint said in this era, and in this incarnation, that it is well.
    pub(super) fn has_returned(&self, incarnation: &Incarnation) -> bool {
        self.returned.get(&incarnation.id).is_some_and(|started| *started == incarnation.started)
    }

    /// Those that are reported to other processes: the `listed` ones, and for a while the others, whose copied entry another process may
    /// still have.
    pub(super) fn to_report(
        &self,
        listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) -> Vec<Incarnation> {
        let reported =
            self.left.iter().filter(|(id, left)| now - left.since < REPORTED_FOR || listed(id));
        reported
            .map(|(id, left)| Incarnation::new(id.clone(), left.started))
            .take(MAX_REPORTED)
            .collect()
    }

    /// Those that are to be asked now, of the `listed` ones. The others are forgotten after a while.
    pub(super) fn due(
        &mut self,
        listed: impl Fn(&EndpointId) -> bool,
        now: Instant,
    ) -> Vec<EndpointId> {
        self.left.retain(|id, left| listed(id) || now - left.since < REMEMBERED_FOR);
        let mut found = Vec::new();
        for (id, left) in self.left.iter_mut().filter(|(id, left)| listed(id) && left.ask_at <= now)
        {
            left.ask_at = now + ASK_EVERY;
            found.push(id.clone());
        }
        found
    }

    /// All of them, to hand on.
    pub(super) fn incarnations(&self) -> impl Iterator<Item = Incarnation> {
        self.left.iter().map(|(id, left)| Incarnation::new(id.clone(), left.started))
    }
}
