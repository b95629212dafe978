//! Tests which entries a list of all entries reports as missing.

mod common;

use common::endpoint;
use sorrellock_routing::process::knowledge::{EntryState, Knowledge, RefusedEntry};
use sorrellock_routing::process::{Endpoint, EntryFault, Incarnation, Revision};
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

/// Guards against new work for an endpoint beyond the time to leave, as the limit took effect only when paths were computed
/// for another reason.
#[test]
fn an_endpoint_gets_no_work_once_its_entry_was_missing_for_too_long() {
    let mut knowledge = knowledge_of_one();
    let incarnation = endpoint(ID, None).incarnation();
    let now = Instant::now();
    let before = knowledge.next_work_limit(now);
    knowledge.mark_missing(ID, now);

    let limit = knowledge.next_work_limit(now).expect("a limit");
    let just_before = limit - Duration::from_millis(1);
    let may_get_work = [now, just_before, limit].map(|at| knowledge.may_get_work(&incarnation, at));
    let is_open = [just_before, limit].map(|at| knowledge.open_endpoints(at).count() == 1);

    assert_eq!((before, limit - now), (None, Duration::from_millis(1_800)));
    assert_eq!((may_get_work, is_open), ([true, true, false], [true, false]));
    assert_eq!(knowledge.next_work_limit(limit), None);
}

#[test]
fn an_endpoint_whose_entry_is_back_gets_work() {
    let mut knowledge = knowledge_of_one();
    let incarnation = endpoint(ID, None).incarnation();
    let now = Instant::now();
    knowledge.mark_missing(ID, now);

    knowledge.apply_endpoint(endpoint(ID, None), Revision::new(1, 2));

    assert!(knowledge.may_get_work(&incarnation, now + Duration::from_secs(3)));
    assert_eq!(knowledge.next_work_limit(now), None);
}

#[test]
fn a_leaving_endpoint_gets_no_work_nor_does_another_incarnation_of_a_known_one() {
    let mut knowledge = knowledge_of_one();
    let now = Instant::now();
    let incarnation = endpoint(ID, None).incarnation();
    let other = Incarnation { started: Some(7), ..incarnation.clone() };
    let is_other_open = knowledge.may_get_work(&other, now);

    knowledge
        .apply_endpoint(Endpoint { is_leaving: true, ..endpoint(ID, None) }, Revision::new(1, 2));

    assert_eq!((is_other_open, knowledge.may_get_work(&incarnation, now)), (false, false));
}
