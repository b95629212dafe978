//! Load, cache events, orders, times and failures of the stand-in engine, through the client.

mod common;

use common::{
    PATIENCE, SHORT, client, engine, engine_config, engine_with, refusal, run, run_one, sampled,
    step, wait_for,
};
use sorrellock_core::request::LayerRange;
use sorrellock_fakes::{EngineFailure, PREFIX_BLOCK};
use sorrellock_ports::api::{Batch, Engine, EngineError, EngineStep, LoadReport, Order};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

const PROMPT: &[u32] = &[11, 7, 42];

fn order(fence: u64, model: &str) -> Order {
    let layers = LayerRange::new(0, 4);
    Order { fence, model: model.into(), layers, adapter: None, version: "1".into() }
}

#[test]
fn load_report_lags() {
    let engine = engine_with(engine_config(0, 4).with_load_lag(SHORT));
    let client = client(&engine);

    run_one(&client, step("s", 0, PROMPT, 4));
    let early = client.load();
    let now = LoadReport { waiting: 0, sessions: 1, kv_bytes: 3 * 4 * 8 };

    assert_eq!(engine.load_now(), now);
    assert!(early == Ok(LoadReport::default()) || early == Ok(now.clone()), "{early:?}");
    wait_for("the lag is over", || client.load() == Ok(now.clone()));
}

#[test]
fn cached_prefix_costs_no_time_and_changes_no_output() {
    let prompt: Vec<u32> = (0..PREFIX_BLOCK as u32 * 2 + 1).collect();
    let engine = engine(0, 4);
    let client = client(&engine);

    let first = sampled(run_one(&client, step("s", 0, &prompt, 4)));
    let second = sampled(run_one(&client, step("t", 0, &prompt, 4)));

    assert_eq!(first, second);
    let cached = engine.counters().tokens_cached.load(Ordering::Relaxed);
    assert_eq!(cached, PREFIX_BLOCK as u64 * 2);
    assert_eq!(engine.record().applications(), 2 * 4 * prompt.len() as u64);
}

#[test]
fn cache_events_tell_what_came_and_went() {
    let engine = engine_with(engine_config(0, 1).with_prefix_blocks(1));
    let client = client(&engine);
    let prompts: Vec<Vec<u32>> = (0..2).map(|n| vec![n; PREFIX_BLOCK]).collect();
    for (n, prompt) in prompts.iter().enumerate() {
        run_one(&client, step(&format!("s{n}"), 0, prompt, 1));
    }

    let events = client.cache_events(0).expect("events");
    let later = client.cache_events(2).expect("events");

    let [one, two] = [0, 1].map(|n| sorrellock_fakes::prefix_hashes(&prompts[n])[0]);
    let seen: Vec<_> = events.iter().map(|event| (event.prefix, event.stored)).collect();
    assert_eq!(seen, [(one, true), (two, true), (one, false)]);
    assert_eq!(later, events[2..]);
}

#[test]
fn cache_events_come_late_and_with_gaps() {
    let engine = engine_with(engine_config(0, 1).with_cache_events(SHORT, 2));
    let client = client(&engine);
    for n in 0..4 {
        run_one(&client, step(&format!("s{n}"), 0, &[n; PREFIX_BLOCK], 1));
    }

    wait_for("the lag is over", || client.cache_events(0).expect("events").len() == 2);

    let numbers = client.cache_events(0).expect("events").into_iter().map(|event| event.number);
    assert_eq!(numbers.collect::<Vec<_>>(), [1, 3]);
}

#[test]
fn order_with_an_old_fence_is_refused() {
    let engine = engine(0, 4);
    let client = client(&engine);

    client.order(&order(7, "stock")).expect("a first order");
    let old = client.order(&order(6, "lexis"));
    let same = client.order(&order(7, "stock"));

    assert!(matches!(old, Err(EngineError::Refused { .. })), "{old:?}");
    assert_eq!(same, Ok(()));
    assert_eq!(engine.info().model, "stock");
    assert_eq!(engine.counters().orders_refused.load(Ordering::Relaxed), 1);
}

#[test]
fn engine_that_ignores_fences_takes_an_old_order() {
    let engine = engine_with(engine_config(0, 4).with_fences_ignored());
    let client = client(&engine);

    client.order(&order(7, "stock")).expect("a first order");
    client.order(&order(6, "lexis")).expect("an old order");

    assert_eq!(engine.info().model, "lexis");
    assert_eq!(engine.orders(), [order(7, "stock"), order(6, "lexis")]);
}

#[test]
fn order_of_another_model_frees_the_sessions() {
    let engine = engine(0, 4);
    let client = client(&engine);
    run_one(&client, step("s", 0, PROMPT, 4));

    client.order(&order(1, "stock")).expect("an order");

    assert!(refusal(run_one(&client, step("s", 3, &[1], 4))).contains("no session"));
}

