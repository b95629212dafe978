//! Calls with a key in a whole fleet: each runs at most once, and a retry gets its answer.

use sorrellock_daemon::process::{LogFormat, set_up_log};
use sorrellock_fakes::Outage;
use sorrellock_local::{Caller, CallerAnswer, LocalConfig, LocalFleet, MODEL, SERVICE};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// How long a wait for something to happen may take.
const WAIT: Duration = Duration::from_secs(10);

fn fleet() -> LocalFleet {
    set_up_log(LogFormat::Off);
    let cfg = LocalConfig::new().with_pipeline(1, 1).with_entries(2).with_services(2);
    LocalFleet::start(cfg).expect("a fleet starts")
}

fn post(caller: &Caller, key: &str, body: &str) -> CallerAnswer {
    let path = format!("/v1/services/{SERVICE}/confirmations");
    caller.send(&path, &[("idempotency-key", key)], body).expect("an entry answers")
}

fn complete(caller: &Caller, key: &str, stream: bool) -> CallerAnswer {
    let body = format!(
        r#"{{"model":"{MODEL}","prompt":"Draft the backorder note.","max_tokens":40,"stream":{stream}}}"#
    );
    let headers = [("idempotency-key", key)];
    caller.send("/v1/completions", &headers, &body).expect("an entry answers")
}

/// The text of an answer, whole or streamed.
fn text(answer: &CallerAnswer) -> String {
    if let Some(text) = answer.json()["choices"][0]["text"].as_str() {
        return text.to_owned();
    }
    let data = answer.body.lines().filter_map(|line| line.strip_prefix("data: "));
    let events = data.filter_map(|data| serde_json::from_str::<serde_json::Value>(data).ok());
    events.filter_map(|event| event["choices"][0]["text"].as_str().map(str::to_owned)).collect()
}

/// How often a call with a key ran, at all instances of the service.
fn runs(fleet: &LocalFleet, key: &str) -> u64 {
    fleet.services.iter().map(|local| local.service.record().runs_of(key)).sum()
}

fn arrived(fleet: &LocalFleet) -> u64 {
    let count = |local: &sorrellock_local::LocalService| {
        local.service.counters().arrived.load(Ordering::Acquire)
    };
    fleet.services.iter().map(count).sum()
}

