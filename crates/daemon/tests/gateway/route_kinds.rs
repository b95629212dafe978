//! Routes of each kind, to services with and without a model.

use crate::fleet::{
    Fleet, HOST, KEY, begin, config, fleet, new_request, read_rest, send, stream_after,
    whole_stream,
};
use crate::gateway_process::{GatewayProcess, wait_for};
use serde_json::json;
use sorrellock_stand_ins::{
    EngineMode, FakeService, ServiceMode, SpoiledEvent, WHOLE_ANSWER, new_ip,
};
use std::io::Read;
use std::time::{Duration, Instant};

const GAP: Duration = Duration::from_millis(20);
/// Beyond the time after which a stream without an answer is tried elsewhere.
const LATE_BEGIN: Duration = Duration::from_millis(1_600);
/// Bytes of the first few events of a stream.
const FIRST_BYTES: usize = 60;

/// Starts a fleet whose configuration has routes of each kind to both services.
fn fleet_of_all_kinds() -> (Fleet, GatewayProcess) {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let route = |name: &str, kind: &str, service: &str| {
        json!({
            "name": name, "host": HOST, "path_prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 20_000, "target_latency_ms": 500, "priority": 1, "service": service,
            "max_attempts": 2, "public": false, "stream_resume": name == "alerts",
        })
    };
    let mut split = route("mixed", "streaming", "lexis");
    split["traffic_split"] =
        json!([{"service": "lexis", "weight": 1}, {"service": "ledger", "weight": 1}]);
    let mut cfg = config(2, &[KEY]);
    let routes = cfg["routes"].as_array_mut().expect("routes");
    routes.extend([
        route("alerts", "streaming", "ledger"),
        route("once", "streaming", "ledger"),
        route("lookup", "idempotent", "lexis"),
        route("book", "non_idempotent", "lexis"),
        split,
    ]);
    fleet.store.put("config", "main", cfg);
    gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
    (fleet, gateway)
}

fn add_second_service(fleet: &Fleet, gateway: &GatewayProcess) -> FakeService {
    let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);
    let second = second.expect("a second endpoint");
    second.set_mode(ServiceMode::Streams(GAP));
    second
}

/// Guards against streams of a service without a model that are held back until their end.
#[test]
fn events_of_a_service_without_a_model_pass_as_they_come() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let began = Instant::now();

    let (head, mut body) = begin(gateway.callers(), "/alerts/a", &new_request(), Some(KEY));
    let mut first = vec![0; FIRST_BYTES];
    body.read_exact(&mut first).expect("the first events");
    let first_after = began.elapsed();
    let rest = read_rest(&mut body);

    assert_eq!((head.status, head.signature.as_deref()), (200, Some("ledger-1")));
    assert!(first_after < GAP * 20, "the first events came after {first_after:?}");
    assert_eq!(String::from_utf8(first).expect("text") + &rest, whole_stream());
}

#[test]
fn a_stream_whose_endpoint_dies_goes_on_at_another_one() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let second = add_second_service(&fleet, &gateway);
    let request = new_request();
    let (_, mut body) = begin(gateway.callers(), "/alerts/a", &request, Some(KEY));
    let mut first = vec![0; FIRST_BYTES];
    body.read_exact(&mut first).expect("the first events");

    let runner = if second.runs(&request) > 0 { &second } else { &fleet.service };
    runner.crash();
    let rest = read_rest(&mut body);

    assert_eq!(String::from_utf8(first).expect("text") + &rest, whole_stream());
    assert_eq!(fleet.service.runs(&request) + second.runs(&request), 2);
}

#[test]
fn a_stream_that_falls_silent_goes_on_at_another_endpoint() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let second = add_second_service(&fleet, &gateway);
    let request = new_request();
    let (_, mut body) = begin(gateway.callers(), "/alerts/a", &request, Some(KEY));
    let mut first = vec![0; FIRST_BYTES];
    body.read_exact(&mut first).expect("the first events");

    let runner = if second.runs(&request) > 0 { &second } else { &fleet.service };
    runner.set_stalled(true);
    let rest = read_rest(&mut body);

    assert_eq!(String::from_utf8(first).expect("text") + &rest, whole_stream());
}

