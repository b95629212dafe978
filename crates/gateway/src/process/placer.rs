//! The lead's work: follows the engines by their reports and orders the layers that each holds.

use crate::process::lead::Lead;
use crate::process::{Count, EngineView, Gateway, LeadView};
use sorrellock_platform::{
    CallError, Client, EngineReport, OrderEnd, Store, order_layers, read_report,
};
use sorrellock_routing::process::placement::{
    Holding, Placement, PlannedEngine, Step, covers, is_scarce, next_steps, plan_data_centre,
};
use sorrellock_routing::process::{DataCentre, Endpoint, EndpointId, LayerRange};
use sorrellock_routing::version::{Card, ModelShape, ServiceName};
use spdlog::{info, warn};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// How often engines are asked for their report in quiet; each report is priced.
const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);
/// How often an engine is asked while its layers move or it is suspected.
const REPORT_INTERVAL_MOVING: Duration = Duration::from_millis(150);
/// Time for a report: a hundred round trips inside a region.
const REPORT_LIMIT: Duration = Duration::from_millis(250);
/// Reports without an answer in a row after which an engine is taken to be dead.
const FAILURES_TO_DEATH: u32 = 2;
/// The same for an engine that a gateway suspects, as its report brought no answer there either.
const FAILURES_OF_SUSPECT: u32 = 1;
/// Time for an order to be accepted.
const ORDER_LIMIT: Duration = Duration::from_millis(500);
/// The wait after an order that was refused or brought no answer.
const ORDER_RETRY: Duration = Duration::from_millis(500);
/// How long requests are kept off layers before they are given up: the lead's message, and
/// requests on their way.
const CLOSE_FIRST: Duration = Duration::from_millis(300);
/// With no chain in a data centre yet, how long its set of engines must stay the same before the
/// first plan: engines of one start register within a second.
const SETTLE: Duration = Duration::from_millis(600);
/// How long a chain must be whole before it is balanced: troubles often come together, and an
/// engine that joins is often followed within seconds by the one that it replaces.
const BALANCE_AFTER: Duration = Duration::from_secs(3);
/// The same for a chain that has less than about half of the room that it could have.
const BALANCE_SCARCE_AFTER: Duration = Duration::from_millis(300);
/// How long an empty engine waits beside a whole chain: one that replaces another joins a second
/// or two before that one leaves, and then takes exactly its layers.
const JOIN_PATIENCE: Duration = Duration::from_millis(2_500);
/// For so long after the death of an engine its chain counts as idle: gateways drop its streams
/// within half a second, and no new ones come before the gap is closed.
const IDLE_AFTER_DEATH: Duration = Duration::from_secs(3);
/// Engines that move at once while no requests wait for it: loads slow each other.
const QUIET_MOVES: usize = 4;
/// The same for a chain with far less room than it could have.
const SCARCE_MOVES: usize = 8;
/// How often a plan is looked at again without news.
const REPLAN_INTERVAL: Duration = Duration::from_secs(2);
/// Pause between two rounds of orders.
const ROUND_PAUSE: Duration = Duration::from_millis(50);
/// Layers' worth of memory that an engine keeps free while it holds old and new layers.
const HULL_MARGIN_LAYERS: u32 = 1;

/// What the lead knows of one engine.
struct Engine {
    client: Client,
    since: Instant,
    report: Option<EngineReport>,
    asked: Option<Instant>,
    is_asking: bool,
    failures: u32,
    is_dead: bool,
    died: Option<Instant>,
    /// The layers of an order that may be under way, and when it was given.
    ordered: Option<(LayerRange, Instant)>,
    /// No order before then.
    order_after: Instant,
    /// The layers that are to stay, and since when requests are kept off the others.
    closing: Option<(LayerRange, Instant)>,
}

