//! What endpoints say of themselves in their answers to requests, and nowhere else: that they leave, or what nothing reads.

use crate::fleet::{Fleet, fleet, load, send_body};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{FakeEngine, FakeService, ServiceMode, new_ip};
use std::slice::from_ref;
use std::time::{Duration, Instant};

/// Requests that are sent this long after an endpoint said that it leaves don't reach it.
const LEAVE_WITHIN: Duration = Duration::from_secs(2);
/// How long callers send: longer than reports of other gateways count.
const LASTS: Duration = Duration::from_secs(15);

/// Time that the slower of two services takes.
const SLOW: Duration = Duration::from_millis(60);

fn since(arrivals: &[Instant], from: Instant) -> usize {
    arrivals.iter().filter(|at| **at > from).count()
}

/// Sends requests for a second, and returns an engine that got some.
fn first_engine<'a>(fleet: &'a Fleet, gateway: &GatewayProcess) -> &'a FakeEngine {
    load(from_ref(gateway), "/match/a", Duration::from_secs(1));
    let engine = fleet.engines.iter().find(|engine| !engine.seen().requests.is_empty());
    engine.expect("a first engine")
}

#[test]
fn an_engine_that_says_in_its_answers_that_it_leaves_gets_no_more_requests() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = first_engine(&fleet, &gateway);

    engine.say_leaving(&["1"]);
    let outcome = load(from_ref(&gateway), "/match/a", LASTS);

    let seen = engine.seen();
    let said = *seen.leaving_said.first().expect("it said so");
    assert_eq!(since(&seen.requests, said + LEAVE_WITHIN), 0);
    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
    assert_eq!(gateway.lines(&["\"endpoint suspected\""]), Vec::<String>::new());
}

#[test]
fn an_engine_that_says_so_in_a_refusal_gets_no_more_requests_until_it_starts_again() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = first_engine(&fleet, &gateway);

    engine.say_leaving(&["1"]);
    engine.refuse_for(&[]);
    load(from_ref(&gateway), "/match/a", LASTS);
    let seen = engine.seen();
    engine.say_leaving(&[]);
    engine.take_requests();
    engine.restart();

    let said = *seen.leaving_said.first().expect("it said so");
    assert_eq!(since(&seen.requests, said + LEAVE_WITHIN), 0);
    let restarted = Instant::now();
    wait_for("requests to the engine", || {
        load(from_ref(&gateway), "/match/a", Duration::from_millis(500));
        since(&engine.seen().requests, restarted) > 0
    });
}

#[test]
fn an_engine_that_says_so_in_its_reports_gets_no_more_requests() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let engine = first_engine(&fleet, &gateway);

    engine.say_leaving_in_reports();
    gateway.wait_for_line(&["\"endpoint said in an answer that it leaves\"", engine.id()]);
    let known = Instant::now();
    let outcome = load(from_ref(&gateway), "/match/a", Duration::from_secs(2));

    assert_eq!(since(&engine.seen().requests, known), 0);
    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
}

#[test]
fn a_plain_service_that_says_so_gets_no_more_requests() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.service.say_leaving();
    let first = send_body(gateway.callers(), "/status/a", "first").expect("an answer");
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    let second = second.expect("a service");
    // The first one is preferred for its answer times.
    second.set_mode(ServiceMode::ServesAfter(SLOW));
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);

    let outcome = load(from_ref(&gateway), "/status/a", LASTS);

    assert_eq!(first.status, 200);
    let said = *fleet.service.leaving_said().first().expect("it said so");
    assert_eq!(since(&fleet.service.arrivals(), said + LEAVE_WITHIN), 0);
    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
    assert!(!second.arrivals().is_empty());
}

#[test]
fn values_that_can_not_be_read_are_counted_and_change_nothing() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.engines.iter().for_each(|engine| engine.say_leaving(&["yes"]));

    let outcome = load(from_ref(&gateway), "/match/a", Duration::from_secs(1));

    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
    assert!(gateway.metric("sorrellock_leaving_invalid") > 0.0);
    assert_eq!(gateway.metric("sorrellock_leaving_notices"), 0.0);
    gateway.wait_for_line(&["\"leaving of an endpoint ignored\""]);
}

#[test]
fn a_field_that_nothing_reads_is_counted_and_logged_once() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.engines.iter().for_each(|engine| engine.add_field("server-mood"));

    let outcome = load(from_ref(&gateway), "/match/a", Duration::from_secs(1));

    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
    let counted = gateway.metric("sorrellock_unknown_answer_fields");
    assert!(counted >= outcome.sent as f64, "{counted} of {outcome:?}");
    let lines = gateway.lines(&["\"unknown field in an endpoint's answer\"", "server-mood"]);
    assert_eq!(lines.len(), 1, "{lines:?}");
}
