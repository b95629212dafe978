//! What all parts of a gateway share.

use crate::process::{
    Beliefs, Count, Counters, LivePath, LoggedFaults, PathBook, Pool, ReportedSuspect, SUSPECT_FOR,
    StoreContact,
};
use sorrellock_core::clock::SystemClock;
use sorrellock_core::process::retries::Breakers;
use sorrellock_platform::{Bounds, Client, EndpointLoad, Kind, Settings, StoreEras};
use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::process::{
    FailureEvidence, Incarnation, Incarnations, Leaving, LoopPauses, RetryWindow, StreamPace,
};
use sorrellock_routing::version::{Configuration, ServiceName};
use spdlog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Expected time until a gateway is ready that has no configuration yet: the store answers in ms.
const READY_SOON: Duration = Duration::from_millis(500);

/// How far the process is on its way out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Takes all requests.
    Running,
    /// Not ready any more; takes what still comes, and closes each connection after its answer.
    Leaving,
    /// Closes connections that are idle.
    Closing,
    /// Gives up calls that haven't been answered, so that their callers are told.
    Ending,
    /// Has ended; what is under way is cut.
    Ended,
}

/// An endpoint's load, as its last answer told and as this gateway adds to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointUse {
    /// Requests of this gateway that run there.
    pub(crate) in_flight: u32,
    /// Mean time of an answer, in ms; 0 before the first.
    pub(crate) mean_ms: f64,
    /// What it told last.
    pub(crate) told: Option<(EndpointLoad, Instant)>,
}

/// What all parts of a gateway share.
pub(crate) struct Gateway {
    /// As at the start; [`Gateway::bounds`] holds the bounds in force.
    pub(crate) settings: Settings,
    pub(crate) bounds: Cell<Bounds>,
    /// Drawn at the start: tells lifetimes apart.
    pub(crate) incarnation: u64,
    pub(crate) began: Instant,
    pub(crate) counters: Counters,
    /// Recent pauses of the event loop.
    pub(crate) pauses: RefCell<LoopPauses>,
    pub(crate) knowledge: RefCell<Knowledge>,
    pub(crate) beliefs: RefCell<Beliefs>,
    /// Which incarnation of each endpoint is the present one.
    pub(crate) incarnations: RefCell<Incarnations>,
    /// Faults of objects in the store that the log has told.
    pub(crate) logged_faults: RefCell<LoggedFaults>,
    pub(crate) paths: Rc<RefCell<PathBook>>,
    pub(crate) pool: RefCell<Pool>,
    pub(crate) uses: RefCell<HashMap<Incarnation, EndpointUse>>,
    pub(crate) breakers: RefCell<Breakers<Incarnation, SystemClock>>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryWindow>>,
    /// How long streams take. The configuration names the services, which bounds it.
    pub(crate) stream_paces: RefCell<HashMap<ServiceName, StreamPace>>,
    /// This gateway places layers.
    pub(crate) leads: Cell<bool>,
    /// When the store last told this gateway all that it had.
    pub(crate) store_contact: StoreContact,
    /// The newest era of the store that was heard of.
    pub(crate) eras: StoreEras,
    /// When that became known.
    pub(crate) era_began: Cell<Option<Instant>>,
    /// When a call of the store last failed.
    pub(crate) store_failed: Cell<Option<Instant>>,
    /// Endpoints that refused a request, and when they were last asked why.
    pub(crate) refusers_checked: RefCell<HashMap<Incarnation, Instant>>,
    /// Requests under way.
    pub(crate) in_flight: Cell<usize>,
    /// Requests without the head of an answer.
    pub(crate) unanswered: Cell<usize>,
    /// Open connections that had a request: each may have an answer to write yet.
    pub(crate) answering: Cell<usize>,
    /// Wakes the placer: an engine came, went or is suspected.
    pub(crate) engines_changed: Notify,
    /// Wakes the messages to other gateways: an endpoint failed.
    pub(crate) suspected: Notify,
    /// Clients for questions to endpoints.
    pub(crate) probes: RefCell<HashMap<Incarnation, Client>>,
    /// Wakes requests that wait for the first configuration.
    pub(crate) configured: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    /// It was told to end.
    pub(crate) leaving: Cell<Option<Leaving>>,
}

