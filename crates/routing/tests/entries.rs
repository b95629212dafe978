//! Faults of entries, and whether an entry must give a start.

mod common;

use common::endpoint;
use sorrellock_routing::process::{
    Endpoint, EntryFault, FaultKind, cut, do_most_give_start, is_start_missing,
};

fn endpoints(with_start: usize, without: usize) -> Vec<Endpoint> {
    let started = (0..with_start).map(|index| endpoint(&format!("t{index}"), Some(5)));
    started.chain((0..without).map(|index| endpoint(&format!("u{index}"), None))).collect()
}

#[test]
fn a_start_is_required_only_if_more_than_half_give_theirs() {
    let table = [(0, 0, false), (0, 9, false), (4, 5, false), (5, 5, false), (5, 4, true)];

    for (with_start, without, expected) in table {
        let is_required = do_most_give_start(&endpoints(with_start, without));

        assert_eq!(is_required, expected, "{with_start} with, {without} without");
    }
}

#[test]
fn an_endpoint_that_gave_its_start_once_must_keep_giving_it() {
    let (started, unstarted) = (endpoint("e", Some(5)), endpoint("e", None));

    assert!(is_start_missing(&unstarted, true, false));
    assert!(is_start_missing(&unstarted, false, true));
    assert!(!is_start_missing(&unstarted, false, false));
    assert!(!is_start_missing(&started, true, true));
}

#[test]
fn found_values_are_truncated_and_show_no_control_characters() {
    let fault =
        EntryFault::malformed("state", &format!("\u{1b}[2J\n{}", "\u{202e}".repeat(900_000)));

    let text = fault.to_string();
    assert!(text.len() < 700, "{} bytes", text.len());
    assert!(text.chars().all(|c| c.is_ascii_graphic() || c == ' '), "{text}");
    assert_eq!((fault.kind(), fault.field()), (FaultKind::Malformed, Some("state")));
    assert_eq!(cut("plain text", 5), "plain... (10 bytes)");
}
