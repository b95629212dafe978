//! Recomputes the paths from the known state of the engines.

use crate::process::{EngineAvailability, Gateway, LivePath};
use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::process::{DataCentre, Holder, Incarnation, LayerRange, repair_left};
use sorrellock_routing::version::{ModelShape, ServiceName};
use spdlog::{info, warn};
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

impl Gateway {
    /// Recomputes the paths of all models. Includes those of dropped services while requests of theirs may still run.
    pub(crate) fn refresh_paths(&self) {
        let now = Instant::now();
        let leaving_serves_for = self.bounds.get().leave_within;
        let knowledge = self.knowledge.borrow();
        for service in knowledge.services(now.into_std()) {
            let Some(shape) = &service.model else { continue };
            let holders = self.holders(&knowledge, &service.name, shape, now);
            let fleet_state = self.fleet_state.borrow();
            let incarnations = self.incarnations.borrow();
            let availability = |incarnation: &Incarnation| {
                let is_dead =
                    fleet_state.engine(incarnation, now).is_some_and(|engine| engine.is_dead);
                if is_dead || incarnations.has_ended(incarnation) {
                    return EngineAvailability::Dead;
                }
                let endpoint = knowledge.endpoint(&incarnation.id);
                match endpoint.filter(|_| !knowledge.is_unusable(&incarnation.id)) {
                    Some(endpoint) if endpoint.started != incarnation.started => {
                        EngineAvailability::Dead
                    }
                    Some(endpoint)
                        if !endpoint.is_leaving && !fleet_state.is_leaving(incarnation, now) =>
                    {
                        EngineAvailability::Available
                    }
                    // Finishes its running work for a while, even without a usable entry.
                    _ => EngineAvailability::Leaving,
                }
            };
            let mut paths = self.paths.borrow_mut();
            if paths.rebuild(&service.name, shape, &holders, availability, leaving_serves_for, now)
            {
                let missing = missing_layers(&holders, shape.layers);
                self.lost_layers.borrow_mut().set(&service.name, missing, now);
                let gaps = gaps(&holders, shape.layers);
                if !gaps.is_empty() {
                    warn!("layers without an engine", kv: {
                        service = service.name.as_str(), gaps = gaps.as_str()
                    });
                }
                let unlogged = |live: &&Rc<LivePath>| !live.is_logged.replace(true);
                for live in paths.paths(&service.name).iter().filter(unlogged) {
                    let text = sorrellock_platform::format_path(&live.path.parts);
                    info!("path in use", kv: {
                        service = service.name.as_str(),
                        data_centre = live.path.data_centre.as_str(),
                        room = live.path.token_capacity.round(), step_ms = live.path.step_ms,
                        path = text.as_str()
                    });
                }
            }
        }
        let is_served =
            |name: &str| knowledge.services(now.into_std()).any(|service| service.name == name);
        self.paths.borrow_mut().remove_services(is_served);
    }

    /// Returns the engines that may be part of a path, with the layers that they can run now.
    fn holders(
        &self,
        knowledge: &Knowledge,
        service: &str,
        shape: &ModelShape,
        now: Instant,
    ) -> Vec<Holder> {
        let fleet_state = self.fleet_state.borrow();
        let has_view = fleet_state.views.is_fresh(now.into_std());
        let mut holders = Vec::new();
        let engines =
            knowledge.open_endpoints(now.into_std()).filter(|engine| engine.service == service);
        for endpoint in engines {
            let incarnation = endpoint.incarnation();
            if fleet_state.is_leaving(&incarnation, now) || self.has_ended(&incarnation) {
                continue;
            }
            let view = fleet_state.engine(&incarnation, now);
            // An engine that is missing from the lead's view is leaving, or holds no layers yet.
            let listed = if has_view { LayerRange::default() } else { endpoint.layers };
            let layers = view.map_or(listed, |view| view.usable);
            let is_dead = view.is_some_and(|view| view.is_dead);
            if is_dead || layers.is_empty() || fleet_state.is_suspect(&incarnation, now) {
                continue;
            }
            let card = endpoint.card.as_deref().and_then(|card| shape.card(card));
            let slowness = view.map_or(1.0, |view| f64::from(view.slowness).max(0.1));
            let step_factor = card.map_or(1.0, |card| card.step_factor) * slowness;
            holders.push(Holder {
                incarnation,
                addr: endpoint.addr,
                data_centre: endpoint.data_centre.clone(),
                layers,
                layer_cost: step_factor * shape.step_ms / f64::from(shape.layers),
                kv_capacity: card.map_or(0.0, |card| shape.kv_capacity(card, layers.len())),
            });
        }
        holders
    }
}

