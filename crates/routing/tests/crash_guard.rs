//! Which requests are held back after endpoints ended under them.

use sorrellock_routing::process::Incarnation;
use sorrellock_routing::process::crashes::{
    Admission, CrashEvent, CrashGuard, CrashReports, HOLD_TERM, HeldSource, RunEnd, RunRequest,
    UnixMillis,
};
use sorrellock_routing::request::ContentId;
use std::rc::Rc;
use std::time::{Duration, Instant};

const UNIX: UnixMillis = 1_790_000_000_000;
const MS: Duration = Duration::from_millis(1);

fn engine(index: usize) -> Incarnation {
    Incarnation::new(format!("engine-{index}"), None)
}

fn request(body: &str) -> Rc<RunRequest> {
    let (workspace, path) = (Some("treasury".to_owned()), "/match/a".to_owned());
    let content = ContentId::new(workspace.as_deref(), &path, body.as_bytes());
    Rc::new(RunRequest { content, parts: Vec::new(), workspace, path })
}

fn content(body: &str) -> ContentId {
    request(body).content
}

/// Runs requests on an engine, which crashes 50 ms later.
fn crash(guard: &mut CrashGuard, engine: &Incarnation, bodies: &[&str], now: Instant) {
    let begin = |body: &&str| guard.begin_run(request(body), vec![engine.clone()]);
    let runs: Vec<_> = bodies.iter().map(begin).collect();
    let now = now + 50 * MS;
    runs.into_iter().for_each(|run| guard.end_run(run, RunEnd::Broke, now, UNIX));
    guard.on_endpoint_ended(engine, now, UNIX);
}

fn crash_three(guard: &mut CrashGuard, body: &str, now: Instant) {
    (0..3).for_each(|index| crash(guard, &engine(index), &[body], now));
}

/// Runs a request for 2 s, without harm.
fn run_without_harm(guard: &mut CrashGuard, body: &str, now: Instant) {
    let run = guard.begin_run(request(body), vec![engine(99)]);
    guard.end_run(run, RunEnd::Answered, now + 2_000 * MS, UNIX);
}

fn is_held(guard: &CrashGuard, body: &str) -> bool {
    guard.admission(&request(body), UNIX) != Admission::Free
}

#[test]
fn a_request_is_held_back_once_three_endpoints_ended_under_it() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    let mut held = Vec::new();
    for index in 0..3 {
        crash(&mut guard, &engine(index), &["poison", &format!("neighbour {index}")], now);
        held.push(is_held(&guard, "poison"));
    }

    assert_eq!(held, [false, false, true]);
    assert!((0..3).all(|index| !is_held(&guard, &format!("neighbour {index}"))));
    let events = guard.take_events();
    let [.., CrashEvent::Held { held, source: HeldSource::Crashes }] = events.as_slice() else {
        panic!("{events:?}");
    };
    assert_eq!(held.endpoints, (0..3).map(engine).collect::<Vec<_>>());
    assert_eq!(held.path.as_deref(), Some("/match/a"));
    assert_eq!(held.workspace.as_deref(), Some("treasury"));
}

#[test]
fn a_broken_connection_counts_only_if_its_endpoint_ended() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    for index in 0..5 {
        let run = guard.begin_run(request("body"), vec![engine(index)]);
        guard.end_run(run, RunEnd::Broke, now, UNIX);
        // An end that is found much later has another reason.
        guard.on_endpoint_ended(&engine(index), now + 2_001 * MS, UNIX);
    }

    assert!(!is_held(&guard, "body"));
    assert!(!guard.is_suspect(content("body")));
}

#[test]
fn an_end_that_is_known_before_the_connection_breaks_counts() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    for index in 0..3 {
        let run = guard.begin_run(request("poison"), vec![engine(index + 10), engine(index)]);
        guard.on_endpoint_ended(&engine(index), now, UNIX);
        guard.end_run(run, RunEnd::Broke, now + 100 * MS, UNIX);
    }

    assert!(is_held(&guard, "poison"));
}

