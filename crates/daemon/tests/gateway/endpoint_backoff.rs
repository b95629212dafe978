//! Endpoints that turn requests away and ask a gateway to send none for a while.

use crate::fleet::{Fleet, fleet, fleet_of_two_first_engines, load, send_body};
use crate::gateway_process::{GatewayProcess, wait_for};
use sorrellock_stand_ins::{FakeEngine, FakeService, new_ip};
use std::slice::from_ref;
use std::time::{Duration, Instant};

/// The back-off that endpoints ask for.
const BACKOFF: Duration = Duration::from_secs(3);
const ASKED: &str = "3";
/// From this time after such an answer, its endpoint gets no more than two requests.
const NOTICED_WITHIN: Duration = Duration::from_millis(500);
const MAX_LATE: usize = 2;
/// How long callers send.
const LASTS: Duration = Duration::from_secs(7);

/// The most requests that came within a back-off that was asked for at one of the moments `asked`.
fn most_within(asked: &[Instant], arrivals: &[Instant]) -> usize {
    let within = |asked: &Instant| {
        let late = |at: &&Instant| **at >= *asked + NOTICED_WITHIN && **at < *asked + BACKOFF;
        arrivals.iter().filter(late).count()
    };
    asked.iter().map(within).max().unwrap_or_default()
}

fn check_left_alone(engine: &FakeEngine) {
    let seen = engine.seen();
    let most = most_within(&seen.backoffs_asked, &seen.requests);
    assert!(!seen.backoffs_asked.is_empty(), "{} asked for none", engine.id());
    assert!(most <= MAX_LATE, "{}: {most} requests while it asked for none", engine.id());
}

fn first_engines(fleet: &Fleet) -> Vec<&FakeEngine> {
    fleet.engines.iter().filter(|engine| !engine.seen().requests.is_empty()).collect()
}

fn loaded(fleet: &Fleet) -> GatewayProcess {
    let gateway = fleet.settled_gateway("one");
    load(from_ref(&gateway), "/match/a", Duration::from_secs(1));
    gateway
}

#[test]
fn an_engine_that_asks_for_no_requests_gets_none_and_others_serve_all() {
    let fleet = fleet();
    let gateway = loaded(&fleet);
    let engine = first_engines(&fleet)[0];

    engine.refuse_for(&[ASKED]);
    let outcome = load(from_ref(&gateway), "/match/a", LASTS);
    engine.take_requests();
    let took_again = Instant::now();
    load(from_ref(&gateway), "/match/a", BACKOFF + Duration::from_secs(1));

    check_left_alone(engine);
    assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
    let after = engine.seen().requests.iter().filter(|at| **at > took_again).count();
    assert!(after > 10, "{after} requests once it took them again");
    assert_eq!(gateway.lines(&["\"endpoint suspected\""]), Vec::<String>::new());
}

#[test]
fn a_request_that_two_engines_turned_away_may_come_back_at_once_where_another_has_room() {
    let fleet = fleet_of_two_first_engines();
    let gateway = loaded(&fleet);
    wait_for("three first engines", || {
        load(from_ref(&gateway), "/match/a", Duration::from_millis(200));
        first_engines(&fleet).len() >= 3
    });
    let firsts = first_engines(&fleet);

    firsts[..2].iter().for_each(|engine| engine.refuse_for(&[ASKED]));
    let outcome = load(from_ref(&gateway), "/match/a", LASTS);

    firsts[..2].iter().for_each(|engine| check_left_alone(engine));
    // Each back-off costs a request at most, which tells its caller to come back soon.
    assert!(outcome.refused <= 6, "{outcome:?}");
    assert_eq!(outcome.served + outcome.refused, outcome.sent, "{outcome:?}");
    assert!(outcome.longest_retry_after <= 0.5, "{outcome:?}");
}

#[test]
fn where_all_engines_ask_for_no_requests_callers_are_told_when_one_takes_them() {
    let fleet = fleet();
    let gateway = loaded(&fleet);
    let firsts = first_engines(&fleet);

    firsts.iter().for_each(|engine| engine.refuse_for(&[ASKED]));
    let outcome = load(from_ref(&gateway), "/match/a", LASTS);
    firsts.iter().for_each(|engine| engine.take_requests());

    firsts.iter().for_each(|engine| check_left_alone(engine));
    assert_eq!(outcome.refused, outcome.sent, "{outcome:?}");
    assert!(outcome.longest_retry_after > 2.0, "{outcome:?}");
    wait_for("service", || {
        send_body(gateway.callers(), "/match/a", "x")
            .is_some_and(|answer| answer.is_whole && answer.status == 200)
    });
}

