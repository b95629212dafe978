//! Reads the platform's list of instances: hints at which addresses to ping, for the few daemons that
//! need them.

use crate::process::FleetAgent;
use sorrellock_core::process::membership::{Listed, MembershipView};
use sorrellock_ports::api::{Instance, InstanceList, InstanceState};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a process that knows no other live member reads the list.
const STANDALONE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which the readers of a place and all entries read the list. Entries send work by it.
const READER_INTERVAL: Duration = Duration::from_secs(2);
/// Interval at which all other processes read the list.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(60);
/// Timeout of one read of the list. A list that doesn't answer, or a connection that stays silent, costs a process that
/// knows no other member at most this time. A reader doesn't even miss its next read, as its interval is longer.
pub const LIST_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of members of a place that read the list often.
const READERS: usize = 2;
/// The key by which rendezvous hashing picks the readers of a place.
const READER_KEY: &[u8] = b"list";
/// Interval between checks whether a read is due.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Starts the thread that reads the list and passes it to the agent.
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
            thread::sleep(POLL_INTERVAL);
        }
    };
    thread::Builder::new().name("fleet-list".into()).spawn(run).expect("a thread can be started");
}

fn interval(view: &MembershipView, is_entry: bool) -> Duration {
    if view.live().count() <= 1 {
        return STANDALONE_INTERVAL;
    }
    let is_reader = view.named_in(READER_KEY, &view.place, READERS).contains(&view.me);
    if is_reader || is_entry { READER_INTERVAL } else { DEFAULT_INTERVAL }
}

fn listed(instance: &Instance) -> Listed {
    Listed { addr: instance.link, leaving: instance.state == InstanceState::Leaving }
}
