//! A gateway as a child process.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
pub use sorrellock_stand_ins::settings;
use sorrellock_stand_ins::{CALLERS_PORT, METRICS_PORT, READINESS_PORT};
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use ureq::Body;
use ureq::http::Response;

/// How long a test waits for what must come: far above what it takes.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// How long a gateway may take to tell whether it is ready before it counts as not ready. A test that waited without a limit would hang on
/// a process that doesn't answer.
const READINESS_PATIENCE: Duration = Duration::from_secs(10);

/// A gateway as a child process. Dropping it kills it.
pub struct GatewayProcess {
    child: Child,
    ip: IpAddr,
    settings: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
}

/// Writes a settings file.
pub fn write_settings(name: &str, text: &str) -> PathBuf {
    let file = format!("sorrellock-gateway-{}-{name}.toml", std::process::id());
    let path = std::env::temp_dir().join(file);
    fs::write(&path, text).expect("the settings file");
    path
}

/// The command with a settings file; `SOAK_GATEWAY` names another build of the program.
pub fn command(role: &[&str], settings: &PathBuf) -> Command {
    let program = std::env::var("SOAK_GATEWAY");
    let program = program.unwrap_or_else(|_| env!("CARGO_BIN_EXE_sorrellockd").to_owned());
    let mut command = Command::new(program);
    command.args(role).env("SORRELLOCK_NODE_FILE", settings);
    command
}

impl GatewayProcess {
    /// Starts a gateway whose log is read.
    pub fn start(instance: &str, data_centre: &str, store: SocketAddr) -> GatewayProcess {
        GatewayProcess::spawn(instance, data_centre, store, true)
    }

    /// Starts a gateway whose log nobody reads.
    pub fn start_unread(instance: &str, data_centre: &str, store: SocketAddr) -> GatewayProcess {
        GatewayProcess::spawn(instance, data_centre, store, false)
    }

    fn spawn(instance: &str, data_centre: &str, store: SocketAddr, read: bool) -> GatewayProcess {
        let ip = sorrellock_stand_ins::new_ip();
        GatewayProcess::spawn_at(ip, instance, data_centre, store, read)
    }

    /// Starts a gateway at an address, as after a restart.
    pub fn spawn_at(
        ip: IpAddr,
        instance: &str,
        data_centre: &str,
        store: SocketAddr,
        read: bool,
    ) -> GatewayProcess {
        GatewayProcess::spawn_with(ip, &settings(instance, data_centre, ip, store), read)
    }

    /// Starts a gateway of a fleet that uses relays from a number of gateways on.
    pub fn start_with_relays(
        instance: &str,
        data_centre: &str,
        store: SocketAddr,
        relays_from: usize,
    ) -> GatewayProcess {
        let ip = sorrellock_stand_ins::new_ip();
        let settings = settings(instance, data_centre, ip, store);
        GatewayProcess::spawn_with_relays(ip, &settings, relays_from)
    }

    /// Starts such a gateway at an address, as after a restart.
    pub fn spawn_with_relays(ip: IpAddr, settings: &str, relays_from: usize) -> GatewayProcess {
        let relays_from = relays_from.to_string();
        GatewayProcess::spawn_role(ip, &["gateway", "--relays-from", &relays_from], settings, true)
    }

    /// Starts a gateway at an address with these settings.
    pub fn spawn_with(ip: IpAddr, settings: &str, read: bool) -> GatewayProcess {
        GatewayProcess::spawn_role(ip, &["gateway"], settings, read)
    }

    fn spawn_role(ip: IpAddr, role: &[&str], settings: &str, read: bool) -> GatewayProcess {
        let path = write_settings(&ip.to_string(), settings);
        let mut command = command(role, &path);
        let child = command.stdout(Stdio::piped()).spawn().expect("the gateway starts");
        let mut gateway = GatewayProcess { child, ip, settings: path, lines: Arc::default() };
        if read {
            gateway.read_log();
        }
        gateway
    }

