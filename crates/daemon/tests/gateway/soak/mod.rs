//! A soak: real gateways as processes, random faults from outside, and the promises checked from
//! what callers and endpoints see. One seed gives one course of faults.
//!
//! `SOAK_SEEDS=100..150 cargo test -p sorrellock-daemon --test gateway soak` runs more.

use crate::fleet::{HOST, KEY, config, new_request, whole_stream};
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sorrellock_stand_ins::{
    EngineConfig, EngineMode, FakeEngine, FakeProxy, FakeService, FakeStore, ProxyMode,
    ServiceMode, StoreMode, new_ip,
};
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Seeds of each run in CI.
const CI_SEEDS: [u64; 2] = [1, 2];
/// Faults of one run.
const FAULTS: usize = 24;
/// Callers at once, each with one request at a time.
const STREAM_CALLERS: usize = 6;
const PLAIN_CALLERS: usize = 3;

/// A gateway with the proxy before its store.
struct Node {
    name: &'static str,
    process: GatewayProcess,
    store: FakeProxy,
    is_paused: bool,
}

/// What callers saw of one call that may run once.
struct Told {
    request: String,
    status: u16,
}

struct World {
    store: FakeStore,
    engines: Vec<(FakeEngine, FakeProxy)>,
    services: Vec<FakeService>,
    nodes: Vec<Node>,
    version: u64,
}

fn engine(index: usize, store: &FakeStore) -> (FakeEngine, FakeProxy) {
    let cfg = EngineConfig {
        id: format!("engine-{index}"),
        service: "lexis".into(),
        data_centre: if index.is_multiple_of(2) { "north" } else { "south" }.into(),
        card: "card".into(),
        events: crate::fleet::EVENTS,
        gap: Duration::from_millis(10),
    };
    let engine = FakeEngine::start(cfg, new_ip(), store).expect("an engine");
    let proxy = FakeProxy::start(new_ip(), engine.addr()).expect("a proxy");
    engine.tell_addr(proxy.addr());
    (engine, proxy)
}

/// Engines at the start: three in a data centre make one chain with two first engines, four make
/// two chains.
fn engines_at_start(seed: u64) -> usize {
    if seed.is_multiple_of(2) { 6 } else { 8 }
}

fn world(seed: u64) -> World {
    let store = FakeStore::start(new_ip()).expect("the store");
    store.put("config", "main", config(1, &[KEY]));
    let engines = (0..engines_at_start(seed)).map(|index| engine(index, &store)).collect();
    let service = |index: usize| {
        let id = format!("ledger-{index}");
        FakeService::start(&id, "ledger", "north", new_ip(), &store).expect("a service")
    };
    let services = (0..2).map(service).collect();
    let node = |name: &'static str| {
        let proxy = FakeProxy::start(new_ip(), store.addr()).expect("a proxy");
        let process = GatewayProcess::start(name, "north", proxy.addr());
        Node { name, process, store: proxy, is_paused: false }
    };
    let nodes = vec![node("one"), node("two")];
    World { store, engines, services, nodes, version: 1 }
}

impl World {
    /// One fault, or the end of one.
    fn fault(&mut self, rng: &mut StdRng) -> String {
        let node = rng.random_range(0..self.nodes.len());
        let engine = rng.random_range(0..self.engines.len());
        match rng.random_range(0..14) {
            0 => self.restart(node, Signal::SIGKILL),
            1 => self.restart(node, Signal::SIGTERM),
            2 => self.pause(node),
            3 => self.set_store_mode(rng),
            4 => self.set_store_proxy(node, rng),
            5 => self.set_engine_proxy(engine, rng),
            6 => {
                let (engine, _) = &self.engines[engine];
                engine.crash();
                self.store.remove("servers", engine.id());
                format!("{} crashes", engine.id())
            }
            7 => {
                self.engines[engine].0.leave();
                format!("{} leaves", self.engines[engine].0.id())
            }
            8 => {
                let index = self.engines.len();
                self.engines.push(crate::soak::engine(index, &self.store));
                format!("engine-{index} joins")
            }
            9 => self.set_engine_mode(engine, rng),
            10 => {
                let service = rng.random_range(0..self.services.len());
                let modes = [
                    ServiceMode::Serves,
                    ServiceMode::Refuses,
                    ServiceMode::LosesAnswers,
                    ServiceMode::Fails,
                ];
                let mode = modes[rng.random_range(0..modes.len())];
                self.services[service].set_mode(mode);
                format!("service {service}: {mode:?}")
            }
            11 => {
                self.version += 1;
                self.store.put("config", "main", config(self.version, &[KEY, "another"]));
                format!("configuration {}", self.version)
            }
            12 => {
                self.store.compact();
                "the history is forgotten".into()
            }
            _ => {
                self.nodes[node].process.signal(Signal::SIGHUP);
                format!("{} gets SIGHUP", self.nodes[node].name)
            }
        }
    }

