//! Engines that pause under streams, and go on as if nothing had been.
//!
//! What users saw: around new versions of the configuration, with no fault injected, streams ended in mid-answer, at
//! several gateways, over one engine that went on serving.
//!
//! Order of events: a gateway got no report from the engine in time, as the engine or the gateway itself was late; it
//! suspected the engine and reported that to the other gateways; each closed the runs of its streams over that engine and
//! looked for others; where the retry budget or `max_attempts` was used up, the stream was truncated.
//!
//! Cause: a run was closed on a conclusion about its engine, before another run was had.
//!
//! Evidence: thirty gateways on quotas of a core, under planned work alone, truncate streams so; `silent_ms` of the runs that
//! were given up is 0 at nearly all, so their own connections had just brought events; here the engine pauses, and each run
//! that is kept comes whole.

use crate::fleet::{
    Answer, EVENTS, Fleet, KEY, begin, fleet, fleet_of_two_first_engines, new_request, send,
    whole_stream,
};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{EngineMode, FakeEngine};
use std::thread::{self, JoinHandle};
use std::time::Duration;

/// Longer than a gateway waits for an engine's report before it suspects the engine, and shorter than callers wait for
/// an event.
const PAUSE: Duration = Duration::from_millis(600);

/// Long enough for the lead to take an engine to be dead, and shorter than callers wait for an event.
const LONG_PAUSE: Duration = Duration::from_millis(1_300);

/// Takes the retry budget from a gateway: no request is sent a second time.
fn without_retry_budget(gateway: &GatewayProcess) {
    gateway.change_settings(|text| {
        text.replace("budget_slack = 200", "budget_slack = 0")
            .replace("retry_budget_ratio = 0.2", "retry_budget_ratio = 0.0")
    });
    gateway.wait_for_line(&["\"bounds changed\""]);
}

/// Streams of several callers, each with its request id.
fn start_streams(gateway: &GatewayProcess, streams: usize) -> Vec<(String, JoinHandle<Answer>)> {
    let to = gateway.callers();
    let start = |_| {
        let request = new_request();
        let sent = request.clone();
        (request, thread::spawn(move || send(to, "/match/a", &sent, Some(KEY))))
    };
    (0..streams).map(start).collect()
}

/// The engine that runs most of these streams, once all have begun.
fn busiest<'a>(fleet: &'a Fleet, streams: &[(String, JoinHandle<Answer>)]) -> &'a FakeEngine {
    wait_for("the streams to begin", || streams.iter().all(|(id, _)| fleet.runs(id) > 0));
    let runs = |engine: &&FakeEngine| engine.seen().runs.len();
    fleet.engines.iter().max_by_key(runs).expect("there are engines")
}

fn pause(engine: &FakeEngine, lasts: Duration) {
    engine.set_paused(true);
    thread::sleep(lasts);
    engine.set_paused(false);
}

/// Tells which streams were truncated.
fn truncated(streams: Vec<(String, JoinHandle<Answer>)>) -> Vec<String> {
    let answers = streams.into_iter().map(|(id, thread)| (id, thread.join().expect("an answer")));
    answers.filter(|(_, answer)| !is_whole(answer)).map(|(id, _)| id).collect()
}

fn is_whole(answer: &Answer) -> bool {
    answer.status == 200 && answer.is_whole && answer.body == whole_stream()
}

#[test]
fn streams_over_an_engine_that_pauses_come_whole_where_no_retry_is_left() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    without_retry_budget(&gateway);
    let streams = start_streams(&gateway, 16);
    let ids: Vec<String> = streams.iter().map(|(id, _)| id.clone()).collect();

    pause(busiest(&fleet, &streams), PAUSE);

    assert_eq!(truncated(streams), Vec::<String>::new(), "of {EVENTS} events each");
    assert!(ids.iter().all(|id| fleet.runs(id) == 1), "a retry was sent without budget");
}

#[test]
fn a_suspicion_of_another_gateway_truncates_no_stream() {
    let fleet = fleet();
    let gateways = ["one", "two", "three"].map(|name| fleet.settled_gateway(name));
    gateways.iter().for_each(without_retry_budget);
    let streams: Vec<_> = gateways.iter().flat_map(|one| start_streams(one, 8)).collect();

    pause(busiest(&fleet, &streams), PAUSE);

    assert_eq!(truncated(streams), Vec::<String>::new(), "of {EVENTS} events each");
}

