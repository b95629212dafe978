//! State shared by all parts of a gateway.

use crate::process::{
    CapacityKeeper, CapacityKeepers, Counters, EndChecks, FleetState, LoggedFaults, LostLayers,
    NoticeKind, Options, PathTable, Permits, Pool, StoreContact, UpdateCounter,
};
use http::HeaderName;
use sorrellock_core::clock::SystemClock;
use sorrellock_core::process::callers::{CallerBounds, MachineLimits};
use sorrellock_core::process::retries::Breakers;
use sorrellock_http::{Callers, machine_limits};
use sorrellock_platform::{
    Bounds, Client, EndpointLoad, Kind, Settings, Store, StoreCalls, StoreEras,
};
use sorrellock_routing::process::crashes::{CrashGuard, HeldSync};
use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::process::lead_view::{ViewServing, ViewSync};
use sorrellock_routing::process::limits::EndpointLimits;
use sorrellock_routing::process::notices::Backoffs;
use sorrellock_routing::process::relays::Placing;
use sorrellock_routing::process::retries::RetryWindow;
use sorrellock_routing::process::{
    Incarnation, Incarnations, Leaving, LoopPauses, ReturnTimes, Revision, StreamPace,
};
use sorrellock_routing::version::{CallerLimits, Configuration, ServiceName};
use spdlog::{info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::mem;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Expected time until a gateway without a configuration is ready: the store answers within milliseconds.
const EXPECTED_START_DELAY: Duration = Duration::from_millis(500);

/// Limits on callers used until there is a configuration.
const DEFAULT_LIMITS: CallerLimits = CallerLimits {
    max_header_bytes: 16 << 10,
    max_body_bytes: 4 << 20,
    header_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};

/// Returns the limits that the settings name, and the system's for those that they don't.
fn settings_limits(settings: &Settings) -> MachineLimits {
    let system = machine_limits();
    MachineLimits {
        memory: settings.memory.unwrap_or(system.memory),
        descriptors: settings.descriptors.unwrap_or(system.descriptors),
    }
}

/// Stage of the process's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Accepts all requests.
    Running,
    /// No longer ready. Accepts requests that still arrive, and closes each connection after its answer.
    Leaving,
    /// Closes idle connections.
    Closing,
    /// Abandons unanswered calls with a final answer to their callers.
    Ending,
    /// Has ended; remaining calls are cut off.
    Ended,
}

/// An endpoint's load: what it reported in its last answer, and what this gateway adds to it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointUse {
    /// Number of this gateway's requests that run there.
    pub(crate) in_flight: u32,
    /// Mean duration of an answer, in ms; 0 before the first.
    pub(crate) mean_ms: f64,
    /// The load that it last reported, and when.
    pub(crate) reported: Option<(EndpointLoad, Instant)>,
}