fn wait_for(what: &str, mut happened: impl FnMut() -> bool) {
    let end = Instant::now() + WAIT;
    while !happened() {
        assert!(Instant::now() < end, "{what} did not happen within {WAIT:?}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn a_retry_through_another_entry_gets_the_kept_answer() {
    let fleet = fleet();

    let first = post(&fleet.caller(0, 0), "trade-1", "{}");
    let retry = post(&fleet.caller(1, 0), "trade-1", "{}");
    let same_entry = post(&fleet.caller(0, 0), "trade-1", "{}");

    assert_eq!((first.status, first.replayed), (200, false), "{}", first.body);
    assert_eq!((retry.status, retry.replayed), (200, true), "{}", retry.body);
    assert_eq!(same_entry.body, first.body);
    assert_eq!(retry.body, first.body);
    assert_eq!(runs(&fleet, "trade-1"), 1);
}

#[test]
fn a_key_belongs_to_one_workspace_and_one_body() {
    let fleet = fleet();
    post(&fleet.caller(0, 0), "trade-1", "{}");

    let other_body = post(&fleet.caller(1, 0), "trade-1", r#"{"amount":2}"#);
    let other_workspace = post(&fleet.caller(1, 1), "trade-1", r#"{"amount":2}"#);

    assert_eq!((other_body.status, other_body.outcome.as_str()), (422, "not-run"));
    assert_eq!(other_workspace.status, 200);
    assert_eq!(runs(&fleet, "trade-1"), 2, "once for each workspace");
}

#[test]
fn a_retry_attaches_to_the_run_under_way() {
    let fleet = fleet();
    fleet.services.iter().for_each(|local| local.service.hang());

    let (first, retry) = thread::scope(|scope| {
        let first = scope.spawn(|| post(&fleet.caller(0, 0), "trade-1", "{}"));
        wait_for("the first call", || arrived(&fleet) == 1);
        let retry = scope.spawn(|| post(&fleet.caller(1, 0), "trade-1", "{}"));
        // Longer than a record's run may take to arrive: it must not be taken for lost.
        thread::sleep(Duration::from_millis(300));
        fleet.services.iter().for_each(|local| local.service.unhang());
        (first.join().unwrap(), retry.join().unwrap())
    });

    assert_eq!((first.status, retry.status), (200, 200), "{}", retry.body);
    assert_eq!(first.body, retry.body);
    assert!(retry.replayed && !first.replayed);
    assert_eq!(runs(&fleet, "trade-1"), 1);
}

#[test]
fn many_retries_at_once_through_all_entries_run_once() {
    let fleet = fleet();
    let callers: Vec<Caller> = (0..8).map(|number| fleet.caller(number % 2, 0)).collect();

    let answers: Vec<CallerAnswer> = thread::scope(|scope| {
        let posts: Vec<_> =
            callers.iter().map(|caller| scope.spawn(|| post(caller, "trade-1", "{}"))).collect();
        posts.into_iter().map(|post| post.join().unwrap()).collect()
    });

    for answer in &answers {
        assert_eq!((answer.status, &answer.body), (200, &answers[0].body));
    }
    assert_eq!(runs(&fleet, "trade-1"), 1);
}

#[test]
fn a_store_that_is_down_gets_a_refusal_at_once_and_no_double_after_it() {
    let fleet = fleet();
    post(&fleet.caller(0, 0), "before", "{}");
    fleet.platform.set_outage(Outage::Refuse);

    let refused = post(&fleet.caller(0, 0), "during", "{}");
    fleet.platform.set_outage(Outage::None);
    let mut after = post(&fleet.caller(1, 0), "during", "{}");
    wait_for("a call after the outage", || {
        if after.status != 200 {
            after = post(&fleet.caller(1, 0), "during", "{}");
        }
        after.status == 200
    });

    assert_eq!((refused.status, refused.outcome.as_str()), (503, "not-run"), "{}", refused.body);
    assert!(refused.retry_after.is_some());
    assert_eq!(runs(&fleet, "during"), 1);
}

#[test]
fn a_run_whose_answer_was_lost_is_unknown_and_stays_so() {
    let fleet = fleet();
    fleet.services.iter().for_each(|local| local.service.lose_answers(1));

    let first = post(&fleet.caller(0, 0), "trade-1", "{}");
    let retry = post(&fleet.caller(1, 0), "trade-1", "{}");

    assert_eq!((first.status, first.outcome.as_str()), (409, "unknown"), "{}", first.body);
    assert_eq!((retry.status, retry.outcome.as_str()), (409, "unknown"), "{}", retry.body);
    assert_eq!(runs(&fleet, "trade-1"), 1);
}

#[test]
fn a_daemon_that_dies_with_a_run_leaves_it_unknown() {
    let fleet = fleet();
    fleet.services.iter().for_each(|local| local.service.hang());

    let (first, retry) = thread::scope(|scope| {
        let first = scope.spawn(|| post(&fleet.caller(0, 0), "trade-1", "{}"));
        wait_for("the first call", || arrived(&fleet) == 1);
        for local in &fleet.services {
            if local.service.counters().arrived.load(Ordering::Acquire) == 1 {
                local.beside.stop();
            }
        }
        let first = first.join().unwrap();
        (first, post(&fleet.caller(1, 0), "trade-1", "{}"))
    });
    fleet.services.iter().for_each(|local| local.service.unhang());

    assert_eq!((first.status, first.outcome.as_str()), (409, "unknown"), "{}", first.body);
    assert_eq!((retry.status, retry.outcome.as_str()), (409, "unknown"), "{}", retry.body);
    wait_for("the run that hung", || runs(&fleet, "trade-1") == 1);
}

#[test]
fn calls_right_after_a_holder_died_wait_for_the_next_holder() {
    let fleet = fleet();
    fleet.services[0].beside.stop();

    let answers: Vec<CallerAnswer> = thread::scope(|scope| {
        let fleet = &fleet;
        let call = |number| {
            scope.spawn(move || post(&fleet.caller(0, 0), &format!("call-{number}"), "{}"))
        };
        let calls: Vec<_> = (0..16).map(call).collect();
        calls.into_iter().map(|call| call.join().unwrap()).collect()
    });

    for (number, answer) in answers.iter().enumerate() {
        // A run may have been handed to the dead daemon's link: its end is unknown, and stays so.
        assert_ne!(answer.outcome, "not-run", "call-{number}: {}", answer.body);
        let done = u64::from(answer.status == 200);
        assert_eq!(runs(&fleet, &format!("call-{number}")), done, "call-{number}");
    }
}

#[test]
fn a_call_refused_by_one_daemon_runs_at_another_under_the_next_attempt() {
    let fleet = fleet();
    fleet.services[0].service.stop();

    let answers: Vec<CallerAnswer> =
        (0..6).map(|number| post(&fleet.caller(0, 0), &format!("trade-{number}"), "{}")).collect();

    for (number, answer) in answers.iter().enumerate() {
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(runs(&fleet, &format!("trade-{number}")), 1);
    }
}

#[test]
fn a_bad_key_names_the_mend() {
    let fleet = fleet();

    let answer = post(&fleet.caller(0, 0), &"k".repeat(256), "{}");

    assert_eq!((answer.status, answer.outcome.as_str()), (400, "not-run"));
    assert!(answer.body.contains("1 to 255"), "{}", answer.body);
}

#[test]
fn a_retry_of_a_completion_gets_the_kept_answer_whole_or_streamed() {
    let fleet = fleet();
    let expected = fleet.expected("Draft the backorder note.", 40);

    for (key, stream) in [("note-1", false), ("note-2", true)] {
        let first = complete(&fleet.caller(0, 0), key, stream);
        let mut retry = complete(&fleet.caller(1, 0), key, stream);
        // The end is told after the answer is out; a retry in between is told to wait for it.
        wait_for("the kept answer", || {
            if retry.status != 200 {
                retry = complete(&fleet.caller(1, 0), key, stream);
            }
            retry.status == 200
        });

        assert_eq!((first.status, first.replayed), (200, false), "{}", first.body);
        assert_eq!((text(&first), text(&retry)), (expected.clone(), expected.clone()));
        assert!(retry.replayed);
    }
}

#[test]
fn a_retry_of_a_completion_attaches_to_the_run_under_way() {
    set_up_log(LogFormat::Off);
    let cfg = LocalConfig::new()
        .with_pipeline(2, 1)
        .with_entries(2)
        .with_times(Duration::from_millis(15), Duration::ZERO);
    let fleet = LocalFleet::start(cfg).expect("a fleet starts");

    let (first, retry) = thread::scope(|scope| {
        let first = scope.spawn(|| complete(&fleet.caller(0, 0), "note-1", false));
        wait_for("the first request", || fleet.in_progress() == 1);
        thread::sleep(Duration::from_millis(200));
        let retry = scope.spawn(|| complete(&fleet.caller(1, 0), "note-1", false));
        (first.join().unwrap(), retry.join().unwrap())
    });

    assert_eq!((first.status, retry.status), (200, 200), "{} {}", first.body, retry.body);
    assert!(retry.replayed && !first.replayed);
    assert_eq!(retry.json()["id"], first.json()["id"], "one run, named by its request");
}

#[test]
fn a_call_with_an_attempt_that_may_have_run_is_never_answered_as_not_run() {
    for (loses, stopped) in [(0, 1), (1, 0)] {
        let fleet = fleet();
        fleet.services[loses].service.lose_answers(1);
        fleet.services[stopped].service.stop();

        let answer = fleet.caller(0, 0).get(&format!("/v1/services/{SERVICE}/status")).unwrap();

        assert_eq!((answer.status, answer.outcome.as_str()), (409, "unknown"), "{}", answer.body);
    }
}
