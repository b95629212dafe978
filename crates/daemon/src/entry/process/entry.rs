//! Start, drain and stop of an entry.

use crate::entry::process::entry_handler::EntryLedger;
use crate::entry::process::{
    Api, Calls, EntryHandler, EntrySettings, FleetCell, Gate, GateParts, InProgress, LedgerClient,
    LimitDesk, Pipelines, RetryDesk, Timer,
};
use crate::entry::request::{RunTable, listener_refusal};
use crate::process::leads::LeadAgent;
use crate::process::ledger::{LEDGER_STORE_TIMEOUT, LedgerHolders};
use crate::process::{
    ConfigAgent, Count, Counters, DaemonParts, Dump, FleetAgent, Journal, LIST_TIMEOUT,
    counters_json, listen_for_operators, read_list, send_metrics,
};
use eyre::{Result, WrapErr};
use serde_json::{Value, json};
use sorrellock_core::process::DaemonRole;
use sorrellock_core::process::ledger::HolderConfig;
use sorrellock_core::process::membership::MembershipView;
use sorrellock_core::request::Peer;
use sorrellock_core::version::SpreadSettings;
use sorrellock_http::{Server, ServerConfig};
use sorrellock_ports::client::{HttpInstanceList, HttpObjectStore};
use sorrellock_wire::connection::AnyLink;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// How often a drain checks whether all requests have ended.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// A running entry.
pub struct Entry {
    state: Arc<EntryState>,
    server: Server,
    operators: Option<Server>,
    ready_grace: Duration,
}

impl Entry {
    /// Starts the entry. It is ready once `/readyz` answers 200.
    pub fn start(settings: EntrySettings) -> Result<Entry> {
        let (parts, unserved) = DaemonParts::listen(
            DaemonRole::Entry,
            &settings.place,
            settings.link,
            settings.link_kind,
            SpreadSettings::new(),
        )?;
        let leads_cx = parts.lead_cx(settings.planner);
        let DaemonParts { me, link, agent, config, counters, journal } = parts;
        let store = HttpObjectStore::new(settings.platform);
        let (in_progress, finished) = InProgress::new(me.incarnation, settings.max_in_progress);
        let state = Arc::new(EntryState {
            me,
            place: settings.place.clone(),
            config: config.clone(),
            fleet: Arc::default(),
            in_progress: Arc::new(in_progress),
            gate: OnceLock::new(),
            agent: agent.clone(),
            leads: LeadAgent::start(store.clone(), leads_cx),
            holders: Arc::new(new_holders(me, &settings, link.clone())),
            retries: Arc::new(RetryDesk::new(counters.clone(), journal.clone())),
            link: link.clone(),
            counters: counters.clone(),
            journal,
        });
        let timer = Arc::new(Timer::default());
        let pipelines = Arc::new(new_pipelines(&state, &timer, settings.max_attempts));
        let calls = Arc::new(new_calls(&state, &timer, &pipelines, settings.max_attempts));
        let limits = Arc::new(new_limits(&state));
        let parts = GateParts {
            fleet: state.fleet.clone(),
            in_progress: state.in_progress.clone(),
            pipelines: pipelines.clone(),
            calls: calls.clone(),
            timer: timer.clone(),
            limits: limits.clone(),
            counters: counters.clone(),
        };
        let gate = Gate::start(parts, finished);
        let _ = state.gate.set(gate.clone());
        start_timer(&timer, &pipelines, &calls, &gate);
        pipelines.watch();
        start_waits(&calls);
        link.serve(
            unserved.closed,
            Arc::new(new_handler(&state, &pipelines, &calls, &gate, &limits)),
        );
        let fleet = state.fleet.clone();
        agent.on_change(move |members| fleet.set_members(members));
        agent.serve(unserved.members, link.clone(), Vec::new);
        config.serve(unserved.config, link, Some(store));
        let list = HttpInstanceList::new(settings.platform).with_timeout(LIST_TIMEOUT);
        read_list(agent, list, true);
        send_metrics(counters, settings.metrics).wrap_err("failed to start sending metrics")?;
        let server = start_server(&settings, &state, gate)?;
        let operators = start_operators(&settings, &state)?;
        spdlog::info!(
            "entry {} of {} serves callers on {}",
            me.addr,
            settings.place,
            server.addr()
        );
        Ok(Entry { state, server, operators, ready_grace: settings.ready_grace })
    }