    /// Reads the log from here on; nobody read it before.
    pub fn read_log(&mut self) {
        let out = self.child.stdout.take().expect("nobody reads it yet");
        let kept = Arc::clone(&self.lines);
        thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                kept.lock().expect("no panic holds this lock").push(line);
            }
        });
    }

    /// What its settings file holds.
    pub fn settings(&self) -> String {
        fs::read_to_string(&self.settings).expect("the settings file")
    }

    /// Changes its settings file, as the platform does, and tells it so.
    pub fn change_settings(&self, change: impl FnOnce(&str) -> String) {
        self.change_settings_unsaid(change);
        self.signal(Signal::SIGHUP);
    }

    /// Changes its settings file, and tells it nothing.
    pub fn change_settings_unsaid(&self, change: impl FnOnce(&str) -> String) {
        // In one step: a process that starts just now would read a part.
        let whole = self.settings.with_extension("new");
        fs::write(&whole, change(&self.settings())).expect("the settings file");
        fs::rename(&whole, &self.settings).expect("the settings file");
    }

    /// Sets the retry budget to zero, and waits until that is in force.
    pub fn disable_retries(&self) {
        self.change_settings(|text| {
            text.replace("budget_slack = 200", "budget_slack = 0")
                .replace("retry_budget_ratio = 0.2", "retry_budget_ratio = 0.0")
        });
        self.wait_for_line(&["\"bounds changed\""]);
    }

    /// Waits until it has its share of the retry budget.
    pub fn await_retry_share(&self) {
        let has_share = || self.dump()["retry_share"].as_f64().is_some_and(|share| share > 0.0);
        wait_for("a share of the retry budget", has_share);
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, CALLERS_PORT)
    }

    /// Its process id.
    pub fn pid(&self) -> Pid {
        Pid::from_raw(self.child.id() as i32)
    }

    /// Its address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().expect("its state").is_some()
    }

    /// Where its metrics are read.
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.ip, METRICS_PORT)
    }

    /// A page beside its metrics.
    pub fn page(&self, name: &str) -> String {
        let url = format!("http://{}/{name}", self.metrics());
        let mut answer = get(&url, PATIENCE).expect("the page");
        answer.body_mut().read_to_string().expect("text")
    }

    /// Its state.
    pub fn dump(&self) -> Value {
        serde_json::from_str(&self.page("dump")).expect("the dump is JSON")
    }

    /// A figure of its metrics page.
    pub fn metric(&self, name: &str) -> f64 {
        let page = self.page("metrics");
        let line = page.lines().find(|line| line.split(' ').next() == Some(name));
        let value = line.and_then(|line| line.split(' ').nth(1));
        value.expect("the metric is on the page").parse().expect("a number")
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}:{READINESS_PORT}/v1/readiness", self.ip);
        get(&url, READINESS_PATIENCE).is_ok_and(|answer| answer.status() == 200)
    }

    /// Sends it a signal.
    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("the process is there");
    }

    /// Stops it, and waits until it has stopped. [`GatewayProcess::resume`] has it go on.
    pub fn pause(&self) {
        self.signal(Signal::SIGSTOP);
        let stat = format!("/proc/{}/stat", self.child.id());
        let is_stopped = || {
            let stat = fs::read_to_string(&stat).expect("its state");
            stat.rsplit(") ").next().is_some_and(|rest| rest.starts_with('T'))
        };
        wait_for("the gateway to stop", is_stopped);
    }

    /// Has it go on.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Waits for its end, and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut code = None;
        wait_for("the gateway's end", || {
            code = self.child.try_wait().expect("its state");
            code.is_some()
        });
        code.and_then(|status| status.code())
    }

    /// The lines of its log so far that hold all of `parts`.
    pub fn lines(&self, parts: &[&str]) -> Vec<String> {
        let lines = self.lines.lock().expect("no panic holds this lock");
        let holds = |line: &&String| parts.iter().all(|part| line.contains(part));
        lines.iter().filter(holds).cloned().collect()
    }

    /// Waits for a line of its log that holds all of `parts`.
    pub fn wait_for_line(&self, parts: &[&str]) -> String {
        wait_for(&format!("a line with {parts:?}"), || !self.lines(parts).is_empty());
        self.lines(parts).remove(0)
    }
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads a page of a gateway within `patience`.
fn get(url: &str, patience: Duration) -> Result<Response<Body>, ureq::Error> {
    ureq::get(url).config().timeout_global(Some(patience)).build().call()
}

/// Waits until something holds.
pub fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < PATIENCE, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(10));
    }
}