/// State shared by all parts of a gateway.
pub(crate) struct Gateway {
    /// Settings at the start; [`Gateway::bounds`] holds the bounds in force.
    pub(crate) settings: Settings,
    pub(crate) bounds: Cell<Bounds>,
    /// Random number drawn at the start, which distinguishes restarts.
    pub(crate) incarnation: u64,
    pub(crate) began: Instant,
    pub(crate) counters: Counters,
    /// Recent pauses of the event loop.
    pub(crate) pauses: RefCell<LoopPauses>,
    pub(crate) knowledge: RefCell<Knowledge>,
    pub(crate) fleet_state: RefCell<FleetState>,
    /// The current incarnation of each endpoint.
    pub(crate) incarnations: RefCell<Incarnations>,
    /// Endpoints that join while a long list is applied.
    pub(crate) updates: RefCell<UpdateCounter>,
    /// Faults of objects in the store that have been logged.
    pub(crate) logged_faults: RefCell<LoggedFaults>,
    pub(crate) paths: Rc<RefCell<PathTable>>,
    pub(crate) pool: RefCell<Pool>,
    /// Number of open connections to endpoints for requests, idle ones included.
    pub(crate) endpoint_connections: Cell<usize>,
    /// What the machine gives to this process.
    pub(crate) machine: MachineLimits,
    /// The connections of callers, and what they make this process hold.
    pub(crate) callers: Callers,
    /// The limits on callers of the configuration in force.
    pub(crate) caller_limits: watch::Sender<CallerLimits>,
    pub(crate) uses: RefCell<HashMap<Incarnation, EndpointUse>>,
    pub(crate) breakers: RefCell<Breakers<Incarnation, SystemClock>>,
    pub(crate) budgets: RefCell<HashMap<ServiceName, RetryWindow>>,
    /// Pace of the streams of each service. Bounded by the services in the configuration.
    pub(crate) stream_paces: RefCell<HashMap<ServiceName, StreamPace>>,
    /// The term of this gateway while it is the lead, which places layers.
    pub(crate) lead_term: Cell<Option<Revision>>,
    /// When this gateway's data from the store was last confirmed complete.
    pub(crate) store_contact: StoreContact,
    /// Calls to the store.
    pub(crate) store_calls: StoreCalls,
    /// The newest known era of the store.
    pub(crate) eras: StoreEras,
    /// When the newest era became known.
    pub(crate) era_began: Cell<Option<Instant>>,
    /// When a call of the store last failed.
    pub(crate) store_failed: Cell<Option<Instant>>,
    /// Endpoints that refused a request, and when each was last checked for the reason.
    pub(crate) refusers_checked: RefCell<HashMap<Incarnation, Instant>>,
    /// Finds and holds back requests that crash endpoints.
    pub(crate) crash_guard: RefCell<CrashGuard>,
    /// Recent checks of endpoints to which a connection broke.
    pub(crate) end_checks: RefCell<EndChecks>,
    /// Decides when records of held requests are read from other gateways and the store.
    pub(crate) held_sync: RefCell<HeldSync>,
    /// Wakes the writer of held requests to the store.
    pub(crate) held_changed: Notify,
    /// The limits that endpoints named.
    pub(crate) limits: RefCell<EndpointLimits>,
    pub(crate) permits: RefCell<Permits>,
    /// The queues for capacity that this gateway gives out.
    pub(crate) capacity: RefCell<CapacityKeeper>,
    /// Layers that are missing for any path.
    pub(crate) lost_layers: RefCell<LostLayers>,
    /// When callers may return that this gateway refuses by itself, by service.
    pub(crate) return_times: RefCell<HashMap<ServiceName, ReturnTimes>>,
    /// The gateways that give out the others.
    pub(crate) capacity_keepers: RefCell<CapacityKeepers>,
    /// Decides from whom the lead's view is read.
    pub(crate) view_sync: RefCell<ViewSync>,
    /// Bounds the views served to other gateways.
    pub(crate) view_serving: RefCell<ViewServing>,
    /// Endpoints that asked this gateway for no requests.
    pub(crate) backoffs: RefCell<Backoffs>,
    /// What endpoints say of themselves that can't be read, which has been logged.
    pub(crate) invalid_notices: RefCell<HashSet<(Incarnation, NoticeKind)>>,
    /// Names of fields in endpoints' answers that nothing reads, which have been logged.
    pub(crate) unknown_fields: RefCell<HashSet<HeaderName>>,
    /// The platform's store, once its client exists.
    pub(crate) store: RefCell<Option<Store>>,
    /// Number of requests in flight.
    pub(crate) in_flight: Cell<usize>,
    /// Number of requests that have no answer head yet.
    pub(crate) unanswered: Cell<usize>,
    /// Number of open connections that had a request: each may still have an answer to write.
    pub(crate) answering: Cell<usize>,
    /// Wakes the placer when an engine appears, disappears or is suspected.
    pub(crate) engines_changed: Notify,
    /// Wakes the sender of messages to other gateways when an endpoint is suspected or a configuration is new.
    pub(crate) news: Notify,
    /// Clients for queries to endpoints.
    pub(crate) probes: RefCell<HashMap<Incarnation, Client>>,
    /// Wakes tasks that wait for the first list of the gateways.
    pub(crate) gateways_listed: Notify,
    /// Whether the store has this gateway's object.
    pub(crate) is_registered: Cell<bool>,
    /// Wakes requests that wait for the first configuration and endpoints.
    pub(crate) first_data: Notify,
    pub(crate) phase: watch::Sender<Phase>,
    /// Set once the process was signalled to end.
    pub(crate) leaving: Cell<Option<Leaving>>,
}

