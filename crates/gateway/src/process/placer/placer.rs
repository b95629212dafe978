//! The lead's rounds: polls the engines, plans their layers, sends orders and publishes the result.

use super::lead::Lead;
use super::reports::{request_report, suspects};
use super::timing::RepairShare;
use super::{Engine, Engines, Planned};
use crate::process::Gateway;
use sorrellock_platform::{Client, Store};
use sorrellock_routing::process::lead_view::{EngineView, ViewChange, ViewLog};
use sorrellock_routing::process::placement::{Repairs, is_any_chain_scarce, next_steps};
use sorrellock_routing::process::{
    DataCentre, Endpoint, EndpointId, Incarnation, LayerRange, Revision,
};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How often an engine's report is requested while nothing changes; each report has a cost.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// Reports a second, of all engines, that are requested while nothing changes.
const MAX_REPORTS_PER_S: u32 = 300;
/// Reports that are requested at once: a small machine that opens more connections than it can handle takes engines for
/// dead.
const MAX_PENDING_REPORTS: usize = 64;
/// The same while the engine's layers move, its last request failed, or it is suspected.
const REPORT_INTERVAL_MOVING: Duration = Duration::from_millis(150);
/// Engines that change layers at once while no request waits for it: concurrent loads slow each other down.
const MAX_MOVES: usize = 4;
/// The same for a chain with a gap, or with far less capacity than it could have.
const MAX_MOVES_SCARCE: usize = 8;
/// The longest pause between two rounds; a change of any engine ends it.
const ROUND_PAUSE: Duration = Duration::from_millis(100);
/// A pause is this many times as long as the round before it, up to [`ROUND_PAUSE`]: requests are served in the pauses.
const PAUSE_PER_ROUND: u32 = 4;

/// Places layers while this gateway leads.
pub(crate) struct Placer {
    pub(super) gateway: Rc<Gateway>,
    /// The view that this gateway publishes while it leads.
    pub(super) view_log: Rc<RefCell<Option<ViewLog>>>,
    pub(super) engines: Engines,
    /// Whether every engine has reported once or is not expected to, so that the lead's view is complete.
    pub(super) is_complete: bool,
    pub(super) plans: HashMap<(ServiceName, DataCentre), Planned>,
    /// Engines of a data centre that cover all layers, and since when none of them has left.
    pub(super) whole_since: HashMap<(ServiceName, DataCentre), (BTreeSet<Incarnation>, Instant)>,
    /// Data centres that lost layers, by service. Cleared when the lead is lost.
    pub(super) repairs: HashMap<ServiceName, Repairs>,
    pub(super) repair_shares: HashMap<(ServiceName, DataCentre), RepairShare>,
    /// Since when no gateway has an open stream.
    pub(super) unused_since: Option<Instant>,
    /// Engines of a data centre, and since when the set is unchanged.
    pub(super) unchanged_since:
        HashMap<(ServiceName, DataCentre), (BTreeSet<Incarnation>, Instant)>,
}

impl Placer {
    pub(crate) fn new(gateway: Rc<Gateway>, view_log: Rc<RefCell<Option<ViewLog>>>) -> Placer {
        Placer {
            gateway,
            view_log,
            engines: Rc::default(),
            is_complete: false,
            plans: HashMap::new(),
            whole_since: HashMap::new(),
            repairs: HashMap::new(),
            repair_shares: HashMap::new(),
            unused_since: None,
            unchanged_since: HashMap::new(),
        }
    }

    /// Takes part in the election, and places layers while this gateway leads. Never returns.
    pub(crate) async fn run(mut self, store: Store) {
        let mut lead = Lead::new(Rc::clone(&self.gateway), store);
        loop {
            match lead.check().await {
                Some(term) => self.round(term).await,
                None => self.reset(),
            }
        }
    }

    /// Clears all state: the next lead reads it from the engines.
    fn reset(&mut self) {
        if self.gateway.lead_term.take().is_some() {
            *self.view_log.borrow_mut() = None;
            self.is_complete = false;
            self.engines.borrow_mut().clear();
            self.plans.clear();
            self.whole_since.clear();
            self.repairs.clear();
            self.repair_shares.clear();
            self.unused_since = None;
            self.unchanged_since.clear();
        }
    }

