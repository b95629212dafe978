//! What a soak plays on: a store, engines and services behind proxies, two gateways.

use crate::fleet::{KEY, config};
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use serde_json::Value;
use sorrellock_stand_ins::{
    EngineConfig, EngineMode, FakeEngine, FakeProxy, FakeService, FakeStore, News, ProxyMode,
    ServiceMode, StoreCopy, StoreMode, new_ip,
};
use std::collections::VecDeque;
use std::time::Duration;

/// Gateways where the environment names no other number.
const GATEWAYS: usize = 2;
/// New engines once all faults are over: two for each data centre, where all others may be gone.
const NEW_ENGINES: usize = 4;

/// A gateway with the proxy before its store.
pub struct Node {
    pub name: String,
    pub process: GatewayProcess,
    pub store: FakeProxy,
    pub is_paused: bool,
}

/// The stand-ins and the gateways.
pub struct World {
    pub store: FakeStore,
    pub engines: Vec<(FakeEngine, FakeProxy)>,
    pub services: Vec<FakeService>,
    pub nodes: Vec<Node>,
    /// Between two events of a stream.
    gap: Duration,
    /// Of the newest configuration.
    pub version: u64,
    /// Entries of incarnations that have ended, which may be written again late.
    pub old_entries: Vec<(String, Value)>,
    /// The store's last copies of itself.
    pub copies: VecDeque<StoreCopy>,
}

impl World {
    /// Starts all, and waits until the gateways are ready. Events of a stream come `gap` apart.
    pub fn new(seed: u64, gap: Duration) -> World {
        let store = FakeStore::start(new_ip()).expect("the store");
        store.tell_era();
        store.put("config", "main", config(1, &[KEY]));
        let engines = (0..engines_at_start(seed)).map(|index| engine(index, gap, &store)).collect();
        let services = (0..2).map(|index| service(index, &store)).collect();
        let nodes: Vec<Node> = (0..gateways()).map(|index| node(index, &store)).collect();
        for node in &nodes {
            wait_for("a gateway to be ready", || node.process.is_ready());
        }
        let (old_entries, copies) = (Vec::new(), VecDeque::new());
        World { store, engines, services, nodes, gap, version: 1, old_entries, copies }
    }

    /// Brings a new engine.
    pub fn add_engine(&mut self) -> String {
        let index = self.engines.len();
        self.engines.push(engine(index, self.gap, &self.store));
        format!("engine-{index} joins")
    }

    /// Ends all faults, and brings new engines for those that are gone.
    pub fn heal(&mut self) {
        self.store.set_mode(StoreMode::Up);
        self.store.set_news(News::Prompt);
        for node in &mut self.nodes {
            node.store.set_mode(ProxyMode::Passes);
            node.resume();
        }
        for (engine, proxy) in &self.engines {
            proxy.set_mode(ProxyMode::Passes);
            engine.set_mode(EngineMode::Serves);
        }
        self.services.iter().for_each(|service| service.set_mode(ServiceMode::Serves));
        for _ in 0..NEW_ENGINES {
            self.add_engine();
        }
    }
}

impl Node {
    /// Lets the process go on if it is paused.
    pub fn resume(&mut self) {
        if std::mem::take(&mut self.is_paused) {
            self.process.signal(Signal::SIGCONT);
        }
    }

    /// Waits for the end of the process, and starts its successor.
    pub fn replace(&mut self) {
        wait_for("the end of a gateway", || self.process.has_ended());
        let (ip, store) = (self.process.ip(), self.store.addr());
        self.process = GatewayProcess::spawn_at(ip, &self.name, "north", store, true);
    }
}

/// Engines at the start: three in a data centre make one chain with two first engines, four make
/// two chains.
fn engines_at_start(seed: u64) -> usize {
    if seed.is_multiple_of(2) { 6 } else { 8 }
}

fn engine(index: usize, gap: Duration, store: &FakeStore) -> (FakeEngine, FakeProxy) {
    let cfg = EngineConfig {
        id: format!("engine-{index}"),
        service: "lexis".into(),
        data_centre: if index.is_multiple_of(2) { "north" } else { "south" }.into(),
        card: "card".into(),
        events: crate::fleet::EVENTS,
        gap,
    };
    let engine = FakeEngine::start(cfg, new_ip(), store).expect("an engine");
    engine.mark_runs();
    engine.check_layers();
    let proxy = FakeProxy::start(new_ip(), engine.addr()).expect("a proxy");
    engine.tell_addr(proxy.addr());
    (engine, proxy)
}

fn service(index: usize, store: &FakeStore) -> FakeService {
    let id = format!("ledger-{index}");
    FakeService::start(&id, "ledger", "north", new_ip(), store).expect("a service")
}

/// How many gateways there are: `SOAK_GATEWAYS` of them.
fn gateways() -> usize {
    let number = std::env::var("SOAK_GATEWAYS").ok();
    number.map_or(GATEWAYS, |number| number.parse().expect("SOAK_GATEWAYS is a number"))
}

fn node(index: usize, store: &FakeStore) -> Node {
    let name = format!("gateway-{index}");
    let proxy = FakeProxy::start(new_ip(), store.addr()).expect("a proxy");
    let process = GatewayProcess::start(&name, "north", proxy.addr());
    Node { name, process, store: proxy, is_paused: false }
}