    /// Returns the address and incarnation of this process.
    pub fn peer(&self) -> Peer {
        self.state.me
    }

    /// Returns the address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the address of the operators' listener, if there is one.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(Server::addr)
    }

    /// Returns the value of a counter.
    pub fn counter(&self, count: Count) -> u64 {
        self.state.counters.get(count)
    }

    /// Returns the agent that holds the current configuration.
    pub fn config(&self) -> &Arc<ConfigAgent> {
        &self.state.config
    }

    /// Returns this entry's view of the fleet's members.
    pub fn members(&self) -> Arc<MembershipView> {
        self.state.agent.view()
    }

    /// Returns the state of this entry, for dumps.
    pub fn state(&self) -> Arc<EntryState> {
        self.state.clone()
    }

    /// Leaves the fleet: first fails `/readyz`, so that the load balancer sends elsewhere, then refuses
    /// new requests, and closes idle connections when all running requests have ended. Returns false if
    /// some still run after `wait`.
    pub fn drain(&self, wait: Duration) -> bool {
        self.state.in_progress.announce_leaving();
        self.state.agent.leave();
        thread::sleep(self.ready_grace);
        self.state.in_progress.drain();
        let end = Instant::now() + wait;
        while self.state.in_progress.count() > 0 {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(DRAIN_POLL);
        }
        self.server.shutdown();
        self.state.agent.end();
        true
    }

    /// Stops at once without draining, like a killed process.
    pub fn stop(&self) {
        self.server.abort();
        self.state.config.stop();
        self.state.leads.stop();
        self.state.link.close();
    }
}