#[test]
fn several_endpoints_of_one_run_that_end_together_count_once() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    let path: Vec<Incarnation> = (0..4).map(engine).collect();

    let run = guard.begin_run(request("body"), path.clone());
    guard.on_endpoint_ended(&path[3], now, UNIX);
    guard.end_run(run, RunEnd::Broke, now, UNIX);
    path.iter().for_each(|engine| guard.on_endpoint_ended(engine, now, UNIX));

    assert!(!is_held(&guard, "body"));
    assert!(guard.is_suspect(content("body")));
}

#[test]
fn runs_with_some_events_count_for_nothing() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    for index in 0..5 {
        let run = guard.begin_run(request("body"), vec![engine(index)]);
        guard.on_events(run, 4, now);
        let now = now + 500 * MS;
        guard.end_run(run, RunEnd::Broke, now, UNIX);
        guard.on_endpoint_ended(&engine(index), now, UNIX);
    }

    assert!(!guard.is_suspect(content("body")));
}

#[test]
fn a_fast_engine_that_sends_events_until_it_ends_counts() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    for index in 0..3 {
        let run = guard.begin_run(request("poison"), vec![engine(index)]);
        guard.on_events(run, 8, now);
        guard.end_run(run, RunEnd::Broke, now + 100 * MS, UNIX);
        guard.on_endpoint_ended(&engine(index), now + 100 * MS, UNIX);
    }

    assert!(is_held(&guard, "poison"));
}

#[test]
fn a_slow_engine_that_ends_before_its_fourth_event_counts() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    for index in 0..3 {
        let run = guard.begin_run(request("poison"), vec![engine(index)]);
        guard.on_events(run, 3, now);
        guard.end_run(run, RunEnd::Broke, now + 3_000 * MS, UNIX);
        guard.on_endpoint_ended(&engine(index), now + 3_000 * MS, UNIX);
    }

    assert!(is_held(&guard, "poison"));
}

#[test]
fn a_run_without_harm_clears_a_suspect_and_late_reports_do_not_count_again() {
    let (mut guard, mut other) = (CrashGuard::default(), CrashGuard::default());
    let now = Instant::now();
    (0..2).for_each(|index| crash(&mut other, &engine(index), &["body"], now));
    let late = other.reports(now);
    guard.on_reports(&late, now, UNIX);

    run_without_harm(&mut guard, "body", now);
    guard.on_reports(&late, now, UNIX);
    crash(&mut guard, &engine(2), &["body"], now);
    other.on_reports(&guard.reports(now), now, UNIX);

    assert!(!is_held(&guard, "body"));
    assert!(!is_held(&other, "body"), "the others are told of the run without harm");
}

#[test]
fn crashes_at_different_gateways_count_together() {
    let mut guards: Vec<CrashGuard> = (0..4).map(|_| CrashGuard::default()).collect();
    let now = Instant::now();

    for index in 0..3 {
        crash(&mut guards[index], &engine(index), &["poison"], now);
        let reports = guards[index].reports(now);
        guards.iter_mut().for_each(|guard| guard.on_reports(&reports, now, UNIX));
    }

    assert!(guards.iter().all(|guard| is_held(guard, "poison")));
    let digest = guards[0].digest();
    assert!(guards.iter().all(|guard| guard.digest() == digest));
    // Those that ran it save the record.
    let saves = |guard: &CrashGuard| guard.held().next_unsaved().is_some();
    assert_eq!(guards.iter().map(saves).collect::<Vec<_>>(), [true, true, true, false]);
}

#[test]
fn one_crash_that_several_gateways_report_counts_once() {
    let mut guards: Vec<CrashGuard> = (0..4).map(|_| CrashGuard::default()).collect();
    let now = Instant::now();

    guards.iter_mut().for_each(|guard| crash(guard, &engine(0), &["body"], now));
    let reports: Vec<CrashReports> = guards.iter_mut().map(|guard| guard.reports(now)).collect();
    reports.iter().for_each(|reports| guards[0].on_reports(reports, now, UNIX));

    assert!(!is_held(&guards[0], "body"));
}

