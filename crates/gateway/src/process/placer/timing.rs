//! Decides when the chains of a data centre are replanned, and for which engines.

use super::Placer;
use super::planning::{Fingerprint, fingerprint};
use sorrellock_routing::process::placement::{
    PlannedEngine, are_chains_whole, could_make_more_chains, covers, is_any_chain_scarce,
    placement_capacity, plan_data_centre,
};
use sorrellock_routing::process::{DataCentre, Endpoint, Incarnation};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::time::Instant;

/// How long the set of engines of a data centre without a chain must stay the same before the first
/// plan. Engines started together register over some seconds, but a first chain of a few engines
/// serves sooner, and is rebuilt while no stream is open.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// How long a chain must be complete before it is rebalanced: failures often cluster, and an engine
/// that joins often replaces one that leaves within seconds.
const BALANCE_AFTER: Duration = Duration::from_secs(3);
/// The same for a chain that has less than about half of the capacity that it could have.
const BALANCE_SCARCE_AFTER: Duration = Duration::from_millis(300);
/// The same where there are several chains, which run each other's lost layers: an engine that
/// crashes is back within about five seconds, and takes its layers again while nothing else moves.
const BALANCE_CHAINS_AFTER: Duration = Duration::from_secs(6);
/// Used share of its capacity from which a data centre is worth rebalancing. Above half, one chain
/// can't take over the load that another one loses.
const CROWDED_SHARE: f64 = 0.55;
/// How long a new engine without layers is left out next to a complete chain: one that replaces
/// another joins a second or two before that one leaves, and then takes exactly its layers.
const JOIN_WAIT_LIMIT: Duration = Duration::from_millis(2_500);
/// How long after the death of an engine its chain counts as idle, unless capacity is short: gateways
/// drop its streams within half a second, and no new ones start before the gap is closed.
const IDLE_AFTER_DEATH: Duration = Duration::from_secs(3);
/// How long no stream must be open before chains are rebuilt: callers of a gateway that restarts
/// reconnect sooner.
const REBUILD_AFTER_UNUSED: Duration = Duration::from_secs(2);

/// The capacity of a data centre after a repair, as a share of that before the loss.
pub(super) struct RepairShare {
    /// State of the engines for which it was worked out.
    fingerprints: Vec<Fingerprint>,
    /// `None` if they can't hold the model.
    share: Option<f64>,
}

impl Placer {
    /// Returns whether an engine died recently and the streams of its chain ended with it. Where capacity
    /// is short, the streams wait on their first engines, and layers that they use can't be released.
    pub(super) fn is_idle(
        &self,
        key: &(ServiceName, DataCentre),
        endpoints: &[Endpoint],
        now: Instant,
    ) -> bool {
        let engines = self.engines.borrow();
        let has_recent_death = endpoints.iter().any(|endpoint| {
            let died_at = engines.get(&endpoint.incarnation()).and_then(|engine| engine.died_at);
            died_at.is_some_and(|died_at| now - died_at < IDLE_AFTER_DEATH)
        });
        has_recent_death && !self.is_crowded(key)
    }

    /// Returns whether a new plan may be made. A gap is closed at once where no other engine runs its
    /// layers, or an empty one can take them. Otherwise chains are replanned once they have lost no
    /// engine for a while, and only where capacity is short or no stream is open: an engine that releases
    /// layers accepts no other order until the streams that use them end, for up to eight seconds.
    pub(super) fn may_plan(
        &mut self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: &[PlannedEngine],
        is_idle: bool,
        now: Instant,
    ) -> bool {
        if !covers(shape, planned) {
            self.whole_since.remove(key);
            return self.may_repair(key, shape, planned, is_idle, now);
        }
        if self.is_served(key, |data_centre| *data_centre == key.1, now) {
            self.repairs.entry(key.0.clone()).or_default().on_serving(&key.1);
        }
        let incarnations: BTreeSet<Incarnation> =
            planned.iter().map(|engine| engine.incarnation.clone()).collect();
        let entry =
            self.whole_since.entry(key.clone()).or_insert_with(|| (incarnations.clone(), now));
        if !incarnations.is_superset(&entry.0) {
            *entry = (incarnations, now);
        }
        let whole_for = now - entry.1;
        if is_urgent(shape, planned) {
            return true;
        }
        if self.unused_since.is_none() && !self.is_crowded(key) {
            return false;
        }
        let has_chains = planned.iter().any(|engine| engine.chain.is_some_and(|chain| chain > 0));
        let min_time = if has_chains { BALANCE_CHAINS_AFTER } else { BALANCE_AFTER };
        whole_for >= min_time
            || (whole_for >= BALANCE_SCARCE_AFTER
                && are_chains_whole(shape, planned)
                && is_any_chain_scarce(shape, planned))
    }