/// Holds the shared components of an entry and dumps their state.
pub struct EntryState {
    me: Peer,
    place: String,
    config: Arc<ConfigAgent>,
    fleet: Arc<FleetCell>,
    agent: Arc<FleetAgent>,
    leads: Arc<LeadAgent>,
    in_progress: Arc<InProgress>,
    gate: OnceLock<Arc<Gate<AnyLink>>>,
    holders: Arc<EntryLedger<AnyLink>>,
    retries: Arc<RetryDesk>,
    link: Arc<AnyLink>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

impl Dump for EntryState {
    fn dump(&self) -> Value {
        json!({
            "role": "entry",
            "peer": self.me,
            "place": self.place,
            "draining": self.in_progress.is_draining(),
            "in_progress": self.in_progress.count(),
            "admission": self.gate.get().map(|gate| gate.dump()),
            "fleet": self.fleet.view().instances().collect::<Vec<_>>(),
            "members": self.agent.view().members().collect::<Vec<_>>(),
            "cut_off": self.agent.view().cut_off(),
            "retries": self.retries.dump(),
            "ledger": self.holders.dump(),
            "config": self.config.status(),
            "journal": self.journal.entries(),
            "counters": counters_json(&self.counters.snapshot()),
            "link": counters_json(&self.link.counters().snapshot()),
        })
    }
}

fn new_pipelines(state: &EntryState, timer: &Arc<Timer>, max_attempts: u32) -> Pipelines<AnyLink> {
    Pipelines {
        me: state.me,
        link: state.link.clone(),
        fleet: state.fleet.clone(),
        in_progress: state.in_progress.clone(),
        timer: timer.clone(),
        checks: Arc::default(),
        counters: state.counters.clone(),
        max_attempts,
        runs: RunTable::new(),
    }
}

fn new_calls(
    state: &EntryState,
    timer: &Arc<Timer>,
    pipelines: &Arc<Pipelines<AnyLink>>,
    max_attempts: u32,
) -> Calls<AnyLink> {
    Calls {
        me: state.me,
        link: state.link.clone(),
        fleet: state.fleet.clone(),
        ledger: new_ledger_client(state),
        pipelines: pipelines.clone(),
        retries: state.retries.clone(),
        in_progress: state.in_progress.clone(),
        timer: timer.clone(),
        counters: state.counters.clone(),
        max_attempts,
        runs: RunTable::new(),
    }
}

fn new_ledger_client(state: &EntryState) -> LedgerClient<AnyLink> {
    LedgerClient {
        link: state.link.clone(),
        names: state.agent.clone(),
        waits: Arc::default(),
        counters: state.counters.clone(),
    }
}

fn new_holders(me: Peer, settings: &EntrySettings, link: Arc<AnyLink>) -> EntryLedger<AnyLink> {
    let store = HttpObjectStore::new(settings.platform).with_timeout(LEDGER_STORE_TIMEOUT);
    let cfg = HolderConfig::new().with_retention(settings.key_retention);
    LedgerHolders::over_link(me.incarnation, store, link, cfg)
}

/// Starts the thread that handles timeouts of calls waiting for the ledger.
fn start_waits(calls: &Arc<Calls<AnyLink>>) {
    let (waits, calls) = (calls.ledger.waits.clone(), calls.clone());
    waits.start(move |sequence| calls.on_wait_over(sequence));
}

fn new_limits(state: &EntryState) -> LimitDesk<AnyLink> {
    LimitDesk::new(
        state.me,
        state.link.clone(),
        state.agent.clone(),
        state.config.clone(),
        state.counters.clone(),
        state.journal.clone(),
    )
}

fn new_handler(
    state: &EntryState,
    pipelines: &Arc<Pipelines<AnyLink>>,
    calls: &Arc<Calls<AnyLink>>,
    gate: &Arc<Gate<AnyLink>>,
    limits: &Arc<LimitDesk<AnyLink>>,
) -> EntryHandler<AnyLink> {
    EntryHandler {
        me: state.me,
        pipelines: pipelines.clone(),
        calls: calls.clone(),
        holders: state.holders.clone(),
        gate: gate.clone(),
        limits: limits.clone(),
        fleet: state.fleet.clone(),
        agent: state.agent.clone(),
        config: state.config.clone(),
        counters: state.counters.clone(),
        journal: state.journal.clone(),
        leads: state.leads.clone(),
    }
}

fn start_timer(
    timer: &Arc<Timer>,
    pipelines: &Arc<Pipelines<AnyLink>>,
    calls: &Arc<Calls<AnyLink>>,
    gate: &Arc<Gate<AnyLink>>,
) {
    let (pipelines, calls, gate) = (pipelines.clone(), calls.clone(), gate.clone());
    timer.start(move |sequence| {
        gate.on_deadline(sequence);
        pipelines.on_deadline(sequence);
        calls.on_deadline(sequence);
    });
}

fn start_server(
    settings: &EntrySettings,
    state: &EntryState,
    gate: Arc<Gate<AnyLink>>,
) -> Result<Server> {
    let api = Api {
        config: state.config.clone(),
        in_progress: state.in_progress.clone(),
        gate,
        counters: state.counters.clone(),
    };
    let cfg = ServerConfig::new(settings.callers)
        .with_name("callers")
        .with_workers(settings.workers)
        .with_max_connections(settings.max_connections)
        .with_max_body_bytes(settings.max_body_bytes)
        .with_header_timeout(settings.header_timeout)
        .with_body_timeout(settings.body_timeout)
        .with_refusals(listener_refusal);
    Server::start(cfg, move |req| api.handle(req)).wrap_err("failed to start the callers' listener")
}

fn start_operators(settings: &EntrySettings, state: &Arc<EntryState>) -> Result<Option<Server>> {
    let Some(addr) = settings.operators else { return Ok(None) };
    let server = listen_for_operators(addr, state.clone());
    Ok(Some(server.wrap_err("failed to start the operators' listener")?))
}
