//! The stand-in service, through the client.

mod common;

use common::{PATIENCE, SHORT, service, service_call, service_client, wait_for};
use sorrellock_ports::api::{Service, ServiceCall, ServiceError};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

#[test]
fn call_is_passed_through_and_echoed() {
    let service = service();

    let call = service_call("/trades/7?draft=1", Some("k1"), "{\"a\":1}");
    let answer = service_client(&service).call(&call, PATIENCE).expect("an answer");

    assert_eq!((answer.status, answer.content_type.as_deref()), (200, Some("application/json")));
    let echo: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let expected = serde_json::json!({
        "service": "ledger", "method": "POST", "path": "/trades/7?draft=1",
        "idempotency_key": "k1", "body": "{\"a\":1}", "run": 1,
    });
    assert_eq!(echo, expected);
}

#[test]
fn every_method_passes() {
    let service = service();
    let client = service_client(&service);
    for method in ["GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PROPFIND"] {
        for body in ["", "body"] {
            let call = ServiceCall {
                method: method.into(),
                body: body.into(),
                ..service_call("/", None, "")
            };

            let answer = client.call(&call, PATIENCE).expect(method);

            let echo: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
            assert_eq!((&echo["method"], &echo["body"]), (&method.into(), &body.into()));
        }
    }
}

#[test]
fn runs_are_recorded_by_key() {
    let service = service();
    let client = service_client(&service);
    for (key, body) in [(Some("a"), "1"), (Some("b"), "1"), (Some("a"), "2"), (None, "1")] {
        client.call(&service_call("/", key, body), PATIENCE).expect("an answer");
    }

    let record = service.record();

    assert_eq!((record.runs_of("a"), record.runs_of("b"), record.runs_of("c")), (2, 1, 0));
    assert_eq!((record.double_runs(), record.calls.len()), (1, 4));
    assert_eq!(record.calls[0].body_hash, record.calls[1].body_hash);
    assert_ne!(record.calls[0].body_hash, record.calls[2].body_hash);
    assert_eq!(record.calls[2].run, 2);
}

#[test]
fn refused_call_does_not_run() {
    let service = service();
    service.refuse_next(1);

    let answer = service_client(&service).call(&service_call("/", Some("k"), ""), PATIENCE);

    assert_eq!(answer.expect("an answer").status, 503);
    assert_eq!(service.record().runs_of("k"), 0);
}

#[test]
fn call_that_runs_and_loses_its_answer_gives_no_answer() {
    let service = service();
    service.lose_answers(1);

    let res = service_client(&service).call(&service_call("/", Some("k"), ""), PATIENCE);

    assert!(matches!(res, Err(ServiceError::NoAnswer { .. })), "{res:?}");
    assert_eq!(service.record().runs_of("k"), 1);
    assert_eq!(service.counters().answers_lost.load(Ordering::Relaxed), 1);
}

#[test]
fn hanging_service_gives_no_answer_until_it_goes_on() {
    let service = service();
    let client = service_client(&service);
    service.hang();

    let late = client.call(&service_call("/", Some("late"), ""), SHORT);
    let patient = thread::spawn({
        let client = client.clone();
        move || client.call(&service_call("/", Some("patient"), ""), PATIENCE)
    });
    wait_for("both arrive", || service.counters().arrived.load(Ordering::Relaxed) == 2);
    let ran_while_hanging = service.counters().ran.load(Ordering::Relaxed);
    service.unhang();

    assert!(matches!(late, Err(ServiceError::NoAnswer { .. })), "{late:?}");
    assert_eq!(ran_while_hanging, 0);
    assert_eq!(patient.join().expect("no panic").expect("an answer").status, 200);
}

#[test]
fn latency_holds_calls_back() {
    let service = service();
    service.set_latency(Duration::from_secs(3_600));

    let res = service_client(&service).call(&service_call("/", Some("k"), ""), SHORT);

    assert!(matches!(res, Err(ServiceError::NoAnswer { .. })), "{res:?}");
    assert_eq!(service.record().runs_of("k"), 0);
}

#[test]
fn stopped_service_is_not_reached() {
    let service = service();
    let client = service_client(&service);
    client.call(&service_call("/", None, ""), PATIENCE).expect("an answer");

    service.stop();

    let res = client.call(&service_call("/", None, ""), PATIENCE);
    assert!(matches!(res, Err(ServiceError::NotSent { .. })), "{res:?}");
}
