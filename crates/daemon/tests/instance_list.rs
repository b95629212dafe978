//! The list of instances: a reading that fails is counted, and told of once.
//!
//! What an operator saw: while the platform was silent, a process that was new to the fleet knew nobody, and neither its log
//! nor a metric told why.

use sorrellock_core::id::Place;
use sorrellock_core::process::DaemonRole;
use sorrellock_core::request::Peer;
use sorrellock_daemon::process::{
    Count, Counters, FleetAgent, Journal, LogFormat, read_list, set_up_log,
};
use sorrellock_local::next_addr;
use sorrellock_ports::api::{Instance, InstanceList, ListError};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take to happen.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(5);

/// A list that can't be read.
struct Unreadable;

impl InstanceList for Unreadable {
    fn instances(&self) -> Result<Vec<Instance>, ListError> {
        Err(ListError { detail: "GET /v1/instances: no answer".into() })
    }
}

fn agent(counters: &Arc<Counters>, journal: &Arc<Journal>) -> Arc<FleetAgent> {
    let me = Peer { addr: next_addr(), incarnation: 1 };
    let place = Place::from("north");
    let (agent, _) =
        FleetAgent::new(me, place, DaemonRole::Entry, counters.clone(), journal.clone());
    agent
}

#[test]
fn readings_that_fail_are_counted_each_and_told_of_once() {
    set_up_log(LogFormat::Off);
    let (counters, journal) = (Arc::new(Counters::new()), Arc::new(Journal::new()));

    read_list(agent(&counters, &journal), Unreadable, true);
    let until = Instant::now() + PATIENCE;
    while counters.get(Count::ListFailures) < 3 {
        assert!(Instant::now() < until, "failed readings aren't counted");
        thread::sleep(POLL);
    }

    let told: Vec<String> = journal.entries().into_iter().map(|entry| entry.cause).collect();
    assert_eq!(told, ["the list of instances could not be had: GET /v1/instances: no answer"]);
}