/// Returns the number of layers that each data centre lacks for a path, where it lacks some.
fn missing_layers(holders: &[Holder], layers: u32) -> HashMap<DataCentre, u32> {
    let data_centres: BTreeSet<&DataCentre> =
        holders.iter().map(|holder| &holder.data_centre).collect();
    let missing = data_centres.into_iter().map(|data_centre| {
        let here = holders.iter().filter(|holder| holder.data_centre == *data_centre);
        let is_held = |layer: &u32| here.clone().any(|holder| holder.layers.contains(*layer));
        (data_centre.clone(), layers - (0..layers).filter(is_held).count() as u32)
    });
    missing.filter(|(_, missing)| *missing > 0).collect()
}

/// Layers that data centres have lost, so that they have no path.
#[derive(Default)]
pub(crate) struct LostLayers {
    by_service: HashMap<ServiceName, HashMap<DataCentre, (u32, Instant)>>,
}

impl LostLayers {
    fn set(&mut self, service: &str, missing: HashMap<DataCentre, u32>, now: Instant) {
        let lost = self.by_service.entry(service.to_owned()).or_default();
        lost.retain(|data_centre, _| missing.contains_key(data_centre));
        for (data_centre, missing) in missing {
            lost.entry(data_centre).or_insert((missing, now)).0 = missing;
        }
    }

    /// Returns, for each data centre without a path, the number of missing layers and for how long they have been missing.
    fn get(&self, service: &str, now: Instant) -> Vec<(u32, Duration)> {
        let lost = self.by_service.get(service).into_iter().flat_map(HashMap::values);
        lost.map(|(missing, since)| (*missing, now - *since)).collect()
    }
}

impl Gateway {
    /// Returns the time until the first data centre without a path of a service has one again, and how many have none.
    pub(crate) fn next_repair(&self, service: &str, now: Instant) -> Option<(Duration, usize)> {
        let lost = self.lost_layers.borrow().get(service, now);
        let knowledge = self.knowledge.borrow();
        let mut services = knowledge.services(now.into_std());
        let shape = services.find(|known| known.name == service)?.model.as_ref()?;
        let left = lost.iter().map(|(missing, elapsed)| repair_left(shape, *missing, *elapsed));
        Some((left.min()?, lost.len()))
    }
}

/// Formats the layers of each data centre that no holder can run, for log lines.
fn gaps(holders: &[Holder], layers: u32) -> String {
    let data_centres: BTreeSet<&DataCentre> =
        holders.iter().map(|holder| &holder.data_centre).collect();
    let mut gaps = Vec::new();
    for data_centre in data_centres {
        let local = holders.iter().filter(|holder| holder.data_centre == *data_centre);
        let local: Vec<&Holder> = local.collect();
        let is_gap = |layer: &u32| !local.iter().any(|holder| holder.layers.contains(*layer));
        let missing: Vec<u32> = (0..layers).filter(is_gap).collect();
        if let (Some(first), Some(last)) = (missing.first(), missing.last()) {
            gaps.push(format!("{data_centre}: {} layers in {first}..={last}", missing.len()));
        }
    }
    gaps.join("; ")
}