    async fn round(&mut self, term: Revision) {
        let now = Instant::now();
        self.gateway.lead_term.set(Some(term));
        self.gateway.fleet_state.borrow_mut().views.on_lead(term, now.into_std());
        let services = self.models();
        self.sync_engines(now);
        self.request_reports(now);
        self.track_use(now);
        for (service, shape) in &services {
            let data_centres = self.by_data_centre(service);
            if let Some(repairs) = self.repairs.get_mut(service) {
                repairs.retain(|name| data_centres.contains_key(name));
            }
            for (data_centre, engines) in data_centres {
                self.place(service, shape, &data_centre, &engines, now);
            }
        }
        self.publish(term);
        let took = now.elapsed();
        let changed = self.gateway.engines_changed.notified();
        sleep((took * PAUSE_PER_ROUND).min(ROUND_PAUSE)).await;
        let _ = timeout(ROUND_PAUSE, changed).await;
    }

    fn models(&self) -> Vec<(ServiceName, ModelShape)> {
        let knowledge = self.gateway.knowledge.borrow();
        let Some(routes) = knowledge.routes() else { return Vec::new() };
        let services = routes.cfg().services.iter();
        services
            .filter_map(|service| Some((service.name.clone(), service.model.clone()?)))
            .collect()
    }

    /// Updates the engines to the listed ones that are not leaving. Those of dropped services stay tracked, and get no orders.
    fn sync_engines(&mut self, now: Instant) {
        let knowledge = self.gateway.knowledge.borrow();
        let services = knowledge.services(now.into_std());
        let models = services.filter(|service| service.model.is_some());
        let names: HashSet<&ServiceName> = models.map(|service| &service.name).collect();
        let here = knowledge.endpoints().filter(|endpoint| names.contains(&endpoint.service));
        let fleet_state = self.gateway.fleet_state.borrow();
        let stays = |e: &&Endpoint| {
            let incarnation = e.incarnation();
            !e.is_leaving
                && !fleet_state.is_leaving(&incarnation, now)
                && !self.gateway.has_ended(&incarnation)
        };
        let here: HashMap<Incarnation, SocketAddr> =
            here.filter(stays).map(|e| (e.incarnation(), e.addr)).collect();
        let mut engines = self.engines.borrow_mut();
        let ended = engines.keys().filter(|incarnation| !here.contains_key(incarnation));
        let ended: HashSet<EndpointId> = ended.map(|incarnation| incarnation.id.clone()).collect();
        engines.retain(|incarnation, engine| {
            let is_planned_for = engine.report.is_some() || !knowledge.is_unusable(&incarnation.id);
            here.contains_key(incarnation) && is_planned_for
        });
        for (incarnation, addr) in here {
            if knowledge.is_unusable(&incarnation.id) {
                continue;
            }
            let new_engine =
                if ended.contains(&incarnation.id) { Engine::restarted } else { Engine::new };
            engines.entry(incarnation).or_insert_with(|| new_engine(Client::new(addr), now));
        }
    }

    /// Requests the reports that are due.
    fn request_reports(&self, now: Instant) {
        let suspects = suspects(&self.gateway, now);
        let knowledge = self.gateway.knowledge.borrow();
        let mut engines = self.engines.borrow_mut();
        let calm_interval =
            REPORT_INTERVAL.max(Duration::from_secs(1) * engines.len() as u32 / MAX_REPORTS_PER_S);
        let pending = engines.values().filter(|engine| engine.is_request_pending).count();
        let mut due = Vec::new();
        for (incarnation, engine) in engines.iter_mut() {
            let is_urgent =
                engine.is_moving() || engine.failures > 0 || suspects.contains(incarnation);
            let interval = if is_urgent { REPORT_INTERVAL_MOVING } else { calm_interval };
            let is_due =
                engine.requested_at.is_none_or(|requested_at| now - requested_at >= interval);
            // An engine without a usable entry keeps its last known state.
            if !engine.is_request_pending && is_due && !knowledge.is_unusable(&incarnation.id) {
                due.push((!is_urgent, engine.requested_at, incarnation, engine));
            }
        }
        // Urgent ones first, then those that have waited longest.
        due.sort_by_key(|(is_calm, requested_at, ..)| (*is_calm, *requested_at));
        let free = MAX_PENDING_REPORTS.saturating_sub(pending);
        for (_, _, incarnation, engine) in due.into_iter().take(free) {
            engine.is_request_pending = true;
            engine.requested_at = Some(now);
            let request_report = request_report(
                Rc::clone(&self.gateway),
                Rc::clone(&self.engines),
                incarnation.clone(),
                engine.client.clone(),
            );
            tokio::task::spawn_local(request_report);
        }
    }

