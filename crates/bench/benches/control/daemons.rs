//! Real daemons in growing fleets: processor time, memory, bytes.

use crate::figure;
use crate::slope::Slope;
use serde_json::Value;
use sorrellock_fakes::{FakePlatform, PlatformConfig};
use sorrellock_local::next_addr;
use sorrellock_ports::api::{Instance, InstanceState};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{fs, thread};

/// Sizes of the fleet, unless `CONTROL_SIZES` names others, parted by commas.
const SIZES: [usize; 5] = [4, 8, 16, 32, 64];
/// Places that the daemons are spread over.
const PLACES: usize = 4;
/// How long a fleet of one size is watched.
const WATCHED: Duration = Duration::from_secs(3);
/// How long a fleet may take to know itself.
const KNOWN: Duration = Duration::from_secs(20);
/// How often it is looked.
const POLL: Duration = Duration::from_millis(100);
/// Clock ticks of `/proc/PID/stat` in a second.
const TICKS_PER_S: f64 = 100.0;
/// Daemons whose dump is read, so that the reading costs little.
const SAMPLED: usize = 8;
/// Where the service of each daemon is said to be.
const IDLE_SERVICE: &str = "127.0.0.1:9";
/// Daemons of the target.
const TARGET: f64 = 420.0;

/// One daemon, a process of its own; it ends with this value.
struct Daemon {
    child: Child,
    operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What a daemon has used since it started.
#[derive(Clone, Copy, Debug, Default)]
struct Usage {
    cpu_s: f64,
    rss_mb: f64,
    threads: f64,
    bytes_sent: f64,
    bytes_received: f64,
}

/// What daemons used on average, each.
#[derive(Clone, Copy, Debug)]
struct Measured {
    cpu_percent: f64,
    rss_mb: f64,
    threads: f64,
    sent_per_s: f64,
    received_per_s: f64,
}

/// Measures all sizes, and returns what was broken.
pub fn measure_daemons() -> Vec<String> {
    let platform =
        FakePlatform::start(PlatformConfig::new(next_addr())).expect("the platform starts");
    let mut daemons = Vec::new();
    let mut instances = Vec::new();
    let mut measured = Vec::new();
    let mut broken = Vec::new();
    for size in sizes() {
        let started = Instant::now();
        while daemons.len() < size {
            let (daemon, instance) = start(daemons.len(), platform.addr());
            daemons.push(daemon);
            instances.push(instance);
        }
        platform.set_instances(instances.clone());
        if !wait_until_known(&daemons) {
            broken.push(format!("{size} daemons did not know each other within {KNOWN:?}"));
            break;
        }
        figure(&format!("control.known_s.{size}"), started.elapsed().as_secs_f64(), "s");
        let now = measure(&daemons);
        print_measured(size, &now);
        measured.push((size as f64, now));
    }
    if measured.len() > 1 {
        print_slopes(&measured);
    }
    broken
}

fn sizes() -> Vec<usize> {
    let Ok(text) = std::env::var("CONTROL_SIZES") else { return SIZES.to_vec() };
    text.split(',').map(|size| size.parse().expect("CONTROL_SIZES holds numbers")).collect()
}

fn start(number: usize, platform: SocketAddr) -> (Daemon, Instance) {
    let (link, operators) = (next_addr(), next_addr());
    let place = format!("place-{}", number % PLACES);
    let program = std::env::current_exe().expect("the bench has a path");
    let child = Command::new(program)
        .args(["beside", "--place", &place, "--log-format", "off"])
        .args(["--link", &link.to_string(), "--operators", &operators.to_string()])
        .args(["--platform", &platform.to_string()])
        // Nothing calls this service: the daemon does nothing but control.
        .args(["--service", &format!("ledger-{number}=ledger@{IDLE_SERVICE}"), "--max-calls", "1"])
        .stdout(Stdio::null())
        .spawn()
        .expect("a daemon starts");
    let instance = Instance { id: link.to_string(), place, link, state: InstanceState::Live };
    (Daemon { child, operators }, instance)
}

fn dump(daemon: &Daemon) -> Value {
    let url = format!("http://{}/dump", daemon.operators);
    let config = ureq::Agent::config_builder().proxy(None).timeout_global(Some(KNOWN)).build();
    let Ok(mut answer) = ureq::Agent::from(config).get(&url).call() else { return Value::Null };
    let text = answer.body_mut().read_to_string().unwrap_or_default();
    serde_json::from_str(&text).unwrap_or_default()
}

/// Whether each of the daemons knows all others as live, soon.
fn wait_until_known(daemons: &[Daemon]) -> bool {
    let end = Instant::now() + KNOWN;
    let mut waiting: BTreeSet<usize> = (0..daemons.len()).collect();
    while !waiting.is_empty() {
        waiting.retain(|index| live_members(&dump(&daemons[*index])) < daemons.len());
        if Instant::now() > end {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}

fn live_members(dump: &Value) -> usize {
    let Some(members) = dump["members"].as_array() else { return 0 };
    let live =
        |member: &&Value| member["standing"] == "Trusted" && member["fact"]["liveness"] == "Live";
    members.iter().filter(live).count()
}

fn measure(daemons: &[Daemon]) -> Measured {
    let sampled: Vec<&Daemon> =
        daemons.iter().step_by((daemons.len() / SAMPLED).max(1)).take(SAMPLED).collect();
    let before: Vec<Usage> = sampled.iter().map(|daemon| usage(daemon)).collect();
    let start = Instant::now();
    thread::sleep(WATCHED);
    let seconds = start.elapsed().as_secs_f64();
    let after: Vec<Usage> = sampled.iter().map(|daemon| usage(daemon)).collect();
    let count = sampled.len() as f64;
    let grew = |value: fn(&Usage) -> f64| {
        let pairs = before.iter().zip(&after);
        pairs.map(|(before, after)| value(after) - value(before)).sum::<f64>() / count / seconds
    };
    let mean = |value: fn(&Usage) -> f64| after.iter().map(value).sum::<f64>() / count;
    Measured {
        cpu_percent: 100.0 * grew(|usage| usage.cpu_s),
        rss_mb: mean(|usage| usage.rss_mb),
        threads: mean(|usage| usage.threads),
        sent_per_s: grew(|usage| usage.bytes_sent),
        received_per_s: grew(|usage| usage.bytes_received),
    }
}

fn usage(daemon: &Daemon) -> Usage {
    let pid = daemon.child.id();
    let dump = dump(daemon);
    let link = |name: &str| dump["link"][name].as_f64().unwrap_or_default();
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    // Fields after the name in brackets; user and system time are the 12th and 13th of them.
    let fields: Vec<&str> =
        stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let field = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0.0);
    let line = |name: &str| -> f64 {
        let line = status.lines().find_map(|line| line.strip_prefix(name)).unwrap_or_default();
        line.split_whitespace().next().and_then(|text| text.parse().ok()).unwrap_or_default()
    };
    Usage {
        cpu_s: (field(11) + field(12)) / TICKS_PER_S,
        rss_mb: line("VmRSS:") / 1024.0,
        threads: line("Threads:"),
        bytes_sent: link("bytes_sent"),
        bytes_received: link("bytes_received"),
    }
}

fn print_measured(size: usize, measured: &Measured) {
    figure(&format!("control.cpu_percent.{size}"), measured.cpu_percent, "%");
    figure(&format!("control.rss_mb.{size}"), measured.rss_mb, "MB");
    let bytes = measured.sent_per_s + measured.received_per_s;
    figure(&format!("control.bytes_per_s.{size}"), bytes, "B/s");
    figure(&format!("control.bytes_sent_per_s.{size}"), measured.sent_per_s, "B/s");
    figure(&format!("control.threads.{size}"), measured.threads, "threads");
}

fn print_slopes(measured: &[(f64, Measured)]) {
    let through = |value: fn(&Measured) -> f64| {
        let points: Vec<_> = measured.iter().map(|(size, m)| (*size, value(m))).collect();
        Slope::through(&points)
    };
    let all: [(&str, Slope, &str); 4] = [
        ("cpu_percent", through(|m| m.cpu_percent), "%"),
        ("rss_mb", through(|m| m.rss_mb), "MB"),
        ("bytes_per_s", through(|m| m.sent_per_s + m.received_per_s), "B/s"),
        ("threads", through(|m| m.threads), "threads"),
    ];
    for (name, slope, unit) in all {
        println!("{name}: {:.4} {unit} a daemon", slope.per_unit);
        figure(&format!("control.{name}.projected.420"), slope.at(TARGET), unit);
    }
}
