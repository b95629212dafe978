//! Membership among real processes: one that stands still, and one that restarts at its address.

use crate::daemon_process::{DaemonProcess, wait_until};
use crate::process_fleet::{ProcessFleet, start_beside};
use nix::sys::signal::Signal;
use serde_json::Value;
use sorrellock_local::SERVICE;

/// Index of the daemon beside the service.
const SERVICE_DAEMON: usize = 3;

/// What the entry holds of the daemon beside the service: its incarnation, standing and address.
fn known(fleet: &ProcessFleet) -> Vec<(u64, String, String)> {
    let dump = fleet.dump();
    let members = dump["members"].as_array().cloned().unwrap_or_default();
    let serves = |member: &&Value| member["fact"]["endpoints"][0]["id"] == format!("{SERVICE}-0");
    let tell = |member: &Value| {
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let peer = &member["fact"]["peer"];
        let incarnation = peer["incarnation"].as_u64().unwrap_or_default();
        (incarnation, text(&member["standing"]), text(&peer["addr"]))
    };
    members.iter().filter(serves).map(tell).collect()
}

fn call_is_done(fleet: &ProcessFleet) -> bool {
    let path = format!("/v1/services/{SERVICE}/confirmations");
    let answer = fleet.caller(0).send(&path, &[], "{}");
    answer.is_ok_and(|answer| answer.outcome == "done")
}

#[test]
fn a_stopped_daemon_is_gone_and_back_under_its_incarnation_once_it_goes_on() {
    let fleet = ProcessFleet::start();
    let before = known(&fleet)[0].0;
    let why = || format!("{:?}\n{}", known(&fleet), fleet.dump()["journal"]);

    fleet.beside[SERVICE_DAEMON].signal(Signal::SIGSTOP);
    wait_until(|| known(&fleet)[0].1 == "Gone", why);
    fleet.beside[SERVICE_DAEMON].signal(Signal::SIGCONT);
    wait_until(|| known(&fleet)[0].1 == "Trusted", why);

    assert_eq!(known(&fleet)[0].0, before);
    wait_until(|| call_is_done(&fleet), why);
}

#[test]
fn a_killed_daemon_is_superseded_by_its_restart_at_the_same_address() {
    let mut fleet = ProcessFleet::start();
    let (old, _, addr) = known(&fleet)[0].clone();

    fleet.beside[SERVICE_DAEMON].signal(Signal::SIGKILL);
    fleet.beside[SERVICE_DAEMON].wait();
    let served = format!("--service={SERVICE}-0={SERVICE}@{}", fleet.service.addr());
    let restarted: DaemonProcess = start_beside(addr.parse().unwrap(), &served);
    fleet.beside[SERVICE_DAEMON] = restarted;

    let settled = || {
        let known = known(&fleet);
        let is_gone = |(incarnation, standing, _): &(u64, String, String)| {
            *incarnation != old || standing == "Gone"
        };
        known.iter().all(is_gone) && known.iter().any(|(_, standing, _)| standing == "Trusted")
    };
    wait_until(settled, || format!("{:?}", known(&fleet)));
    wait_until(|| call_is_done(&fleet), || format!("{:?}", known(&fleet)));
}
