//! A whole fleet in one process: stand-ins, daemons beside them, entries before them.

use crate::{Caller, LocalConfig, next_addr, write_pipelines, write_rows, write_workspaces};
use eyre::{Result, WrapErr, bail};
use serde_json::Value;
use sorrellock_core::id::{Layer, StageIndex, TokenId};
use sorrellock_core::request::LayerRange;
use sorrellock_core::version::{Pipeline, Row, Workspace};
use sorrellock_daemon::beside::process::{Beside, BesideSettings, ServiceEndpoint};
use sorrellock_daemon::entry::process::{Entry, EntrySettings};
use sorrellock_daemon::process::Dump;
use sorrellock_fakes::{
    EngineConfig, FakeEngine, FakePlatform, FakeService, PlatformConfig, ServiceConfig,
    expected_text,
};
use sorrellock_ports::api::{Instance, InstanceState};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// The one pipeline of a local fleet.
pub const MODEL: &str = "lexis";
/// The one plain service of a local fleet.
pub const SERVICE: &str = "ledger";
/// The place of all its instances.
pub const PLACE: &str = "pasila";
/// Its workspaces, in order, and the keys of their callers.
pub const WORKSPACES: [(&str, &str); 2] =
    [("treasury", "key-treasury"), ("pharmacy", "key-pharmacy")];

/// How long a start may take.
const START: Duration = Duration::from_secs(20);
/// How long a leaving daemon stays at least: one place, whose members hear of it at once.
const LINGER: Duration = Duration::from_millis(500);
/// How long a leaving entry still takes work.
const READY_GRACE: Duration = Duration::from_millis(200);
/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(5);

/// An engine with the daemon beside it.
pub struct LocalEngine {
    /// The stage whose layers it held at first; the largest number for a spare one.
    pub stage: StageIndex,
    /// The stand-in.
    pub engine: FakeEngine,
    /// The daemon.
    pub beside: Beside,
}

/// A plain service's instance with the daemon beside it.
pub struct LocalService {
    /// The stand-in.
    pub service: FakeService,
    /// The daemon.
    pub beside: Beside,
}

/// A whole fleet in one process.
pub struct LocalFleet {
    /// What it is made of.
    pub cfg: LocalConfig,
    /// The stand-in of the platform.
    pub platform: FakePlatform,
    /// Engines, by stage and replica.
    pub engines: Vec<LocalEngine>,
    /// Instances of the plain service.
    pub services: Vec<LocalService>,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Instances replaced so far.
    pub(crate) replaced: usize,
}

impl LocalFleet {
    /// Starts all, and waits until every entry knows every endpoint.
    pub fn start(cfg: LocalConfig) -> Result<LocalFleet> {
        let platform = FakePlatform::start(PlatformConfig::new(next_addr()))
            .wrap_err("start of the platform")?;
        write_config(&platform, &cfg);
        let engines = start_engines(&cfg, &platform)?;
        let services = start_services(&cfg, &platform)?;
        let entries = start_entries(&cfg, &platform)?;
        let fleet = LocalFleet { cfg, platform, engines, services, entries, replaced: 0 };
        fleet.publish_instances();
        fleet.wait_until_known()?;
        fleet.allow_orders();
        Ok(fleet)
    }

    /// A caller of entry `entry` in workspace `workspace` of [`WORKSPACES`].
    pub fn caller(&self, entry: usize, workspace: usize) -> Caller {
        Caller::new(self.entries[entry].callers(), WORKSPACES[workspace].1)
    }

    /// What a single machine with the whole model would answer.
    pub fn expected(&self, prompt: &str, max_tokens: u32) -> String {
        let tokens: Vec<TokenId> = prompt.bytes().map(TokenId::from).collect();
        expected_text(&tokens, self.cfg.layers, max_tokens).1
    }

    /// Index of the engine of a stage that has the most work.
    pub fn busiest(&self, stage: StageIndex) -> usize {
        let of_stage = self.engines.iter().enumerate().filter(|(_, engine)| engine.stage == stage);
        let busiest = of_stage.max_by_key(|(_, engine)| open_work(&engine.beside));
        busiest.expect("each stage has an engine").0
    }

