//! The same on the project's own interface: callers of an entry send large bodies that stop short.
//!
//! What the operator saw: an entry ended, as it could get no more memory.

use crate::crowd::Crowd;
use crate::gateway_process::wait_for;
use crate::small_machine::alone;
use crate::usage::UsageWatch;
use sorrellock_core::version::{Pipeline, Row, Workspace};
use sorrellock_fakes::{FakePlatform, PlatformConfig};
use sorrellock_local::{Caller, next_addr, write_pipelines, write_rows, write_workspaces};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpStream};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

/// Memory for data that the system leaves to the entry, in bytes.
const DATA_LIMIT: usize = 400_000_000;
/// Number of clients whose bodies together are larger.
const CLIENTS: usize = 150;
/// Maximum size of a body, the default of `--max-body-bytes`.
const MAX_BODY_BYTES: usize = 4 << 20;
/// How long the crowd stays once it is there.
const STAY: Duration = Duration::from_secs(3);
const KEY: &str = "key-treasury";

/// An entry without endpoints, as a child process. Dropping it kills it.
struct EntryProcess {
    child: Child,
    callers: SocketAddr,
    _platform: FakePlatform,
}

impl EntryProcess {
    fn start() -> EntryProcess {
        let platform = FakePlatform::start(PlatformConfig::new(next_addr())).expect("a platform");
        write_pipelines(&platform, vec![Pipeline::new("lexis", "lexis", 4)]);
        write_workspaces(
            &platform,
            vec![Workspace::new("treasury", KEY, vec!["lexis".to_owned()])],
        );
        write_rows(&platform, vec![Row::new("treasury", "default")]);
        let callers = next_addr();
        let flags =
            [("--callers", callers), ("--link", next_addr()), ("--platform", platform.addr())];
        let flags = flags.map(|(flag, addr)| format!("{flag}={addr}"));
        let mut command = Command::new("sh");
        command.args(["-c", "ulimit -d \"$0\" && exec \"$@\""]);
        command.arg((DATA_LIMIT >> 10).to_string());
        command.args([env!("CARGO_BIN_EXE_sorrellockd"), "entry", "--place=pasila"]).args(flags);
        let child = command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("an entry");
        let entry = EntryProcess { child, callers, _platform: platform };
        wait_for("the entry to be ready", || entry.is_ready());
        entry
    }

    fn is_ready(&self) -> bool {
        let answer = Caller::new(self.callers, KEY).get("/readyz");
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Whether a small request gets its answer, which is a refusal as there are no endpoints.
    fn answers(&self) -> bool {
        let answer = Caller::new(self.callers, KEY).complete("lexis", "a", 1);
        answer.is_ok_and(|answer| answer.outcome == "not-run")
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn stop_short(stream: &mut TcpStream) -> io::Result<()> {
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {MAX_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'x'; MAX_BODY_BYTES - 1])
}

#[test]
fn an_entry_bears_bodies_that_stop_short_of_their_length() {
    let _alone = alone();
    let mut entry = EntryProcess::start();
    let loopback = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let watch = UsageWatch::start(entry.child.id() as i32, loopback);

    let crowd = Crowd::start(entry.callers, CLIENTS, stop_short);
    crowd.wait_placed();
    thread::sleep(STAY);

    assert!(entry.child.try_wait().expect("its state").is_none(), "the entry has ended");
    wait_for("an answer beside the crowd", || entry.answers());
    drop(crowd);
    wait_for("an answer after the crowd", || entry.answers());
    let memory = watch.peaks().memory;
    assert!(memory <= DATA_LIMIT, "the entry held {memory} bytes of {DATA_LIMIT}");
}