#[test]
fn a_request_found_alone_is_tried_once_after_a_minute_and_held_for_an_hour() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    crash_three(&mut guard, "poison", now);
    let content = content("poison");
    let minutes = |minutes: u64| UNIX + minutes * 60_000;

    let at = |guard: &CrashGuard, unix| guard.admission(&request("poison"), unix);

    assert_eq!(at(&guard, UNIX), Admission::Held { retry_in: Duration::from_secs(60) });
    assert_eq!(at(&guard, minutes(1)), Admission::TrialDue);
    let held = guard.held().get(content).expect("it is held").clone();
    let tried = sorrellock_routing::process::crashes::HeldRequest {
        trial_by: Some("gateway-1".to_owned()),
        ..held
    };
    guard.merge(vec![tried], HeldSource::Store, minutes(1));
    assert_eq!(
        at(&guard, minutes(2)),
        Admission::Held { retry_in: HOLD_TERM - Duration::from_secs(120) }
    );
    assert_eq!(at(&guard, minutes(60)), Admission::Free);
}

#[test]
fn requests_that_crashed_together_are_tried_soon() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    (0..3).for_each(|index| crash(&mut guard, &engine(index), &["poison", "innocent"], now));

    for body in ["poison", "innocent"] {
        let retry_in = Duration::from_secs(5);
        assert_eq!(guard.admission(&request(body), UNIX), Admission::Held { retry_in });
        assert_eq!(guard.admission(&request(body), UNIX + 5_000), Admission::TrialDue);
    }
}

#[test]
fn a_trial_without_harm_releases_the_request_everywhere() {
    let (mut guard, mut other) = (CrashGuard::default(), CrashGuard::default());
    let now = Instant::now();
    crash_three(&mut guard, "body", now);
    let reports = guard.reports(now);
    other.on_reports(&reports, now, UNIX);

    run_without_harm(&mut guard, "body", now);
    // Reports of the crashes that come late.
    other.merge(guard.held().iter().cloned().collect(), HeldSource::Gateway, UNIX);
    [&mut guard, &mut other].into_iter().for_each(|guard| guard.on_reports(&reports, now, UNIX));

    assert!(!is_held(&guard, "body"));
    assert!(!is_held(&other, "body"));
    assert!(matches!(
        other.take_events().last(),
        Some(CrashEvent::Released { source: HeldSource::Gateway, .. })
    ));
}

#[test]
fn an_operator_releases_a_request_until_it_crashes_three_more() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    crash_three(&mut guard, "poison", now);

    assert!(guard.release(content("poison"), HeldSource::Operator));
    assert!(!guard.release(content("poison"), HeldSource::Operator));
    let was_held = is_held(&guard, "poison");
    (3..6).for_each(|index| crash(&mut guard, &engine(index), &["poison"], now));

    assert!(!was_held);
    assert!(is_held(&guard, "poison"));
}

#[test]
fn suspects_run_on_different_endpoints() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    crash(&mut guard, &engine(0), &["one", "other"], now);

    let run = guard.begin_run(request("one"), vec![engine(1), engine(2)]);

    assert!(guard.has_suspect(&engine(1), now));
    assert!(!guard.has_suspect(&engine(2), now));
    guard.on_events(run, 4, now);
    let later = now + 300 * MS;
    assert!(guard.has_suspect(&engine(1), later - MS));
    assert!(!guard.has_suspect(&engine(1), later), "it has run long enough");
}

#[test]
fn a_request_one_crash_short_runs_once_at_a_time() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    let content = content("body");
    crash(&mut guard, &engine(0), &["body"], now);

    let run = guard.begin_run(request("body"), vec![engine(1)]);
    let after_one = guard.is_suspect_running(content, now);
    guard.end_run(run, RunEnd::Broke, now, UNIX);
    guard.on_endpoint_ended(&engine(1), now, UNIX);
    guard.begin_run(request("body"), vec![engine(2)]);
    let after_two = guard.is_suspect_running(content, now);

    assert!(!after_one);
    assert!(after_two);
}

