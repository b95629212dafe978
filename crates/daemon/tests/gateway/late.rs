//! A gateway that is late itself.

use crate::fleet::{Fleet, KEY, fleet, fleet_of_slow_engines, new_request, send};
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use sorrellock_stand_ins::FakeEngine;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// A pause that is logged.
const PAUSE: Duration = Duration::from_millis(400);

/// How long a gateway runs at a time while its processor quota is used up.
const RUN: Duration = Duration::from_millis(8);
/// How long it is stopped after that.
const STOP: Duration = Duration::from_millis(92);
/// Streams under way meanwhile. Each lasts for some seconds.
const STREAMS: usize = 8;
/// Callers whose calls take more processor time than there is.
const BUSY_CALLERS: usize = 200;

/// An engine whose answer takes longer, where nothing is paused, is late itself: the machine is too busy for the stand-ins.
const LATE_ENGINE: Duration = Duration::from_millis(40);
/// How often engines are asked whether they are late.
const LOOK: Duration = Duration::from_millis(5);

/// Stops a gateway for some time.
fn pause(gateway: &GatewayProcess, lasts: Duration) {
    gateway.signal(Signal::SIGSTOP);
    sleep(lasts);
    gateway.signal(Signal::SIGCONT);
}

/// Longer than the lead may be silent before the second gateway, by name, takes over.
const LEAD_LAPSE: Duration = Duration::from_millis(2_000);
/// Time for a takeover that must not happen.
const TAKEOVER: Duration = Duration::from_millis(500);

#[test]
fn a_pause_of_the_event_loop_is_logged_and_measured() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    pause(&gateway, PAUSE);

    gateway.wait_for_line(&["\"event loop paused\"", "\"pause_ms\""]);
    wait_for("the pause on the metrics page", || {
        gateway.metric("sorrellock_loop_lag_longest_ms") >= PAUSE.as_secs_f64() * 1e3 / 2.0
    });
    assert!(gateway.metric("sorrellock_loop_lag_us_count") > 0.0);
}

#[test]
fn the_time_of_a_new_configuration_is_logged() {
    let fleet = fleet();
    let gateway = fleet.gateway("one");

    let line = gateway.wait_for_line(&["\"configuration in force\"", "\"version\":1"]);

    assert!(line.contains("\"parse_us\""), "{line}");
    assert!(line.contains("\"install_us\""), "{line}");
}

/// What users saw: streams lost their connections in mid-answer, though all engines were well.
///
/// The order of events: a gateway has more to do than its processor quota allows, and is stopped for most of each 100 ms. A path brings
/// no event for a moment, and its engines are asked for reports. They answer within a millisecond. The question or its answer waits in
/// the gateway for its next turns, until the time for it is over. The engines are suspected, and their streams dropped.
///
/// The cause: a question was taken to be held up by the gateway itself only if it ended late as a whole; a pause inside its time went
/// unseen. The evidence: `endpoint suspected` with `no answer in 90ms`, eight streams cut, the longest lag of the event loop some
/// hundreds of milliseconds, and no engine that failed to answer.
#[test]
fn a_gateway_without_processor_time_suspects_no_engine_that_is_well() {
    let fleet = fleet_of_slow_engines();
    let gateway = fleet.gateway("one");

    let late = run_streams_while(&fleet, &gateway, || {
        pause(&gateway, STOP);
        sleep(RUN);
    });

    gateway.wait_for_line(&["\"path checked\""]);
    for what in ["\"endpoint suspected\"", "\"engine taken to be dead\""] {
        assert_eq!(gateway.lines(&[what]), [""; 0], "late themselves: {late:?}");
    }
}

/// Repeats something while streams are under way, beside busy callers. Returns the engines that were late themselves, for who looks into a
/// failure.
fn run_streams_while(
    fleet: &Fleet,
    gateway: &GatewayProcess,
    mut repeat: impl FnMut(),
) -> BTreeSet<String> {
    let to = gateway.callers();
    let left = AtomicUsize::new(STREAMS);
    let late = Mutex::new(BTreeSet::new());
    scope(|threads| {
        for engine in &fleet.engines {
            let (left, late) = (&left, &late);
            threads.spawn(move || {
                while left.load(Ordering::SeqCst) > 0 {
                    if is_late(engine) {
                        late.lock()
                            .expect("no panic holds this lock")
                            .insert(engine.id().to_owned());
                    }
                    sleep(LOOK);
                }
            });
        }
        for _ in 0..STREAMS {
            threads.spawn(|| {
                send(to, "/match/a", &new_request(), Some(KEY));
                left.fetch_sub(1, Ordering::SeqCst);
            });
        }
        for _ in 0..BUSY_CALLERS {
            threads.spawn(|| call_while(to, || left.load(Ordering::SeqCst) > 0));
        }
        while left.load(Ordering::SeqCst) > 0 {
            repeat();
        }
    });
    late.into_inner().expect("no panic holds this lock")
}

/// Whether an engine is slow to answer this process, which isn't paused.
fn is_late(engine: &FakeEngine) -> bool {
    let asked = Instant::now();
    let answer = ureq::get(format!("http://{}/v1/report", engine.addr())).call();
    answer.is_err() || asked.elapsed() > LATE_ENGINE
}

/// Calls a plain service, one call after the other.
fn call_while(to: SocketAddr, goes_on: impl Fn() -> bool) {
    while goes_on() {
        send(to, "/status/a", &new_request(), Some(KEY));
    }
}

/// What operators saw: the lead went from a gateway that was well to one that had just been paused, and the plan of all layers with it.
///
/// The order of events: a gateway is paused for longer than a lead may be silent. As it goes on, it looks for the lead's last message
/// before it reads those that came meanwhile, and takes the lead. The gateway that had it steps down and forgets its plan.
///
/// The cause: the silence of a peer counted for the time in which this process could not have read anything. The evidence: `lead taken` by the
/// paused gateway right after each of six pauses, and `lead lost` by the other one, whose event loop was not late.
#[test]
fn a_gateway_that_was_paused_leaves_the_lead_to_the_one_that_has_it() {
    let fleet = fleet();
    let lead = fleet.gateway("one");
    lead.wait_for_line(&["\"lead taken\""]);
    let other = fleet.gateway("two");
    other.wait_for_line(&["\"gateway discovered\"", "\"one\""]);

    for _ in 0..3 {
        pause(&other, LEAD_LAPSE);
        sleep(TAKEOVER);
    }

    assert_eq!(other.lines(&["\"lead taken\""]), [""; 0]);
    assert_eq!(lead.lines(&["\"lead lost\""]), [""; 0]);
}
