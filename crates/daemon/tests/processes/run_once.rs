//! Holders of the ledger are killed and stopped, and the store goes out, while callers send calls
//! with a key and send them again through other entries: at most one run a key, one outcome each.

use crate::daemon_process::{DaemonProcess, wait_until};
use crate::process_fleet::{dump, instance, start_entry};
use nix::sys::signal::Signal;
use sorrellock_core::version::{Row, Workspace};
use sorrellock_fakes::{FakePlatform, FakeService, Outage, PlatformConfig, ServiceConfig};
use sorrellock_local::{
    Caller, CallerAnswer, PLACE, SERVICE, WORKSPACES, next_addr, write_rows, write_workspaces,
};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// Entries that callers ask, and that stay.
const CALLED: usize = 2;
/// Entries that keep shards, and are killed or stopped.
const VICTIMS: usize = 4;
const SERVICES: usize = 2;
const CALLERS: usize = 6;
/// How often a caller sends a key, at most.
const TRIES: usize = 6;
/// The pause of a caller after a refusal. Without one, the keys refused in an outage outnumber
/// the others by as much as the machine is fast.
const PAUSE: Duration = Duration::from_millis(10);

struct Fleet {
    platform: FakePlatform,
    services: Vec<FakeService>,
    besides: Vec<DaemonProcess>,
    _called: Vec<DaemonProcess>,
    callers: Vec<SocketAddr>,
    victims: Vec<DaemonProcess>,
}

fn start() -> Fleet {
    let platform = FakePlatform::start(PlatformConfig::new(next_addr())).unwrap();
    let (id, key) = WORKSPACES[0];
    write_workspaces(&platform, vec![Workspace::new(id, key, vec![SERVICE.to_owned()])]);
    write_rows(&platform, vec![Row::new(id, "default")]);
    let services: Vec<FakeService> = (0..SERVICES)
        .map(|_| FakeService::start(ServiceConfig::new(next_addr())).unwrap())
        .collect();
    let mut links = Vec::new();
    let mut link = || {
        links.push(next_addr());
        links[links.len() - 1]
    };
    let besides = services.iter().enumerate();
    let besides =
        besides.map(|(n, service)| start_beside(n, service.addr(), &platform, link())).collect();
    let addrs: Vec<(SocketAddr, SocketAddr)> =
        (0..CALLED + VICTIMS).map(|_| (next_addr(), next_addr())).collect();
    let start = |(callers, operators): &(SocketAddr, SocketAddr)| {
        start_entry(*callers, *operators, platform.addr(), link())
    };
    let mut called: Vec<DaemonProcess> = addrs.iter().map(start).collect();
    let victims = called.split_off(CALLED);
    platform.set_instances(links.iter().map(|link| instance(*link)).collect());
    let callers: Vec<SocketAddr> = addrs[..CALLED].iter().map(|(callers, _)| *callers).collect();
    for (_, operators) in &addrs {
        let known = || dump(*operators)["fleet"].as_array().map_or(0, Vec::len);
        wait_until(|| known() >= SERVICES, || format!("{operators} does not know the daemons"));
    }
    for caller in &callers {
        let caller = Caller::new(*caller, key);
        let ready = || caller.get("/readyz").is_ok_and(|answer| answer.status == 200);
        wait_until(ready, || "an entry is not ready".into());
    }
    Fleet { platform, services, besides, _called: called, callers, victims }
}

fn start_beside(
    number: usize,
    service: SocketAddr,
    platform: &FakePlatform,
    link: SocketAddr,
) -> DaemonProcess {
    let args = [
        format!("--link={link}"),
        format!("--platform={}", platform.addr()),
        format!("--service={SERVICE}-{number}={SERVICE}@{service}"),
    ];
    let mut all = vec!["beside", "--place", PLACE];
    all.extend(args.iter().map(String::as_str));
    DaemonProcess::start(&all, &[])
}

/// All answers to one key, in order.
type Answers = Vec<CallerAnswer>;

/// Sends keys, each again through the other entry until it is done, until told to end.
fn call(fleet: &Fleet, number: usize, end: &AtomicBool) -> Vec<(String, Answers)> {
    let callers: Vec<Caller> =
        fleet.callers.iter().map(|addr| Caller::new(*addr, WORKSPACES[0].1)).collect();
    let path = format!("/v1/services/{SERVICE}/confirmations");
    let mut all = Vec::new();
    for sequence in 0.. {
        if end.load(Ordering::Acquire) {
            break;
        }
        let key = format!("trade-{number}-{sequence}");
        let headers = [("idempotency-key", key.as_str()), ("sorrellock-deadline-ms", "4000")];
        let mut answers = Answers::new();
        for attempt in 0..TRIES {
            let caller = &callers[(number + attempt) % callers.len()];
            let answer = caller.send(&path, &headers, "{}").expect("an entry that stays answers");
            let done = answer.status == 200;
            let refused = answer.outcome == "not-run";
            answers.push(answer);
            if refused {
                thread::sleep(PAUSE);
            }
            if done && attempt > 0 {
                break;
            }
        }
        all.push((key, answers));
    }
    all
}

