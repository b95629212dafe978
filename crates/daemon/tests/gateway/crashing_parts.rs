//! Requests, no two alike, with one part in their prompts that crashes each engine that runs them, at all gateways of a
//! fleet.

use crate::crashing_requests::{
    CRASH_AFTER, GATEWAYS, INNOCENT_INTERVAL, MAX_LATER_SENDS, REPEATED_FOR, STABLE_WINDOW,
    count_since, crash_lines, engine_crashes, gateways, large_fleet, sends_to_engines,
    with_revival,
};
use crate::fleet::{Fleet, send_body, send_parts};
use crate::gateway_process::{GatewayProcess, wait_for};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// The part that crashes engines, and the one that all prompts begin with.
const BAD_PART: &str = "bad0";
const FIRST_PART: &str = "5c1e07a2";
/// Time between two requests with the part.
const BAD_INTERVAL: Duration = Duration::from_millis(300);
/// Number of crashes after which the part is held back.
const MAX_CRASHES: usize = 5;

fn fleet_that_crashes() -> Fleet {
    let fleet = large_fleet();
    fleet.engines.iter().for_each(|engine| engine.crash_on_part(BAD_PART, CRASH_AFTER));
    fleet
}

/// Parts of a prompt that share all but the one that crashes engines, each with a last part of its own.
fn bad_parts(index: usize) -> String {
    format!("{FIRST_PART}:40,{BAD_PART}:100,{:x}:700", 0xe000 + index)
}

fn sound_parts(index: usize) -> String {
    format!("{FIRST_PART}:40,{:x}:100,{:x}:700", 0xa0 + index % 7, 0xf000 + index)
}

/// Has callers send requests with the part to all gateways in turn, and sound ones beside them. Returns how many sound ones were
/// sent and served.
fn send_everywhere(gateways: &[GatewayProcess], lasts: Duration) -> (usize, usize) {
    let served = AtomicUsize::new(0);
    let (mut sent, mut bad) = (0, 0);
    let began = Instant::now();
    thread::scope(|scope| {
        for gateway in gateways.iter().cycle() {
            if began.elapsed() >= lasts {
                return;
            }
            if began.elapsed() >= BAD_INTERVAL * bad {
                bad += 1;
                let (body, parts) = (format!("bad {bad}"), bad_parts(bad as usize));
                scope.spawn(move || send_parts(gateway.callers(), "/match/a", &body, Some(&parts)));
            }
            sent += 1;
            let (body, parts, served) = (format!("sound {sent}"), sound_parts(sent), &served);
            scope.spawn(move || {
                let answer = send_parts(gateway.callers(), "/match/a", &body, Some(&parts));
                let is_served = answer.is_some_and(|one| one.status == 200 && one.is_whole);
                served.fetch_add(usize::from(is_served), Ordering::Relaxed);
            });
            thread::sleep(INNOCENT_INTERVAL);
        }
    });
    (sent, served.into_inner())
}

#[test]
fn a_part_that_crashed_five_engines_reaches_no_more_than_three_later() {
    let fleet = fleet_that_crashes();
    let gateways = gateways(&fleet);

    with_revival(&fleet, &[], || send_everywhere(&gateways, REPEATED_FOR));

    let mut crashes = engine_crashes(&fleet);
    crashes.sort();
    let fifth = crashes.get(MAX_CRASHES - 1).or(crashes.last()).expect("it crashes engines");
    let later = count_since(&sends_to_engines(&fleet), *fifth + STABLE_WINDOW);
    let count = crashes.len();
    assert!(later <= MAX_LATER_SENDS, "{later} later sends, {count} crashes");
}

#[test]
fn sound_requests_beside_a_part_that_crashes_engines_are_served() {
    let fleet = fleet_that_crashes();
    let gateways = gateways(&fleet);

    let (sent, served) = with_revival(&fleet, &[], || {
        send_everywhere(&gateways, Duration::from_secs(6));
        send_everywhere(&gateways, REPEATED_FOR)
    });

    assert!(served * 10 >= sent * 9, "{served} of {sent}:\n{}", crash_lines(&gateways));
}

#[test]
fn an_operator_sees_a_held_part_by_its_name_and_releases_it() {
    let fleet = fleet_that_crashes();
    let gateways = gateways(&fleet);
    with_revival(&fleet, &[], || send_everywhere(&gateways, REPEATED_FOR));
    let held = |gateway: &GatewayProcess| {
        let dump = gateway.dump();
        let all = dump["held_requests"].as_array().expect("a list").clone();
        all.into_iter().find(|one| one["is_held"] == true && one["part"] == BAD_PART)
    };

    // A gateway that found it by reports alone reads its name from another one.
    wait_for("the name at each gateway", || gateways.iter().all(|one| held(one).is_some()));
    let before: Vec<_> = gateways.iter().filter_map(held).collect();
    let answer = send_parts(gateways[0].callers(), "/match/a", "again", Some(&bad_parts(0)));
    let alone = send_body(gateways[0].callers(), "/match/a", "a prompt without parts");
    let url = format!("http://{}/held/release/part/{BAD_PART}", gateways[1].metrics());
    let released = ureq::post(url).send_empty().expect("an answer").into_body().read_to_string();

    assert_eq!(before.len(), GATEWAYS);
    assert_eq!(answer.map(|answer| answer.status), Some(503));
    assert_eq!(alone.map(|answer| answer.status), Some(200));
    assert!(released.expect("text").contains("\"was_held\":true"));
    let content = before[0]["content"].as_str().expect("its identity");
    let names_part = |gateway: &GatewayProcess| {
        !gateway.lines(&["\"request held back\"", content, BAD_PART]).is_empty()
    };
    assert!(gateways.iter().any(names_part), "those that ran it know its name");
    for gateway in &gateways {
        gateway.wait_for_line(&["\"request held back\"", content]);
        wait_for("the release to be known", || held(gateway).is_none());
    }
}
