//! Configuration in a whole fleet: in force everywhere, operators that race, outages, old copies.

use sorrellock_core::id::Revision;
use sorrellock_core::version::{Class, Column, InForce, Item, PageId, Row};
use sorrellock_daemon::entry::process::{Entry, EntrySettings};
use sorrellock_daemon::process::{ConfigAgent, Count, Dump, LogFormat, set_up_log};
use sorrellock_fakes::Outage;
use sorrellock_local::{LocalConfig, LocalFleet, PLACE, WORKSPACES, next_addr};
use sorrellock_ports::client::HttpObjectStore;
use sorrellock_ports::config::{ConfigError, ConfigStore, RowEdit};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long anything may take to happen.
const PATIENCE: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(5);
const WORKSPACE: &str = WORKSPACES[0].0;
const KIND: &str = "default";

fn fleet() -> LocalFleet {
    set_up_log(LogFormat::Off);
    let cfg = LocalConfig::new().with_pipeline(2, 1).with_entries(2).with_services(1);
    LocalFleet::start(cfg).unwrap()
}

fn operator(fleet: &LocalFleet, name: &str) -> ConfigStore<HttpObjectStore> {
    ConfigStore::new(HttpObjectStore::new(fleet.platform.addr()), name)
}

fn edit(column: Column, value: &str) -> RowEdit {
    RowEdit::new(WORKSPACE, KIND).with_cell(column, value)
}

/// Sets a weight, and returns the revision from which it holds.
fn set_weight(fleet: &LocalFleet, weight: &str) -> Revision {
    let report = operator(fleet, "anna").set(&[edit(Column::Weight, weight)], None).unwrap();
    report.into_result().unwrap().revision()
}

fn agents(fleet: &LocalFleet) -> Vec<Arc<ConfigAgent>> {
    let entries = fleet.entries.iter().map(|entry| entry.config().clone());
    let engines = fleet.engines.iter().map(|engine| engine.beside.config().clone());
    let services = fleet.services.iter().map(|service| service.beside.config().clone());
    entries.chain(engines).chain(services).collect()
}

fn weight(agent: &ConfigAgent) -> f64 {
    agent.view().row(WORKSPACE, KIND).weight
}

fn wait_until(holds: impl Fn() -> bool, what: &str) {
    let end = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < end, "{what}");
        thread::sleep(POLL);
    }
}

fn wait_for_weight(agents: &[Arc<ConfigAgent>], wanted: f64) {
    let all = || agents.iter().all(|agent| weight(agent) == wanted);
    wait_until(all, "the weight is not in force everywhere");
}

fn new_entry(fleet: &LocalFleet) -> Entry {
    let settings = EntrySettings::new(PLACE, next_addr(), next_addr(), fleet.platform.addr());
    Entry::start(settings).unwrap()
}

fn page() -> PageId {
    Row::new(WORKSPACE, KIND).page()
}

#[test]
fn a_change_is_in_force_at_entries_and_besides_and_counted() {
    let fleet = fleet();
    let agents = agents(&fleet);

    let urgent = edit(Column::Class, "urgent").with_cell(Column::Weight, "2.5");
    let report = operator(&fleet, "anna").set(&[urgent], None).unwrap();
    let revision = report.into_result().unwrap().revision();

    wait_for_weight(&agents, 2.5);
    assert!(agents.iter().all(|agent| agent.view().row(WORKSPACE, KIND).class == Class::Urgent));
    let in_force = || {
        let view = fleet.entries[0].members();
        InForce::count(view.members(), revision)
    };
    let everywhere = || in_force().is_everywhere() && in_force().of == agents.len();
    wait_until(everywhere, "not all members tell that it is in force");
}

#[test]
fn of_two_operators_that_saw_the_same_one_wins_and_the_other_is_told_who() {
    let fleet = fleet();
    let seen = set_weight(&fleet, "2");
    let race = |name: &'static str, weight: &'static str| {
        let operator = operator(&fleet, name);
        move || {
            let result = operator.set(&[edit(Column::Weight, weight)], Some(seen));
            result.and_then(|report| report.into_result())
        }
    };

    let (anna, ben) = thread::scope(|scope| {
        let anna = scope.spawn(race("anna", "3"));
        let ben = scope.spawn(race("ben", "4"));
        (anna.join().unwrap(), ben.join().unwrap())
    });

    let (winner, wanted, err) = match (anna, ben) {
        (Ok(_), Err(err)) => ("anna", 3.0, err),
        (Err(err), Ok(_)) => ("ben", 4.0, err),
        both => panic!("one wins: {both:?}"),
    };
    let ConfigError::Clash { winner: told, .. } = err else { panic!("{err}") };
    assert_eq!(told.by, winner);
    wait_for_weight(&agents(&fleet), wanted);
}