    fn restart(&mut self, node: usize, signal: Signal) -> String {
        let node = &mut self.nodes[node];
        if std::mem::take(&mut node.is_paused) {
            node.process.signal(Signal::SIGCONT);
        }
        node.process.signal(signal);
        wait_for("the end of a gateway", || node.process.has_ended());
        let (ip, store) = (node.process.ip(), node.store.addr());
        node.process = GatewayProcess::spawn_at(ip, node.name, "north", store, true);
        format!("{} is restarted by {signal}", node.name)
    }

    fn pause(&mut self, node: usize) -> String {
        let node = &mut self.nodes[node];
        node.is_paused = !node.is_paused;
        let signal = if node.is_paused { Signal::SIGSTOP } else { Signal::SIGCONT };
        node.process.signal(signal);
        format!("{} gets {signal}", node.name)
    }

    fn set_store_mode(&mut self, rng: &mut StdRng) -> String {
        let modes = [StoreMode::Up, StoreMode::Busy, StoreMode::Silent, StoreMode::LosesAnswers];
        let mode = modes[rng.random_range(0..modes.len())];
        self.store.set_mode(mode);
        format!("store: {mode:?}")
    }

    fn set_store_proxy(&mut self, node: usize, rng: &mut StdRng) -> String {
        let mode = proxy_mode(rng);
        self.nodes[node].store.set_mode(mode);
        format!("{} to the store: {mode:?}", self.nodes[node].name)
    }

    fn set_engine_proxy(&mut self, engine: usize, rng: &mut StdRng) -> String {
        let mode = proxy_mode(rng);
        self.engines[engine].1.set_mode(mode);
        format!("all to {}: {mode:?}", self.engines[engine].0.id())
    }

    fn set_engine_mode(&mut self, engine: usize, rng: &mut StdRng) -> String {
        let other = self.engines[rng.random_range(0..self.engines.len())].1.addr();
        let modes = [
            EngineMode::Serves,
            EngineMode::Refuses,
            EngineMode::RefusesOver(other),
            EngineMode::Crosses,
        ];
        let mode = modes[rng.random_range(0..modes.len())];
        self.engines[engine].0.set_mode(mode);
        format!("{}: {mode:?}", self.engines[engine].0.id())
    }

    /// Ends all faults, and brings new engines for those that are gone.
    fn heal(&mut self) {
        self.store.set_mode(StoreMode::Up);
        for node in &mut self.nodes {
            node.store.set_mode(ProxyMode::Passes);
            if std::mem::take(&mut node.is_paused) {
                node.process.signal(Signal::SIGCONT);
            }
        }
        for (engine, proxy) in &self.engines {
            proxy.set_mode(ProxyMode::Passes);
            engine.set_mode(EngineMode::Serves);
        }
        self.services.iter().for_each(|service| service.set_mode(ServiceMode::Serves));
        for _ in 0..4 {
            let index = self.engines.len();
            self.engines.push(engine(index, &self.store));
        }
    }
}

fn proxy_mode(rng: &mut StdRng) -> ProxyMode {
    match rng.random_range(0..7) {
        0 => ProxyMode::Delays(Duration::from_millis(40)),
        1 => ProxyMode::Resets,
        2 => ProxyMode::CutsThere,
        3 => ProxyMode::CutsBack,
        4 => ProxyMode::Silent,
        _ => ProxyMode::Passes,
    }
}

