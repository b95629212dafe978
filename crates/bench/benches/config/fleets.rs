//! Time to in force, store calls and bytes in fleets of real daemons.

use crate::figure;
use crate::pages::{name, values};
use hdrhistogram::Histogram;
use sorrellock_core::version::{Column, InForce};
use sorrellock_daemon::process::{ConfigAgent, Dump};
use sorrellock_local::{LocalConfig, LocalFleet, WORKSPACES};
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_ports::config::{ConfigStore, RowEdit};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Numbers of daemons: two entries, the rest beside services.
const SIZES: [usize; 4] = [4, 8, 16, 32];
const ENTRIES: usize = 2;
/// Daemons of the fleet with all workspaces of the target.
const LOADED_SIZE: usize = 8;
const WORKSPACE_COUNT: usize = 18_000;
const CHANGES: u32 = 12;
/// The rest between two changes, longer than the least time between two watches.
const BETWEEN: Duration = Duration::from_millis(150);
/// Of so many changes one is followed until the members tell that it is in force.
const TOLD_OF: u32 = 4;
/// The longest that a change may take.
const MOST: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_micros(200);
/// How long the idle fleet is looked at.
const IDLE: Duration = Duration::from_secs(1);

/// Whether each change came into force everywhere.
pub(crate) fn measure() -> bool {
    let small = SIZES.iter().all(|count| {
        let fleet = start(*count);
        measure_fleet(&fleet, &format!("{count}"), WORKSPACES[0].0)
    });
    small && measure_loaded()
}

fn start(count: usize) -> LocalFleet {
    let cfg = LocalConfig::new().with_pipeline(1, 1).with_entries(ENTRIES);
    LocalFleet::start(cfg.with_services(count - ENTRIES - 1)).expect("the fleet starts")
}

/// A fleet that holds the rows of 18,000 workspaces.
fn measure_loaded() -> bool {
    let fleet = start(LOADED_SIZE);
    let begin = Instant::now();
    let mut last = 0;
    for (page, value) in values(WORKSPACE_COUNT) {
        last = fleet.platform.put_direct(&page.key(), &value);
    }
    let agents = agents(&fleet);
    let has_all = || agents.iter().all(|agent| agent.status().applied >= last);
    if !wait_until(Duration::from_secs(20), has_all) {
        return false;
    }
    figure("import_18000_in_force_ms", begin.elapsed().as_secs_f64() * 1e3, "ms");
    measure_fleet(&fleet, "8.rows_54000", &name(4711))
}

fn measure_fleet(fleet: &LocalFleet, label: &str, workspace: &str) -> bool {
    let agents = agents(fleet);
    let store = HttpObjectStore::new(fleet.platform.addr());
    let operator = ConfigStore::new(store, "operator");
    let (calls, bytes) = (store_calls(fleet), bytes_sent(fleet));
    thread::sleep(IDLE);
    let per_s = |now: u64, before: u64| (now - before) as f64 / IDLE.as_secs_f64();
    figure(&format!("idle_store_calls_per_s.{label}"), per_s(store_calls(fleet), calls), "1/s");
    let idle_bytes = per_s(bytes_sent(fleet), bytes);
    figure(&format!("idle_bytes_per_s_daemon.{label}"), idle_bytes / agents.len() as f64, "B/s");
    let mut times = Histogram::<u64>::new(3).unwrap();
    let mut told = Histogram::<u64>::new(3).unwrap();
    let (calls, bytes, begin) = (store_calls(fleet), bytes_sent(fleet), Instant::now());
    for number in 0..CHANGES {
        thread::sleep(BETWEEN);
        let weight = f64::from(number) + 2.0;
        let edit = RowEdit::new(workspace, "default").with_cell(Column::Weight, weight.to_string());
        let report = operator.set(&[edit], None).expect("the change is accepted");
        let accepted = Instant::now();
        let revision = report.revision();
        let has =
            |agent: &Arc<ConfigAgent>| agent.view().row(workspace, "default").weight == weight;
        if !wait_until(MOST, || agents.iter().all(has)) {
            return false;
        }
        times.record(accepted.elapsed().as_micros() as u64).unwrap();
        if number % TOLD_OF != 0 {
            continue;
        }
        let everywhere = || {
            let view = fleet.entries[0].members();
            InForce::count(view.members(), revision).is_everywhere()
        };
        if !wait_until(MOST, everywhere) {
            return false;
        }
        told.record(accepted.elapsed().as_micros() as u64).unwrap();
    }
    let ms = |times: &Histogram<u64>, at: f64| times.value_at_quantile(at) as f64 / 1e3;
    figure(&format!("in_force_ms.p50.{label}"), ms(&times, 0.5), "ms");
    figure(&format!("in_force_ms.p99.{label}"), ms(&times, 0.99), "ms");
    figure(&format!("told_in_force_ms.p50.{label}"), ms(&told, 0.5), "ms");
    figure(&format!("told_in_force_ms.p99.{label}"), ms(&told, 0.99), "ms");
    let changes = f64::from(CHANGES);
    let calls = (store_calls(fleet) - calls) as f64 / changes;
    figure(&format!("store_calls_per_change.{label}"), calls, "calls");
    // Membership's own traffic, as it was while nothing changed, is taken off.
    let idle = idle_bytes * begin.elapsed().as_secs_f64();
    let bytes = ((bytes_sent(fleet) - bytes) as f64 - idle) / changes / agents.len() as f64;
    figure(&format!("bytes_per_change_daemon.{label}"), bytes, "B");
    true
}

fn agents(fleet: &LocalFleet) -> Vec<Arc<ConfigAgent>> {
    let entries = fleet.entries.iter().map(|entry| entry.config().clone());
    let engines = fleet.engines.iter().map(|engine| engine.beside.config().clone());
    let services = fleet.services.iter().map(|service| service.beside.config().clone());
    entries.chain(engines).chain(services).collect()
}

/// Reads of the store for configuration: gets, lists and watches, the operator's own included.
fn store_calls(fleet: &LocalFleet) -> u64 {
    let counters = fleet.platform.counters();
    let read = |counter: &std::sync::atomic::AtomicU64| counter.load(Ordering::Relaxed);
    read(&counters.gets) + read(&counters.lists) + read(&counters.watches)
}

fn bytes_sent(fleet: &LocalFleet) -> u64 {
    let of = |dump: serde_json::Value| dump["link"]["bytes_sent"].as_u64().unwrap_or_default();
    let entries = fleet.entries.iter().map(|entry| of(entry.state().dump()));
    let engines = fleet.engines.iter().map(|engine| of(engine.beside.state().dump()));
    let services = fleet.services.iter().map(|service| of(service.beside.state().dump()));
    entries.chain(engines).chain(services).sum()
}

fn wait_until(most: Duration, holds: impl Fn() -> bool) -> bool {
    let end = Instant::now() + most;
    while !holds() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}
