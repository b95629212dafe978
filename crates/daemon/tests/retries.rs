//! Calls to plain services of which some fail: breakers, retries from a budget, urgent first.

use sorrellock_core::version::{Class, Row};
use sorrellock_daemon::entry::process::Entry;
use sorrellock_daemon::process::{Count, Dump};
use sorrellock_local::{
    Caller, CallerAnswer, LocalConfig, LocalFleet, SERVICE, WORKSPACES, write_rows,
};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const WAIT: Duration = Duration::from_secs(8);
const URGENT: (usize, &str) = (1, WORKSPACES[1].0);
const ALL: u64 = 1 << 40;

fn services(count: usize) -> LocalFleet {
    let cfg = LocalConfig::new().with_pipeline(1, 1).with_services(count);
    LocalFleet::start(cfg).expect("a fleet starts")
}

/// A call that may run again.
fn get(caller: &Caller, name: &str) -> CallerAnswer {
    caller.get(&format!("/v1/services/{SERVICE}/{name}")).expect("an answer comes")
}

fn arrived(fleet: &LocalFleet, service: usize) -> u64 {
    fleet.services[service].service.counters().arrived.load(Ordering::Acquire)
}

/// The instance that gets the calls while none waits.
fn preferred(fleet: &LocalFleet, caller: &Caller) -> usize {
    get(caller, "lots");
    usize::from(arrived(fleet, 0) == 0)
}

fn noted(fleet: &LocalFleet, what: &str) -> usize {
    let dump = fleet.entries[0].state().dump();
    let journal = dump["journal"].as_array().expect("a journal");
    journal.iter().filter(|entry| entry["what"] == what).count()
}

fn wait_for(what: &str, mut is_so: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT;
    while !is_so() {
        assert!(Instant::now() < end, "waited in vain: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_failing_instance_is_left_alone_until_it_answers_again() {
    let fleet = services(2);
    let caller = fleet.caller(0, 0);
    let failing = preferred(&fleet, &caller);
    fleet.services[failing].service.lose_answers(ALL);

    let answers: Vec<_> = (0..100).map(|_| get(&caller, "lots")).collect();
    let at_failing = arrived(&fleet, failing);
    let while_open = (noted(&fleet, "breaker opened"), noted(&fleet, "breaker closed"));
    let not_closed = fleet.entries[0].state().dump()["retries"]["not_closed"].to_string();
    fleet.services[failing].service.lose_answers(0);
    wait_for("the breaker closes", || {
        thread::scope(|scope| {
            for _ in 0..8 {
                scope.spawn(|| get(&caller, "lots"));
            }
        });
        noted(&fleet, "breaker closed") == 1
    });

    assert!(answers.iter().all(|answer| answer.status == 200), "{answers:?}");
    assert!(at_failing < 30, "{at_failing} of 100 calls came to the failing instance");
    assert_eq!(while_open, (1, 0));
    assert!(not_closed.contains(SERVICE), "{not_closed}");
    assert!(fleet.entries[0].counter(Count::Retries) >= 5);
}

#[test]
fn where_all_fail_the_budget_ends_and_the_answer_tells_when_to_come_back() {
    let fleet = services(2);
    let caller = fleet.caller(0, 0);
    fleet.services.iter().for_each(|local| local.service.lose_answers(ALL));

    let answers: Vec<_> = (0..100).map(|_| get(&caller, "lots")).collect();

    let retries = fleet.entries[0].counter(Count::Retries);
    assert_eq!(arrived(&fleet, 0) + arrived(&fleet, 1), 100 + retries);
    assert!((5..=20).contains(&retries), "{retries} retries");
    assert!(answers.iter().all(|answer| &answer.outcome[..] == "unknown"), "{answers:?}");
    let last = answers.last().expect("an answer");
    assert!(last.retry_after.is_some(), "{last:?}");
}

#[test]
fn short_deadlines_open_no_breaker_and_longer_ones_do() {
    let fleet = services(1);
    let caller = fleet.caller(0, 0);
    fleet.services[0].service.hang();
    let call_until = |deadline_ms: &str| {
        let headers = [("sorrellock-deadline-ms", deadline_ms)];
        let path = format!("/v1/services/{SERVICE}/lots");
        let send = || caller.send(&path, &headers, "{}").expect("an answer comes").status;
        thread::scope(|scope| (0..8).for_each(|_| drop(scope.spawn(send))));
        fleet.entries[0].counter(Count::BreakersOpened)
    };

    let after_short = call_until("50");
    let after_longer = call_until("1300");

    assert_eq!((after_short, after_longer), (0, 1));
}

#[test]
fn an_urgent_call_passes_routine_calls_that_wait_beside_the_service() {
    let cfg = LocalConfig::new().with_pipeline(1, 1).with_entries(4).with_max_calls(1);
    let fleet = LocalFleet::start(cfg).expect("a fleet starts");
    let urgent_row = Row { class: Class::Urgent, ..Row::new(URGENT.1, "default") };
    write_rows(&fleet.platform, vec![Row::new(WORKSPACES[0].0, "default"), urgent_row]);
    let is_urgent =
        |entry: &Entry| entry.config().view().row(URGENT.1, "default").class == Class::Urgent;
    wait_for("the rows are in force", || fleet.entries.iter().all(is_urgent));
    let local = &fleet.services[0];
    let open = |count: usize| wait_for("a call waits", || local.beside.open_work() == count);
    let arrived = || local.service.counters().arrived.load(Ordering::Acquire);
    local.service.hang();

    thread::scope(|scope| {
        let callers =
            [(0, 0, "first"), (1, 0, "routine"), (2, 0, "routine"), (3, URGENT.0, "urgent")];
        for (at, (entry, workspace, name)) in callers.into_iter().enumerate() {
            let caller = fleet.caller(entry, workspace);
            scope.spawn(move || get(&caller, name));
            open(at + 1);
            // The first call holds the only place before others come.
            wait_for("the first call at the service", || arrived() == 1);
        }
        local.service.unhang();
    });

    let ran: Vec<_> = local.service.record().calls.into_iter().map(|call| call.path).collect();
    let ends = ["first", "urgent", "routine", "routine"];
    assert_eq!(ran.len(), 4, "{ran:?}");
    assert!(ran.iter().zip(ends).all(|(path, end)| path.ends_with(end)), "{ran:?}");
}
