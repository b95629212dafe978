//! Tests how a gateway applies departures of a previous store era that another gateway reports.

mod common;

use common::endpoint;
use sorrellock_routing::process::knowledge::Knowledge;
use sorrellock_routing::process::{Incarnation, Revision};
use std::time::{Duration, Instant};

const ID: &str = "endpoint-1";
/// Revision of the endpoint's entry in the copy.
const COPIED: Revision = Revision { era: 2, count: 3 };
/// Revision that the copy reaches up to.
const RESTORED: Revision = Revision { era: 2, count: 5 };
/// Longer than the interval between health checks of an endpoint that left.
const LATER: Duration = Duration::from_secs(4);

fn left() -> Vec<Incarnation> {
    vec![Incarnation::new(ID, None)]
}

/// Returns the knowledge of a gateway that started after the restore and knows only the copied entry.
fn knowledge_of_the_copy(now: Instant) -> Knowledge {
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    knowledge.begin_era(RESTORED, now);
    knowledge.apply_endpoint(endpoint(ID, None), COPIED);
    knowledge.advance(RESTORED);
    knowledge
}

fn is_open(knowledge: &Knowledge, now: Instant) -> bool {
    knowledge.open_endpoints(now).any(|endpoint| endpoint.id == ID)
}

#[test]
fn an_endpoint_of_the_copy_that_another_gateway_knew_to_leave_gets_nothing_new() {
    let now = Instant::now();
    let mut knowledge = knowledge_of_the_copy(now);

    let newly_leaving = knowledge.receive_left(&left(), RESTORED.era, now);
    let again = knowledge.receive_left(&left(), RESTORED.era, now);

    assert_eq!((newly_leaving, again), (left(), vec![]));
    assert!(!is_open(&knowledge, now));
    assert_eq!(knowledge.left_before_era(now + LATER), left());
}

#[test]
fn a_departure_reported_before_the_list_applies_to_the_list() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    knowledge.begin_era(RESTORED, now);

    knowledge.receive_left(&left(), RESTORED.era, now);
    knowledge.apply_endpoint(endpoint(ID, None), COPIED);

    assert!(!is_open(&knowledge, now));
}

#[test]
fn a_departure_of_another_era_changes_nothing() {
    let now = Instant::now();
    let mut knowledge = knowledge_of_the_copy(now);

    for era in [1, 3] {
        assert_eq!(knowledge.receive_left(&left(), era, now), vec![]);
    }

    assert!(is_open(&knowledge, now));
}

#[test]
fn an_endpoint_that_wrote_its_entry_in_the_era_stays_open() {
    let now = Instant::now();
    let mut knowledge = knowledge_of_the_copy(now);
    knowledge.apply_endpoint(endpoint(ID, None), Revision::new(2, RESTORED.count + 1));

    knowledge.receive_left(&left(), RESTORED.era, now);

    assert!(is_open(&knowledge, now));
}

#[test]
fn an_endpoint_in_another_incarnation_than_the_one_that_left_stays_open() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    knowledge.begin_era(RESTORED, now);
    knowledge.apply_endpoint(endpoint(ID, Some(7)), COPIED);

    knowledge.receive_left(&[Incarnation::new(ID, Some(6))], RESTORED.era, now);

    assert!(is_open(&knowledge, now));
}

#[test]
fn a_healthy_endpoint_is_opened_and_stays_so_while_others_report_its_departure() {
    let now = Instant::now();
    let mut knowledge = knowledge_of_the_copy(now);
    knowledge.receive_left(&left(), RESTORED.era, now);

    let probed = knowledge.left_to_probe(now + LATER);
    let is_new = knowledge.mark_healthy(&Incarnation::new(ID, None));
    let received = knowledge.receive_left(&left(), RESTORED.era, now + LATER);

    assert_eq!((probed, is_new, received), (vec![ID.to_owned()], true, vec![]));
    assert!(is_open(&knowledge, now + LATER));
    assert_eq!(knowledge.left_before_era(now + LATER), vec![]);
}

#[test]
fn an_endpoint_that_was_healthy_and_left_before_the_next_restore_is_marked_again() {
    let now = Instant::now();
    let mut knowledge = knowledge_of_the_copy(now);
    knowledge.receive_left(&left(), RESTORED.era, now);
    knowledge.mark_healthy(&Incarnation::new(ID, None));
    let next = Revision::new(3, 4);
    knowledge.begin_era(next, now);
    knowledge.apply_endpoint(endpoint(ID, None), Revision::new(3, 3));

    let newly_leaving = knowledge.receive_left(&left(), next.era, now);

    assert_eq!(newly_leaving, left());
    assert!(!is_open(&knowledge, now));
}

/// Applies the handover of another gateway that has the endpoint as leaving.
fn take_handover(knowledge: &mut Knowledge, now: Instant) {
    let mut other = knowledge_of_the_copy(now);
    other.receive_left(&left(), RESTORED.era, now);
    let handover = other.handover(0, Revision::default(), now);
    knowledge.begin_era(Revision::new(2, handover.era_floor), now);
    for known in handover.endpoints {
        knowledge.apply_endpoint(known.endpoint, known.revision);
    }
    knowledge.receive_left(&handover.left, RESTORED.era, now);
}

#[test]
fn an_endpoint_that_was_handed_over_as_leaving_is_probed() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(Duration::from_secs(2));

    take_handover(&mut knowledge, now);

    assert!(!is_open(&knowledge, now));
    assert_eq!(knowledge.left_to_probe(now + LATER), vec![ID.to_owned()]);
}

#[test]
fn an_endpoint_that_was_healthy_stays_open_where_it_is_handed_over_as_leaving() {
    let now = Instant::now();
    let mut knowledge = knowledge_of_the_copy(now);
    knowledge.receive_left(&left(), RESTORED.era, now);
    knowledge.mark_healthy(&Incarnation::new(ID, None));

    take_handover(&mut knowledge, now);

    assert!(is_open(&knowledge, now));
}

/// The two gateways listed at different times of the era: one takes the entry for the copy's, the other
/// knows that it was written in the era.
#[test]
fn an_endpoint_that_wrote_its_entry_in_the_era_stays_open_where_it_is_handed_over_as_leaving() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    knowledge.begin_era(Revision::new(2, COPIED.count - 1), now);
    knowledge.apply_endpoint(endpoint(ID, None), COPIED);

    take_handover(&mut knowledge, now);

    assert!(is_open(&knowledge, now));
}

#[test]
fn a_departure_whose_endpoint_is_not_listed_is_reported_for_a_while() {
    let now = Instant::now();
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    knowledge.begin_era(RESTORED, now);
    knowledge.receive_left(&left(), RESTORED.era, now);

    let first = knowledge.left_before_era(now);
    let later = knowledge.left_before_era(now + 2 * LATER);

    assert_eq!((first, later), (left(), vec![]));
}