#[test]
fn a_stream_with_a_wrong_id_goes_on_at_another_endpoint() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let second = add_second_service(&fleet, &gateway);
    let spoiled = SpoiledEvent::new(20, "4020");
    [&fleet.service, &second].into_iter().for_each(|service| service.spoil_event(&spoiled));

    let answer = send(gateway.callers(), "/alerts/a", &new_request(), Some(KEY));

    assert!(answer.is_whole, "{answer:?}");
    assert_eq!(answer.body, whole_stream());
}

#[test]
fn a_stream_that_may_not_be_resumed_is_cut_and_runs_once() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let second = add_second_service(&fleet, &gateway);
    let request = new_request();
    let (_, mut body) = begin(gateway.callers(), "/once/a", &request, Some(KEY));
    let mut first = vec![0; FIRST_BYTES];
    body.read_exact(&mut first).expect("the first events");

    let runner = if second.runs(&request) > 0 { &second } else { &fleet.service };
    runner.crash();
    let end = body.read_to_string(&mut String::new());

    assert!(end.is_err(), "the stream ends as complete");
    assert_eq!(fleet.service.runs(&request) + second.runs(&request), 1);
}

#[test]
fn a_refused_stream_of_a_service_without_a_model_ran_nowhere() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Refuses);
    let request = new_request();

    let answer = send(gateway.callers(), "/alerts/a", &request, Some(KEY));

    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(fleet.service.runs(&request), 0);
}

#[test]
fn a_route_split_over_both_kinds_of_services_streams_from_each() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let requests: Vec<String> = (0..24).map(|_| new_request()).collect();

    for request in &requests {
        let answer = send(gateway.callers(), "/mixed/a", request, Some(KEY));
        assert_eq!((answer.is_whole, answer.body), (true, whole_stream()));
    }

    let at_service = requests.iter().filter(|request| fleet.service.runs(request) > 0).count();
    assert!((1..24).contains(&at_service), "{at_service} of 24 at the service");
}

/// Guards against whole answers of engines that are taken for a stream which broke off.
#[test]
fn a_whole_answer_of_an_engine_passes_unchanged() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::AnswersWhole));
    for path in ["/lookup/a", "/book/a"] {
        let request = new_request();

        let answer = send(gateway.callers(), path, &request, Some(KEY));

        assert_eq!((answer.status, answer.body.as_str()), (200, WHOLE_ANSWER), "{path}");
        let runner = fleet.runner(&request).expect("an engine ran it");
        assert_eq!(answer.signature.as_deref(), Some(runner.id()), "{path}");
        assert_eq!(fleet.runs(&request), 1, "{path}");
    }
}

/// Guards against a success of another kind on a streaming route that is taken for a stream, and cut off.
#[test]
fn another_success_than_a_stream_passes_unchanged() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::FailsWith(202)));
    fleet.service.set_mode(ServiceMode::FailsWith(202));
    for path in ["/match/a", "/alerts/a", "/lookup/a"] {
        let answer = send(gateway.callers(), path, &new_request(), Some(KEY));

        assert_eq!((answer.status, answer.body.as_str()), (202, "failed"), "{path}");
        assert!(answer.is_whole && answer.signature.is_some(), "{path}: {answer:?}");
    }
}

#[test]
fn a_request_whose_engine_dies_runs_again_only_if_it_may() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::Mute));
    for (path, runs, status) in [("/lookup/a", 2, 200), ("/book/a", 1, 502)] {
        let request = new_request();
        let (to, id) = (gateway.callers(), request.clone());
        let call = std::thread::spawn(move || send(to, path, &id, Some(KEY)));
        wait_for("an engine to run it", || fleet.runs(&request) == 1);
        let runner = fleet.runner(&request).expect("an engine runs it");
        let others = fleet.engines.iter().filter(|engine| engine.id() != runner.id());
        others.for_each(|engine| engine.set_mode(EngineMode::AnswersWhole));

        runner.crash();
        let answer = call.join().expect("an answer");

        assert_eq!((answer.status, fleet.runs(&request)), (status, runs), "{path}");
        runner.restart();
        fleet.wait_whole(&gateway);
        fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::Mute));
    }
}