#[test]
fn batches_run_one_at_a_time() {
    let hour = Duration::from_secs(3_600);
    let engine = engine_with(engine_config(0, 1).with_times(hour, Duration::ZERO));
    for n in 0..4 {
        let client = client(&engine);
        thread::spawn(move || run(&client, vec![step(&format!("s{n}"), 0, &[1], 1)]));
    }

    wait_for("one runs", || engine.load_now().sessions == 1 && engine.load_now().waiting == 3);
    thread::sleep(SHORT);

    assert_eq!((engine.load_now().sessions, engine.load_now().waiting), (1, 3));
}

#[test]
fn urgent_batch_passes_those_that_wait() {
    let engine = engine(0, 1);
    let send = |session: &'static str, priority, number| {
        let client = client(&engine);
        let step = EngineStep { priority, ..step(session, 0, &[1], 1) };
        let thread = thread::spawn(move || run_one(&client, step));
        wait_for("it arrives", || engine.counters().arrived.load(Ordering::Relaxed) == number);
        thread
    };
    engine.freeze();
    let threads = [send("first", 0, 1), send("second", 0, 2), send("urgent", 9, 3)];

    engine.unfreeze();

    threads.into_iter().for_each(|thread| _ = sampled(thread.join().expect("no panic")));
    let order: Vec<_> = engine.record().runs.iter().map(|ran| ran.session.clone()).collect();
    assert_eq!(order, ["urgent", "first", "second"]);
}

#[test]
fn speed_and_slowness_change_the_time() {
    let cfg = engine_config(0, 1).with_times(Duration::from_millis(8), Duration::from_millis(2));
    let cfg = cfg.with_layer_time(Duration::from_millis(1)).with_speed(2.0);
    assert_eq!(cfg.batch_time(3, 6), Duration::from_millis(10));
    let engine = engine_with(cfg);
    let client = client(&engine);

    engine.set_slow(3.0);
    run_one(&client, step("s", 0, PROMPT, 1));

    // (8 ms + 3 tokens x 2 ms + 3 x 1 ms) / 2 x 3
    assert_eq!(engine.counters().busy_us.load(Ordering::Relaxed), 25_500);
}

#[test]
fn frozen_engine_answers_nothing_and_goes_on_when_thawed() {
    let engine = engine(0, 1);
    let client = client(&engine);
    engine.freeze();

    let call = thread::spawn({
        let client = client.clone();
        move || run_one(&client, step("s", 0, &[1], 1))
    });
    let info = client.clone().with_timeout(SHORT).info();
    wait_for("both arrive", || engine.counters().arrived.load(Ordering::Relaxed) == 2);
    let ran_while_frozen = engine.record().applications();
    engine.unfreeze();

    assert!(matches!(info, Err(EngineError::NoAnswer { .. })), "{info:?}");
    assert_eq!(ran_while_frozen, 0);
    sampled(call.join().expect("no panic"));
}

#[test]
fn batches_fail_as_asked() {
    let engine = engine(0, 1);
    let client = client(&engine);
    let run = |session: &str| run(&client, vec![step(session, 0, &[1], 1)]);

    engine.fail_next(EngineFailure::Refuse, 1);
    let refused = run("refused");
    engine.fail_next(EngineFailure::CutBefore, 1);
    let cut_before = run("cut before");
    engine.fail_next(EngineFailure::CutAfter, 1);
    let cut_after = run("cut after");
    let fine = run("fine");

    assert!(matches!(refused, Err(EngineError::Refused { .. })), "{refused:?}");
    assert!(matches!(cut_before, Err(EngineError::NoAnswer { .. })), "{cut_before:?}");
    assert!(matches!(cut_after, Err(EngineError::NoAnswer { .. })), "{cut_after:?}");
    assert!(fine.is_ok(), "{fine:?}");
    let record = engine.record();
    let ran: Vec<_> = record.runs.iter().map(|ran| ran.session.as_str()).collect();
    assert_eq!(ran, ["cut after", "fine"]);
}

#[test]
fn stopped_engine_breaks_calls_in_progress_and_refuses_new_ones() {
    let hour = Duration::from_secs(3_600);
    let engine = engine_with(engine_config(0, 1).with_times(hour, Duration::ZERO));
    let client = client(&engine);
    let call = thread::spawn({
        let client = client.clone();
        move || client.run(&Batch { steps: vec![step("s", 0, &[1], 1)] }, PATIENCE)
    });
    wait_for("it runs", || engine.load_now().sessions == 1);

    engine.stop();

    let broken = call.join().expect("no panic");
    let after = client.info();
    assert!(matches!(broken, Err(EngineError::NoAnswer { .. })), "{broken:?}");
    assert!(matches!(after, Err(EngineError::NotSent { .. })), "{after:?}");
}
