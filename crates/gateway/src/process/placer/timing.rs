//! When the chains of a data centre are planned anew, and for which engines.

use super::Placer;
use sorrellock_routing::process::placement::{
    PlannedEngine, are_chains_whole, could_make_more_chains, covers, is_any_chain_scarce,
};
use sorrellock_routing::process::{DataCentre, Endpoint, Incarnation};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// With no chain in a data centre yet, how long its set of engines must stay the same before the
/// first plan. Engines of one start register over some seconds, but a first chain of few serves
/// sooner, and is made anew at rest.
const SETTLE: Duration = Duration::from_millis(600);
/// How long a chain must be whole before it is balanced: troubles often come together, and an
/// engine that joins is often followed within seconds by the one that it replaces.
const BALANCE_AFTER: Duration = Duration::from_secs(3);
/// The same for a chain that has less than about half of the room that it could have.
const BALANCE_SCARCE_AFTER: Duration = Duration::from_millis(300);
/// The same where there are several chains, which run each other's lost layers: an engine that
/// crashed is back within some five seconds, and takes its part again while nothing else moves.
const BALANCE_CHAINS_AFTER: Duration = Duration::from_secs(6);
/// Share of its room from which on a data centre is worth balancing. Above half of it one chain
/// can't take over what another one loses.
const CROWDED: f64 = 0.55;
/// How long an empty engine waits beside a whole chain: one that replaces another joins a second
/// or two before that one leaves, and then takes exactly its layers.
const JOIN_PATIENCE: Duration = Duration::from_millis(2_500);
/// For so long after the death of an engine its chain counts as idle, unless room is short: gateways
/// drop its streams within half a second, and no new ones come before the gap is closed.
const IDLE_AFTER_DEATH: Duration = Duration::from_secs(3);
/// For how long no stream may be under way before chains are made anew: callers of a gateway that
/// restarts are back sooner.
const AT_REST_AFTER: Duration = Duration::from_secs(2);

impl Placer {
    /// Whether an engine died just now and the streams of its chain went with it. Where room is short
    /// they wait on their first engines, and layers that they pass through can't be given up.
    pub(super) fn is_idle(
        &self,
        key: &(ServiceName, DataCentre),
        endpoints: &[Endpoint],
        now: Instant,
    ) -> bool {
        let engines = self.engines.borrow();
        let died_now = endpoints.iter().any(|endpoint| {
            let died = engines.get(&endpoint.incarnation()).and_then(|engine| engine.died);
            died.is_some_and(|died| now - died < IDLE_AFTER_DEATH)
        });
        died_now && !self.is_crowded(key)
    }

    /// A gap is closed at once where no other engine runs its layers, or an empty one can take
    /// them; else chains are planned anew once they lost no engine for a while, and only where room
    /// is short: an engine that gives layers up takes no other order until the streams that pass
    /// through them end, for up to eight seconds.
    pub(super) fn may_plan(
        &mut self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: &[PlannedEngine],
        now: Instant,
    ) -> bool {
        if !covers(shape, planned) {
            self.whole.remove(key);
            return true;
        }
        let incarnations: BTreeSet<Incarnation> =
            planned.iter().map(|engine| engine.incarnation.clone()).collect();
        let entry = self.whole.entry(key.clone()).or_insert_with(|| (incarnations.clone(), now));
        if !incarnations.is_superset(&entry.0) {
            *entry = (incarnations, now);
        }
        let calm_for = now - entry.1;
        if is_urgent(shape, planned) {
            return true;
        }
        if self.unused_since.is_none() && !self.is_crowded(key) {
            return false;
        }
        let has_chains = planned.iter().any(|engine| engine.chain.is_some_and(|chain| chain > 0));
        let patience = if has_chains { BALANCE_CHAINS_AFTER } else { BALANCE_AFTER };
        calm_for >= patience
            || (calm_for >= BALANCE_SCARCE_AFTER
                && are_chains_whole(shape, planned)
                && is_any_chain_scarce(shape, planned))
    }

    /// Whether streams need more room than the chains of a data centre have with ease.
    fn is_crowded(&self, key: &(ServiceName, DataCentre)) -> bool {
        self.gateway.paths.borrow().fullest(&key.0, &key.1) >= CROWDED
    }

    /// Leaves empty engines out that joined a whole chain just now.
    pub(super) fn without_newcomers(
        &self,
        shape: &ModelShape,
        planned: Vec<PlannedEngine>,
        now: Instant,
    ) -> Vec<PlannedEngine> {
        if !are_chains_whole(shape, &planned) {
            return planned;
        }
        let engines = self.engines.borrow();
        let is_new = |incarnation: &Incarnation| {
            engines.get(incarnation).is_none_or(|engine| now - engine.since < JOIN_PATIENCE)
        };
        planned
            .into_iter()
            .filter(|one| !one.held.is_empty() || !is_new(&one.incarnation))
            .collect()
    }

    /// Whether the first plan can be made: more engines may be about to register.
    pub(super) fn is_settled(
        &mut self,
        key: &(ServiceName, DataCentre),
        planned: &[PlannedEngine],
        now: Instant,
    ) -> bool {
        let incarnations: BTreeSet<Incarnation> =
            planned.iter().map(|engine| engine.incarnation.clone()).collect();
        let entry = self.settled.entry(key.clone()).or_insert_with(|| (BTreeSet::new(), now));
        if entry.0 != incarnations {
            *entry = (incarnations, now);
        }
        let has_begun = |engine: &PlannedEngine| !engine.held.is_empty();
        now - entry.1 >= SETTLE || self.plans.contains_key(key) || planned.iter().any(has_begun)
    }

    /// Notes whether streams are under way.
    pub(super) fn note_use(&mut self, now: Instant) {
        if self.gateway.paths.borrow().is_in_use() {
            self.unused_since = None;
        } else {
            self.unused_since.get_or_insert(now);
        }
    }

    /// While no streams are under way, chains are made anew where there could be more: engines of
    /// one start register over several seconds, and the first plan knows few of them.
    pub(super) fn forget_chains_at_rest(
        &self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: Vec<PlannedEngine>,
        now: Instant,
    ) -> Vec<PlannedEngine> {
        let is_at_rest = self.unused_since.is_some_and(|since| now - since >= AT_REST_AFTER);
        let is_settled = self.settled.get(key).is_some_and(|(_, since)| now - *since >= SETTLE);
        if !is_at_rest || !is_settled || !could_make_more_chains(shape, &planned) {
            return planned;
        }
        planned.into_iter().map(PlannedEngine::emptied).collect()
    }
}

/// Whether layers should move at once: requests wait for them, or an empty engine can take the part
/// of one that a chain lost.
pub(super) fn is_urgent(shape: &ModelShape, planned: &[PlannedEngine]) -> bool {
    let has_empty = planned.iter().any(|engine| engine.held.is_empty());
    !covers(shape, planned) || (has_empty && !are_chains_whole(shape, planned))
}
