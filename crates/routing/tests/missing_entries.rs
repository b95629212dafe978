//! Tests which entries a list of all entries reports as missing.

mod common;

use common::endpoint;
use sorrellock_routing::process::knowledge::{EntryState, Knowledge, RefusedEntry};
use sorrellock_routing::process::{EntryFault, Revision};
use std::collections::HashSet;
use std::time::{Duration, Instant};

const ID: &str = "endpoint-1";
const SHORTLY: Duration = Duration::from_millis(500);

/// Returns the knowledge of one endpoint, whose entry has revision 1.
fn knowledge_of_one() -> Knowledge {
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    knowledge.apply_endpoint(endpoint(ID, None), Revision::new(1, 1));
    knowledge
}

fn entry_state(knowledge: &Knowledge) -> EntryState {
    knowledge.known_endpoints().next().expect("it is known").entry.clone()
}

/// Guards against repeated log lines and health checks for the same missing entry when the store fails
/// several times in a row. Each list reported all entries that it didn't contain, including those already
/// known to be missing.
#[test]
fn an_entry_that_is_known_to_be_missing_is_not_reported_again() {
    let mut knowledge = knowledge_of_one();
    let now = Instant::now();

    let first = knowledge.mark_unlisted(&HashSet::new(), now);
    let second = knowledge.mark_unlisted(&HashSet::new(), now + SHORTLY);

    assert_eq!((first, second), (vec![ID.to_owned()], vec![]));
    assert_eq!(entry_state(&knowledge), EntryState::MissingSince(now));
}

/// Guards against a health check for an entry that was unusable before it was gone, as a healthy endpoint
/// doesn't make its entry usable.
#[test]
fn an_entry_that_could_not_be_used_is_not_reported_as_missing() {
    let mut knowledge = knowledge_of_one();
    let now = Instant::now();
    let fault = EntryFault::malformed("state", "sideways");
    knowledge.refuse_endpoint(ID, RefusedEntry::new(Revision::new(1, 2), fault.clone()), now);

    let missing = knowledge.mark_unlisted(&HashSet::new(), now + SHORTLY);

    assert_eq!(missing, Vec::<String>::new());
    assert_eq!(entry_state(&knowledge), EntryState::UnusableSince(now, fault));
}

#[test]
fn an_entry_that_came_back_and_is_missing_once_more_is_reported_once_more() {
    let mut knowledge = knowledge_of_one();
    let now = Instant::now();
    knowledge.mark_unlisted(&HashSet::new(), now);
    knowledge.apply_endpoint(endpoint(ID, None), Revision::new(1, 3));

    let missing = knowledge.mark_unlisted(&HashSet::new(), now + SHORTLY);

    assert_eq!(missing, vec![ID.to_owned()]);
    assert_eq!(entry_state(&knowledge), EntryState::MissingSince(now + SHORTLY));
}
