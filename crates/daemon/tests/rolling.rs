//! Replacement of every instance of a small fleet, one after another, under load: nothing is lost.

use sorrellock_daemon::entry::process::Entry;
use sorrellock_daemon::process::{LogFormat, set_up_log};
use sorrellock_fakes::{FakeService, expected_text};
use sorrellock_local::{Caller, LocalConfig, LocalFleet, MODEL, SERVICE, WORKSPACES};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::thread;
use std::time::Duration;

/// Tokens of each answer.
const TOKENS: u32 = 40;
/// How long callers wait before they send again what did not run.
const AGAIN: Duration = Duration::from_millis(20);
/// How often the balancer looks which entries are ready.
const BALANCER_POLL: Duration = Duration::from_millis(20);
/// How long an entry may take to leave.
const DRAIN: Duration = Duration::from_secs(20);

/// What callers share, as behind a balancer.
#[derive(Default)]
struct Load {
    entries: RwLock<Vec<SocketAddr>>,
    ready: RwLock<Vec<SocketAddr>>,
    ended: AtomicBool,
    next: AtomicU64,
    streams: AtomicU64,
    calls: Mutex<BTreeMap<u64, CallFate>>,
    faults: Mutex<Vec<String>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallFate {
    Done,
    NotRun,
}

impl Load {
    /// Sends callers only to entries whose `/readyz` says so.
    fn balance(&self) {
        while !self.ended.load(Ordering::Acquire) {
            let all = self.entries.read().unwrap().clone();
            let is_ready = |entry: &SocketAddr| {
                let answer = Caller::new(*entry, "").get("/readyz");
                answer.is_ok_and(|answer| answer.status == 200)
            };
            *self.ready.write().unwrap() = all.into_iter().filter(is_ready).collect();
            thread::sleep(BALANCER_POLL);
        }
    }

    fn pick(&self, callers: &mut BTreeMap<SocketAddr, Caller>) -> Option<(u64, Caller)> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let ready = self.ready.read().unwrap();
        let entry = *ready.get(number as usize % ready.len().max(1))?;
        let key = WORKSPACES[number as usize % 2].1;
        let caller = callers.entry(entry).or_insert_with(|| Caller::new(entry, key));
        Some((number, caller.clone()))
    }

    fn fault(&self, fault: String) {
        self.faults.lock().unwrap().push(fault);
    }

    /// Streams answers until the end; what did not run is sent again.
    fn stream(&self, layers: u16) {
        let mut callers = BTreeMap::new();
        while !self.ended.load(Ordering::Acquire) {
            let Some((number, caller)) = self.pick(&mut callers) else {
                thread::sleep(AGAIN);
                continue;
            };
            let prompt = format!("Explain break {number}.");
            let tokens: Vec<u32> = prompt.bytes().map(u32::from).collect();
            match caller.stream(MODEL, &prompt, TOKENS, |_| {}) {
                Ok(text) if text == expected_text(&tokens, layers, TOKENS).1 => {
                    self.streams.fetch_add(1, Ordering::Relaxed);
                }
                Ok(text) => self.fault(format!("stream {number}: {text}")),
                Err(err) if format!("{err:#}").contains(r#""outcome":"not-run""#) => {
                    thread::sleep(AGAIN);
                }
                Err(err) => self.fault(format!("stream {number}: {err:#}")),
            }
        }
    }

    /// Calls that may not be repeated, each under a number of its own.
    fn call(&self) {
        let mut callers = BTreeMap::new();
        while !self.ended.load(Ordering::Acquire) {
            let Some((number, caller)) = self.pick(&mut callers) else {
                thread::sleep(AGAIN);
                continue;
            };
            let path = format!("/v1/services/{SERVICE}/confirmations/{number}");
            let fate = match caller.send(&path, &[], "{}") {
                Ok(answer) if answer.outcome == "done" => CallFate::Done,
                Ok(answer) if answer.outcome == "not-run" => CallFate::NotRun,
                Ok(answer) => {
                    self.fault(format!("call {number}: {} {}", answer.status, answer.body));
                    continue;
                }
                Err(err) => {
                    self.fault(format!("call {number}: {err:#}"));
                    continue;
                }
            };
            self.calls.lock().unwrap().insert(number, fate);
            if fate == CallFate::NotRun {
                thread::sleep(AGAIN);
            }
        }
    }
}

/// How often each numbered call ran at any of the services.
fn runs<'a>(services: impl IntoIterator<Item = &'a FakeService>) -> BTreeMap<u64, usize> {
    let mut runs = BTreeMap::new();
    for service in services {
        for call in service.record().calls {
            let number = call.path.rsplit('/').next().and_then(|text| text.parse().ok());
            *runs.entry(number.expect("each path ends with a number")).or_default() += 1;
        }
    }
    runs
}

fn replace_entry(fleet: &mut LocalFleet, load: &Load, index: usize) {
    let old: Entry = fleet.replace_entry(index).unwrap();
    load.entries.write().unwrap().push(fleet.entries[index].callers());
    assert!(old.drain(DRAIN), "an entry did not end");
    load.entries.write().unwrap().retain(|entry| *entry != old.callers());
}

#[test]
fn a_rolling_replacement_of_a_whole_fleet_loses_nothing() {
    set_up_log(LogFormat::Off);
    let cfg = LocalConfig::new().with_pipeline(2, 2).with_entries(2).with_services(2);
    let layers = cfg.layers;
    let mut fleet = LocalFleet::start(cfg).unwrap();
    let load = Arc::new(Load::default());
    load.entries.write().unwrap().extend(fleet.entries.iter().map(Entry::callers));
    let spawn = |work: fn(&Load, u16)| {
        let load = load.clone();
        thread::spawn(move || work(&load, layers))
    };
    let mut threads = vec![spawn(|load, _| load.balance())];
    threads.extend((0..4).map(|_| spawn(|load, layers| load.stream(layers))));
    threads.extend((0..3).map(|_| spawn(|load, _| load.call())));

    let mut retired = Vec::new();
    for index in 0..fleet.engines.len() {
        fleet.replace_engine(index).unwrap().engine.stop();
    }
    for index in 0..fleet.services.len() {
        retired.push(fleet.replace_service(index).unwrap().service);
    }
    for index in 0..fleet.entries.len() {
        replace_entry(&mut fleet, &load, index);
    }
    load.ended.store(true, Ordering::Release);
    threads.into_iter().for_each(|thread| thread.join().unwrap());

    let faults = load.faults.lock().unwrap();
    assert!(faults.is_empty(), "{} lost: {:#?}", faults.len(), &faults[..faults.len().min(5)]);
    assert!(load.streams.load(Ordering::Relaxed) > 0);
    let services = retired.iter().chain(fleet.services.iter().map(|local| &local.service));
    let runs = runs(services);
    let calls = load.calls.lock().unwrap();
    let done = calls.values().filter(|fate| **fate == CallFate::Done).count();
    println!(
        "{} streams, {done} of {} calls done",
        load.streams.load(Ordering::Relaxed),
        calls.len()
    );
    assert!(done > 0);
    for (number, fate) in calls.iter() {
        let expected = usize::from(*fate == CallFate::Done);
        assert_eq!(runs.get(number).copied().unwrap_or(0), expected, "call {number}: {fate:?}");
    }
}