#[test]
fn a_plain_service_that_asks_for_no_requests_gets_none() {
    // Calls to `ack` may be sent to a second endpoint, calls to `status` to one only.
    for (path, max_refused) in [("/ack/a", 0), ("/status/a", 3)] {
        let fleet = fleet();
        let second = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
        let services = [fleet.service.clone(), second.expect("a service")];
        let gateway = fleet.settled_gateway("one");
        load(from_ref(&gateway), path, Duration::from_secs(1));

        let from = Instant::now();
        services[0].refuse_for(Some(ASKED));
        let one = load(from_ref(&gateway), path, LASTS);
        services[1].refuse_for(Some(ASKED));
        let both_from = Instant::now();
        let both = load(from_ref(&gateway), path, LASTS);

        for (service, from) in services.iter().zip([from, both_from]) {
            let mut arrivals = service.arrivals();
            arrivals.retain(|at| *at > from);
            let most = most_within(&arrivals, &arrivals);
            assert!(!arrivals.is_empty(), "{path}: it got none to refuse");
            assert!(most <= MAX_LATE, "{path}: {most} requests while it asked for none");
        }
        assert!(one.refused <= max_refused, "{path}: {one:?}");
        assert!(one.longest_retry_after <= 0.5, "{path}: {one:?}");
        assert_eq!(one.served + one.refused, one.sent, "{path}: {one:?}");
        assert_eq!(both.refused, both.sent, "{path}: {both:?}");
        assert!(both.longest_retry_after > 2.0, "{path}: {both:?}");
    }
}

#[test]
fn times_that_can_not_be_read_are_counted_and_change_nothing() {
    for invalid in [&["-1"][..], &["NaN"], &["Wed, 02 Dec 2026 16:45:19 GMT"], &["1", "1"]] {
        let fleet = fleet();
        let gateway = loaded(&fleet);
        let engine = first_engines(&fleet)[0];
        engine.refuse_for(invalid);

        let outcome = load(from_ref(&gateway), "/match/a", Duration::from_secs(1));

        assert_eq!(outcome.served, outcome.sent, "{invalid:?}");
        assert_eq!(gateway.metric("sorrellock_backing_off_endpoints"), 0.0, "{invalid:?}");
        assert!(gateway.metric("sorrellock_backoffs_invalid") > 0.0, "{invalid:?}");
        gateway.wait_for_line(&["\"back-off of an endpoint ignored\"", engine.id()]);
    }
}

/// How a back-off of an hour ends.
fn check_long_backoff(end: impl Fn(&GatewayProcess, &FakeEngine)) {
    let fleet = fleet();
    let gateway = loaded(&fleet);
    let engine = first_engines(&fleet)[0];
    engine.refuse_for(&["3600"]);
    load(from_ref(&gateway), "/match/a", Duration::from_secs(2));
    gateway.wait_for_line(&["\"endpoint asked for a back-off\"", engine.id()]);
    engine.take_requests();
    let before = engine.seen().requests.len();
    load(from_ref(&gateway), "/match/a", Duration::from_secs(1));
    assert_eq!(engine.seen().requests.len(), before);

    end(&gateway, engine);

    wait_for("requests to the engine", || {
        load(from_ref(&gateway), "/match/a", Duration::from_millis(500));
        engine.seen().requests.len() > before
    });
}

#[test]
fn a_long_back_off_ends_with_its_incarnation() {
    check_long_backoff(|_, engine| engine.restart());
}

#[test]
fn an_operator_ends_a_long_back_off() {
    check_long_backoff(|gateway, engine| {
        let url = format!("http://{}/backoff/clear/{}", gateway.metrics(), engine.id());
        let cleared = ureq::post(url).send_empty().expect("an answer").into_body().read_to_string();
        assert_eq!(cleared.expect("text"), "true");
    });
}
