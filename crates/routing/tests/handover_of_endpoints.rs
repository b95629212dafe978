//! Endpoints that one gateway hands over to another that knows most of them.

mod common;

use common::endpoint;
use sorrellock_routing::process::Revision;
use sorrellock_routing::process::knowledge::{Handover, HandoverError, Knowledge};
use sorrellock_routing::version::ConfigurationMark;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Bytes that the busiest gateway may send in a second.
const MAX_BYTES: usize = 200_000;
/// What a gateway without a configuration has.
const NO_CONFIGURATION: ConfigurationMark = ConfigurationMark { version: 0, digest: 0 };

/// Returns what a gateway knows that has listed so many endpoints, at a revision of the same count.
fn knowledge(endpoints: u64) -> Knowledge {
    let mut knowledge = Knowledge::new(Duration::from_secs(2));
    for count in 1..=endpoints {
        change(&mut knowledge, &format!("endpoint-{count}"), count);
    }
    knowledge
}

/// Applies a new or changed entry.
fn change(knowledge: &mut Knowledge, id: &str, count: u64) {
    knowledge.apply_endpoint(endpoint(id, None), Revision::new(0, count));
    knowledge.advance(Revision::new(0, count));
}

fn handover(from: &Knowledge, to: &Knowledge) -> Handover {
    from.handover_of_changes(NO_CONFIGURATION, to.endpoints_at(), Instant::now())
}

#[test]
fn a_handover_of_one_changed_endpoint_doesnt_grow_with_the_fleet() {
    for (gateways, endpoints) in [(8, 11), (68, 92), (436, 591), (872, 1_182)] {
        let (mut relay, member) = (knowledge(endpoints), knowledge(endpoints));
        change(&mut relay, "endpoint-3", endpoints + 1);

        let handed = handover(&relay, &member);

        let bytes = serde_json::to_vec(&handed).map_or(0, |buf| buf.len());
        let members = gateways / 5;
        assert!(bytes * members <= MAX_BYTES, "{gateways} gateways: {bytes} bytes to each member");
    }
}

#[test]
fn a_changed_endpoint_and_a_new_one_need_no_list() {
    let (mut relay, member) = (knowledge(20), knowledge(20));
    change(&mut relay, "endpoint-3", 21);
    change(&mut relay, "endpoint-21", 22);

    let resolved = member.resolve(handover(&relay, &member)).expect("it fits");

    assert_eq!(resolved.endpoints.len(), 2);
    let listed: HashSet<String> = resolved.listed.into_iter().collect();
    assert_eq!((listed.len(), member.unlisted(&listed)), (21, vec![]));
}

#[test]
fn after_a_removal_the_whole_list_is_needed() {
    let (mut relay, member) = (knowledge(20), knowledge(20));
    relay.remove_endpoint("endpoint-7", Instant::now());
    change(&mut relay, "endpoint-3", 21);

    let resolved = member.resolve(handover(&relay, &member));

    assert_eq!(resolved.map(|_| ()), Err(HandoverError::OtherEndpoints));
    let whole = relay.handover(0, member.endpoints_at(), Instant::now());
    let listed = whole.listed.into_iter().collect();
    assert_eq!(member.unlisted(&listed), ["endpoint-7"]);
}

#[test]
fn a_gateway_that_has_read_as_far_needs_no_list() {
    let (relay, member) = (knowledge(20), knowledge(20));

    let resolved = member.resolve(handover(&relay, &member)).expect("it fits");

    assert!(resolved.listed.is_empty());
    assert!(resolved.endpoints_at <= member.endpoints_at(), "what it lists isn't applied");
}