    /// Kills an engine, with its daemon.
    pub fn kill(&self, index: usize) {
        self.engines[index].beside.stop();
        self.engines[index].engine.stop();
    }

    /// Kills the engine of a stage that has the most work, with its daemon, and returns its index.
    pub fn kill_busiest(&self, stage: StageIndex) -> usize {
        let index = self.busiest(stage);
        self.kill(index);
        index
    }

    /// How many requests are in progress at all entries.
    pub fn in_progress(&self) -> u64 {
        let count =
            |entry: &Entry| entry.state().dump()["in_progress"].as_u64().unwrap_or_default();
        self.entries.iter().map(count).sum()
    }

    /// Shuts all daemons down gracefully; false if it took longer than `wait`.
    pub fn drain(&self, wait: Duration) -> bool {
        let entries = self.entries.iter().all(|entry| entry.drain(wait));
        let engines = self.engines.iter().map(|engine| &engine.beside);
        let besides = engines.chain(self.services.iter().map(|service| &service.beside));
        thread::scope(|scope| {
            let drains: Vec<_> =
                besides.map(|beside| scope.spawn(move || beside.drain(wait))).collect();
            let all = drains.into_iter().map(|drain| drain.join().unwrap_or(false));
            all.fold(entries, |all, one| all && one)
        })
    }

    /// Puts all daemons on the platform's list of instances.
    pub fn publish_instances(&self) {
        let engines = self.engines.iter().map(|engine| engine.beside.peer().addr);
        let services = self.services.iter().map(|service| service.beside.peer().addr);
        let instance = |link: SocketAddr| Instance {
            id: link.to_string(),
            place: PLACE.into(),
            link,
            state: InstanceState::Live,
        };
        let entries = self.entries.iter().map(|entry| entry.peer().addr);
        let all = engines.chain(services).chain(entries);
        self.platform.set_instances(all.map(instance).collect());
    }

    /// Lets engines get orders, if they are to: as an operator does once a fleet is up.
    fn allow_orders(&self) {
        if self.cfg.planner.is_some() {
            let pipeline = Pipeline::new(MODEL, MODEL, self.cfg.layers);
            write_pipelines(&self.platform, vec![pipeline.with_stages(self.cfg.stages as u16)]);
        }
    }

    pub(crate) fn wait_until_known(&self) -> Result<()> {
        let end = Instant::now() + START;
        let daemons = self.engines.len() + self.services.len();
        let ready = |entry: &Entry| {
            let known = entry.state().dump()["fleet"].as_array().map_or(0, Vec::len);
            known >= daemons && is_ready(entry.callers())
        };
        while !self.entries.iter().all(ready) {
            if Instant::now() > end {
                bail!("the entries don't know all {daemons} daemons after {START:?}");
            }
            thread::sleep(POLL);
        }
        Ok(())
    }
}

impl Drop for LocalFleet {
    fn drop(&mut self) {
        self.entries.iter().for_each(Entry::stop);
        self.engines.iter().for_each(|engine| engine.beside.stop());
        self.services.iter().for_each(|service| service.beside.stop());
    }
}

fn write_config(platform: &FakePlatform, cfg: &LocalConfig) {
    let pipeline = Pipeline::new(MODEL, MODEL, cfg.layers);
    write_pipelines(platform, vec![pipeline]);
    let may_call = vec![MODEL.to_owned(), SERVICE.to_owned()];
    let workspace = |(id, key): &(&str, &str)| Workspace::new(*id, key, may_call.clone());
    write_workspaces(platform, WORKSPACES.iter().map(workspace).collect());
    let row = |(id, _): &(&str, &str)| {
        let requests_per_s = cfg.requests_per_s;
        Row { requests_per_s, ..Row::new(*id, "default") }
    };
    write_rows(platform, WORKSPACES.iter().map(row).collect());
}

fn start_engines(cfg: &LocalConfig, platform: &FakePlatform) -> Result<Vec<LocalEngine>> {
    let mut engines = Vec::new();
    for stage in 0..cfg.stages {
        for replica in 0..cfg.replicas {
            engines.push(start_engine(cfg, platform, stage, &replica.to_string())?);
        }
    }
    for number in 0..cfg.spares {
        let engine = engine_config(cfg, "", LayerRange::new(0, 0), &format!("spare-{number}"));
        engines.push(start_beside_engine(cfg, platform, StageIndex::MAX, engine)?);
    }
    Ok(engines)
}

