//! Gateways as processes in three data centres, and the stand-ins that they serve with.

use super::configs::{GLOSSA, LEXIS, Operator};
use super::lag::{EngineLag, now_ms};
use super::options::{Options, Variant};
use super::quota::Quotas;
use crate::gateway_process::{GatewayProcess, settings, wait_for};
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;
use sorrellock_stand_ins::{EngineConfig, FakeEngine, FakeService, FakeStore, new_ip};
use std::net::IpAddr;
use std::time::{Duration, Instant};

pub const DATA_CENTRES: [&str; 3] = ["north", "south", "west"];
/// Events of each stream.
pub const EVENTS: u64 = 100;
/// Between two events of a stream of an engine, in ms.
const GAP_MS: std::ops::Range<u64> = 30..60;
/// First engines of the paths of most streams: two in each data centre.
const FIRST_ENGINES: f64 = 6.0;
/// From SIGTERM to SIGKILL, as the settings tell.
pub const GRACE: Duration = Duration::from_secs(8);
/// Each gateway with this rank has the large share.
const LARGE_EACH: usize = 8;
/// The retry budget's part beyond the ratio, of 32 gateways.
const SLACK: f64 = 248.0;
const SLACK_GATEWAYS: f64 = 32.0;
/// Streams, as a share of all slots, where all paths are full.
const FULL_LOAD: f64 = 1.3;
/// How late reports are where they are.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// An engine with what was done to it.
pub struct Engine {
    pub fake: FakeEngine,
    pub data_centre: &'static str,
    pub service: &'static str,
    /// When it said that it leaves, and when it ended, in Unix ms.
    pub left_ms: Option<u64>,
    pub ended_ms: Option<u64>,
    /// From when until when it was paused.
    pub pauses: Vec<(u64, u64)>,
}

/// One process of a gateway, from its start to its end.
pub struct Life {
    pub process: GatewayProcess,
    /// When it got SIGTERM, in Unix ms.
    pub told_to_end_ms: Option<u64>,
}

/// A gateway, with all its processes.
pub struct Node {
    pub name: String,
    pub data_centre: &'static str,
    pub ip: IpAddr,
    pub share: f64,
    pub incarnations: Vec<Life>,
    pub killed_at: Option<Instant>,
}

/// All of it.
pub struct World {
    pub store: FakeStore,
    pub operator: Operator,
    pub engines: Vec<Engine>,
    pub services: Vec<FakeService>,
    /// Ends before the processes that it sends signals to.
    pub quotas: Quotas,
    pub nodes: Vec<Node>,
    pub engine_lag: EngineLag,
    pub options: Options,
    gaps: Vec<Duration>,
}

impl World {
    /// Starts all, and waits until each gateway knows a path in each data centre.
    pub fn new(options: Options, rng: &mut StdRng) -> World {
        let store = FakeStore::start(new_ip()).expect("the store");
        let load = if options.variant == Variant::Full { FULL_LOAD } else { options.load };
        let slots = (options.streams as f64 / load / FIRST_ENGINES).ceil() as u64;
        let operator = Operator::new(slots, options.large_each);
        store.put("config", "main", operator.config());
        let gaps = (0..16).map(|_| Duration::from_millis(rng.random_range(GAP_MS))).collect();
        let mut world = World {
            store,
            operator,
            engines: Vec::new(),
            services: Vec::new(),
            nodes: Vec::new(),
            quotas: Quotas::start(),
            engine_lag: EngineLag::default(),
            options,
            gaps,
        };
        world.start_stand_ins();
        world.start_gateways(rng);
        world
    }

    fn start_stand_ins(&mut self) {
        for data_centre in DATA_CENTRES {
            for _ in 0..self.options.engines {
                self.add_engine(LEXIS, data_centre);
            }
        }
        for _ in 0..4 {
            self.add_engine(GLOSSA, DATA_CENTRES[0]);
        }
        for data_centre in DATA_CENTRES {
            let id = format!("ledger-{data_centre}");
            let service = FakeService::start(&id, "ledger", data_centre, new_ip(), &self.store);
            self.services.push(service.expect("a service"));
        }
    }