impl Gateway {
    /// Returns a gateway without configuration or endpoints.
    pub(crate) fn new(settings: Settings, options: Options, incarnation: u64) -> Gateway {
        let began = Instant::now();
        let knowledge = RefCell::new(Knowledge::new(settings.bounds.leave_within));
        let placing =
            Placing { data_centre: settings.data_centre.clone(), processor: settings.processor };
        let fleet_state = FleetState::new(&settings.instance, placing, options.relays_from, began);
        let fleet_state = RefCell::new(fleet_state);
        let machine = settings_limits(&settings);
        let max_head_bytes = DEFAULT_LIMITS.max_header_bytes;
        Gateway {
            machine,
            callers: Callers::new(CallerBounds::new(machine, max_head_bytes)),
            caller_limits: watch::Sender::new(DEFAULT_LIMITS),
            bounds: Cell::new(settings.bounds),
            settings,
            incarnation,
            began,
            counters: Counters::new(),
            pauses: RefCell::default(),
            knowledge,
            fleet_state,
            incarnations: RefCell::default(),
            updates: RefCell::default(),
            logged_faults: RefCell::default(),
            paths: Rc::default(),
            pool: RefCell::default(),
            endpoint_connections: Cell::new(0),
            uses: RefCell::default(),
            breakers: RefCell::new(Breakers::new(SystemClock)),
            budgets: RefCell::default(),
            stream_paces: RefCell::default(),
            lead_term: Cell::default(),
            store_contact: StoreContact::default(),
            store_calls: StoreCalls::default(),
            eras: StoreEras::default(),
            era_began: Cell::new(None),
            store_failed: Cell::new(None),
            refusers_checked: RefCell::default(),
            crash_guard: RefCell::default(),
            end_checks: RefCell::default(),
            held_sync: RefCell::default(),
            held_changed: Notify::new(),
            limits: RefCell::default(),
            permits: RefCell::default(),
            capacity: RefCell::default(),
            capacity_keepers: RefCell::default(),
            lost_layers: RefCell::default(),
            return_times: RefCell::default(),
            view_sync: RefCell::default(),
            view_serving: RefCell::default(),
            backoffs: RefCell::default(),
            invalid_notices: RefCell::default(),
            unknown_fields: RefCell::default(),
            store: RefCell::default(),
            in_flight: Cell::new(0),
            unanswered: Cell::new(0),
            answering: Cell::new(0),
            engines_changed: Notify::new(),
            news: Notify::new(),
            probes: RefCell::default(),
            gateways_listed: Notify::new(),
            is_registered: Cell::new(false),
            first_data: Notify::new(),
            phase: watch::Sender::new(Phase::Running),
            leaving: Cell::new(None),
        }
    }

    /// Returns the limits on callers of the configuration in force.
    pub(crate) fn caller_limits(&self) -> CallerLimits {
        *self.caller_limits.borrow()
    }

    /// Adapts the limits on callers, and what they may make this process hold, to a configuration.
    fn update_caller_bounds(&self, limits: CallerLimits) {
        self.caller_limits.send_if_modified(|before| mem::replace(before, limits) != limits);
        let bounds = CallerBounds::new(self.machine, limits.max_header_bytes);
        if bounds == self.callers.bounds() {
            return;
        }
        self.callers.set_bounds(bounds);
        info!("bounds on callers", kv: {
            connections = bounds.connections, endpoint_connections = bounds.endpoint_connections,
            body_bytes = bounds.body_bytes, answer_bytes = bounds.answer_bytes
        });
    }

    /// Logs a configuration that allows larger bodies than this machine can hold.
    fn check_max_body_bytes(&self) {
        let allowed = self.caller_limits().max_body_bytes;
        let max = self.callers.bounds().max_large_body_bytes();
        if allowed > max {
            warn!("the configuration allows bodies that this machine has no memory for; they are refused with 503", kv: {
                max_body_bytes = allowed, largest_body_bytes = max
            });
        }
    }

    /// Applies changed bounds.
    pub(crate) fn set_bounds(&self, bounds: Bounds) {
        info!("bounds changed", kv: { before:? = self.bounds.get(), now:? = bounds });
        self.bounds.set(bounds);
        self.knowledge.borrow_mut().set_leave_within(bounds.leave_within);
        for budget in self.budgets.borrow_mut().values_mut() {
            budget.set_bounds(bounds.retries);
        }
    }

