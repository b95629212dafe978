//! Plans the layers of one data centre when its engines change.

use super::{Placer, is_urgent};
use sorrellock_routing::process::placement::{
    DataCentrePlan, Holding, Placement, PlannedEngine, placement_capacity, plan_data_centre,
};
use sorrellock_routing::process::{DataCentre, Endpoint, Incarnation, LayerRange};
use sorrellock_routing::version::{Card, ModelShape, ServiceName};
use spdlog::{info, warn};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

/// How long a plan is kept while layers move towards it, even if its engines change state.
const REPLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Memory, in layers, that an engine keeps free while it holds both old and new layers.
const MOVE_MARGIN_LAYERS: u32 = 1;

/// The plan of one data centre, and the engines that it was made for.
pub(super) struct Planned {
    pub(super) placement: Placement,
    /// Whether the plan closes a gap.
    pub(super) is_repair: bool,
    pub(super) fingerprints: Vec<Fingerprint>,
    pub(super) at: Instant,
    /// Capacity of the last plan that was made while all layers were held, in MB a layer.
    pub(super) whole_capacity: f64,
}

/// State of one engine that a plan depends on.
#[derive(PartialEq)]
pub(super) struct Fingerprint {
    incarnation: Incarnation,
    held: LayerRange,
    is_pinned: bool,
    /// Step factor in halves, rounded.
    step_factor_halves: u32,
}

pub(super) fn fingerprint(engine: &PlannedEngine) -> Fingerprint {
    Fingerprint {
        incarnation: engine.incarnation.clone(),
        held: engine.held,
        is_pinned: engine.is_pinned,
        step_factor_halves: (engine.step_factor * 2.0).round() as u32,
    }
}

pub(super) fn describe(placement: &Placement) -> String {
    let mut parts: Vec<_> = placement.iter().filter(|(_, range)| !range.is_empty()).collect();
    parts.sort_by_key(|(_, range)| range.from);
    let parts = parts
        .iter()
        .map(|(incarnation, range)| format!("{}={}-{}", incarnation.id, range.from, range.to));
    parts.collect::<Vec<_>>().join(",")
}

impl Placer {
    /// Returns the engines that accept orders, or `None` while one of them has not reported yet.
    pub(super) fn planned_engines(
        &self,
        shape: &ModelShape,
        endpoints: &[Endpoint],
    ) -> Option<Vec<PlannedEngine>> {
        let engines = self.engines.borrow();
        let mut planned = Vec::new();
        for endpoint in endpoints {
            let engine = engines.get(&endpoint.incarnation())?;
            if !engine.takes_orders() {
                continue;
            }
            let report = engine.report.as_ref()?;
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let Some(card) = card else { continue };
            planned.push(PlannedEngine {
                incarnation: endpoint.incarnation(),
                memory_mb: card.memory_mb,
                step_factor: card.step_factor * report.slowness.max(1.0),
                held: engine.held(),
                is_pinned: engine.pending_order.is_some(),
                chain: engine.chain,
            });
        }
        Some(planned)
    }

    pub(super) fn plan(
        &mut self,
        key: &(ServiceName, DataCentre),
        shape: &ModelShape,
        planned: &[PlannedEngine],
        is_idle: bool,
        now: Instant,
    ) {
        let fingerprints: Vec<_> = planned.iter().map(fingerprint).collect();
        let is_current = self.plans.get(key).is_some_and(|plan| {
            let same_engines = plan.placement.len() == planned.len()
                && planned.iter().all(|engine| plan.placement.contains_key(&engine.incarnation));
            let is_moving = planned
                .iter()
                .any(|engine| plan.placement.get(&engine.incarnation) != Some(&engine.held));
            same_engines
                && (plan.fingerprints == fingerprints
                    || (is_moving && now - plan.at < REPLAN_INTERVAL))
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
        self.record_chains(&plan);
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
        let capacity = placement_capacity(shape, planned, &placement);
        let whole_capacity = match before {
            Some(before) if is_repair => before.whole_capacity.max(capacity),
            _ => capacity,
        };
        let plan = Planned { placement, is_repair, fingerprints, at: now, whole_capacity };
        self.plans.insert(key.clone(), plan);
    }

    fn record_chains(&self, plan: &DataCentrePlan) {
        let mut engines = self.engines.borrow_mut();
        for (incarnation, chain) in &plan.chains {
            if let Some(engine) = engines.get_mut(incarnation) {
                engine.chain = Some(*chain);
            }
        }
    }

    pub(super) fn holdings(
        &self,
        shape: &ModelShape,
        endpoints: &[Endpoint],
        now: Instant,
    ) -> BTreeMap<Incarnation, Holding> {
        let engines = self.engines.borrow();
        let knowledge = self.gateway.knowledge.borrow();
        let mut holdings = BTreeMap::new();
        let min_capacity = self.min_capacity(shape, endpoints);
        for endpoint in endpoints {
            let Some(engine) =
                engines.get(&endpoint.incarnation()).filter(|engine| engine.takes_orders())
            else {
                continue;
            };
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let max_held = card.map_or(0, |card| max_layers(shape, card, min_capacity));
            // An engine without a usable entry gets no order.
            let is_unusable = knowledge.is_unusable(&endpoint.id);
            let is_busy = engine.is_moving() || now < engine.order_after || is_unusable;
            holdings.insert(
                endpoint.incarnation(),
                Holding { ready: engine.ready(), max_layers: max_held, is_busy },
            );
        }
        holdings
    }

    /// Returns the smallest capacity of any engine in the chain, in tokens; 0 while layers are missing.
    pub(super) fn min_capacity(&self, shape: &ModelShape, endpoints: &[Endpoint]) -> f64 {
        let engines = self.engines.borrow();
        let mut covered = vec![false; shape.layers as usize];
        let mut lowest = f64::INFINITY;
        for endpoint in endpoints {
            let Some(engine) =
                engines.get(&endpoint.incarnation()).filter(|engine| engine.takes_orders())
            else {
                continue;
            };
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let ready = engine.ready();
            if let Some(card) = card.filter(|_| !ready.is_empty()) {
                lowest = lowest.min(shape.token_capacity(card, ready.len()));
            }
            for layer in ready.from..ready.to.min(shape.layers) {
                covered[layer as usize] = true;
            }
        }
        if covered.iter().all(|is_covered| *is_covered) { lowest } else { 0.0 }
    }
}

/// Returns how many layers an engine may hold during a move: it must not lower the capacity of its
/// chain, and keeps some memory for requests while the chain has a gap.
fn max_layers(shape: &ModelShape, card: &Card, min_capacity: f64) -> u32 {
    let upper = shape.max_layers(card).saturating_sub(MOVE_MARGIN_LAYERS);
    let fits = |layers: &u32| shape.token_capacity(card, *layers) >= min_capacity;
    (1..=upper).rev().find(fits).unwrap_or(0)
}