    /// Starts an engine. Returns its id.
    pub fn add_engine(&mut self, service: &'static str, data_centre: &'static str) -> String {
        let index = self.engines.len();
        let cfg = EngineConfig {
            id: format!("engine-{index}"),
            service: service.into(),
            data_centre: data_centre.into(),
            card: "card".into(),
            events: EVENTS,
            gap: self.gaps[index % self.gaps.len()],
        };
        let fake = FakeEngine::start(cfg, new_ip(), &self.store).expect("an engine");
        fake.mark_runs();
        fake.check_layers();
        fake.run_in_passes();
        if self.options.variant == Variant::LateReports {
            fake.set_report_delay(REPORT_DELAY);
        }
        self.engine_lag.add(fake.clone());
        let id = fake.id().to_owned();
        let (left_ms, ended_ms, pauses) = (None, None, Vec::new());
        self.engines.push(Engine { fake, data_centre, service, left_ms, ended_ms, pauses });
        id
    }

    /// Gateways come under their quotas once all are ready: the start of all at once is no planned work.
    fn start_gateways(&mut self, rng: &mut StdRng) {
        for index in 0..self.options.gateways {
            let data_centre = DATA_CENTRES[index % DATA_CENTRES.len()];
            let is_large = index % LARGE_EACH == LARGE_EACH - 1;
            let share = if is_large { self.options.large_share } else { self.options.share };
            let (name, ip) = (format!("front-{data_centre}-{index}"), new_ip());
            let (incarnations, killed_at) = (Vec::new(), None);
            self.nodes.push(Node { name, data_centre, ip, share, incarnations, killed_at });
            self.start_process(index);
        }
        for node in &self.nodes {
            let process = &node.incarnations[0].process;
            wait_for("a gateway to be ready", || process.is_ready());
            for data_centre in DATA_CENTRES {
                process.wait_for_line(&["\"path in use\"", "\"lexis\"", data_centre]);
            }
        }
        for index in 0..self.nodes.len() {
            self.limit(index, Duration::from_millis(rng.random_range(0..100)));
        }
    }

    /// Starts a process of a gateway.
    pub fn start_process(&mut self, index: usize) {
        let slack = SLACK * self.options.gateways as f64 / SLACK_GATEWAYS;
        let node = &mut self.nodes[index];
        let text = settings(&node.name, node.data_centre, node.ip, self.store.addr())
            .replace("budget_window_s = 1\n", "budget_window_s = 10\n")
            .replace("budget_slack = 200\n", &format!("budget_slack = {slack:.0}\n"));
        let process = GatewayProcess::spawn_with(node.ip, &text, true);
        node.incarnations.push(Life { process, told_to_end_ms: None });
        node.killed_at = None;
    }

    /// Puts the present process of a gateway under its quota.
    pub fn limit(&self, index: usize, offset: Duration) {
        let node = &self.nodes[index];
        self.quotas.add(node.process().pid(), node.share, offset);
    }

    /// Tells a gateway to end.
    pub fn terminate(&mut self, index: usize) {
        let incarnation =
            self.nodes[index].incarnations.last_mut().expect("each gateway was started");
        incarnation.told_to_end_ms = Some(now_ms());
        incarnation.process.signal(Signal::SIGTERM);
        self.nodes[index].killed_at = Some(Instant::now() + GRACE);
    }

    /// Starts the successors of gateways that have ended after SIGTERM, and kills those whose grace is over.
    pub fn replace_ended(&mut self, rng: &mut StdRng) -> Vec<String> {
        let mut course = Vec::new();
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            let Some(killed_at) = node.killed_at else { continue };
            let process =
                &mut node.incarnations.last_mut().expect("each gateway was started").process;
            if Instant::now() >= killed_at {
                process.signal(Signal::SIGKILL);
            }
            let pid = process.pid();
            if self.quotas.reap(pid, || process.has_ended()) {
                course.push(format!("{} has ended", node.name));
                self.start_process(index);
                self.limit(index, Duration::from_millis(rng.random_range(0..100)));
            }
        }
        course
    }

    /// Ends all gateways. Tells which had ended by themselves.
    pub fn end(&mut self) -> Vec<String> {
        let mut ended = Vec::new();
        for node in &mut self.nodes {
            let process =
                &mut node.incarnations.last_mut().expect("each gateway was started").process;
            let pid = process.pid();
            if self.quotas.reap(pid, || process.has_ended()) {
                if node.killed_at.is_none() {
                    ended.push(node.name.clone());
                }
                continue;
            }
            process.signal(Signal::SIGKILL);
            wait_for("a gateway's end", || self.quotas.reap(pid, || process.has_ended()));
        }
        ended
    }
}

impl Node {
    /// The present process.
    pub fn process(&self) -> &GatewayProcess {
        &self.incarnations.last().expect("each gateway was started").process
    }
}