    /// Returns whether the gateway is ready for new connections.
    pub(crate) fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Running && self.knowledge.borrow().routes().is_some()
    }

    /// Returns the time until this gateway, or its successor, is expected to be ready.
    pub(crate) fn ready_in(&self, now: Instant) -> Duration {
        match self.leaving.get() {
            Some(leaving) => leaving.successor_in(now.into_std()),
            None if self.is_ready() => Duration::ZERO,
            None => EXPECTED_START_DELAY,
        }
    }

    /// Returns the delay after which a caller refused by this ending gateway should retry, from the expected readiness
    /// of all gateways.
    pub(crate) fn retry_delay(&self, now: Instant) -> Duration {
        let Some(leaving) = self.leaving.get() else { return Duration::ZERO };
        let fleet_state = self.fleet_state.borrow();
        let (near, elsewhere) = fleet_state.ready_in(&self.settings.data_centre, now);
        leaving.retry_delay(&near, &elsewhere, now.into_std())
    }

    /// Returns whether a stream that lost its run may continue over another path before this gateway ends.
    pub(crate) fn may_resume(&self) -> bool {
        let now = Instant::now().into_std();
        self.leaving.get().is_none_or(|leaving| leaving.resumes(now))
    }

    /// Advances to a later phase. Does nothing if the phase is reached already.
    pub(crate) fn advance_phase(&self, phase: Phase) {
        self.phase.send_if_modified(|now| {
            let is_later = *now < phase;
            *now = phase.max(*now);
            is_later
        });
    }

    /// Waits until the process abandons unanswered calls.
    pub(crate) async fn ending(&self) {
        let mut phase = self.phase.subscribe();
        // The sender lives as long as the gateway.
        let _ = phase.wait_for(|phase| *phase >= Phase::Ending).await;
    }

    /// Returns whether the process abandons unanswered calls.
    pub(crate) fn is_ending(&self) -> bool {
        *self.phase.borrow() >= Phase::Ending
    }

    /// Returns the usual duration of a service's answers: the median of its endpoints' means, so that a single slow
    /// endpoint doesn't cause all calls to be refused.
    pub(crate) fn usual_answer(&self, service: &str) -> Duration {
        let knowledge = self.knowledge.borrow();
        let uses = self.uses.borrow();
        let of_service = knowledge.endpoints().filter(|endpoint| endpoint.service == service);
        let means = of_service.filter_map(|endpoint| uses.get(&endpoint.incarnation()));
        let answered = means.filter(|used| used.mean_ms > 0.0);
        let mut means_ms: Vec<f64> = answered.map(|used| used.mean_ms).collect();
        means_ms.sort_by(f64::total_cmp);
        let median_ms = means_ms.get(means_ms.len() / 2).copied().unwrap_or_default();
        Duration::from_secs_f64(median_ms / 1e3)
    }

    /// Applies a configuration if it is newer than the current one. `parsing` is the time that it took to parse.
    pub(crate) fn apply_configuration(&self, cfg: Configuration, source: &str, parsing: Duration) {
        let began = Instant::now();
        let version = cfg.version;
        let (routes, workspaces) = (cfg.routes.len(), cfg.workspaces.len());
        let limits = cfg.limits;
        let before = self.knowledge.borrow().config_version();
        let now = Instant::now();
        let heard_ms = self.store_contact.age_ms(Kind::Configuration, now);
        if !self.knowledge.borrow_mut().apply_configuration(cfg, now.into_std()) {
            return;
        }
        self.refresh_paths();
        self.update_caller_bounds(limits);
        self.check_max_body_bytes();
        let (parse_us, install_us) =
            (parsing.as_micros() as u64, began.elapsed().as_micros() as u64);
        info!("configuration in force", kv: {
            version, before, routes, workspaces, source, heard_ms:?, parse_us, install_us
        });
        self.update_capacity_ranks();
        if !self.store_contact.is_left_to_others(Kind::Configuration) {
            self.news.notify_one();
        }
        self.first_data.notify_waiters();
        self.engines_changed.notify_waiters();
    }
}
