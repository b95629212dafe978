//! An attempt of a call that may run twice is abandoned for patience before another one has answered.
//!
//! What callers saw: 502 for a call half a second after it was sent, with most of its time left, while its endpoint was about to answer.
//!
//! The order of events: a gateway sends the call to an endpoint that is slow, as under load. After the route's target latency, or 40 % of the
//! time that is left, it closes that connection, as the route allows a second attempt. Then it finds that there is no other endpoint or no
//! retry budget, or the second endpoint refuses the call or loses its answer.
//!
//! The evidence: the first endpoint has run the call to its end and answers after 1.2 s; the time limit of the attempt was set before anything
//! was known of a second one.

use crate::fleet::{Answer, Fleet, KEY, config, fleet, new_request, send};
use crate::gateway_process::GatewayProcess;
use sorrellock_stand_ins::{FakeService, ServiceMode, new_ip};
use std::time::Duration;

/// Beyond the target latency of 500 ms, far below the timeout of 20 s.
const SLOW: Duration = Duration::from_millis(1_200);

/// Starts a second endpoint, in another data centre: the first one is tried first.
fn add_second(fleet: &Fleet, gateway: &GatewayProcess) -> FakeService {
    add_endpoint("ledger-2", fleet, gateway)
}

fn add_endpoint(id: &str, fleet: &Fleet, gateway: &GatewayProcess) -> FakeService {
    let endpoint = FakeService::start(id, "ledger", "south", new_ip(), &fleet.store);
    gateway.wait_for_line(&["\"endpoint joined\"", id]);
    endpoint.expect("an endpoint")
}

/// Sends a call to a slow endpoint beside two others that refuse it, with a route that allows `max_attempts`. How many of these it reached.
fn others_reached(max_attempts: u32) -> usize {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let mut cfg = config(2, &[KEY]);
    cfg["routes"][2]["max_attempts"] = max_attempts.into();
    fleet.store.put("config", "main", cfg);
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
    let others = ["ledger-2", "ledger-3"].map(|id| add_endpoint(id, &fleet, &gateway));
    others.iter().for_each(|other| other.set_mode(ServiceMode::Refuses));
    fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));
    let request = new_request();

    let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));

    assert_answered_by_first(&fleet, &request, &answer);
    others.iter().filter(|other| other.requests() > 0).count()
}

fn assert_answered_by_first(fleet: &Fleet, request: &str, answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.signature.as_deref(), Some("ledger-1"));
    assert_eq!(fleet.service.runs(request), 1);
}

#[test]
fn a_slow_call_is_answered_where_no_other_endpoint_is_there() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));
    let request = new_request();

    let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));

    assert_answered_by_first(&fleet, &request, &answer);
}

#[test]
fn a_slow_call_is_answered_where_no_retry_is_left() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let second = add_second(&fleet, &gateway);
    gateway.disable_retries();
    fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));
    let request = new_request();

    let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));

    assert_answered_by_first(&fleet, &request, &answer);
    assert_eq!(second.runs(&request), 0);
}

#[test]
fn a_slow_call_is_not_lost_to_a_second_endpoint_that_refuses_it() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let second = add_second(&fleet, &gateway);
    fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));
    second.set_mode(ServiceMode::Refuses);
    let request = new_request();

    let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));

    assert_answered_by_first(&fleet, &request, &answer);
}

#[test]
fn a_slow_call_is_not_lost_to_a_second_endpoint_that_loses_its_answer() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let second = add_second(&fleet, &gateway);
    fleet.service.set_mode(ServiceMode::ServesAfter(SLOW));
    second.set_mode(ServiceMode::LosesAnswers);
    let request = new_request();

    let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));

    assert_answered_by_first(&fleet, &request, &answer);
}

#[test]
fn a_call_whose_endpoint_stays_silent_is_answered_by_a_second_one() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let second = add_second(&fleet, &gateway);
    fleet.service.set_mode(ServiceMode::ServesAfter(Duration::from_secs(60)));
    let request = new_request();

    let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));

    assert_eq!((answer.status, second.runs(&request)), (200, 1));
    assert_eq!(answer.signature.as_deref(), Some("ledger-2"));
}

#[test]
fn a_slow_call_reaches_no_more_endpoints_than_its_route_allows() {
    assert_eq!(others_reached(2), 1);
    assert_eq!(others_reached(3), 2);
}