#[test]
fn a_caller_resumes_a_stream_of_a_service_without_a_model() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));

    let (_, mut body) =
        crate::fleet::begin_after(gateway.callers(), "/alerts/a", &new_request(), 12);

    assert_eq!(read_rest(&mut body), stream_after(12));
}

#[test]
fn a_stream_that_begins_late_is_waited_for_where_no_other_endpoint_is_there() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    fleet.service.delay_answers(LATE_BEGIN);
    let request = new_request();

    let answer = send(gateway.callers(), "/alerts/a", &request, Some(KEY));

    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!((answer.body, fleet.service.runs(&request)), (whole_stream(), 1));
}

#[test]
fn a_stream_that_does_not_begin_is_tried_at_another_endpoint() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let second = add_second_service(&fleet, &gateway);
    let usual = new_request();
    send(gateway.callers(), "/alerts/a", &usual, Some(KEY));
    let is_first = |service: &&FakeService| service.runs(&usual) == 1;
    let first = [&fleet.service, &second].into_iter().find(is_first).expect("an endpoint ran it");
    first.delay_answers(LATE_BEGIN * 10);
    let request = new_request();

    let answer = send(gateway.callers(), "/alerts/a", &request, Some(KEY));

    assert_eq!((answer.is_whole, answer.body), (true, whole_stream()));
    let runs = [&fleet.service, &second].map(|service| service.runs(&request));
    assert_eq!(runs, [1, 1], "at the late endpoint and at the other one");
}

/// Guards against attempts that are given up uncounted, and let a stream run at further endpoints.
#[test]
fn a_silent_stream_runs_at_no_more_endpoints_than_its_route_allows() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Streams(GAP));
    let mut services = vec![fleet.service.clone(), add_second_service(&fleet, &gateway)];
    for id in ["ledger-3", "ledger-4"] {
        let service = FakeService::start(id, "ledger", "north", new_ip(), &fleet.store);
        gateway.wait_for_line(&["\"endpoint joined\"", id]);
        services.push(service.expect("an endpoint"));
    }
    services.iter().for_each(|service| service.set_mode(ServiceMode::Streams(GAP)));
    let runs = |request: &str| services.iter().map(|service| service.runs(request)).sum::<u32>();

    let silent = new_request();
    services.iter().for_each(|service| service.set_stalled(true));
    let (_, stalled_body) = begin(gateway.callers(), "/alerts/a", &silent, Some(KEY));
    std::thread::sleep(LATE_BEGIN * 3);
    services.iter().for_each(|service| service.delay_answers(LATE_BEGIN * 10));
    let unanswered = new_request();
    let (to, id) = (gateway.callers(), unanswered.clone());
    let _unread = std::thread::spawn(move || send(to, "/alerts/a", &id, Some(KEY)));
    std::thread::sleep(LATE_BEGIN * 3);

    assert_eq!((runs(&silent), runs(&unanswered)), (2, 2));
    drop(stalled_body);
}

#[test]
fn a_stream_that_an_endpoint_fails_is_tried_at_another_one() {
    let (fleet, gateway) = fleet_of_all_kinds();
    let second = add_second_service(&fleet, &gateway);
    fleet.service.set_mode(ServiceMode::Fails);
    let requests: Vec<String> = (0..4).map(|_| new_request()).collect();

    for request in &requests {
        let answer = send(gateway.callers(), "/alerts/a", request, Some(KEY));
        assert_eq!((answer.is_whole, answer.body), (true, whole_stream()));
    }

    assert!(requests.iter().all(|request| second.runs(request) == 1));
}

#[test]
fn an_endpoints_error_in_place_of_a_stream_passes_unchanged_where_no_other_is_there() {
    let (fleet, gateway) = fleet_of_all_kinds();
    fleet.service.set_mode(ServiceMode::Fails);

    let answer = send(gateway.callers(), "/alerts/a", &new_request(), Some(KEY));

    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.signature.as_deref(), Some("ledger-1"));
}
