//! More streams than the engines take, at gateways that give out the capacity together.

use crate::fleet::{Fleet, KEY, config, fleet, send_body};
use crate::gateway_process::{GatewayProcess, wait_for};
use nix::sys::signal::Signal;
use serde_json::json;
use sorrellock_stand_ins::FakeEngine;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Streams that an engine takes as the first of a path.
const SLOTS: usize = 24;
/// Less than a stream lasts, so that all that begin within this time run together.
const WINDOW: Duration = Duration::from_millis(700);
/// Time between two requests: some 130 streams at a time would run, where no more than half of them fit.
const INTERVAL: Duration = Duration::from_millis(6);
/// The longest time to return that is told.
const MAX_RETRY_AFTER: f64 = 4.0;

/// A configuration in which the callers' workspace and another one differ in rank.
fn put_ranked_config(fleet: &Fleet, slots: usize) {
    let mut cfg = config(2, &[KEY]);
    cfg["services"][1]["engine"]["slots"] = slots.into();
    let tenants = cfg["tenants"].as_array_mut().expect("a list");
    tenants.push(json!({"name": "desk", "api_keys": ["k-desk"], "priority": 0}));
    fleet.store.put("config", "main", cfg);
}

fn gateways(fleet: &Fleet) -> Vec<GatewayProcess> {
    let gateways: Vec<GatewayProcess> = [("one", "north"), ("two", "north"), ("three", "south")]
        .map(|(name, data_centre)| GatewayProcess::start(name, data_centre, fleet.store.addr()))
        .into();
    for gateway in &gateways {
        gateway.wait_for_line(&["\"configuration in force\"", "\"version\":2,"]);
        wait_for("the others", || gateway.lines(&["\"gateway discovered\""]).len() >= 2);
        wait_for("paths", || gateway.lines(&["\"path in use\""]).len() >= 2);
    }
    // By then each knows the loads of the others.
    thread::sleep(Duration::from_secs(1));
    gateways
}

/// What the callers got: statuses, and the times to return in seconds.
#[derive(Default)]
struct Got {
    sent: usize,
    served: usize,
    refused: usize,
    retry_after: Vec<f64>,
}

fn overload(gateways: &[GatewayProcess], lasts: Duration) -> Got {
    let got = Mutex::new(Got::default());
    let began = Instant::now();
    thread::scope(|scope| {
        for (index, gateway) in gateways.iter().cycle().enumerate() {
            if began.elapsed() >= lasts {
                return;
            }
            let got = &got;
            got.lock().expect("no panic holds this lock").sent += 1;
            scope.spawn(move || {
                let answer = send_body(gateway.callers(), "/match/a", &format!("body {index}"));
                let Some(answer) = answer else { return };
                let mut got = got.lock().expect("no panic holds this lock");
                got.served += usize::from(answer.status == 200 && answer.is_whole);
                got.refused += usize::from(answer.status == 503);
                let retry_after = answer.retry_after.filter(|_| answer.status == 503);
                got.retry_after.extend(retry_after.and_then(|text| text.parse::<f64>().ok()));
            });
            thread::sleep(INTERVAL);
        }
    });
    got.into_inner().expect("no panic holds this lock")
}

/// The most streams that one engine began within a window, and thus ran together, from `since` on.
fn most_at_once(engine: &FakeEngine, since: Instant) -> usize {
    let mut began = engine.seen().requests;
    began.retain(|at| *at >= since);
    let within =
        |from: &Instant| began.iter().filter(|at| **at >= *from && **at < *from + WINDOW).count();
    began.iter().map(within).max().unwrap_or_default()
}

#[test]
fn engines_get_no_more_streams_than_they_take_and_all_others_are_told_when_to_return() {
    let fleet = fleet();
    put_ranked_config(&fleet, SLOTS);
    let gateways = gateways(&fleet);

    let began = Instant::now();

    let got = overload(&gateways, Duration::from_secs(6));

    for engine in &fleet.engines {
        let most = most_at_once(engine, began);
        assert!(most <= SLOTS, "{}: {most}", engine.id());
    }
    assert_eq!(got.served + got.refused, got.sent);
    assert!(got.refused > 0 && got.served > 0);
    assert_eq!(got.retry_after.len(), got.refused, "each refusal tells when to return");
    let longest = got.retry_after.iter().copied().fold(0.0, f64::max);
    assert!(longest <= MAX_RETRY_AFTER, "{longest}");
    let keepers =
        gateways.iter().filter(|one| one.metric("sorrellock_capacity_grants") > 0.0).count();
    assert_eq!(keepers, 1, "one gateway gives out the capacity");
}

#[test]
fn a_gateway_that_gives_out_capacity_may_end_under_load() {
    let fleet = fleet();
    put_ranked_config(&fleet, SLOTS);
    let mut gateways = gateways(&fleet);
    overload(&gateways, Duration::from_secs(2));
    let grants = |one: &GatewayProcess| one.metric("sorrellock_capacity_grants") > 0.0;
    let keeper = gateways.iter().position(grants).expect("one gives it out");

    let keeper = gateways.remove(keeper);
    keeper.signal(Signal::SIGKILL);
    let killed_at = Instant::now();
    let got = overload(&gateways, Duration::from_secs(5));

    assert_eq!(got.served + got.refused, got.sent, "nobody is left without an answer");
    assert!(got.served > 0);
    assert!(gateways.iter().any(grants), "another one gives it out");
    for engine in &fleet.engines {
        let most = most_at_once(engine, killed_at);
        assert!(most <= SLOTS, "{}: {most}", engine.id());
    }
}

#[test]
fn requests_for_capacity_that_can_not_be_read_are_refused_and_counted() {
    let fleet = fleet();
    let gateway = fleet.settled_gateway("one");
    let valid = json!({
        "gateway": 7, "service": "lexis", "data_centre": "north", "workspace": null,
        "route": "match", "rank": 11, "is_resumed": false, "request": 1, "tokens": 500.0,
        "bytes": 10, "max_wait_ms": 100, "excluded": [],
    });
    let url = format!("http://{}/capacity", gateway.metrics());
    let ask = |body: String| {
        let answer = ureq::post(&url).config().http_status_as_error(false).build().send(body);
        let mut answer = answer.expect("an answer");
        let text = answer.body_mut().read_to_string().expect("text");
        (answer.status().as_u16(), text)
    };
    let with = |field: &str, value: serde_json::Value| {
        let mut ask = valid.clone();
        ask[field] = value;
        ask.to_string()
    };

    let read = ask(valid.to_string());
    let invalid = [
        ("tokens", with("tokens", json!(-1.0))),
        ("tokens", with("tokens", json!(1e300))),
        ("max_wait_ms", with("max_wait_ms", json!(u32::MAX))),
        ("EOF", "{".to_owned()),
        ("rank", with("rank", json!(4_000))),
    ];

    assert_eq!(read.0, 200, "{read:?}");
    for (field, body) in &invalid {
        let (status, text) = ask(body.clone());
        assert_eq!(status, 400, "{field}: {text}");
        assert!(text.contains(field) || *field == "rank", "{field}: {text}");
    }
    let counted = gateway.metric("sorrellock_capacity_asks_invalid");
    assert_eq!(counted, invalid.len() as f64);
    assert_eq!(gateway.metric("sorrellock_capacity_waiting"), 0.0);
}