    fn by_data_centre(&self, service: &str) -> BTreeMap<DataCentre, Vec<Endpoint>> {
        let knowledge = self.gateway.knowledge.borrow();
        let engines = self.engines.borrow();
        let mut by: BTreeMap<DataCentre, Vec<Endpoint>> = BTreeMap::new();
        for endpoint in knowledge.endpoints().filter(|endpoint| endpoint.service == service) {
            if engines.contains_key(&endpoint.incarnation()) {
                by.entry(endpoint.data_centre.clone()).or_default().push(endpoint.clone());
            }
        }
        by
    }

    /// Replans one data centre if its engines have changed, and sends the orders that lead to the plan.
    fn place(
        &mut self,
        service: &str,
        shape: &ModelShape,
        data_centre: &str,
        endpoints: &[Endpoint],
        now: Instant,
    ) {
        let key = (service.to_owned(), data_centre.to_owned());
        let Some(planned) = self.planned_engines(shape, endpoints) else { return };
        let planned = self.without_recently_joined(shape, planned, now);
        if !self.is_settled(&key, &planned, now) {
            return;
        }
        let planned = self.discard_chains_when_unused(&key, shape, planned, now);
        let is_idle = self.is_idle(&key, endpoints, now);
        if self.may_plan(&key, shape, &planned, is_idle, now) {
            self.plan(&key, shape, &planned, is_idle, now);
        }
        let Some(plan) = self.plans.get(&key) else { return };
        let holdings = self.holdings(shape, endpoints, now);
        let mut steps = next_steps(&plan.placement, &holdings, shape.layers, is_idle);
        if plan.is_repair {
            // Once the gap is closed, surplus layers are left to the next rebalancing.
            steps.retain(|step| step.is_urgent || !step.releases_layers);
        }
        self.cancel_drains(endpoints, &steps);
        let is_short = plan.is_repair || is_any_chain_scarce(shape, &planned);
        let max_moves = if is_short { MAX_MOVES_SCARCE } else { MAX_MOVES };
        for step in steps {
            if step.is_urgent || self.pending_orders() < max_moves {
                self.order(step, now);
            }
        }
    }

    /// Publishes the lead's view to all gateways, this one included.
    fn publish(&mut self, term: Revision) {
        let engines = self.engines.borrow();
        self.is_complete |= !engines.is_empty() && engines.values().all(Engine::is_resolved);
        if !self.is_complete {
            return;
        }
        let resolved = engines.iter().filter(|(_, engine)| engine.is_resolved());
        let knowledge = self.gateway.knowledge.borrow();
        let views: Vec<EngineView> = resolved
            .map(|(incarnation, engine)| EngineView {
                incarnation: incarnation.clone(),
                // Excludes it on gateways, too, that don't know yet that its entry is unusable.
                usable: match knowledge.is_unusable(&incarnation.id) {
                    true => LayerRange::default(),
                    false => engine.usable(),
                },
                slowness: engine.report.as_ref().map_or(1.0, |report| report.slowness as f32),
                is_dead: engine.is_dead,
            })
            .collect();
        drop(knowledge);
        let now = Instant::now().into_std();
        let mut fleet_state = self.gateway.fleet_state.borrow_mut();
        let mut log = self.view_log.borrow_mut();
        let log = log.get_or_insert_with(|| ViewLog::new(fleet_state.views.snapshot()));
        let update = log.publish(term, views, now);
        let change = fleet_state.views.on_update(&update, now);
        drop(fleet_state);
        if change == ViewChange::Changed {
            self.gateway.refresh_paths();
        }
    }
}
