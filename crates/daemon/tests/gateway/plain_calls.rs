//! Calls of plain services: what ran, what may run again, what the caller is told.

use crate::fleet::{KEY, fleet, new_request, send};
use sorrellock_stand_ins::{EngineMode, FakeService, ServiceMode, new_ip};

#[test]
fn a_call_passes_both_ways_unchanged() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let request = new_request();

    let answer = send(gateway.callers(), "/status/a", &request, Some(KEY));

    assert_eq!((answer.status, answer.body.as_str()), (200, "body"));
    assert_eq!(answer.signature.as_deref(), Some("ledger-1"));
    assert_eq!(fleet.service.runs(&request), 1);
}

#[test]
fn a_call_that_may_run_once_isnt_sent_again_after_a_lost_answer() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let other = FakeService::start("ledger-2", "ledger", "north", new_ip(), &fleet.store);
    let other = other.expect("another endpoint");
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);
    fleet.service.set_mode(ServiceMode::LosesAnswers);
    other.set_mode(ServiceMode::LosesAnswers);
    let request = new_request();

    let answer = send(gateway.callers(), "/status/a", &request, Some(KEY));

    assert_eq!(answer.status, 502);
    assert_eq!(answer.retry_after, None, "it promises nothing");
    assert_eq!(fleet.service.runs(&request) + other.runs(&request), 1);
}

#[test]
fn a_refused_call_ran_nowhere_and_is_told_when_to_come_back() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.service.set_mode(ServiceMode::Refuses);
    let request = new_request();

    let answer = send(gateway.callers(), "/status/a", &request, Some(KEY));

    assert_eq!(answer.status, 503);
    assert!(answer.retry_after.is_some());
    assert_eq!(fleet.service.runs(&request), 0);
}

/// Guards against callers that are told by a 503 that their call didn't run, though an endpoint has run it.
#[test]
fn a_status_that_promises_not_run_isnt_passed_on_without_evidence() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    for (path, runs) in [("/status/a", 1), ("/ack/a", 1)] {
        for status in [503, 429, 408] {
            fleet.service.set_mode(ServiceMode::FailsWith(status));
            let request = new_request();

            let answer = send(gateway.callers(), path, &request, Some(KEY));

            assert_eq!(answer.status, 502, "{path} answered with {status}: {answer:?}");
            assert_eq!(answer.retry_after, None, "{path} answered with {status}");
            assert_eq!(answer.signature, None, "{path} answered with {status}");
            assert_eq!(fleet.service.runs(&request), runs, "{path} answered with {status}");
        }
    }
}

/// The same for streams, whose callers may resume them.
#[test]
fn a_stream_isnt_refused_as_not_run_without_evidence() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    for status in [503, 429, 408] {
        fleet.engines.iter().for_each(|engine| engine.set_mode(EngineMode::FailsWith(status)));
        let request = new_request();

        let answer = send(gateway.callers(), "/match/a", &request, Some(KEY));

        assert_eq!(answer.status, 502, "answered with {status}: {answer:?}");
        assert_eq!(answer.retry_after, None, "answered with {status}");
        assert!(fleet.runs(&request) > 0, "answered with {status}");
    }
}

#[test]
fn an_endpoints_own_error_passes_unchanged() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    for status in [500, 504, 404] {
        fleet.service.set_mode(ServiceMode::FailsWith(status));

        let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

        assert_eq!((answer.status, answer.body.as_str()), (status, "failed"));
        assert_eq!(answer.signature.as_deref(), Some("ledger-1"));
    }
}

#[test]
fn an_idempotent_call_goes_to_another_endpoint_after_a_failure() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let other = FakeService::start("ledger-2", "ledger", "south", new_ip(), &fleet.store);
    let other = other.expect("another endpoint");
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);
    fleet.service.set_mode(ServiceMode::Fails);

    let (mut answered, mut at_other) = (0, 0);
    for _ in 0..6 {
        let request = new_request();
        let answer = send(gateway.callers(), "/ack/a", &request, Some(KEY));
        answered += u32::from(answer.status == 200);
        at_other += other.runs(&request);
    }

    assert_eq!((answered, at_other), (6, 6));
}

#[test]
fn each_send_after_the_first_is_charged_to_the_retry_budget() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let other = FakeService::start("ledger-2", "ledger", "south", new_ip(), &fleet.store);
    let _other = other.expect("another endpoint");
    gateway.wait_for_line(&["\"endpoint joined\"", "ledger-2"]);
    fleet.service.set_mode(ServiceMode::Fails);
    fleet.engines[0].set_mode(EngineMode::Refuses);

    for _ in 0..6 {
        send(gateway.callers(), "/ack/a", &new_request(), Some(KEY));
        send(gateway.callers(), "/match/a", &new_request(), Some(KEY));
    }

    let causes = ["refused", "failed", "overdue", "resumed"];
    let sent = causes.map(|cause| gateway.metric(&format!("sorrellock_repeats_{cause}")));
    assert!(sent[0] > 0.0 && sent[1] > 0.0, "{sent:?}");
    assert_eq!(sent.iter().sum::<f64>(), gateway.metric("sorrellock_repeats"));
}

#[test]
fn an_endpoints_own_failure_is_passed_on_with_its_signature() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.service.set_mode(ServiceMode::Fails);

    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

    assert_eq!((answer.status, answer.body.as_str()), (500, "failed"));
    assert_eq!(answer.signature.as_deref(), Some("ledger-1"));
}

#[test]
fn a_success_without_a_signature_is_no_answer() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    fleet.service.set_mode(ServiceMode::Unsigned);

    let answer = send(gateway.callers(), "/status/a", &new_request(), Some(KEY));

    assert_eq!(answer.status, 502);
    assert_ne!(answer.body, "body");
}
