//! An attempt that has not brought its first event yet is abandoned before another one has begun.
//!
//! What callers saw: 502 for a stream that its engine was about to answer, 0.6 to 1.4 s after it was sent, well before their
//! deadline and before the two seconds that they wait for an event.
//!
//! The order of events: a gateway sends the request to the first engine of a path, which reads a long prompt or pauses for a moment. The
//! gateway closes that connection, either as the path has brought no event for 600 ms (1.7 s where it serves others), or as one engine of the
//! path did not answer a report within 180 ms. Then it looks for another attempt and finds none: the retry budget is spent, no other path
//! is there, the route allows no second run, or the second engine is as slow as the first one.
//!
//! The evidence: each engine here runs the request to its end by itself, and the first run would have answered first.

use crate::fleet::{
    Answer, Fleet, KEY, config, fleet, fleet_of_one_chain, new_request, send, whole_stream,
};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{EngineMode, FakeProxy, ProxyMode};
use std::thread;
use std::time::Duration;

/// Longer than a lone request waits on a path without events, shorter than callers wait.
const LONG_PROMPT: Duration = Duration::from_millis(1_000);
/// Longer than two questions for a report take.
const PAUSE: Duration = Duration::from_millis(350);

fn set_modes(fleet: &Fleet, mode: EngineMode) {
    fleet.engines.iter().for_each(|engine| engine.set_mode(mode));
}

fn assert_whole(answer: &Answer) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, whole_stream());
}

/// Sends a stream whose first engine pauses as a whole, reports included, before its first event.
fn send_while_the_first_engine_pauses(
    fleet: &Fleet,
    gateway: &GatewayProcess,
    proxies: &[FakeProxy],
) -> Answer {
    let (to, request) = (gateway.callers(), new_request());
    let id = request.clone();
    let call = thread::spawn(move || send(to, "/match/a", &id, Some(KEY)));
    wait_for("an engine to run it", || fleet.runner(&request).is_some());
    let runs = |at: &usize| fleet.engines[*at].seen().runs.contains_key(&request);
    let first = (0..proxies.len()).find(runs).expect("one of them runs it");

    proxies[first].set_mode(ProxyMode::Silent);
    thread::sleep(PAUSE);
    proxies[first].set_mode(ProxyMode::Passes);
    call.join().expect("an answer")
}

#[test]
fn a_first_event_that_is_late_at_every_engine_reaches_its_caller() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    set_modes(&fleet, EngineMode::BeginsAfter(LONG_PROMPT));

    let answer = send(gateway.callers(), "/match/a", &new_request(), Some(KEY));

    assert_whole(&answer);
}

#[test]
fn a_late_first_event_is_waited_for_where_no_retry_is_left() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    gateway.disable_retries();
    set_modes(&fleet, EngineMode::BeginsAfter(LONG_PROMPT));
    let request = new_request();

    let answer = send(gateway.callers(), "/match/a", &request, Some(KEY));

    assert_whole(&answer);
    assert_eq!(fleet.runs(&request), 1);
}

#[test]
fn a_late_first_event_is_waited_for_where_no_other_path_is_there() {
    let fleet = fleet_of_one_chain();
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    gateway.wait_for_line(&["\"path in use\"", "north"]);
    set_modes(&fleet, EngineMode::BeginsAfter(LONG_PROMPT));
    let request = new_request();

    let answer = send(gateway.callers(), "/match/a", &request, Some(KEY));

    assert_whole(&answer);
    assert_eq!(fleet.runs(&request), 1);
}

#[test]
fn a_pause_before_the_first_event_costs_no_answer_where_no_retry_is_left() {
    let fleet = fleet();
    let proxies = fleet.add_proxies();
    let gateway = fleet.settled_gateway("one");
    gateway.disable_retries();
    set_modes(&fleet, EngineMode::BeginsAfter(PAUSE * 2));

    let answer = send_while_the_first_engine_pauses(&fleet, &gateway, &proxies);

    assert_whole(&answer);
}

#[test]
fn a_pause_before_the_first_event_costs_no_answer_that_may_run_only_once() {
    let fleet = fleet();
    let proxies = fleet.add_proxies();
    let mut cfg = config(2, &[KEY]);
    cfg["routes"][0]["stream_resume"] = false.into();
    fleet.store.put("config", "main", cfg);
    let gateway = fleet.settled_gateway("one");
    set_modes(&fleet, EngineMode::BeginsAfter(PAUSE * 2));

    let answer = send_while_the_first_engine_pauses(&fleet, &gateway, &proxies);

    assert_whole(&answer);
}

