//! The daemons that watch the store are killed, and a change still comes into force.

use crate::daemon_process::{DaemonProcess, wait_until};
use crate::process_fleet::{dump, instance, start_entry};
use nix::sys::signal::Signal;
use sorrellock_core::id::Revision;
use sorrellock_core::version::{Column, Workspace};
use sorrellock_fakes::{FakePlatform, PlatformConfig};
use sorrellock_local::next_addr;
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_ports::config::{ConfigStore, RowEdit};
use std::net::SocketAddr;

const ENTRIES: usize = 4;

struct Watched {
    process: DaemonProcess,
    operators: SocketAddr,
}

impl Watched {
    fn start(platform: &FakePlatform) -> (Watched, SocketAddr) {
        let (operators, link) = (next_addr(), next_addr());
        let process = start_entry(next_addr(), operators, platform.addr(), link);
        (Watched { process, operators }, link)
    }

    fn config(&self, field: &str) -> serde_json::Value {
        dump(self.operators)["config"][field].clone()
    }

    fn is_watching(&self) -> bool {
        self.config("watching") == true
    }

    fn applied(&self) -> Revision {
        self.config("applied").as_u64().unwrap_or_default()
    }
}

#[test]
fn killed_watchers_are_replaced() {
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let operator = ConfigStore::new(HttpObjectStore::new(platform.addr()), "anna");
    operator.add_workspace(Workspace::new("treasury", "key", Vec::new())).unwrap();
    let (entries, links): (Vec<_>, Vec<_>) =
        (0..ENTRIES).map(|_| Watched::start(&platform)).unzip();
    platform.set_instances(links.into_iter().map(instance).collect());
    let logs = || entries.iter().map(|entry| entry.process.log()).collect::<String>();
    let watching = || entries.iter().filter(|entry| entry.is_watching()).count();
    wait_until(|| watching() == 2, || format!("two entries don't watch\n{}", logs()));
    let (killed, rest): (Vec<_>, Vec<_>) = entries.iter().partition(|entry| entry.is_watching());

    killed.iter().for_each(|entry| entry.process.signal(Signal::SIGKILL));
    let edit = RowEdit::new("treasury", "match").with_cell(Column::Weight, "3");
    let revision = operator.set(&[edit], None).unwrap().into_result().unwrap().revision();

    let in_force = || rest.iter().all(|entry| entry.applied() >= revision);
    wait_until(in_force, || format!("the change is not in force\n{}", logs()));
    let replaced = || rest.iter().all(|entry| entry.is_watching());
    wait_until(replaced, || format!("the killed watchers are not replaced\n{}", logs()));
}
