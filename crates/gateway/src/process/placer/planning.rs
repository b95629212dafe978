//! Plans the layers of one data centre when there is news.

use super::{Placer, is_urgent};
use sorrellock_routing::process::placement::{
    DataCentrePlan, Holding, Placement, PlannedEngine, plan_data_centre,
};
use sorrellock_routing::process::{DataCentre, Endpoint, Incarnation, LayerRange};
use sorrellock_routing::version::{Card, ModelShape, ServiceName};
use spdlog::{info, warn};
use std::collections::BTreeMap;
use std::time::Duration;
use tokio::time::Instant;

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
    incarnation: Incarnation,
    held: LayerRange,
    is_pinned: bool,
    /// Step factor in steps of a half.
    half_factors: u32,
}

pub(super) fn fingerprint(engine: &PlannedEngine) -> Fingerprint {
    Fingerprint {
        incarnation: engine.incarnation.clone(),
        held: engine.held,
        is_pinned: engine.is_pinned,
        half_factors: (engine.step_factor * 2.0).round() as u32,
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
    /// The engines that are alive; nothing while one of them wasn't heard yet.
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
                is_pinned: engine.ordered.is_some(),
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
        let made_for: Vec<_> = planned.iter().map(fingerprint).collect();
        let is_current = self.plans.get(key).is_some_and(|plan| {
            let same_engines = plan.placement.len() == planned.len()
                && planned.iter().all(|engine| plan.placement.contains_key(&engine.incarnation));
            let is_moving = planned
                .iter()
                .any(|engine| plan.placement.get(&engine.incarnation) != Some(&engine.held));
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
        let least_room = self.least_room(shape, endpoints);
        for endpoint in endpoints {
            let Some(engine) =
                engines.get(&endpoint.incarnation()).filter(|engine| engine.takes_orders())
            else {
                continue;
            };
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let most = card.map_or(0, |card| max_layers(shape, card, least_room));
            // One without an entry to use gets no order.
            let is_unusable = knowledge.is_unusable(&endpoint.id);
            let is_busy = engine.is_moving() || now < engine.order_after || is_unusable;
            holdings.insert(
                endpoint.incarnation(),
                Holding { ready: engine.ready(), max_layers: most, is_busy },
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
            let Some(engine) =
                engines.get(&endpoint.incarnation()).filter(|engine| engine.takes_orders())
            else {
                continue;
            };
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let ready = engine.ready();
            if let Some(card) = card.filter(|_| !ready.is_empty()) {
                least = least.min(shape.token_capacity(card, ready.len()));
            }
            for layer in ready.from..ready.to.min(shape.layers) {
                covered[layer as usize] = true;
            }
        }
        if covered.iter().all(|is_covered| *is_covered) { least } else { 0.0 }
    }
}

/// The most layers that an engine may hold for a while: it must not bound its chain further, and
/// keeps some memory for requests while the chain has a gap.
fn max_layers(shape: &ModelShape, card: &Card, least_room: f64) -> u32 {
    let most = shape.max_layers(card).saturating_sub(HULL_MARGIN_LAYERS);
    let fits = |layers: &u32| shape.token_capacity(card, *layers) >= least_room;
    (1..=most).rev().find(fits).unwrap_or(0)
}