#[test]
fn a_new_entry_starts_from_its_peers_while_the_store_is_down() {
    let fleet = fleet();
    set_weight(&fleet, "2");
    wait_for_weight(&agents(&fleet), 2.0);
    fleet.platform.set_list_stays(true);
    fleet.platform.set_outage(Outage::Refuse);

    let entry = new_entry(&fleet);

    wait_until(|| entry.config().is_ready(), "the entry is not ready");
    assert_eq!(weight(entry.config()), 2.0);
    entry.stop();
}

#[test]
fn an_entry_without_store_and_peers_is_not_ready() {
    let fleet = fleet();
    fleet.platform.set_outage(Outage::Refuse);

    let entry = new_entry(&fleet);
    let tried = || entry.counter(Count::ConfigStoreFailures) >= 3;
    wait_until(tried, "the entry does not ask the store");

    assert!(!entry.config().is_ready());
    entry.stop();
}

#[test]
fn a_new_entry_on_an_old_copy_of_the_store_does_not_go_back() {
    let fleet = fleet();
    set_weight(&fleet, "2");
    wait_for_weight(&agents(&fleet), 2.0);
    fleet.platform.set_stale_reads(true);
    set_weight_past_old_copy(&fleet);

    let entry = new_entry(&fleet);
    wait_until(|| entry.config().is_ready(), "the entry is not ready");

    assert_eq!(weight(entry.config()), 3.0);
    entry.stop();
}

/// Writes weight 3 while the store reads from an old copy, and waits until peers have it.
fn set_weight_past_old_copy(fleet: &LocalFleet) {
    fleet.platform.set_stale_reads(false);
    set_weight(fleet, "3");
    wait_for_weight(&agents(fleet), 3.0);
    fleet.platform.set_stale_reads(true);
}

#[test]
fn a_bad_page_is_refused_told_and_mended() {
    let fleet = fleet();
    set_weight(&fleet, "2");
    let agents = agents(&fleet);
    wait_for_weight(&agents, 2.0);

    let bad = fleet.platform.put_direct(&page().key(), b"{\"items\":[{}]}");

    let told =
        |agent: &ConfigAgent| agent.status().troubles.refused.get(&page().key()) == Some(&bad);
    wait_until(|| agents.iter().all(|agent| told(agent)), "the bad page is not told everywhere");
    assert!(agents.iter().all(|agent| weight(agent) == 2.0));
    let entries = fleet.entries.iter().map(|entry| entry.state().dump().to_string());
    let besides = fleet.engines.iter().map(|engine| engine.beside.state().dump().to_string());
    let services = fleet.services.iter().map(|service| service.beside.state().dump().to_string());
    assert!(entries.chain(besides).chain(services).any(|dump| dump.contains("page refused")));
    let mended =
        sorrellock_core::version::Page::new(Default::default(), vec![Row::new(WORKSPACE, KIND)]);
    fleet.platform.put_direct(&page().key(), &serde_json::to_vec(&mended).unwrap());
    wait_for_weight(&agents, 1.0);
    wait_until(
        || agents.iter().all(|agent| agent.status().troubles.refused.is_empty()),
        "the mended page is still told as bad",
    );
}

#[test]
fn when_the_watchers_end_others_watch() {
    let fleet = fleet();
    wait_until(
        || agents(&fleet).iter().filter(|agent| agent.status().watching).count() == 2,
        "two daemons of the place don't watch",
    );
    let rest: Vec<_> =
        agents(&fleet).into_iter().filter(|agent| !agent.status().watching).collect();
    for entry in fleet.entries.iter().filter(|entry| entry.config().status().watching) {
        entry.stop();
    }
    let besides = fleet.engines.iter().map(|engine| &engine.beside);
    let besides = besides.chain(fleet.services.iter().map(|service| &service.beside));
    for beside in besides.filter(|beside| beside.config().status().watching) {
        beside.stop();
    }

    set_weight(&fleet, "7");

    wait_for_weight(&rest, 7.0);
    assert!(rest.iter().any(|agent| agent.status().watching));
}