pub(crate) fn start_engine(
    cfg: &LocalConfig,
    platform: &FakePlatform,
    stage: usize,
    replica: &str,
) -> Result<LocalEngine> {
    let layers = stage_layers(cfg, stage);
    let engine = engine_config(cfg, MODEL, layers, &format!("{MODEL}-{stage}-{replica}"));
    start_beside_engine(cfg, platform, stage as StageIndex, engine)
}

fn engine_config(cfg: &LocalConfig, model: &str, layers: LayerRange, name: &str) -> EngineConfig {
    let capacity = cfg.layers.div_ceil(cfg.stages.max(1) as Layer);
    EngineConfig::new(next_addr(), model, layers)
        .with_endpoint(name)
        .with_max_batch(cfg.max_batch)
        .with_activation_bytes(cfg.activation_bytes as u32)
        .with_times(cfg.batch_time, cfg.token_time)
        .with_loading(capacity, cfg.load_time)
        .with_fences_ignored()
}

fn start_beside_engine(
    cfg: &LocalConfig,
    platform: &FakePlatform,
    stage: StageIndex,
    engine: EngineConfig,
) -> Result<LocalEngine> {
    let engine = FakeEngine::start(engine).wrap_err("start of an engine")?;
    let settings = BesideSettings::new(PLACE, next_addr())
        .with_link_kind(cfg.link_kind)
        .with_platform(platform.addr())
        .with_linger(LINGER)
        .with_planner(cfg.planner.unwrap_or_default())
        .with_engine(engine.addr())
        .with_replay_budget(cfg.replay_budget);
    let beside = Beside::start(settings)?;
    Ok(LocalEngine { stage, engine, beside })
}

/// The layers of a stage: as even as they go.
fn stage_layers(cfg: &LocalConfig, stage: usize) -> LayerRange {
    let bound = |stage: usize| (usize::from(cfg.layers) * stage / cfg.stages) as Layer;
    LayerRange::new(bound(stage), bound(stage + 1))
}

fn start_services(cfg: &LocalConfig, platform: &FakePlatform) -> Result<Vec<LocalService>> {
    (0..cfg.services).map(|number| start_service(cfg, platform, &number.to_string())).collect()
}

pub(crate) fn start_service(
    cfg: &LocalConfig,
    platform: &FakePlatform,
    name: &str,
) -> Result<LocalService> {
    let service =
        FakeService::start(ServiceConfig::new(next_addr())).wrap_err("start of a service")?;
    let id = format!("{SERVICE}-{name}");
    let endpoint = ServiceEndpoint { id, service: SERVICE.into(), addr: service.addr() };
    let mut settings = BesideSettings::new(PLACE, next_addr())
        .with_link_kind(cfg.link_kind)
        .with_platform(platform.addr())
        .with_linger(LINGER)
        .with_planner(cfg.planner.unwrap_or_default())
        .with_service(endpoint);
    settings.max_calls = cfg.max_calls;
    Ok(LocalService { service, beside: Beside::start(settings)? })
}

fn start_entries(cfg: &LocalConfig, platform: &FakePlatform) -> Result<Vec<Entry>> {
    (0..cfg.entries).map(|_| start_entry(cfg, platform)).collect()
}

pub(crate) fn start_entry(cfg: &LocalConfig, platform: &FakePlatform) -> Result<Entry> {
    let settings = EntrySettings::new(PLACE, next_addr(), next_addr(), platform.addr())
        .with_link_kind(cfg.link_kind);
    let settings = settings.with_planner(cfg.planner.unwrap_or_default());
    Entry::start(settings.with_ready_grace(READY_GRACE).with_operators(next_addr()))
}

fn open_work(beside: &Beside) -> u64 {
    beside.state().dump()["open_work"].as_u64().unwrap_or_default()
}

fn is_ready(callers: SocketAddr) -> bool {
    let answer = Caller::new(callers, "").get("/readyz");
    answer.is_ok_and(|answer| answer.status == 200 && answer.json() == Value::Null)
}