impl Gateway {
    /// A gateway that knows nothing yet.
    pub(crate) fn new(settings: Settings, incarnation: u64) -> Gateway {
        let knowledge = RefCell::new(Knowledge::new(settings.bounds.leave_within));
        Gateway {
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            began: Instant::now(),
            counters: Counters::new(),
            pauses: RefCell::default(),
            knowledge,
            beliefs: RefCell::default(),
            incarnations: RefCell::default(),
            logged_faults: RefCell::default(),
            paths: Rc::default(),
            pool: RefCell::default(),
            uses: RefCell::default(),
            breakers: RefCell::new(Breakers::new(SystemClock)),
            budgets: RefCell::default(),
            stream_paces: RefCell::default(),
            leads: Cell::new(false),
            store_contact: StoreContact::default(),
            eras: StoreEras::default(),
            era_began: Cell::new(None),
            store_failed: Cell::new(None),
            refusers_checked: RefCell::default(),
            in_flight: Cell::new(0),
            unanswered: Cell::new(0),
            answering: Cell::new(0),
            engines_changed: Notify::new(),
            suspected: Notify::new(),
            probes: RefCell::default(),
            configured: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            leaving: Cell::new(None),
        }
    }

    /// Puts other bounds in force.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        info!("bounds changed", kv: { before:? = self.bounds.get(), now:? = bounds });
        self.bounds.set(bounds);
        self.knowledge.borrow_mut().set_leave_within(bounds.leave_within);
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_bounds(bounds.retries);
        }
    }

    /// Whether new connections are wanted.
    pub(crate) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.knowledge.borrow().routes().is_some()
    }

    /// Time until this gateway, or its successor, is expected to be ready.
    pub(crate) fn ready_in(&self, now: Instant) -> Duration {
        match self.leaving.get() {
            Some(leaving) => leaving.successor_in(now.into_std()),
            None if self.is_ready() => Duration::ZERO,
            None => READY_SOON,
        }
    }

    /// When a caller that this gateway refuses as it ends should come back, by what the gateways tell
    /// each other.
    pub(crate) fn come_back(&self, now: Instant) -> Duration {
        let Some(leaving) = self.leaving.get() else { return Duration::ZERO };
        let beliefs = self.beliefs.borrow();
        let (near, elsewhere) = beliefs.ready_in(&self.settings.data_centre, now);
        leaving.come_back(&near, &elsewhere, now.into_std())
    }

    /// Whether a stream that lost its run may go on over another path before this gateway ends.
    pub(crate) fn may_resume(&self) -> bool {
        let now = Instant::now().into_std();
        self.leaving.get().is_none_or(|leaving| leaving.resumes(now))
    }

    /// Goes on to a later phase of the way out.
    pub(crate) fn reach(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let is_later = *now < phase;
            *now = phase.max(*now);
            is_later
        });
    }

    /// Ends when the process gives up what hasn't been answered.
    pub(crate) async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway.
        let _ = phase.wait_for(|phase| *phase >= Phase::Ending).await;
    }

    /// Whether the process gives up what hasn't been answered.
    pub(crate) fn is_ending(&self) -> bool {
        *self.phase.borrow() >= Phase::Ending
    }

    /// The time that an answer of a service usually takes: the median of its endpoints' means, so that a
    /// single slow one doesn't have all calls refused.
    pub(crate) fn usual_answer(&self, service: &str) -> Duration {
        let knowledge = self.knowledge.borrow();
        let uses = self.uses.borrow();
        let of_service = knowledge.endpoints().filter(|endpoint| endpoint.service == service);
        let means = of_service.filter_map(|endpoint| uses.get(&endpoint.incarnation()));
        let mut means_ms: Vec<f64> = means.map(|used| used.mean_ms).collect();
        means_ms.sort_by(f64::total_cmp);
        let median_ms = means_ms.get(means_ms.len() / 2).copied().unwrap_or_default();
        Duration::from_secs_f64(median_ms / 1e3)
    }

    /// Puts a configuration in force if it is newer than the one before. `parsing` is the time that it took
    /// to parse.
    pub(crate) fn apply_configuration(&self, cfg: Configuration, source: &str, parsing: Duration) {
        let began = Instant::now();
        let version = cfg.version;
        let (routes, workspaces) = (cfg.routes.len(), cfg.workspaces.len());
        let before = self.knowledge.borrow().config_version();
        let now = Instant::now();
        let heard_ms = self.store_contact.age_ms(Kind::Configuration, now);
        if !self.knowledge.borrow_mut().apply_configuration(cfg, now.into_std()) {
            return;
        }
        self.refresh_paths();
        let (parse_us, install_us) =
            (parsing.as_micros() as u64, began.elapsed().as_micros() as u64);
        info!("configuration in force", kv: {
            version, before, routes, workspaces, source, heard_ms:?, parse_us, install_us
        });
        self.configured.notify_waiters();
        self.engines_changed.notify_waiters();
    }

    /// An endpoint's entry is gone.
    pub(crate) fn remove_endpoint(&self, id: &str, source: &str) {
        if self.knowledge.borrow_mut().remove_endpoint(id, Instant::now().into_std()) {
            self.endpoint_gone(id, source);
        }
    }

    /// Tells and forgets an endpoint that was removed.
    pub(crate) fn endpoint_gone(&self, id: &str, source: &str) {
        info!("endpoint gone", kv: { endpoint = id, source });
        self.uses.borrow_mut().retain(|incarnation, _| incarnation.id != id);
        self.engines_changed.notify_waiters();
    }

    /// An endpoint failed an attempt: it gets nothing new for a while.
    pub(crate) fn suspect(&self, incarnation: &Incarnation, evidence: FailureEvidence, why: &str) {
        let now = Instant::now();
        if self.beliefs.borrow_mut().suspect(incarnation, evidence, now, SUSPECT_FOR) {
            warn!("endpoint suspected", kv: { endpoint = incarnation.id.as_str(), evidence:?, why });
            self.refresh_paths();
            self.engines_changed.notify_waiters();
            self.suspected.notify_one();
        }
    }

    /// Takes which engines failed other gateways. Such a report breaks the paths through its engine that miss their events here,
    /// too. It counts for as long as it is repeated: paths that got an event just before the engine failed miss the next one only later.
    pub(crate) fn take_reported_failures(&self) {
        let now = Instant::now();
        let mut broken = Vec::new();
        let mut believed = Vec::new();
        for (report, instance) in self.beliefs.borrow().reported_suspects(now) {
            let breaking = self.paths.borrow().breaking_by_report(report, now);
            if !breaking.is_empty() {
                believed.push((report.clone(), instance.to_owned()));
                broken.extend(breaking);
            }
        }
        for (report, instance) in &believed {
            self.hear_suspicion(report, instance, now);
        }
        if broken.is_empty() {
            return;
        }
        self.refresh_paths();
        broken.iter().for_each(|live| live.break_up());
    }

    fn hear_suspicion(&self, report: &ReportedSuspect, instance: &str, now: Instant) {
        if self.beliefs.borrow_mut().hear_suspect(report, instance, now, SUSPECT_FOR) {
            warn!("endpoint suspected", kv: {
                endpoint = report.incarnation.id.as_str(), evidence:? = report.evidence,
                why = "another gateway told", instance
            });
        }
    }

    /// An endpoint gave a sign of life: a suspicion of it was wrong, or is out of date.
    pub(crate) fn note_alive(&self, incarnation: &Incarnation, sign: &str) {
        let now = Instant::now();
        let Some(suspicion) = self.beliefs.borrow_mut().refute(incarnation, now) else { return };
        self.counters.add(Count::SuspicionsRefuted);
        let source = suspicion.source.to_string();
        info!("suspected endpoint is alive", kv: {
            endpoint = incarnation.id.as_str(), sign, source = source.as_str(),
            after_ms = (now - suspicion.since).as_millis() as u64
        });
    }

    /// An event came over a broken path: its engines live, and may get new work again.
    pub(crate) fn on_path_restored(&self, live: &LivePath) {
        let now = Instant::now();
        for part in &live.path.parts {
            self.note_alive(&part.incarnation, "an event");
            self.beliefs.borrow_mut().withdraw(&part.incarnation, now);
        }
        self.refresh_paths();
        self.engines_changed.notify_waiters();
    }

    /// Why an endpoint is taken to be dead, and by whom; none while it is not. For log lines.
    pub(crate) fn judgement(&self, incarnation: &Incarnation) -> Option<String> {
        let now = Instant::now();
        if self.has_ended(incarnation) || self.incarnations.borrow().is_over(incarnation) {
            return Some("ended".to_owned());
        }
        let beliefs = self.beliefs.borrow();
        if let Some(suspicion) = beliefs.suspicion(incarnation, now) {
            let ms = (now - suspicion.since).as_millis();
            return Some(format!("suspected by {} for {ms} ms", suspicion.source));
        }
        let is_dead = beliefs.engine(incarnation, now).is_some_and(|engine| engine.is_dead);
        is_dead.then(|| "dead by the lead".to_owned())
    }

    /// The client for questions to an endpoint in one incarnation. Its connections are kept: new ones are priced.
    pub(crate) fn probe(&self, incarnation: &Incarnation, addr: SocketAddr) -> Client {
        let mut probes = self.probes.borrow_mut();
        match probes.get(incarnation) {
            Some(client) if client.peer() == addr => client.clone(),
            _ => {
                let client = Client::new(addr);
                probes.insert(incarnation.clone(), client.clone());
                client
            }
        }
    }

    /// An endpoint told that it takes nothing more.
    pub(crate) fn believe_leaving(&self, incarnation: &Incarnation) {
        let now = Instant::now();
        if self.beliefs.borrow_mut().believe_leaving(incarnation, now) {
            let source = self.settings.instance.as_str();
            info!("endpoint told that it leaves", kv: { endpoint = incarnation.id.as_str(), source });
            self.refresh_paths();
            self.engines_changed.notify_waiters();
        }
    }

    /// Whether an endpoint has ended or is cut off, as far as the lead can tell, or its incarnation is over
    /// for good.
    pub(crate) fn is_dead(&self, incarnation: &Incarnation) -> bool {
        if self.incarnations.borrow().is_over(incarnation) {
            return true;
        }
        let beliefs = self.beliefs.borrow();
        beliefs.engine(incarnation, Instant::now()).is_some_and(|engine| engine.is_dead)
    }

    /// Whether an incarnation is over for good, or its endpoint is no longer known. One that the lead takes to be dead may only have
    /// paused, and still run what it was sent.
    pub(crate) fn is_gone(&self, incarnation: &Incarnation) -> bool {
        self.incarnations.borrow().is_over(incarnation) || !self.is_listed(incarnation)
    }

    /// Whether an endpoint has ended, or failed just now as if it had.
    pub(crate) fn is_lost(&self, incarnation: &Incarnation) -> bool {
        self.has_ended(incarnation)
            || self.is_dead(incarnation)
            || self.beliefs.borrow().is_suspect(incarnation, Instant::now())
    }

    /// Whether the list holds an endpoint in this incarnation.
    pub(crate) fn is_listed(&self, incarnation: &Incarnation) -> bool {
        self.knowledge.borrow().is_current(incarnation)
    }
}
