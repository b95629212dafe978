//! An entry with a configuration and no endpoints: enough to refuse bad input.

use serde_json::Value;
use sorrellock_core::version::{Pipeline, Row, Workspace};
use sorrellock_daemon::entry::process::{Entry, EntrySettings};
use sorrellock_daemon::process::{Dump, LogFormat, set_up_log};
use sorrellock_fakes::{FakePlatform, PlatformConfig};
use sorrellock_local::{Caller, next_addr, write_pipelines, write_rows, write_workspaces};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take to happen.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// How long an answer may take to come, well below the default timeouts of the entry.
const READ_PATIENCE: Duration = Duration::from_secs(8);
/// The largest body that the entry takes.
pub const MAX_BODY_BYTES: usize = 64 << 10;
/// Connections that the entry takes.
pub const MAX_CONNECTIONS: usize = 20;
/// Time for a head or a body to come in whole.
const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// An entry with a configuration and no endpoints.
pub struct EntryFixture {
    /// The entry.
    pub entry: Entry,
    /// Where it listens for other daemons.
    pub link: SocketAddr,
    _platform: FakePlatform,
}

impl EntryFixture {
    /// Starts it, and waits until it has its configuration.
    pub fn start() -> EntryFixture {
        set_up_log(LogFormat::Off);
        let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
        write_pipelines(&platform, vec![Pipeline::new("lexis", "lexis", 4)]);
        let may_call = vec!["lexis".to_owned(), "ledger".to_owned()];
        write_workspaces(&platform, vec![Workspace::new("treasury", "key-treasury", may_call)]);
        write_rows(&platform, vec![Row::new("treasury", "default")]);
        let link = next_addr();
        let mut settings = EntrySettings::new("pasila", next_addr(), link, platform.addr());
        // The tests of the port for daemons send as an nng peer does; those of TCP are of the wire package.
        settings.link_kind = sorrellock_daemon::LinkKind::Nng;
        settings.max_body_bytes = MAX_BODY_BYTES;
        settings.max_connections = MAX_CONNECTIONS;
        settings.header_timeout = READ_TIMEOUT;
        settings.body_timeout = READ_TIMEOUT;
        let entry = Entry::start(settings).unwrap();
        let fixture = EntryFixture { entry, link, _platform: platform };
        wait_until("the entry is ready", || fixture.is_ready());
        fixture
    }

    /// A caller with the workspace's key.
    pub fn caller(&self) -> Caller {
        Caller::new(self.entry.callers(), "key-treasury")
    }

    /// Whether the entry serves.
    pub fn is_ready(&self) -> bool {
        self.caller().get("/readyz").is_ok_and(|answer| answer.status == 200)
    }

    /// The entry's state.
    pub fn dump(&self) -> Value {
        self.entry.state().dump()
    }

    /// A connection of its own to the callers' listener.
    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.entry.callers()).unwrap();
        stream.set_read_timeout(Some(READ_PATIENCE)).unwrap();
        stream
    }

    /// Sends bytes on a connection of their own, and reads until the entry closes it.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut stream = self.connect();
        // The entry may close before all is sent; what it answered counts.
        let _ = stream.write_all(bytes);
        read_to_end(&mut stream)
    }
}

/// All that comes until the other side closes.
pub fn read_to_end(stream: &mut TcpStream) -> String {
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf);
    String::from_utf8_lossy(&buf).into_owned()
}

/// Waits until something holds.
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "not in {PATIENCE:?}: {what}");
        thread::sleep(Duration::from_millis(5));
    }
}
