//! Answers through separate processes.

use crate::daemon_process::wait_until;
use crate::process_fleet::{ProcessFleet, expected};
use sorrellock_local::{MODEL, SERVICE};
use std::thread;

/// Answers at the same time.
const STREAMS: u32 = 200;

#[test]
fn two_hundred_streams_at_once_are_right_and_none_is_crossed() {
    let fleet = ProcessFleet::start();
    let callers = [fleet.caller(0), fleet.caller(1)];
    let ask = |number: u32| {
        let prompt = format!("Explain break {number}.");
        let tokens = 12 + number % 5;
        let text = callers[number as usize % 2].stream(MODEL, &prompt, tokens, |_| {});
        (text, expected(&prompt, tokens))
    };

    let answers: Vec<_> = thread::scope(|scope| {
        let streams: Vec<_> = (0..STREAMS).map(|number| scope.spawn(move || ask(number))).collect();
        streams.into_iter().map(|stream| stream.join().unwrap()).collect()
    });

    assert_eq!(answers.len(), STREAMS as usize);
    for (number, (text, expected)) in answers.into_iter().enumerate() {
        assert_eq!(text.unwrap(), expected, "answer {number}");
    }
    let counters = &fleet.dump()["counters"];
    assert_eq!(counters["done"], STREAMS);
    assert_eq!(counters["requests"], STREAMS);
    wait_until(|| fleet.dump()["in_progress"] == 0, || fleet.dump().to_string());
}

#[test]
fn a_plain_service_is_called_once_through_separate_processes() {
    let fleet = ProcessFleet::start();

    let path = format!("/v1/services/{SERVICE}/confirmations?trade=4711");
    let answer = fleet.caller(0).send(&path, &[], r#"{"match":true}"#).unwrap();

    assert_eq!((answer.status, answer.outcome.as_str()), (200, "done"), "{}", answer.body);
    assert_eq!(fleet.service.record().calls.len(), 1);
}
