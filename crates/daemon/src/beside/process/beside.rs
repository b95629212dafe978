//! Start, drain and stop of the daemon that runs next to endpoints.

use crate::beside::process::beside_handler::BesideLedger;
use crate::beside::process::engine_runner::EngineBounds;
use crate::beside::process::{
    BesideHandler, BesideSettings, EngineRunner, OrderDesk, Outbox, ServiceRunner, StartRegistry,
};
use crate::process::leads::LeadAgent;
use crate::process::ledger::{LEDGER_STORE_TIMEOUT, LedgerHolders};
use crate::process::{
    ConfigAgent, Count, Counters, DaemonParts, Dump, Journal, LIST_TIMEOUT, counters_json,
    listen_for_operators, read_list, send_metrics,
};
use eyre::{Result, WrapErr};
use serde_json::{Value, json};
use sorrellock_core::process::DaemonRole;
use sorrellock_core::process::ledger::HolderConfig;
use sorrellock_core::request::{KeptBudget, Peer};
use sorrellock_core::version::SpreadSettings;
use sorrellock_http::Server;
use sorrellock_ports::api::{Engine, EngineInfo};
use sorrellock_ports::client::{HttpEngine, HttpInstanceList, HttpObjectStore, HttpService};
use sorrellock_wire::connection::AnyLink;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Poll interval for an engine that does not answer yet at start.
const ENGINE_RETRY: Duration = Duration::from_millis(100);
/// Max time that the start waits for an engine to answer.
const ENGINE_WAIT: Duration = Duration::from_secs(30);
/// Poll interval for open work during a drain.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// A running daemon next to endpoints.
pub struct Beside {
    handler: Arc<BesideHandler<AnyLink, HttpEngine>>,
    link: Arc<AnyLink>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
    linger: Duration,
    operators: Option<Server>,
}

impl Beside {
    /// Starts the daemon. Waits until its engines answer.
    pub fn start(settings: BesideSettings) -> Result<Beside> {
        let spread = match settings.platform {
            Some(_) => SpreadSettings::new(),
            None => SpreadSettings::new().without_store(),
        };
        let role = DaemonRole::Beside;
        let (parts, unserved) =
            DaemonParts::listen(role, &settings.place, settings.link, settings.link_kind, spread)?;
        let outbox = Outbox::new(parts.link.clone(), parts.counters.clone());
        let starts = Arc::new(StartRegistry::new(outbox.clone()));
        let kept = KeptBudget::new(settings.daemon_replay_budget, settings.replay_budget);
        let engines = start_engines(&settings, &kept, &outbox)?;
        let store = settings.platform.map(HttpObjectStore::new);
        let orders =
            OrderDesk::start(&engines, store.clone(), outbox.clone(), parts.journal.clone());
        let leads_cx = parts.lead_cx(settings.planner);
        let DaemonParts { me, link, agent, config, counters, journal } = parts;
        let handler = Arc::new(BesideHandler {
            me,
            engines,
            kept,
            orders,
            leads: store.clone().map(|store| LeadAgent::start(store, leads_cx)),
            services: start_services(&settings, &starts),
            starts,
            ledger: new_ledger(me, &settings, &link),
            outbox,
            leaving: AtomicBool::new(false),
            agent: agent.clone(),
            config: config.clone(),
        });
        link.serve(unserved.closed, handler.clone());
        let own = handler.clone();
        agent.serve(unserved.members, link.clone(), move || own.endpoints());
        config.serve(unserved.config, link.clone(), store);
        if let Some(platform) = settings.platform {
            let list = HttpInstanceList::new(platform).with_timeout(LIST_TIMEOUT);
            read_list(agent, list, false);
        }
        send_metrics(counters.clone(), settings.metrics)
            .wrap_err("failed to start sending metrics")?;
        let mut beside =
            Beside { handler, link, counters, journal, linger: settings.linger, operators: None };
        if let Some(addr) = settings.operators {
            let state = Arc::new(beside.state());
            let server = listen_for_operators(addr, state);
            beside.operators = Some(server.wrap_err("failed to start the operators' listener")?);
        }
        spdlog::info!("daemon {} ready in {}", me.addr, settings.place);
        Ok(beside)
    }

    /// Returns the address and incarnation by which peers know this process.
    pub fn peer(&self) -> Peer {
        self.handler.me
    }

    /// Returns the address of the operators' listener, if there is one.
    pub fn operators(&self) -> Option<SocketAddr> {
        self.operators.as_ref().map(Server::addr)
    }

    /// Returns the value of a counter.
    pub fn counter(&self, count: Count) -> u64 {
        self.counters.get(count)
    }

    /// Returns the agent that holds the configuration in force.
    pub fn config(&self) -> &Arc<ConfigAgent> {
        &self.handler.config
    }

    /// Returns the number of open requests and calls.
    pub fn open_work(&self) -> usize {
        self.handler.open_work()
    }

