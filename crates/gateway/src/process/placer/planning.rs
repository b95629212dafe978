//! Plans the layers of one data centre when there is news.

use super::Placer;
use sorrellock_routing::process::placement::{
    DataCentrePlan, Holding, Placement, PlannedEngine, are_chains_whole, could_make_more_chains,
    covers, is_any_chain_scarce, plan_data_centre,
};
use sorrellock_routing::process::{DataCentre, Endpoint, EndpointId, LayerRange};
use sorrellock_routing::version::{Card, ModelShape, ServiceName};
use spdlog::{info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;
use tokio::time::Instant;

/// With no chain in a data centre yet, how long its set of engines must stay the same before the
/// first plan: engines of one start register within a second.
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
/// For so long after the death of an engine its chain counts as idle: gateways drop its streams
/// within half a second, and no new ones come before the gap is closed.
const IDLE_AFTER_DEATH: Duration = Duration::from_secs(3);
/// For how long no stream may be under way before chains are made anew: callers of a gateway that
/// restarts are back sooner.
const AT_REST_AFTER: Duration = Duration::from_secs(2);
/// How often a plan is looked at again without news.
const REPLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Layers' worth of memory that an engine keeps free while it holds old and new layers.
const HULL_MARGIN_LAYERS: u32 = 1;

/// The plan of one data centre, and what it was made for.
pub(super) struct Planned {
    pub(super) placement: Placement,
    /// It closes a gap.
    pub(super) is_repair: bool,
    pub(super) made_for: Vec<Fingerprint>,
    pub(super) at: Instant,
}

/// What a plan depends on of one engine.
#[derive(PartialEq)]
pub(super) struct Fingerprint {
    id: EndpointId,
    held: LayerRange,
    is_pinned: bool,
    /// Step factor in steps of a half.
    half_factors: u32,
}

pub(super) fn fingerprint(engine: &PlannedEngine) -> Fingerprint {
    Fingerprint {
        id: engine.id.clone(),
        held: engine.held,
        is_pinned: engine.is_pinned,
        half_factors: (engine.step_factor * 2.0).round() as u32,
    }
}

pub(super) fn describe(placement: &Placement) -> String {
    let mut parts: Vec<_> = placement.iter().filter(|(_, range)| !range.is_empty()).collect();
    parts.sort_by_key(|(_, range)| range.from);
    let parts = parts.iter().map(|(id, range)| format!("{id}={}-{}", range.from, range.to));
    parts.collect::<Vec<_>>().join(",")
}

impl Placer {
    /// Whether an engine died just now: the streams of the whole chain went with it.
    pub(super) fn is_idle(&self, endpoints: &[Endpoint], now: Instant) -> bool {
        let engines = self.engines.borrow();
        endpoints.iter().any(|endpoint| {
            let died = engines.get(&endpoint.id).and_then(|engine| engine.died);
            died.is_some_and(|died| now - died < IDLE_AFTER_DEATH)
        })
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
        let ids: BTreeSet<EndpointId> = planned.iter().map(|engine| engine.id.clone()).collect();
        let entry = self.whole.entry(key.clone()).or_insert_with(|| (ids.clone(), now));
        if !ids.is_superset(&entry.0) {
            *entry = (ids, now);
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

    /// The engines that are alive; nothing while one of them wasn't heard yet.
    pub(super) fn planned_engines(
        &self,
        shape: &ModelShape,
        endpoints: &[Endpoint],
    ) -> Option<Vec<PlannedEngine>> {
        let engines = self.engines.borrow();
        let mut planned = Vec::new();
        for endpoint in endpoints {
            let engine = engines.get(&endpoint.id)?;
            if engine.is_dead {
                continue;
            }
            let report = engine.report.as_ref()?;
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let Some(card) = card else { continue };
            planned.push(PlannedEngine {
                id: endpoint.id.clone(),
                memory_mb: card.memory_mb,
                step_factor: card.step_factor * report.slowness.max(1.0),
                held: engine.held(),
                is_pinned: engine.ordered.is_some(),
                chain: engine.chain,
            });
        }
        Some(planned)
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
        let is_new = |id: &EndpointId| {
            engines.get(id).is_none_or(|engine| now - engine.since < JOIN_PATIENCE)
        };
        planned.into_iter().filter(|one| !one.held.is_empty() || !is_new(&one.id)).collect()
    }

    /// Whether the first plan can be made: more engines may be about to register.
    pub(super) fn is_settled(
        &mut self,
        key: &(ServiceName, DataCentre),
        planned: &[PlannedEngine],
        now: Instant,
    ) -> bool {
        let ids: BTreeSet<EndpointId> = planned.iter().map(|engine| engine.id.clone()).collect();
        let entry = self.settled.entry(key.clone()).or_insert_with(|| (BTreeSet::new(), now));
        if entry.0 != ids {
            *entry = (ids, now);
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
        let emptied = |engine: PlannedEngine| PlannedEngine {
            held: LayerRange::default(),
            chain: None,
            ..engine
        };
        planned.into_iter().map(emptied).collect()
    }

    pub(super) fn plan(
        &mut self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: &[PlannedEngine],
        is_idle: bool,
        now: Instant,
    ) {
        let made_for: Vec<_> = planned.iter().map(fingerprint).collect();
        let is_current = self.plans.get(key).is_some_and(|plan| {
            let same_engines = plan.placement.len() == planned.len()
                && planned.iter().all(|engine| plan.placement.contains_key(&engine.id));
            let is_moving =
                planned.iter().any(|engine| plan.placement.get(&engine.id) != Some(&engine.held));
            same_engines
                && (plan.made_for == made_for || (is_moving && now - plan.at < REPLAN_INTERVAL))
        });
        if is_current {
            return;
        }
        let Some(plan) = plan_data_centre(shape, planned, is_idle) else {
            if self.plans.remove(key).is_some() {
                let engines = planned.len();
                warn!("no plan: the engines can't hold the model", kv: {
                    data_centre = key.1.as_str(), engines
                });
            }
            return;
        };
        self.note_chains(&plan);
        let placement = plan.placement;
        let before = self.plans.get(key);
        if before.is_none_or(|before| before.placement != placement) {
            let text = describe(&placement);
            let engines = planned.len();
            info!("plan changed", kv: {
                service = key.0.as_str(), data_centre = key.1.as_str(), engines,
                plan = text.as_str()
            });
        }
        let is_repair =
            is_urgent(shape, planned) && planned.iter().any(|engine| !engine.held.is_empty());
        self.plans.insert(key.clone(), Planned { placement, is_repair, made_for, at: now });
    }

    fn note_chains(&self, plan: &DataCentrePlan) {
        let mut engines = self.engines.borrow_mut();
        for (id, chain) in &plan.chains {
            if let Some(engine) = engines.get_mut(id) {
                engine.chain = Some(*chain);
            }
        }
    }

    pub(super) fn holdings(
        &self,
        shape: &ModelShape,
        endpoints: &[Endpoint],
        now: Instant,
    ) -> BTreeMap<EndpointId, Holding> {
        let engines = self.engines.borrow();
        let mut holdings = BTreeMap::new();
        let least_room = self.least_room(shape, endpoints);
        for endpoint in endpoints {
            let Some(engine) = engines.get(&endpoint.id).filter(|engine| !engine.is_dead) else {
                continue;
            };
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let most = card.map_or(0, |card| most_layers(shape, card, least_room));
            let is_busy = engine.is_moving() || now < engine.order_after;
            holdings.insert(
                endpoint.id.clone(),
                Holding { ready: engine.ready(), most_layers: most, is_busy },
            );
        }
        holdings
    }

    /// Room of the engine that bounds the chain, in tokens; 0 while layers are missing.
    pub(super) fn least_room(&self, shape: &ModelShape, endpoints: &[Endpoint]) -> f64 {
        let engines = self.engines.borrow();
        let mut covered = vec![false; shape.layers as usize];
        let mut least = f64::INFINITY;
        for endpoint in endpoints {
            let Some(engine) = engines.get(&endpoint.id).filter(|engine| !engine.is_dead) else {
                continue;
            };
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let ready = engine.ready();
            if let Some(card) = card.filter(|_| !ready.is_empty()) {
                least = least.min(shape.token_room(card, ready.len()));
            }
            for layer in ready.from..ready.to.min(shape.layers) {
                covered[layer as usize] = true;
            }
        }
        if covered.iter().all(|is_covered| *is_covered) { least } else { 0.0 }
    }
}

/// Whether layers should move at once: requests wait for them, or an empty engine can take the part
/// of one that a chain lost.
fn is_urgent(shape: &ModelShape, planned: &[PlannedEngine]) -> bool {
    let has_empty = planned.iter().any(|engine| engine.held.is_empty());
    !covers(shape, planned) || (has_empty && !are_chains_whole(shape, planned))
}

/// The most layers that an engine may hold for a while: it must not bound its chain further, and
/// keeps some memory for requests while the chain has a gap.
fn most_layers(shape: &ModelShape, card: &Card, least_room: f64) -> u32 {
    let most = shape.most_layers(card).saturating_sub(HULL_MARGIN_LAYERS);
    let fits = |layers: &u32| shape.token_room(card, *layers) >= least_room;
    (1..=most).rev().find(fits).unwrap_or(0)
}
