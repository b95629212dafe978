//! One `sorrellockd` as a child process of the test.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take to happen.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// How often a wait looks again.
const POLL: Duration = Duration::from_millis(10);

/// One `sorrellockd`; killed when dropped.
pub struct DaemonProcess {
    child: Child,
    log: Arc<Mutex<String>>,
}

impl DaemonProcess {
    /// Starts it with no `SORRELLOCK_…` variables but `vars`.
    pub fn start(args: &[&str], vars: &[(&str, &str)]) -> DaemonProcess {
        let mut child =
            command(args, vars).stdout(Stdio::null()).spawn().expect("sorrellockd starts");
        let stderr = child.stderr.take().expect("its errors are piped");
        DaemonProcess { child, log: gather(stderr) }
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.child.id() as i32), signal).expect("the process is there");
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        self.log.lock().unwrap().clone()
    }

    /// Waits until it ends.
    pub fn wait(&mut self) -> ExitStatus {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = self.child.try_wait().expect("the child can be waited for") {
                return status;
            }
            assert!(Instant::now() < end, "it did not end; its log:\n{}", self.log());
            thread::sleep(POLL);
        }
    }

    /// Waits until its log has `text`.
    pub fn wait_for_log(&self, text: &str) {
        wait_until(|| self.log().contains(text), || format!("no `{text}` in:\n{}", self.log()));
    }
}

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs `sorrellockd` to its end, and returns its exit code, output and errors.
pub fn run_to_end(args: &[&str], vars: &[(&str, &str)]) -> (Option<i32>, String, String) {
    let mut child = command(args, vars).spawn().expect("sorrellockd starts");
    let end = Instant::now() + PATIENCE;
    while child.try_wait().expect("the child can be waited for").is_none() {
        if Instant::now() > end {
            let _ = child.kill();
            panic!("sorrellockd {args:?} did not end");
        }
        thread::sleep(POLL);
    }
    let output = child.wait_with_output().expect("its output can be read");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code(), text(&output.stdout), text(&output.stderr))
}

/// Waits until something holds, or fails with what `why_not` tells.
pub fn wait_until(mut holds: impl FnMut() -> bool, why_not: impl Fn() -> String) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{}", why_not());
        thread::sleep(POLL);
    }
}

fn command(args: &[&str], vars: &[(&str, &str)]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_sorrellockd"));
    let inherited = std::env::vars().map(|(name, _)| name);
    inherited.filter(|name| name.starts_with("SORRELLOCK_")).for_each(|name| {
        command.env_remove(name);
    });
    command.args(args).envs(vars.iter().copied());
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn gather(stderr: ChildStderr) -> Arc<Mutex<String>> {
    let log = Arc::new(Mutex::new(String::new()));
    let gathered = log.clone();
    thread::spawn(move || {
        for line in BufReader::new(stderr).lines().map_while(Result::ok) {
            let mut log = gathered.lock().unwrap();
            log.push_str(&line);
            log.push('\n');
        }
    });
    log
}