    /// Returns the bytes of output kept for replay.
    pub fn kept_bytes(&self) -> usize {
        self.handler.kept.used()
    }

    /// Returns the source of state dumps of this daemon.
    pub fn state(&self) -> BesideState {
        BesideState {
            handler: self.handler.clone(),
            link: self.link.clone(),
            counters: self.counters.clone(),
            journal: self.journal.clone(),
        }
    }

    /// Refuses new work and waits until open work has ended and its results are sent. Returns false if that takes
    /// longer than `wait`. Unsent messages are checked apart from open work: a call that has ended is no longer open,
    /// but its answer may still wait for the entry to read.
    pub fn drain(&self, wait: Duration) -> bool {
        self.handler.leaving.store(true, Ordering::Release);
        self.handler.engines.values().for_each(|engine| engine.leave());
        self.handler.agent.leave();
        let (linger_end, end) = (Instant::now() + self.linger, Instant::now() + wait);
        while self.handler.open_work() > 0 || self.link.has_unsent() || Instant::now() < linger_end
        {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(DRAIN_POLL);
        }
        self.handler.agent.end();
        true
    }

    /// Stops at once, like a killed process: links close, open work is lost.
    pub fn stop(&self) {
        self.handler.config.stop();
        self.handler.leads.iter().for_each(|leads| leads.stop());
        self.link.close();
        self.handler.engines.values().for_each(|engine| engine.end());
    }
}

/// Source of state dumps of a daemon.
pub struct BesideState {
    handler: Arc<BesideHandler<AnyLink, HttpEngine>>,
    link: Arc<AnyLink>,
    counters: Arc<Counters>,
    journal: Arc<Journal>,
}

impl Dump for BesideState {
    fn dump(&self) -> Value {
        let members = self.handler.agent.view();
        json!({
            "role": "beside",
            "journal": self.journal.entries(),
            "peer": self.handler.me,
            "members": members.members().collect::<Vec<_>>(),
            "cut_off": members.cut_off(),
            "endpoints": self.handler.endpoints(),
            "config": self.handler.config.status(),
            "leaving": self.handler.is_leaving(),
            "open_work": self.handler.open_work(),
            "records": self.handler.starts.size(),
            "ledger": self.handler.ledger.as_ref().map(|ledger| ledger.dump()),
            "kept_bytes": self.handler.kept.used(),
            "kept_dropped": self.handler.kept.dropped(),
            "counters": counters_json(&self.counters.snapshot()),
            "link": counters_json(&self.link.counters().snapshot()),
        })
    }
}

type Engines = HashMap<String, Arc<EngineRunner<AnyLink, HttpEngine>>>;

fn start_engines(
    settings: &BesideSettings,
    kept: &Arc<KeptBudget>,
    outbox: &Outbox<AnyLink>,
) -> Result<Engines> {
    let bounds = EngineBounds { max_sessions: settings.max_sessions, kept: kept.clone() };
    let mut engines = HashMap::new();
    for addr in &settings.engines {
        let engine = HttpEngine::new(*addr);
        let info = wait_for_engine(&engine)
            .wrap_err_with(|| format!("failed to read model and layers from engine {addr}"))?;
        let id = info.endpoint.clone();
        engines.insert(id, EngineRunner::start(engine, info, bounds.clone(), outbox.clone()));
    }
    Ok(engines)
}

fn wait_for_engine(engine: &HttpEngine) -> Result<EngineInfo> {
    let end = Instant::now() + ENGINE_WAIT;
    loop {
        match engine.info() {
            Ok(info) => return Ok(info),
            Err(err) if Instant::now() > end => return Err(err.into()),
            Err(_) => thread::sleep(ENGINE_RETRY),
        }
    }
}

/// Creates the holder of the ledger shards that are assigned to this daemon, if the platform is known.
fn new_ledger(
    me: Peer,
    settings: &BesideSettings,
    link: &Arc<AnyLink>,
) -> Option<BesideLedger<AnyLink>> {
    let store = HttpObjectStore::new(settings.platform?).with_timeout(LEDGER_STORE_TIMEOUT);
    let cfg = HolderConfig::new().with_retention(settings.key_retention);
    Some(LedgerHolders::over_link(me.incarnation, store, link.clone(), cfg))
}

fn start_services(
    settings: &BesideSettings,
    starts: &Arc<StartRegistry<AnyLink>>,
) -> HashMap<String, ServiceRunner<AnyLink>> {
    let start = |endpoint: &ServiceEndpoint| {
        let service = HttpService::new(endpoint.addr);
        let (threads, queue) = (settings.max_calls, settings.call_queue);
        let runner =
            ServiceRunner::start(endpoint.clone(), service, threads, queue, starts.clone());
        (endpoint.id.clone(), runner)
    };
    settings.services.iter().map(start).collect()
}

use super::ServiceEndpoint;
