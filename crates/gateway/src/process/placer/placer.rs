//! The lead's rounds: engines are followed, planned for, ordered and told of.

use super::lead::Lead;
use super::reports::{ask, suspects};
use super::{Engine, Engines, Planned};
use crate::process::{EngineView, Gateway, LeadView};
use sorrellock_platform::{Client, Store};
use sorrellock_routing::process::placement::{is_any_chain_scarce, next_steps};
use sorrellock_routing::process::{
    DataCentre, Endpoint, EndpointId, Incarnation, LayerRange, Revision,
};
use sorrellock_routing::version::{ModelShape, ServiceName};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How often engines are asked for their report in quiet; each report is priced.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How often an engine is asked while its layers move or it is suspected.
const REPORT_INTERVAL_MOVING: Duration = Duration::from_millis(150);
/// Engines that move at once while no requests wait for it: loads slow each other.
const QUIET_MOVES: usize = 4;
/// The same for a chain with a gap, or with far less room than it could have.
const SCARCE_MOVES: usize = 8;
/// The longest pause between two rounds of orders; news of engines ends it.
const ROUND_PAUSE: Duration = Duration::from_millis(100);

/// Places layers while this gateway leads.
pub(crate) struct Placer {
    pub(super) gateway: Rc<Gateway>,
    pub(super) own_view: Rc<RefCell<Option<LeadView>>>,
    pub(super) engines: Engines,
    /// All engines were heard once, or are dead: what this lead tells is whole.
    pub(super) is_complete: bool,
    pub(super) plans: HashMap<(ServiceName, DataCentre), Planned>,
    /// Since when the chain of a data centre is whole, with these engines.
    pub(super) whole: HashMap<(ServiceName, DataCentre), (BTreeSet<Incarnation>, Instant)>,
    /// Since when no gateway has a stream under way.
    pub(super) unused_since: Option<Instant>,
    /// The engines of a data centre, and since when they are the same.
    pub(super) settled: HashMap<(ServiceName, DataCentre), (BTreeSet<Incarnation>, Instant)>,
}

impl Placer {
    pub(crate) fn new(gateway: Rc<Gateway>, own_view: Rc<RefCell<Option<LeadView>>>) -> Placer {
        Placer {
            gateway,
            own_view,
            engines: Rc::default(),
            is_complete: false,
            plans: HashMap::new(),
            whole: HashMap::new(),
            unused_since: None,
            settled: HashMap::new(),
        }
    }

    /// Takes part in the election and places layers while this gateway leads, for ever.
    pub(crate) async fn run(mut self, store: Store) {
        let mut lead = Lead::new(Rc::clone(&self.gateway), store);
        loop {
            match lead.look().await {
                Some(term) => self.round(term).await,
                None => self.rest(),
            }
        }
    }

    /// Forgets everything: whoever leads next reads it from the engines.
    fn rest(&mut self) {
        if self.gateway.leads.replace(false) {
            *self.own_view.borrow_mut() = None;
            self.is_complete = false;
            self.engines.borrow_mut().clear();
            self.plans.clear();
            self.whole.clear();
            self.unused_since = None;
            self.settled.clear();
        }
    }

    async fn round(&mut self, term: Revision) {
        let now = Instant::now();
        let services = self.models();
        self.sync_engines(now);
        self.ask_engines(now);
        self.note_use(now);
        for (service, shape) in &services {
            for (data_centre, engines) in self.by_data_centre(service) {
                self.place(service, shape, &data_centre, &engines, now);
            }
        }
        self.publish(term);
        let changed = self.gateway.engines_changed.notified();
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

    /// Engines as the list tells, less those that leave. Those of dropped services are followed, and get no orders.
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
            let begin = if ended.contains(&incarnation.id) { Engine::reborn } else { Engine::new };
            engines.entry(incarnation).or_insert_with(|| begin(Client::new(addr), now));
        }
    }

    /// Asks the engines whose report is due.
    fn ask_engines(&self, now: Instant) {
        let suspects = suspects(&self.gateway, now);
        let knowledge = self.gateway.knowledge.borrow();
        let mut engines = self.engines.borrow_mut();
        for (incarnation, engine) in engines.iter_mut() {
            let is_urgent =
                engine.is_moving() || engine.failures > 0 || suspects.contains(incarnation);
            let interval = if is_urgent { REPORT_INTERVAL_MOVING } else { REPORT_INTERVAL };
            let is_due = engine.asked.is_none_or(|asked| now - asked >= interval);
            // One without an entry to use stays as it was last heard.
            if engine.is_asking || !is_due || knowledge.is_unusable(&incarnation.id) {
                continue;
            }
            engine.is_asking = true;
            engine.asked = Some(now);
            let ask = ask(
                Rc::clone(&self.gateway),
                Rc::clone(&self.engines),
                incarnation.clone(),
                engine.client.clone(),
            );
            tokio::task::spawn_local(ask);
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

    /// Plans one data centre if there is news, and orders what brings it nearer to the plan.
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
        let planned = self.without_newcomers(shape, planned, now);
        if !self.is_settled(&key, &planned, now) {
            return;
        }
        let planned = self.forget_chains_at_rest(&key, shape, planned, now);
        let is_idle = self.is_idle(&key, endpoints, now);
        if self.may_plan(&key, shape, &planned, now) {
            self.plan(&key, shape, &planned, is_idle, now);
        }
        let Some(plan) = self.plans.get(&key) else { return };
        let holdings = self.holdings(shape, endpoints, now);
        let mut steps = next_steps(&plan.placement, &holdings, shape.layers, is_idle);
        if plan.is_repair {
            // Once the gap is closed, what is held besides is left to the next balance.
            steps.retain(|step| step.is_urgent || !step.releases_layers);
        }
        self.reopen(endpoints, &steps);
        let is_short = plan.is_repair || is_any_chain_scarce(shape, &planned);
        let most_moves = if is_short { SCARCE_MOVES } else { QUIET_MOVES };
        for step in steps {
            if step.is_urgent || self.moving() < most_moves {
                self.order(step, now);
            }
        }
    }

    /// Shares what the lead knows with all gateways, this one included.
    fn publish(&mut self, term: Revision) {
        self.gateway.leads.set(true);
        let engines = self.engines.borrow();
        self.is_complete |= !engines.is_empty() && engines.values().all(Engine::is_heard);
        if !self.is_complete {
            return;
        }
        let heard = engines.iter().filter(|(_, engine)| engine.is_heard());
        let knowledge = self.gateway.knowledge.borrow();
        let mut views: Vec<EngineView> = heard
            .map(|(incarnation, engine)| EngineView {
                incarnation: incarnation.clone(),
                // Gateways that don't know yet that its entry can't be used pass over it as well.
                usable: match knowledge.is_unusable(&incarnation.id) {
                    true => LayerRange::default(),
                    false => engine.usable(),
                },
                slowness: engine.report.as_ref().map_or(1.0, |report| report.slowness as f32),
                is_dead: engine.is_dead,
            })
            .collect();
        drop(knowledge);
        views.sort_by(|a, b| a.incarnation.cmp(&b.incarnation));
        let view = LeadView { term, engines: views };
        let is_changed =
            self.own_view.borrow().as_ref().is_none_or(|old| old.engines != view.engines);
        *self.own_view.borrow_mut() = Some(view.clone());
        self.gateway.fleet_state.borrow_mut().apply_lead(view, Instant::now());
        if is_changed {
            self.gateway.refresh_paths();
        }
    }
}
