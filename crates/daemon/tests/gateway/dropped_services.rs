//! A new configuration no longer names a service whose streams are under way.
//!
//! What callers saw: answers that were truncated, or went on late over another engine, as an engine of their path left or died after the
//! configuration that dropped their service.
//!
//! The order of events: streams run over the engines of a service; a new configuration drops it; right after, engines of it leave, as they are not
//! needed any more, or one dies. From then on the gateway works out neither paths nor the state of engines for that service: streams are not moved off
//! an engine that leaves, and a stream whose path has lost an engine finds no other path of its first engine.
//!
//! The evidence: with the service still named, the same streams are moved by one order and need no second run.

use crate::fleet::{
    EVENTS, Fleet, KEY, begin, config, fleet_of_two_chains, new_request, send, whole_stream,
};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::FakeEngine;
use std::io::Read;
use std::thread;
use std::time::{Duration, Instant};

/// Between two events: a stream lasts for four seconds.
const GAP: Duration = Duration::from_millis(100);
/// Time for an order to move a stream, far beyond what it takes, and shorter than a stream lasts.
const MOVED_WITHIN: Duration = Duration::from_secs(2);

/// A gateway with two paths in one data centre, and engines whose streams last.
fn gateway_of(fleet: &Fleet) -> GatewayProcess {
    let gateway = GatewayProcess::start("one", "north", fleet.store.addr());
    wait_for("the gateway to be ready", || gateway.is_ready());
    wait_for("two paths", || gateway.lines(&["\"path in use\"", "north"]).len() >= 2);
    fleet.engines.iter().for_each(|engine| engine.set_gap(GAP));
    gateway
}

/// Puts a configuration in force that names neither the engines' service nor a route to it.
fn drop_service(fleet: &Fleet, gateway: &GatewayProcess) {
    let mut cfg = config(9, &[KEY]);
    for (list, name) in [("routes", "match"), ("services", "lexis")] {
        let list = cfg[list].as_array_mut().expect("a list");
        list.retain(|one| one["name"] != name);
    }
    fleet.store.put("config", "main", cfg);
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":9,"]);
}

/// A stream under way: its request, its first engine, its second one, and what is still to be read.
struct Stream<'a> {
    request: String,
    first: &'a FakeEngine,
    second: &'a FakeEngine,
    body: Box<dyn Read + Send>,
}

fn begin_stream<'a>(fleet: &'a Fleet, gateway: &GatewayProcess) -> Stream<'a> {
    let request = new_request();
    let (_, body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));
    let first = fleet.runner(&request).expect("an engine runs it");
    let hops = first.seen().headers[&request]["hop-count"].to_str().expect("text").to_owned();
    let second = hops.split([',', '=']).nth(2).expect("two parts").to_owned();
    let is_second = |one: &&FakeEngine| one.addr().to_string() == second;
    let second = fleet.engines.iter().find(is_second).expect("one of them");
    Stream { request, first, second, body }
}

fn was_moved(stream: &Stream<'_>) -> bool {
    let began = Instant::now();
    while began.elapsed() < MOVED_WITHIN {
        if stream.first.seen().moved.contains(&stream.request) {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

/// What the caller read of the rest, whole or not.
fn read_all(stream: &mut Stream<'_>) -> String {
    let mut buf = Vec::new();
    // What came before the connection closed is kept.
    let _ = stream.body.read_to_end(&mut buf);
    String::from_utf8(buf).expect("text")
}

#[test]
fn a_stream_of_a_dropped_service_is_moved_off_an_engine_that_leaves() {
    let fleet = fleet_of_two_chains();
    let gateway = gateway_of(&fleet);
    let mut stream = begin_stream(&fleet, &gateway);
    drop_service(&fleet, &gateway);

    stream.second.leave();
    let was_moved = was_moved(&stream);
    let all = read_all(&mut stream);

    assert!(was_moved, "no order to go on over another engine");
    assert_eq!(all, whole_stream());
    assert_eq!(fleet.runs(&stream.request), 1);
}

#[test]
fn a_stream_of_a_dropped_service_whose_second_engine_dies_goes_on_without_a_second_run() {
    let fleet = fleet_of_two_chains();
    let gateway = gateway_of(&fleet);
    gateway.disable_retries();
    let mut stream = begin_stream(&fleet, &gateway);
    drop_service(&fleet, &gateway);

    stream.first.set_stalled(true);
    stream.second.crash();
    let was_moved = was_moved(&stream);
    stream.first.set_stalled(false);
    let all = read_all(&mut stream);

    assert!(was_moved, "no order to go on over another engine");
    assert_eq!(all, whole_stream());
    assert_eq!(fleet.runs(&stream.request), 1);
}

#[test]
fn a_dropped_service_gets_no_new_request() {
    let fleet = fleet_of_two_chains();
    let gateway = gateway_of(&fleet);
    let mut stream = begin_stream(&fleet, &gateway);
    drop_service(&fleet, &gateway);

    let request = new_request();
    let answer = send(gateway.callers(), "/match/a", &request, Some(KEY));
    let events = read_all(&mut stream).matches("data: ").count() as u64;

    assert_eq!((answer.status, fleet.runs(&request)), (404, 0));
    assert_eq!(events, EVENTS);
}
