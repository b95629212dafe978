//! A fleet of real daemons, each a process of its own, on stand-ins within the test.

use crate::daemon_process::{DaemonProcess, wait_until};
use serde_json::Value;
use sorrellock_core::id::{Layer, TokenId};
use sorrellock_core::request::LayerRange;
use sorrellock_core::version::{Pipeline, Row, Workspace};
use sorrellock_fakes::{
    EngineConfig, FakeEngine, FakePlatform, FakeService, PlatformConfig, ServiceConfig,
    expected_text,
};
use sorrellock_local::{
    Caller, MODEL, PLACE, SERVICE, WORKSPACES, next_addr, write_pipelines, write_rows,
    write_workspaces,
};
use sorrellock_ports::api::{Instance, InstanceState};
use std::net::SocketAddr;
use std::time::Duration;

/// Layers of the model.
const LAYERS: Layer = 6;
/// Layers of a stage.
const STAGE_LAYERS: Layer = 2;
/// Time of a batch at an engine.
const BATCH_TIME: Duration = Duration::from_millis(2);

/// How long a leaving entry takes work after `/readyz` fails, in milliseconds.
const READY_GRACE_MS: u64 = 100;

/// An entry, a daemon beside each of three engines, one beside a service: five processes.
pub struct ProcessFleet {
    /// The stand-in of the platform.
    pub _platform: FakePlatform,
    /// The stand-ins of the engines, one a stage.
    pub engines: Vec<FakeEngine>,
    /// The stand-in of the service.
    pub service: FakeService,
    /// The daemons beside the engines and the service.
    pub beside: Vec<DaemonProcess>,
    /// The entry.
    pub entry: DaemonProcess,
    /// Where callers ask.
    pub callers: SocketAddr,
    /// Where operators ask the entry.
    pub operators: SocketAddr,
}

impl ProcessFleet {
    /// Starts all, and waits until the entry knows every daemon.
    pub fn start() -> ProcessFleet {
        let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
        write_config(&platform);
        let engines: Vec<_> =
            (0..LAYERS / STAGE_LAYERS).map(|stage| start_engine(stage * STAGE_LAYERS)).collect();
        let service = FakeService::start(ServiceConfig::new(next_addr())).unwrap();
        let links: Vec<SocketAddr> = (0..=engines.len()).map(|_| next_addr()).collect();
        let served = engines.iter().map(|engine| format!("--engine={}", engine.addr()));
        let served = served.chain([format!("--service={SERVICE}-0={SERVICE}@{}", service.addr())]);
        let beside =
            links.iter().zip(served).map(|(link, served)| start_beside(*link, &served)).collect();
        platform.set_instances(links.iter().map(|link| instance(*link)).collect());
        let (callers, operators) = (next_addr(), next_addr());
        let entry = start_entry(callers, operators, platform.addr(), next_addr());
        let fleet = ProcessFleet {
            _platform: platform,
            engines,
            service,
            beside,
            entry,
            callers,
            operators,
        };
        fleet.wait_until_known(links.len());
        fleet
    }

    /// A caller in workspace `workspace` of [`WORKSPACES`].
    pub fn caller(&self, workspace: usize) -> Caller {
        Caller::new(self.callers, WORKSPACES[workspace].1)
    }

    /// The entry's state, as operators see it.
    pub fn dump(&self) -> Value {
        dump(self.operators)
    }

    fn wait_until_known(&self, daemons: usize) {
        let caller = self.caller(0);
        let known = || self.dump()["fleet"].as_array().map_or(0, Vec::len);
        let ready = || caller.get("/readyz").is_ok_and(|answer| answer.status == 200);
        let why_not = || {
            let beside: String = self.beside.iter().map(DaemonProcess::log).collect();
            format!("the entry does not know all daemons: {}\n{beside}", self.dump())
        };
        wait_until(|| known() == daemons && ready(), why_not);
    }
}

/// What a single machine with the whole model would answer.
pub fn expected(prompt: &str, max_tokens: u32) -> String {
    let tokens: Vec<TokenId> = prompt.bytes().map(TokenId::from).collect();
    expected_text(&tokens, LAYERS, max_tokens).1
}

/// The state of the daemon whose operators' listener is at `addr`; null while it has none.
pub fn dump(addr: SocketAddr) -> Value {
    let answer = Caller::new(addr, "").get("/dump");
    answer.map(|answer| answer.json()).unwrap_or_default()
}

fn write_config(platform: &FakePlatform) {
    let pipeline = Pipeline::new(MODEL, MODEL, LAYERS);
    write_pipelines(platform, vec![pipeline]);
    let may_call = vec![MODEL.to_owned(), SERVICE.to_owned()];
    let workspace = |(id, key): &(&str, &str)| Workspace::new(*id, key, may_call.clone());
    write_workspaces(platform, WORKSPACES.iter().map(workspace).collect());
    write_rows(platform, WORKSPACES.iter().map(|(id, _)| Row::new(*id, "default")).collect());
}

fn start_engine(first: Layer) -> FakeEngine {
    let cfg = EngineConfig::new(next_addr(), MODEL, LayerRange::new(first, first + STAGE_LAYERS))
        .with_endpoint(format!("{MODEL}-{first}"))
        .with_times(BATCH_TIME, Duration::ZERO);
    FakeEngine::start(cfg).unwrap()
}

/// Starts a daemon beside what `served` names.
pub fn start_beside(link: SocketAddr, served: &str) -> DaemonProcess {
    let link = format!("--link={link}");
    DaemonProcess::start(&["beside", "--place", PLACE, &link, served], &[])
}

/// Starts an entry.
pub fn start_entry(
    callers: SocketAddr,
    operators: SocketAddr,
    platform: SocketAddr,
    link: SocketAddr,
) -> DaemonProcess {
    let addrs = [
        format!("--ready-grace-ms={READY_GRACE_MS}"),
        format!("--callers={callers}"),
        format!("--operators={operators}"),
        format!("--platform={platform}"),
        format!("--link={link}"),
    ];
    let mut args = vec!["entry", "--place", PLACE];
    args.extend(addrs.iter().map(String::as_str));
    DaemonProcess::start(&args, &[])
}

/// A process on the list of instances.
pub fn instance(link: SocketAddr) -> Instance {
    Instance { id: link.to_string(), place: PLACE.into(), link, state: InstanceState::Live }
}