    /// Returns whether a data centre that lacks layers moves those that it has left.
    fn may_repair(
        &mut self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: &[PlannedEngine],
        is_idle: bool,
        now: Instant,
    ) -> bool {
        let Some(share) = self.repaired_share(key, shape, planned, is_idle) else { return true };
        let is_served_elsewhere = self.is_served(key, |data_centre| *data_centre != key.1, now);
        let repairs = self.repairs.entry(key.0.clone()).or_default();
        repairs.allows(&key.1, share, is_served_elsewhere, now.into_std())
    }

    /// Returns the capacity that a data centre has after its repair, as a share of that before the loss; `None` if either isn't known. A plan takes long
    /// where there are many engines, so it is made again only when their state changes.
    fn repaired_share(
        &mut self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: &[PlannedEngine],
        is_idle: bool,
    ) -> Option<f64> {
        let before = self.plans.get(key)?.whole_capacity;
        let fingerprints: Vec<Fingerprint> = planned.iter().map(fingerprint).collect();
        let known = self.repair_shares.get(key);
        if let Some(known) = known.filter(|known| known.fingerprints == fingerprints) {
            return known.share;
        }
        let plan = plan_data_centre(shape, planned, is_idle);
        let capacity = plan.map(|plan| placement_capacity(shape, planned, &plan.placement));
        let share = capacity.map(|capacity| capacity / before.max(1.0));
        self.repair_shares.insert(key.clone(), RepairShare { fingerprints, share });
        share
    }

    /// Returns whether any of these data centres has a path that takes requests of the service.
    fn is_served(
        &self,
        key: &(ServiceName, DataCentre),
        is_counted: impl Fn(&DataCentre) -> bool,
        now: Instant,
    ) -> bool {
        let paths = self.gateway.paths.borrow();
        let mut open = paths.paths(&key.0).iter().filter(|live| !live.is_avoided(now));
        open.any(|live| is_counted(&live.path.data_centre))
    }

    /// Returns whether the fullest path of a data centre uses so much of its capacity that rebalancing pays.
    fn is_crowded(&self, key: &(ServiceName, DataCentre)) -> bool {
        self.gateway.paths.borrow().fullest(&key.0, &key.1) >= CROWDED_SHARE
    }

    /// Leaves out empty engines that have just joined while the chains are complete.
    pub(super) fn without_recently_joined(
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
            engines
                .get(incarnation)
                .is_none_or(|engine| now - engine.tracked_since < JOIN_WAIT_LIMIT)
        };
        planned
            .into_iter()
            .filter(|engine| !engine.held.is_empty() || !is_new(&engine.incarnation))
            .collect()
    }

    /// Returns whether the first plan can be made. Until then more engines may be about to register.
    pub(super) fn is_settled(
        &mut self,
        key: &(ServiceName, DataCentre),
        planned: &[PlannedEngine],
        now: Instant,
    ) -> bool {
        let incarnations: BTreeSet<Incarnation> =
            planned.iter().map(|engine| engine.incarnation.clone()).collect();
        let entry =
            self.unchanged_since.entry(key.clone()).or_insert_with(|| (BTreeSet::new(), now));
        if entry.0 != incarnations {
            *entry = (incarnations, now);
        }
        let holds_layers = |engine: &PlannedEngine| !engine.held.is_empty();
        now - entry.1 >= SETTLE_TIME
            || self.plans.contains_key(key)
            || planned.iter().any(holds_layers)
    }

    /// Updates since when no stream is open.
    pub(super) fn track_use(&mut self, now: Instant) {
        if self.gateway.paths.borrow().is_in_use() {
            self.unused_since = None;
        } else {
            self.unused_since.get_or_insert(now);
        }
    }

    /// Discards the chains while no stream is open and more chains are possible. Engines started
    /// together register over several seconds, and the first plan covers only a few of them.
    pub(super) fn discard_chains_when_unused(
        &self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: Vec<PlannedEngine>,
        now: Instant,
    ) -> Vec<PlannedEngine> {
        let is_unused = self.unused_since.is_some_and(|since| now - since >= REBUILD_AFTER_UNUSED);
        let is_settled =
            self.unchanged_since.get(key).is_some_and(|(_, since)| now - *since >= SETTLE_TIME);
        if !is_unused || !is_settled || !could_make_more_chains(shape, &planned) {
            return planned;
        }
        planned.into_iter().map(PlannedEngine::emptied).collect()
    }
}

/// Returns whether layers should move at once: requests wait for them, or an empty engine can take the
/// layers of one that a chain lost.
pub(super) fn is_urgent(shape: &ModelShape, planned: &[PlannedEngine]) -> bool {
    let has_empty = planned.iter().any(|engine| engine.held.is_empty());
    !covers(shape, planned) || (has_empty && !are_chains_whole(shape, planned))
}
