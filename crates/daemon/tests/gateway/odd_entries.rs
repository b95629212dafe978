//! Objects of other writers that are extreme: nested deeply, with numbers or ports out of range, many at once.

use crate::fleet::{KEY, config, fleet, new_request, send};
use crate::gateway_process::wait_for;
use sorrellock_stand_ins::FakeService;
use sorrellock_stand_ins::new_ip;
use std::time::Duration;

/// Kinds whose lists a gateway reads.
const KINDS: [&str; 6] = [
    "servers",
    "sorrellock-gateways",
    "sorrellock-leads",
    "sorrellock-held-requests",
    "sorrellock-first-gateways",
    "config",
];
/// Nesting beyond what a recursive parser bears.
const DEPTH: usize = 200_000;

fn entry(address: &str, slots: &str) -> String {
    format!(
        r#"{{"service":"ledger","address":{address},"zone":"north","version":"v1","slots":{slots},"state":"ready",
        "sequence":1,"cold_remaining_ms":0,"born":1789000000000}}"#
    )
}

/// Returns specs that are odd in one way each.
fn odd_specs() -> Vec<String> {
    let nested = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let mut specs: Vec<String> = [127, 128, 129, 1_000, DEPTH].map(nested).into();
    specs.push(format!("{}1{}", r#"{"a":"#.repeat(DEPTH), "}".repeat(DEPTH)));
    specs.push("[".repeat(DEPTH));
    for address in ["127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1", "[::1]:99999"] {
        specs.push(entry(&format!("\"{address}\""), "6"));
    }
    for slots in ["1e400", "-1", "4294967296", "18446744073709551616", "1e-400", "6.5"] {
        specs.push(entry("\"127.0.0.1:9\"", slots));
    }
    specs.push(entry(&nested(DEPTH), "6"));
    specs.push(entry("\"127.0.0.1:9\"", &"9".repeat(400)));
    specs.push(format!(r#"{{"version":{}}}"#, "9".repeat(400)));
    specs.push(format!(r#"{{"version":18446744073709551615,"routes":{}}}"#, nested(DEPTH)));
    specs
}

/// Reported of other systems: processes that read such an entry ended again and again, or no longer followed the list.
#[test]
fn odd_objects_in_the_lists_at_the_start_and_in_watches_cost_no_other_change() {
    let fleet = fleet();
    for (index, spec) in odd_specs().into_iter().enumerate() {
        for kind in &KINDS[..5] {
            fleet.store.put_raw(kind, &format!("odd-{index}"), spec.clone());
        }
    }
    let mut first = fleet.gateway("one");

    for (index, spec) in odd_specs().into_iter().enumerate() {
        for kind in KINDS {
            fleet.store.put_raw(kind, &format!("late-{index}"), spec.clone());
        }
        let id = format!("ledger-of-{index}");
        let sound = FakeService::start(&id, "ledger", "north", new_ip(), &fleet.store);
        first.wait_for_line(&["\"endpoint joined\"", &id]);
        drop(sound);
    }
    fleet.store.put("config", "main", config(9, &[KEY]));
    first.wait_for_line(&["\"configuration in force\"", "\"version\":9,"]);
    let mut second = fleet.gateway("two");
    first.wait_for_line(&["\"gateway discovered\"", "two"]);

    let answer = send(first.callers(), "/status/a", &new_request(), Some(KEY));
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(!first.has_ended() && !second.has_ended());
}

/// The configuration itself may be odd: the one before stays in force, and a later one follows.
#[test]
fn an_odd_configuration_changes_nothing_and_the_next_one_is_in_force() {
    let fleet = fleet();
    let mut gateway = fleet.gateway("one");
    for (version, spec) in (10..).step_by(10).zip(odd_specs()) {
        fleet.store.put_raw("config", "main", spec);
        wait_for("the odd one to be read", || {
            !gateway.lines(&["\"configuration refused\""]).is_empty()
        });
        let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));
        assert_eq!(answer.status, 200, "{answer:?}");

        fleet.store.put("config", "main", config(version, &[KEY]));
        gateway.wait_for_line(&["\"configuration in force\"", &format!("\"version\":{version},")]);
    }
    std::thread::sleep(Duration::from_millis(100));
    assert!(!gateway.has_ended());
}