/// Status and body of an answer, and whether that came to its end; none if there was no answer.
fn call(to: SocketAddr, path: &str, request: &str) -> Option<(u16, String, bool)> {
    let cfg = ureq::Agent::config_builder().http_status_as_error(false).max_idle_connections(0);
    let agent =
        ureq::Agent::new_with_config(cfg.timeout_global(Some(Duration::from_secs(8))).build());
    let answer = agent
        .post(format!("http://{to}{path}"))
        .header("host", HOST)
        .header("request-id", request)
        .header("deadline-ms", "8000")
        .header("token-count", "10,40")
        .header("authorization", format!("Bearer {KEY}"))
        .send("body")
        .ok()?;
    let status = answer.status().as_u16();
    let mut text = String::new();
    let is_whole = answer.into_body().into_reader().read_to_string(&mut text).is_ok();
    Some((status, text, is_whole))
}

fn check_stream(seed: u64, status: u16, body: &str, is_whole: bool) {
    if status != 200 {
        assert!([502, 503, 504].contains(&status), "seed {seed}: a stream was told {status}");
        return;
    }
    let all = whole_stream();
    assert!(all.starts_with(body), "seed {seed}: not the stream's own events in order:\n{body}");
    assert!(!is_whole || body == all, "seed {seed}: a part of a stream looks whole");
}

/// Runs one seed.
fn soak(seed: u64) {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut world = world(seed);
    for node in &world.nodes {
        wait_for("a gateway to be ready", || node.process.is_ready());
    }
    let to: Vec<SocketAddr> = world.nodes.iter().map(|node| node.process.callers()).collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let told: Arc<Mutex<Vec<Told>>> = Arc::default();
    let callers: Vec<_> = (0..STREAM_CALLERS + PLAIN_CALLERS)
        .map(|index| {
            let (to, is_over) = (to[index % to.len()], Arc::clone(&is_over));
            let told = Arc::clone(&told);
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let request = new_request();
                    if index < STREAM_CALLERS {
                        if let Some((status, body, whole)) = call(to, "/match/a", &request) {
                            check_stream(seed, status, &body, whole);
                        }
                    } else if let Some((status, body, _)) = call(to, "/status/a", &request) {
                        assert!(status != 200 || body == "body", "seed {seed}: {body}");
                        told.lock().expect("no panic holds this").push(Told { request, status });
                    }
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    let mut course = Vec::new();
    for _ in 0..FAULTS {
        course.push(world.fault(&mut rng));
        thread::sleep(Duration::from_millis(rng.random_range(20..400)));
    }
    world.heal();
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        assert!(caller.join().is_ok(), "seed {seed}: a promise was broken in\n{course:#?}");
    }
    check_runs(seed, &world, &told.lock().expect("no panic holds this lock"), &course);
    for node in &world.nodes {
        wait_for(&format!("seed {seed}: service after {course:#?}"), || {
            call(node.process.callers(), "/match/a", &new_request()).is_some_and(
                |(status, body, whole)| status == 200 && whole && body == whole_stream(),
            )
        });
    }
}

/// Calls that may run once did, and those told as not run did not run.
fn check_runs(seed: u64, world: &World, told: &[Told], course: &[String]) {
    for Told { request, status } in told {
        let runs: u32 = world.services.iter().map(|service| service.runs(request)).sum();
        assert!(runs <= 1, "seed {seed}: {request} ran {runs} times in\n{course:#?}");
        let is_told_not_run = [408, 421, 429, 503].contains(status);
        assert!(!is_told_not_run || runs == 0, "seed {seed}: {request} ran, told {status}");
        assert!(![401, 404].contains(status), "seed {seed}: {request} was told {status}");
    }
}

/// Seeds that failed once stay here, each with its cause.
const REGRESSIONS: [u64; 0] = [];

#[test]
fn soak_with_the_seeds_of_each_run() {
    match std::env::var("SOAK_SEEDS") {
        Ok(range) => {
            let (from, to) = range.split_once("..").expect("SOAK_SEEDS is FROM..TO");
            let (from, to): (u64, u64) =
                (from.parse().expect("a number"), to.parse().expect("a number"));
            (from..to).for_each(soak);
        }
        Err(_) => CI_SEEDS.into_iter().chain(REGRESSIONS).for_each(soak),
    }
}