/// Sends a key to one entry until it is done, now that nothing is out, stopped or killed any more.
fn call_when_well(fleet: &Fleet, entry: usize) -> (String, Answers) {
    let caller = Caller::new(fleet.callers[entry], WORKSPACES[0].1);
    let path = format!("/v1/services/{SERVICE}/confirmations");
    let key = format!("trade-well-{entry}");
    let headers = [("idempotency-key", key.as_str()), ("sorrellock-deadline-ms", "4000")];
    let answers = RefCell::new(Answers::new());
    let is_done = || {
        let answer = caller.send(&path, &headers, "{}").expect("an entry that stays answers");
        let done = answer.status == 200;
        answers.borrow_mut().push(answer);
        done
    };
    wait_until(is_done, || format!("{key} is never done: {:?}", answers.borrow().last()));
    (key, answers.into_inner())
}

/// What is done to the fleet, two things at a time.
fn disturb(fleet: &Fleet) {
    thread::sleep(Duration::from_millis(500));
    fleet.victims[0].signal(Signal::SIGKILL);
    fleet.victims[1].signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(1_200));
    fleet.victims[1].signal(Signal::SIGCONT);
    fleet.platform.set_outage(Outage::Refuse);
    fleet.victims[2].signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(500));
    fleet.platform.set_outage(Outage::None);
    fleet.platform.lose_answers(20);
    fleet.victims[2].signal(Signal::SIGCONT);
    fleet.victims[3].signal(Signal::SIGKILL);
    thread::sleep(Duration::from_millis(500));
    fleet.besides[0].signal(Signal::SIGSTOP);
    thread::sleep(Duration::from_millis(800));
    fleet.besides[0].signal(Signal::SIGCONT);
    fleet.services[1].lose_answers(3);
    thread::sleep(Duration::from_millis(700));
}

/// Ends what a slow machine has not used up by now: an answer that is still to be lost would be that of a later call.
fn calm(fleet: &Fleet) {
    fleet.platform.lose_answers(0);
    fleet.services.iter().for_each(|service| service.lose_answers(0));
}

#[test]
fn each_key_runs_at_most_once_while_holders_die_and_stop() {
    let fleet = start();
    let end = AtomicBool::new(false);

    let mut all: Vec<(String, Answers)> = thread::scope(|scope| {
        let (fleet, end) = (&fleet, &end);
        let callers: Vec<_> =
            (0..CALLERS).map(|number| scope.spawn(move || call(fleet, number, end))).collect();
        disturb(fleet);
        end.store(true, Ordering::Release);
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    });

    calm(&fleet);
    all.extend((0..fleet.callers.len()).map(|entry| call_when_well(&fleet, entry)));

    let runs = |key: &str| fleet.services.iter().map(|service| service.record().runs_of(key)).sum();
    let mut outcomes: BTreeMap<String, usize> = BTreeMap::new();
    let mut titles: BTreeMap<String, usize> = BTreeMap::new();
    for (key, answers) in &all {
        let ran: u64 = runs(key);
        let done: Vec<&str> =
            answers.iter().filter(|answer| answer.status == 200).map(|a| a.body.as_str()).collect();
        assert!(ran <= 1, "{key} ran {ran} times: {answers:?}");
        assert!(done.is_empty() || ran == 1, "{key} is done and did not run");
        assert!(done.iter().all(|body| *body == done[0]), "{key} has several answers: {done:?}");
        let not_run = |answer: &CallerAnswer| answer.outcome == "not-run";
        assert!(!answers.iter().all(not_run) || ran == 0, "{key} ran, and is `not run` each time");
        for answer in answers {
            assert!(!not_run(answer) || answer.retry_after.is_some(), "{answer:?}");
            *outcomes.entry(answer.outcome.clone()).or_default() += 1;
            let title = answer.json()["title"].as_str().unwrap_or("an answer").to_owned();
            *titles.entry(title).or_default() += 1;
        }
    }
    println!("{} keys, outcomes {outcomes:?}, {titles:?}", all.len());
    assert!(outcomes["done"] > all.len() / 2, "{outcomes:?}, {titles:?}");
    assert!(outcomes.keys().all(|outcome| ["done", "not-run", "unknown"].contains(&&**outcome)));
}
