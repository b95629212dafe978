//! Reads the platform's list of instances: a hint of whom to knock at, for the few that need it.

use crate::process::FleetAgent;
use sorrellock_core::process::membership::{Listed, MembershipView};
use sorrellock_ports::api::{Instance, InstanceList, InstanceState};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How often a process that knows nobody reads the list.
const ALONE: Duration = Duration::from_millis(250);
/// How often the readers of a place read it, and every entry, which sends work by it.
const READER: Duration = Duration::from_secs(2);
/// How often all others read it.
const OTHERS: Duration = Duration::from_secs(60);
/// Time for one reading. A silence, or a connection that is silent for good, costs a process that knows nobody no more than
/// that, and a reader not even its next reading.
pub const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Members of a place that read the list often.
const READERS: usize = 2;
/// What readers are drawn by.
const READER_KEY: &[u8] = b"list";
/// How often it is looked whether a reading is due.
const POLL: Duration = Duration::from_millis(250);

/// Starts the thread that reads the list and hands it to the agent.
pub fn read_list<I: InstanceList>(agent: Arc<FleetAgent>, list: I, is_entry: bool) {
    let run = move || {
        let mut last: Option<Instant> = None;
        let mut is_failing = false;
        loop {
            let interval = interval(&agent.view(), is_entry);
            if last.is_none_or(|last| last.elapsed() >= interval) {
                last = Some(Instant::now());
                let read = list.instances();
                let was_failing = std::mem::replace(&mut is_failing, read.is_err());
                match read {
                    Ok(instances) => agent.on_list(instances.iter().map(listed).collect()),
                    Err(err) => agent.on_list_failed(&err, !was_failing),
                }
            }
            thread::sleep(POLL);
        }
    };
    thread::Builder::new().name("fleet-list".into()).spawn(run).expect("a thread can be started");
}

fn interval(view: &MembershipView, is_entry: bool) -> Duration {
    if view.live().count() <= 1 {
        return ALONE;
    }
    let is_reader = view.named_in(READER_KEY, &view.place, READERS).contains(&view.me);
    if is_reader || is_entry { READER } else { OTHERS }
}

fn listed(instance: &Instance) -> Listed {
    Listed { addr: instance.link, leaving: instance.state == InstanceState::Leaving }
}