/// A stream that has had its first event waits up to two seconds for a place where its engine dies; one that has not is refused at once, as
/// the 100 ms that a request waits for a place count from its arrival.
#[test]
fn a_stream_whose_engine_dies_before_its_first_event_waits_for_a_place() {
    let fleet = fleet();
    let mut cfg = config(2, &[KEY]);
    // A path takes one stream.
    cfg["services"][1]["engine"]["slots"] = 2.into();
    fleet.store.put("config", "main", cfg);
    let gateway = fleet.settled_gateway("one");
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
    set_modes(&fleet, EngineMode::BeginsAfter(PAUSE));
    let to = gateway.callers();
    let [other, request] = [0, 1].map(|_| {
        let request = new_request();
        let id = request.clone();
        let call = thread::spawn(move || send(to, "/match/a", &id, Some(KEY)));
        wait_for("an engine to run it", || fleet.runner(&request).is_some());
        (request, call)
    });

    fleet.runner(&request.0).expect("an engine runs it").crash();

    assert_whole(&request.1.join().expect("an answer"));
    assert_whole(&other.1.join().expect("an answer"));
}

#[test]
fn an_attempt_in_doubt_that_answers_first_is_the_answer() {
    let fleet = fleet();
    let proxies = fleet.add_proxies();
    let gateway = fleet.settled_gateway("one");
    set_modes(&fleet, EngineMode::BeginsAfter(PAUSE));
    let (to, request) = (gateway.callers(), new_request());
    let id = request.clone();
    let call = thread::spawn(move || send(to, "/match/a", &id, Some(KEY)));
    wait_for("an engine to run it", || fleet.runner(&request).is_some());
    let runs = |at: &usize| fleet.engines[*at].seen().runs.contains_key(&request);
    let first = (0..proxies.len()).find(runs).expect("one of them runs it");
    // Whatever runs the next attempt brings nothing.
    set_modes(&fleet, EngineMode::Mute);

    proxies[first].set_mode(ProxyMode::Silent);
    wait_for("a second attempt", || fleet.runs(&request) == 2);
    proxies[first].set_mode(ProxyMode::Passes);
    let answer = call.join().expect("an answer");

    assert_whole(&answer);
    assert_eq!(answer.signature.as_deref(), Some(fleet.engines[first].id()));
    assert_eq!(gateway.metric("sorrellock_repeats"), 1.0, "the second attempt is paid for");
}

/// The route allows two attempts: one in doubt is one of them, though it goes on.
#[test]
fn an_attempt_in_doubt_counts_among_those_that_the_route_allows() {
    let mut fleet = fleet();
    fleet.add_engine(4, "west");
    fleet.add_engine(5, "west");
    let proxies = fleet.add_proxies();
    let gateway = fleet.settled_gateway("one");
    gateway.wait_for_line(&["\"path in use\"", "west"]);
    set_modes(&fleet, EngineMode::BeginsAfter(PAUSE));
    let (to, request) = (gateway.callers(), new_request());
    let id = request.clone();
    let call = thread::spawn(move || send(to, "/match/a", &id, Some(KEY)));
    let ran = |at: &usize| fleet.engines[*at].seen().runs.contains_key(&request);
    let runners = || (0..proxies.len()).filter(ran).collect::<Vec<_>>();
    wait_for("an engine to run it", || !runners().is_empty());
    let first = runners()[0];
    set_modes(&fleet, EngineMode::Mute);
    proxies[first].set_mode(ProxyMode::Silent);
    wait_for("a second attempt", || runners().len() == 2);

    let second = runners().into_iter().find(|at| *at != first).expect("the other one");
    proxies[second].set_mode(ProxyMode::Resets);
    gateway.wait_for_line(&["\"attempt failed\"", &request]);
    // Time for an attempt that must not follow.
    thread::sleep(PAUSE);
    proxies[first].set_mode(ProxyMode::Passes);
    let answer = call.join().expect("an answer");

    assert_whole(&answer);
    assert_eq!(runners().len(), 2);
}
