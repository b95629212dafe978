//! Starts the project's gateway as the deploy file says, with settings of a small deployment.

use crate::http;
use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// A loopback address of this run's own.
pub fn own_ip(last: u8) -> IpAddr {
    let pid = std::process::id();
    IpAddr::V4(Ipv4Addr::new(127, 64 + (pid >> 8 & 63) as u8, (pid & 255) as u8, last))
}

fn free_port(ip: IpAddr) -> u16 {
    loop {
        let listener = TcpListener::bind(SocketAddr::new(ip, 0)).expect("a free port");
        let port = listener.local_addr().expect("its address").port();
        if UdpSocket::bind(SocketAddr::new(ip, port)).is_ok() && port < 60_000 {
            return port;
        }
    }
}

/// A gateway process; dropping it kills it.
pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
    dir: PathBuf,
}

impl Gateway {
    pub fn start(name: &str, zone: &str, ip: IpAddr, store: SocketAddr) -> Gateway {
        let dir = std::env::temp_dir().join(format!("review-{}-{name}", std::process::id()));
        fs::create_dir_all(&dir).expect("a temporary folder");
        let (front, ready, peer) = (free_port(ip), free_port(ip), free_port(ip));
        let settings = format!(
            r#"node_name = "{name}"
role = "gateway"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "uusimaa"
internal_ports = [{peer},{}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"]
[zones]
pasila = "uusimaa"
vantaa = "uusimaa"
espoo = "uusimaa"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
[limits]
cpu_share = 0.19
cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_ms = 2000
rollback_slack_ms = 250
max_stretch_ms = 5000
strict_revocation = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_slack = 202
recovery_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 2500
require_fencing = false
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
"#,
            peer + 15
        );
        let file = dir.join("boot.toml");
        fs::write(&file, settings).expect("the settings file");
        let child = spawn(&dir);
        let callers = SocketAddr::new(ip, front);
        let ready = SocketAddr::new(ip, ready);
        Gateway { name: name.to_owned(), callers, ready, child, dir }
    }

    /// Kills its process, and starts it again some time later with the same settings.
    pub fn kill_and_restart(&mut self, down: Duration) {
        self.kill();
        thread::sleep(down);
        self.child = spawn(&self.dir);
    }

    /// Kills its process: the machine is gone.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until it says that it is ready.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let limit = Duration::from_secs(1);
            if http::request(self.ready, "GET", "/v1/readiness", &[], "", limit).status == Some(200)
            {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends it a signal, by its id.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let _ = Command::new("sh").args(["-c", &format!("kill -{signal} {id}")]).status();
    }

    /// Whether it still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Lines of its log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.dir.join("log")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

fn spawn(dir: &Path) -> Child {
    let log = fs::File::options().create(true).append(true).open(dir.join("log")).expect("a log");
    Command::new("target/release/sorrellockd")
        .arg("gateway")
        .env("SORRELLOCK_NODE_FILE", dir.join("boot.toml"))
        .stdout(Stdio::from(log.try_clone().expect("the log")))
        .stderr(Stdio::from(log))
        .spawn()
        .expect("target/release/sorrellockd: run the build of deploy/system.toml first")
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