impl Engine {
    fn new(client: Client, now: Instant) -> Engine {
        Engine {
            client,
            since: now,
            report: None,
            asked: None,
            is_asking: false,
            failures: 0,
            is_dead: false,
            died: None,
            ordered: None,
            order_after: now,
            closing: None,
        }
    }

    fn ready(&self) -> LayerRange {
        self.report.as_ref().map_or(LayerRange::default(), |report| report.layers)
    }

    /// The layers that it holds or will hold.
    fn held(&self) -> LayerRange {
        self.ordered.map_or_else(|| self.ready(), |(layers, _)| layers)
    }

    /// The layers that new requests may use.
    fn usable(&self) -> LayerRange {
        match self.closing {
            Some((stay, _)) => intersection(self.ready(), stay),
            None => self.ready(),
        }
    }

    fn is_moving(&self) -> bool {
        self.ordered.is_some() || self.report.as_ref().is_none_or(|report| report.is_busy)
    }
}

type Engines = Rc<RefCell<HashMap<EndpointId, Engine>>>;

/// The plan of one data centre, and what it was made for.
struct Planned {
    placement: Placement,
    /// It closes a gap.
    is_repair: bool,
    made_for: Vec<Fingerprint>,
    at: Instant,
}

/// Places layers while this gateway leads.
pub(crate) struct Placer {
    gateway: Rc<Gateway>,
    own_view: Rc<RefCell<Option<LeadView>>>,
    engines: Engines,
    /// All engines were heard once, or are dead: what this lead tells is whole.
    is_complete: bool,
    plans: HashMap<(ServiceName, DataCentre), Planned>,
    /// Since when the chain of a data centre is whole, with these engines.
    whole: HashMap<(ServiceName, DataCentre), (BTreeSet<EndpointId>, Instant)>,
    /// The engines of a data centre, and since when they are the same.
    settled: HashMap<(ServiceName, DataCentre), (BTreeSet<EndpointId>, Instant)>,
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
            self.settled.clear();
        }
    }

    async fn round(&mut self, term: u64) {
        let now = Instant::now();
        let services = self.models();
        self.sync_engines(&services, now);
        self.ask_engines(now);
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

    /// Engines as the list tells, less those that leave.
    fn sync_engines(&mut self, services: &[(ServiceName, ModelShape)], now: Instant) {
        let knowledge = self.gateway.knowledge.borrow();
        let names: HashSet<&ServiceName> = services.iter().map(|(name, _)| name).collect();
        let here = knowledge.endpoints().filter(|endpoint| names.contains(&endpoint.service));
        let beliefs = self.gateway.beliefs.borrow();
        let stays = |e: &&Endpoint| !e.is_leaving && !beliefs.is_leaving(&e.id, now);
        let here: HashMap<&EndpointId, &Endpoint> =
            here.filter(stays).map(|endpoint| (&endpoint.id, endpoint)).collect();
        let mut engines = self.engines.borrow_mut();
        engines.retain(|id, _| here.contains_key(id));
        for (id, endpoint) in here {
            engines
                .entry(id.clone())
                .or_insert_with(|| Engine::new(Client::new(endpoint.addr), now));
        }
    }

    /// Asks the engines whose report is due.
    fn ask_engines(&self, now: Instant) {
        let suspects = suspects(&self.gateway, now);
        let mut engines = self.engines.borrow_mut();
        for (id, engine) in engines.iter_mut() {
            let is_urgent = engine.is_moving() || engine.failures > 0 || suspects.contains(id);
            let interval = if is_urgent { REPORT_INTERVAL_MOVING } else { REPORT_INTERVAL };
            let is_due = engine.asked.is_none_or(|asked| now - asked >= interval);
            if engine.is_asking || !is_due {
                continue;
            }
            engine.is_asking = true;
            engine.asked = Some(now);
            let ask = ask(
                Rc::clone(&self.gateway),
                Rc::clone(&self.engines),
                id.clone(),
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
            if engines.contains_key(&endpoint.id) {
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
        let is_idle = self.is_idle(endpoints, now);
        if self.may_plan(&key, shape, &planned, now) {
            self.plan(&key, shape, &planned, is_idle, now);
        }
        let Some(plan) = self.plans.get(&key) else { return };
        let holdings = self.holdings(shape, endpoints, now);
        let mut steps = next_steps(&plan.placement, &holdings, shape.layers, is_idle);
        if plan.is_repair {
            // Once the gap is closed, what is held besides is left to the next balance.
            steps.retain(|step| step.is_urgent);
        }
        self.reopen(endpoints, &steps);
        let most_moves = if is_scarce(shape, &planned) { SCARCE_MOVES } else { QUIET_MOVES };
        for step in steps {
            if step.is_urgent || self.moving() < most_moves {
                self.order(step, now);
            }
        }
    }

    /// Whether an engine died just now: the streams of the whole chain went with it.
    fn is_idle(&self, endpoints: &[Endpoint], now: Instant) -> bool {
        let engines = self.engines.borrow();
        endpoints.iter().any(|endpoint| {
            let died = engines.get(&endpoint.id).and_then(|engine| engine.died);
            died.is_some_and(|died| now - died < IDLE_AFTER_DEATH)
        })
    }

    /// Requests may use layers again that are not to be given up any more.
    fn reopen(&self, endpoints: &[Endpoint], steps: &[Step]) {
        let mut engines = self.engines.borrow_mut();
        for endpoint in endpoints {
            let Some(engine) = engines.get_mut(&endpoint.id) else { continue };
            let gives_up = steps.iter().any(|step| step.gives_up && step.id == endpoint.id);
            if engine.ordered.is_none() && !gives_up {
                engine.closing = None;
            }
        }
    }

    /// Engines with an order under way.
    fn moving(&self) -> usize {
        self.engines.borrow().values().filter(|engine| engine.ordered.is_some()).count()
    }

    /// A gap is closed at once; a whole chain is balanced after it was whole for a while.
    fn may_plan(
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
        let whole_for = now - entry.1;
        whole_for >= BALANCE_AFTER
            || (whole_for >= BALANCE_SCARCE_AFTER && is_scarce(shape, planned))
    }

    /// The engines that are alive; nothing while one of them wasn't heard yet.
    fn planned_engines(
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
            });
        }
        Some(planned)
    }

    /// Leaves empty engines out that joined a whole chain just now.
    fn without_newcomers(
        &self,
        shape: &ModelShape,
        planned: Vec<PlannedEngine>,
        now: Instant,
    ) -> Vec<PlannedEngine> {
        if !covers(shape, &planned) {
            return planned;
        }
        let engines = self.engines.borrow();
        let is_new = |id: &EndpointId| {
            engines.get(id).is_none_or(|engine| now - engine.since < JOIN_PATIENCE)
        };
        planned.into_iter().filter(|one| !one.held.is_empty() || !is_new(&one.id)).collect()
    }

    /// Whether the first plan can be made: more engines may be about to register.
    fn is_settled(
        &mut self,
        key: &(ServiceName, DataCentre),
        planned: &[PlannedEngine],
        now: Instant,
    ) -> bool {
        if self.plans.contains_key(key) || planned.iter().any(|engine| !engine.held.is_empty()) {
            return true;
        }
        let ids: BTreeSet<EndpointId> = planned.iter().map(|engine| engine.id.clone()).collect();
        let entry = self.settled.entry(key.clone()).or_insert_with(|| (BTreeSet::new(), now));
        if entry.0 != ids {
            *entry = (ids, now);
        }
        now - entry.1 >= SETTLE
    }

    fn plan(
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
        let Some(placement) = plan_data_centre(shape, planned, is_idle) else {
            if self.plans.remove(key).is_some() {
                let engines = planned.len();
                warn!("no plan: the engines can't hold the model", kv: {
                    data_centre = key.1.as_str(), engines
                });
            }
            return;
        };
        let before = self.plans.get(key);
        if before.is_none_or(|before| before.placement != placement) {
            let text = describe(&placement);
            let engines = planned.len();
            info!("plan changed", kv: {
                service = key.0.as_str(), data_centre = key.1.as_str(), engines,
                plan = text.as_str()
            });
        }
        let is_repair = !covers(shape, planned) && planned.iter().any(|e| !e.held.is_empty());
        self.plans.insert(key.clone(), Planned { placement, is_repair, made_for, at: now });
    }

    fn holdings(
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
    fn least_room(&self, shape: &ModelShape, endpoints: &[Endpoint]) -> f64 {
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

    /// Gives an order, or first keeps requests off the layers that it gives up.
    fn order(&self, step: Step, now: Instant) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(&step.id) else { return };
        if step.gives_up {
            let (stay, since) = *engine.closing.get_or_insert((step.layers, now));
            if stay != step.layers {
                engine.closing = Some((step.layers, now));
                return;
            }
            if now - since < CLOSE_FIRST {
                return;
            }
        }
        let expected = engine.report.as_ref().map_or(0, |report| report.orders_begun);
        engine.ordered = Some((step.layers, now));
        let order = give_order(
            Rc::clone(&self.gateway),
            Rc::clone(&self.engines),
            step,
            engine.client.clone(),
            expected,
        );
        tokio::task::spawn_local(order);
    }

    /// Shares what the lead knows with all gateways, this one included.
    fn publish(&mut self, term: u64) {
        self.gateway.leads.set(true);
        let engines = self.engines.borrow();
        let is_heard = |engine: &Engine| engine.report.is_some() || engine.is_dead;
        self.is_complete |= !engines.is_empty() && engines.values().all(is_heard);
        if !self.is_complete {
            return;
        }
        let heard = engines.iter().filter(|(_, engine)| is_heard(engine));
        let mut views: Vec<EngineView> = heard
            .map(|(id, engine)| EngineView {
                id: id.clone(),
                usable: engine.usable(),
                slowness: engine.report.as_ref().map_or(1.0, |report| report.slowness as f32),
                is_dead: engine.is_dead,
            })
            .collect();
        views.sort_by(|a, b| a.id.cmp(&b.id));
        let view = LeadView { term, engines: views };
        let is_changed =
            self.own_view.borrow().as_ref().is_none_or(|old| old.engines != view.engines);
        *self.own_view.borrow_mut() = Some(view.clone());
        self.gateway.beliefs.borrow_mut().apply_lead(view, Instant::now());
        if is_changed {
            self.gateway.refresh_paths();
        }
    }
}

/// Engines that any gateway suspects.
fn suspects(gateway: &Gateway, now: Instant) -> HashSet<EndpointId> {
    let mut beliefs = gateway.beliefs.borrow_mut();
    let mut all: HashSet<EndpointId> = beliefs.suspects(now).into_iter().collect();
    for peer in beliefs.live_peers(now) {
        all.extend(peer.message.suspects.iter().cloned());
    }
    all
}

/// Asks one engine for its report.
async fn ask(gateway: Rc<Gateway>, engines: Engines, id: EndpointId, client: Client) {
    gateway.counters.add(Count::Reports);
    let res = read_report(&client, REPORT_LIMIT).await;
    let is_suspect = suspects(&gateway, Instant::now()).contains(&id);
    let mut engines = engines.borrow_mut();
    let Some(engine) = engines.get_mut(&id) else { return };
    engine.is_asking = false;
    match res {
        Ok(report) => on_report(engine, &id, report),
        Err(err) => {
            let to_death = if is_suspect { FAILURES_OF_SUSPECT } else { FAILURES_TO_DEATH };
            on_no_report(engine, &id, &err, to_death);
        }
    }
    drop(engines);
    gateway.engines_changed.notify_waiters();
}

fn on_report(engine: &mut Engine, id: &str, report: EngineReport) {
    engine.failures = 0;
    if std::mem::take(&mut engine.is_dead) {
        info!("engine answers again", kv: { endpoint = id });
    }
    if let Some((layers, given)) = engine.ordered {
        let is_done = !report.is_busy && report.layers == layers;
        // The report lags; one that shows nothing of the order after this was refused or lost.
        let is_lost = !report.is_busy && given.elapsed() > ORDER_RETRY * 2;
        if is_done || is_lost {
            let took_ms = given.elapsed().as_millis() as u64;
            let (from, to) = (layers.from, layers.to);
            let outcome = if is_done { "done" } else { "not seen" };
            info!("order ended", kv: { endpoint = id, from, to, took_ms, outcome });
            engine.ordered = None;
            engine.closing = None;
        }
    }
    engine.report = Some(report);
}

fn on_no_report(engine: &mut Engine, id: &str, err: &CallError, to_death: u32) {
    engine.failures += 1;
    let is_refused = matches!(err, CallError::NotSent { step, .. } if step.starts_with("connect"));
    let is_over = engine.failures >= to_death || is_refused;
    if is_over && !std::mem::replace(&mut engine.is_dead, true) {
        engine.died = Some(Instant::now());
        let (failures, text) = (engine.failures, err.to_string());
        warn!("engine taken to be dead", kv: { endpoint = id, failures, err = text.as_str() });
    }
}

/// Gives one order and takes how it was received.
async fn give_order(
    gateway: Rc<Gateway>,
    engines: Engines,
    step: Step,
    client: Client,
    expected: u64,
) {
    gateway.counters.add(Count::Orders);
    let end = order_layers(&client, step.layers, expected, ORDER_LIMIT).await;
    let text = format!("{end:?}");
    let (from, to) = (step.layers.from, step.layers.to);
    info!("order given", kv: {
        endpoint = step.id.as_str(), from, to, expected, outcome = text.as_str()
    });
    let mut engines = engines.borrow_mut();
    let Some(engine) = engines.get_mut(&step.id) else { return };
    if !matches!(end, OrderEnd::Begun | OrderEnd::Done) {
        gateway.counters.add(Count::OrderFailures);
        engine.order_after = Instant::now() + ORDER_RETRY;
    }
    if matches!(end, OrderEnd::Refused { .. }) {
        engine.ordered = None;
        engine.closing = None;
    }
    // What the engine does shows in its next report.
    engine.asked = None;
}

/// The most layers that an engine may hold for a while: it must not bound its chain further, and
/// keeps some memory for requests while the chain has a gap.
fn most_layers(shape: &ModelShape, card: &Card, least_room: f64) -> u32 {
    let most = shape.most_layers(card).saturating_sub(HULL_MARGIN_LAYERS);
    let fits = |layers: &u32| shape.token_room(card, *layers) >= least_room;
    (1..=most).rev().find(fits).unwrap_or(0)
}

fn intersection(a: LayerRange, b: LayerRange) -> LayerRange {
    LayerRange::new(a.from.max(b.from), a.to.min(b.to))
}

/// What a plan depends on of one engine.
#[derive(PartialEq)]
struct Fingerprint {
    id: EndpointId,
    held: LayerRange,
    is_pinned: bool,
    /// Step factor in steps of a half.
    half_factors: u32,
}

fn fingerprint(engine: &PlannedEngine) -> Fingerprint {
    Fingerprint {
        id: engine.id.clone(),
        held: engine.held,
        is_pinned: engine.is_pinned,
        half_factors: (engine.step_factor * 2.0).round() as u32,
    }
}

fn describe(placement: &Placement) -> String {
    let mut parts: Vec<_> = placement.iter().filter(|(_, range)| !range.is_empty()).collect();
    parts.sort_by_key(|(_, range)| range.from);
    let parts = parts.iter().map(|(id, range)| format!("{id}={}-{}", range.from, range.to));
    parts.collect::<Vec<_>>().join(",")
}
