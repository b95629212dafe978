//! What a gateway adds to a request, over a request that its caller sends to the endpoint itself:
//! time to the whole answer of a plain service and to the first event of a stream, and memory.
//!
//! The gateway is a process of its own: this program, started again with a settings file. Direct
//! calls and calls through it take turns, so that both see the same load of the machine.

use eyre::{Result, ensure, eyre};
use sorrellock_bench::{Latencies, figure, figure_f64};
use sorrellock_gateway::Options;
use sorrellock_stand_ins::{
    CALLERS_PORT, EngineConfig, FakeEngine, FakeService, FakeStore, HOST, KEY, READINESS_PORT,
    configuration, new_ip, settings,
};
use std::io::Read;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// First argument of this program as a gateway; the second is its settings file.
const AS_GATEWAY: &str = "as-gateway";
/// Calls that are measured, of each sort: quantiles up to the 99th have 20 beyond them.
const CALLS: u64 = 2_000;
/// Calls before, which open connections and warm caches.
const WARM_UP: u64 = 100;
/// How long a gateway may take until it serves.
const START_LIMIT: Duration = Duration::from_secs(20);
/// Events of a stream, and the time between them: a stream costs few milliseconds.
const EVENTS: u64 = 2;
const EVENT_GAP: Duration = Duration::from_millis(1);

fn main() -> Result<()> {
    let args: Vec<String> = std::env::args().collect();
    if args.get(1).is_some_and(|arg| arg == AS_GATEWAY) {
        return Ok(sorrellock_gateway::run(Path::new(&args[2]), Options::default())?);
    }
    let fleet = Fleet::start()?;
    let gateway = Gateway::start(fleet.store.addr())?;
    gateway.wait_until_served()?;
    measure("gateway.plain", gateway.callers, fleet.service.addr(), "ledger-1", "/status/a")?;
    let engine = fleet.first_engine()?;
    measure("gateway.first_event", gateway.callers, engine.addr(), engine.id(), "/match/a")?;
    let peak_mb = gateway.peak_memory_mb()?;
    figure_f64("gateway.peak_memory_mb", peak_mb, "MB");
    Ok(())
}

/// The stand-ins that a gateway serves.
struct Fleet {
    store: FakeStore,
    engines: Vec<FakeEngine>,
    service: FakeService,
}

impl Fleet {
    fn start() -> Result<Fleet> {
        let store = FakeStore::start(new_ip())?;
        store.put("config", "main", configuration(1, &[KEY]));
        let engines: Result<Vec<_>> = (0..2)
            .map(|index| {
                let cfg = EngineConfig {
                    id: format!("engine-{index}"),
                    service: "lexis".into(),
                    data_centre: "north".into(),
                    card: "card".into(),
                    events: EVENTS,
                    gap: EVENT_GAP,
                };
                Ok(FakeEngine::start(cfg, new_ip(), &store)?)
            })
            .collect();
        let service = FakeService::start("ledger-1", "ledger", "north", new_ip(), &store)?;
        Ok(Fleet { engines: engines?, service, store })
    }

    /// The engine that the gateway sends streams to.
    fn first_engine(&self) -> Result<&FakeEngine> {
        let holds_first = |engine: &&FakeEngine| engine.layers().0 == 0 && engine.layers().1 > 0;
        self.engines
            .iter()
            .find(holds_first)
            .ok_or_else(|| eyre!("no engine holds the first layer"))
    }
}

/// A gateway as a process.
struct Gateway {
    child: Child,
    callers: SocketAddr,
    readiness: SocketAddr,
}

impl Gateway {
    fn start(store: SocketAddr) -> Result<Gateway> {
        let ip = new_ip();
        let file =
            std::env::temp_dir().join(format!("sorrellock-bench-{}.toml", std::process::id()));
        std::fs::write(&file, settings("one", "north", ip, store))?;
        let mut command = Command::new(std::env::current_exe()?);
        let child = command.arg(AS_GATEWAY).arg(&file).stdout(Stdio::null()).spawn()?;
        let callers = SocketAddr::new(ip, CALLERS_PORT);
        Ok(Gateway { child, callers, readiness: SocketAddr::new(ip, READINESS_PORT) })
    }

    /// Waits until a stream is served: the engines hold their layers then.
    fn wait_until_served(&self) -> Result<()> {
        let caller = caller();
        let began = Instant::now();
        let url = format!("http://{}/v1/readiness", self.readiness);
        while !caller.get(&url).call().is_ok_and(|res| res.status() == 200)
            || call(&caller, self.callers, None, "/match/a", 0).is_err()
        {
            ensure!(began.elapsed() < START_LIMIT, "the gateway serves nothing");
            thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    /// Its peak resident memory, in MB.
    fn peak_memory_mb(&self) -> Result<f64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let kb = line.and_then(|line| line.trim().strip_suffix(" kB"));
        let kb: f64 = kb.ok_or_else(|| eyre!("no peak memory in the process's status"))?.parse()?;
        Ok(kb / 1024.0)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Prints the times of calls through the gateway and beside it, and what the gateway adds.
fn measure(
    name: &str,
    gateway: SocketAddr,
    endpoint: SocketAddr,
    instance: &str,
    path: &str,
) -> Result<()> {
    let (by_gateway, direct) = (caller(), caller());
    let (mut through, mut beside) = (Latencies::new(), Latencies::new());
    for number in 1..=WARM_UP + CALLS {
        let took = call(&by_gateway, gateway, None, path, 2 * number)?;
        let took_direct = call(&direct, endpoint, Some(instance), path, 2 * number + 1)?;
        if number > WARM_UP {
            through.add(took);
            beside.add(took_direct);
        }
    }
    through.print_us(&format!("{name}.through"));
    beside.print_us(&format!("{name}.naive"));
    for (label, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let added = through.quantile(quantile).saturating_sub(beside.quantile(quantile));
        figure(&format!("{name}.added.{label}_us"), added.as_micros(), "us");
    }
    Ok(())
}

fn caller() -> ureq::Agent {
    ureq::Agent::new_with_config(ureq::Agent::config_builder().http_status_as_error(false).build())
}

/// Makes one call, and tells the time to the first bytes of its answer's body. `instance` is named
/// where an endpoint is called itself.
fn call(
    caller: &ureq::Agent,
    to: SocketAddr,
    instance: Option<&str>,
    path: &str,
    number: u64,
) -> Result<Duration> {
    let mut req = caller
        .post(format!("http://{to}{path}"))
        .header("host", HOST)
        .header("request-id", format!("{number:016x}"))
        .header("deadline-ms", "30000")
        .header("token-count", "10,40")
        .header("model", "m")
        .header("authorization", format!("Bearer {KEY}"));
    if let Some(instance) = instance {
        req = req.header("expect-instance", instance);
    }
    let began = Instant::now();
    let res = req.send("body")?;
    ensure!(res.status() == 200, "{path} at {to}: status {}", res.status());
    let mut body = res.into_body().into_reader();
    let mut first = [0; 1];
    body.read_exact(&mut first)?;
    let took = began.elapsed();
    let mut rest = Vec::new();
    body.read_to_end(&mut rest)?;
    Ok(took)
}