/// An engine that the lead takes to be dead, wrongly, still runs the stream whose run there is kept: it counts against the engines
/// that may run one request.
#[test]
fn no_more_engines_run_a_stream_than_may_where_all_of_them_pause() {
    let fleet = fleet_of_two_first_engines();
    let gateway = fleet.settled_gateway("one");
    wait_for("three paths", || gateway.lines(&["\"path in use\""]).len() >= 3);
    let streams = start_streams(&gateway, 16);
    let ids: Vec<String> = streams.iter().map(|(id, _)| id.clone()).collect();
    wait_for("the streams to begin", || ids.iter().all(|id| fleet.runs(id) > 0));

    fleet.engines.iter().for_each(|engine| engine.set_paused(true));
    thread::sleep(LONG_PAUSE);
    fleet.engines.iter().for_each(|engine| engine.set_paused(false));

    assert_eq!(truncated(streams), Vec::<String>::new());
    gateway.wait_for_line(&["\"engine taken to be dead\""]);
    let ran = |engine: &&FakeEngine, id: &String| engine.seen().runs.contains_key(id);
    let engines = |id: &String| fleet.engines.iter().filter(|engine| ran(engine, id)).count();
    let most = ids.iter().map(engines).max();
    assert!(most <= Some(2), "a stream ran at {most:?} engines");
}

/// Pauses the engine that runs a stream until the stream was sent to another engine, which never answers. Returns what its caller
/// has of it in the end.
fn send_while_the_other_engine_is_mute(
    fleet: &Fleet,
    gateway: &GatewayProcess,
) -> (String, Answer) {
    let mut streams = start_streams(gateway, 1);
    let engine = busiest(fleet, &streams);
    let (request, call) = streams.remove(0);
    fleet.engines.iter().for_each(|one| one.set_mode(EngineMode::Mute));

    engine.set_paused(true);
    wait_for("the stream to be sent to another engine", || fleet.runs(&request) == 2);
    engine.set_paused(false);
    (request, call.join().expect("an answer"))
}

#[test]
fn a_run_in_doubt_goes_on_while_another_one_has_been_sent_and_not_begun() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");

    let (request, answer) = send_while_the_other_engine_is_mute(&fleet, &gateway);

    assert!(is_whole(&answer), "{answer:?}");
    gateway.wait_for_line(&["\"failover withdrawn, the run goes on\"", &request]);
}

/// An event refutes the judgement of a path: the streams on it are not in doubt again for the same judgement, which costs a
/// retry each time.
#[test]
fn a_path_that_brings_events_again_is_not_doubted_at_each_of_them() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");

    let (request, _) = send_while_the_other_engine_is_mute(&fleet, &gateway);

    let doubts = gateway.lines(&["\"failover started\"", &request]).len() as u64;
    assert!((1..EVENTS / 4).contains(&doubts), "{doubts} doubts over {EVENTS} events");
}

/// What users saw: a stream ended though a retry was left. Its run was in doubt and kept for want of one; then its connection broke.
/// That no other run could begin in time for the doubt was taken to hold for good.
#[test]
fn a_run_that_was_kept_and_breaks_later_goes_on_at_another_engine() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let settings = gateway.settings();
    gateway.disable_retries();
    let mut streams = start_streams(&gateway, 1);
    let engine = busiest(&fleet, &streams);
    let (request, call) = streams.remove(0);
    engine.set_paused(true);
    gateway.wait_for_line(&["\"failover not possible, run kept\"", &request]);

    gateway.change_settings(|_| settings);
    wait_for("the retry budget", || gateway.lines(&["\"bounds changed\""]).len() == 2);
    engine.crash();
    let answer = call.join().expect("an answer");

    assert!(is_whole(&answer), "{answer:?}");
    assert_eq!(fleet.runs(&request), 2);
}

#[test]
fn a_caller_that_leaves_ends_the_run_in_doubt_and_the_one_that_was_sent() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let request = new_request();
    let (_, body) = begin(gateway.callers(), "/match/a", &request, Some(KEY));
    let engine = fleet.runner(&request).expect("an engine runs it");
    fleet.engines.iter().for_each(|one| one.set_mode(EngineMode::Mute));
    engine.set_paused(true);
    wait_for("the stream to be sent to another engine", || fleet.runs(&request) == 2);

    drop(body);

    let abandoned = || fleet.engines.iter().map(|one| one.seen().abandoned).sum::<u32>();
    wait_for("both engines to see the close", || abandoned() == 2);
    gateway.wait_for_line(&["\"request ended\"", &request, "caller gone"]);
}