#[test]
fn a_request_one_crash_short_runs_at_one_gateway_at_a_time() {
    let (mut guard, mut other) = (CrashGuard::default(), CrashGuard::default());
    let now = Instant::now();
    let content = content("body");
    (0..2).for_each(|index| crash(&mut guard, &engine(index), &["body"], now));
    other.on_reports(&guard.reports(now), now, UNIX);

    let run = guard.begin_run(request("body"), vec![engine(2)]);
    other.on_reports(&guard.reports(now), now, UNIX);
    let while_running = other.is_suspect_running(content, now);
    guard.end_run(run, RunEnd::Abandoned, now, UNIX);
    let later = now + 600 * MS;
    other.on_reports(&guard.reports(later), later, UNIX);

    assert!(while_running);
    assert!(!other.is_suspect_running(content, later));
}

#[test]
fn a_request_that_crashed_a_fourth_endpoint_is_not_tried() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    let fourth = guard.begin_run(request("poison"), vec![engine(3)]);
    crash_three(&mut guard, "poison", now);

    guard.end_run(fourth, RunEnd::Broke, now, UNIX);
    guard.on_endpoint_ended(&engine(3), now, UNIX);

    let an_hour_less = HOLD_TERM - Duration::from_secs(600);
    let admission = guard.admission(&request("poison"), UNIX + 600_000);
    assert_eq!(admission, Admission::Held { retry_in: an_hour_less });
}

#[test]
fn a_run_whose_endpoint_ended_keeps_its_request_from_nothing() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();
    crash(&mut guard, &engine(0), &["other"], now);

    let run = guard.begin_run(request("other"), vec![engine(5)]);
    guard.on_endpoint_ended(&engine(5), now, UNIX);

    // It stays open, as its connection is silent, while the request is sent elsewhere.
    assert!(guard.is_suspect(content("other")));
    assert!(!guard.is_suspect_running(content("other"), now));
    assert!(!guard.has_suspect(&engine(5), now));
    guard.end_run(run, RunEnd::Abandoned, now, UNIX);
}

#[test]
fn a_gateway_that_missed_the_reports_learns_the_crashes_from_another_one_s_records() {
    let (mut guard, mut newcomer) = (CrashGuard::default(), CrashGuard::default());
    let now = Instant::now();
    (0..2).for_each(|index| crash(&mut guard, &engine(index), &["poison", "innocent"], now));
    run_without_harm(&mut guard, "innocent", now);
    let later = now + Duration::from_secs(100);

    newcomer.merge_records(guard.records(later), later, UNIX);
    let digests = (guard.digest(), newcomer.digest());
    ["poison", "innocent"].iter().for_each(|body| {
        crash(&mut newcomer, &engine(body.len()), &[body], later);
    });

    assert_eq!(digests.0, digests.1);
    assert!(is_held(&newcomer, "poison"));
    assert!(!is_held(&newcomer, "innocent"));
}

#[test]
fn suspects_end_everywhere_whoever_passes_them_on() {
    let (mut one, mut other) = (CrashGuard::default(), CrashGuard::default());
    let now = Instant::now();
    crash(&mut one, &engine(0), &["body"], now);

    for seconds in [200, 400, 599] {
        let at = now + Duration::from_secs(seconds);
        other.merge_records(one.records(at), at, UNIX);
        one.merge_records(other.records(at), at, UNIX);
    }
    let end = now + Duration::from_secs(601);
    [&mut one, &mut other].into_iter().for_each(|guard| guard.drop_expired(end, UNIX));

    assert_eq!((one.suspects(), other.suspects()), (0, 0));
}

#[test]
fn suspects_and_reports_are_bounded() {
    let mut guard = CrashGuard::default();
    let now = Instant::now();

    for index in 0..10 {
        let bodies: Vec<String> = (0..600).map(|nth| format!("{index}/{nth}")).collect();
        let bodies: Vec<&str> = bodies.iter().map(String::as_str).collect();
        crash(&mut guard, &engine(index), &bodies, now);
    }

    assert_eq!(guard.suspects(), 4_096);
    assert_eq!(guard.evicted(), 6_000 - 4_096);
    let reported = guard.reports(now);
    assert_eq!(reported.crashes.len(), 1, "one of 600, the latest");
    assert_eq!(reported.crashes[0].endpoint, engine(9));
    assert_eq!(guard.reports(now + 1_550 * MS), CrashReports::default());
    guard.drop_expired(now + Duration::from_secs(601), UNIX);
    assert_eq!(guard.suspects(), 0);
}
