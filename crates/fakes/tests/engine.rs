//! The stand-in engine, through the client.

mod common;

use common::{
    Chain, client, engine, engine_config, engine_with, refusal, run, run_one, sampled, step,
};
use sorrellock_core::request::{Activations, LayerRange};
use sorrellock_fakes::{Applied, expected_text};
use sorrellock_ports::api::{Engine, EngineError, EngineStep, StepOutput};
use std::sync::atomic::Ordering;

const PROMPT: &[u32] = &[11, 7, 42];

#[test]
fn info_tells_what_it_is() {
    let engine = engine_with(engine_config(2, 6).with_endpoint("lexis-1").with_max_batch(3));

    let info = client(&engine).info().expect("an answer");

    assert_eq!((&*info.endpoint, &*info.model), ("lexis-1", "lexis"));
    assert_eq!((info.layers, info.max_batch), (LayerRange::new(2, 6), 3));
}

#[test]
fn steps_of_a_batch_are_answered_in_order() {
    let engine = engine(0, 4);
    let client = client(&engine);
    let prompts: [&[u32]; 3] = [&[1], &[2, 3], &[4, 5, 6]];

    let steps = prompts.iter().enumerate().map(|(n, prompt)| step(&format!("s{n}"), 0, prompt, 4));
    let outputs = run(&client, steps.collect()).expect("an answer");

    let tokens: Vec<_> = outputs.into_iter().map(sampled).collect();
    let expected: Vec<_> = prompts.iter().map(|prompt| expected_text(prompt, 4, 1).0[0]).collect();
    assert_eq!(tokens, expected);
}

#[test]
fn activations_have_the_width_that_was_set() {
    let engine = engine_with(engine_config(0, 2).with_activation_bytes(1_000));

    let first = EngineStep { sample: false, ..step("s", 0, PROMPT, 2) };
    let output = run_one(&client(&engine), first);

    let StepOutput::Activations(activations) = output else { panic!("{output:?}") };
    assert_eq!((activations.width, activations.count()), (1_000, 3));
}

#[test]
fn step_that_does_not_follow_is_refused_and_does_not_run() {
    let engine = engine(0, 4);
    let client = client(&engine);
    run_one(&client, step("s", 0, PROMPT, 4));

    let gap = run_one(&client, step("s", 4, &[1], 4));
    let repeat = run_one(&client, step("s", 2, &[1], 4));
    let again = run_one(&client, step("s", 0, PROMPT, 4));
    let unknown = run_one(&client, step("other", 3, &[1], 4));

    assert!(refusal(gap).contains("at 3, the step begins at 4"));
    assert!(refusal(repeat).contains("at 3, the step begins at 2"));
    assert!(refusal(again).contains("session exists"));
    assert!(refusal(unknown).contains("no session other"));
    assert_eq!(engine.record().applications(), 3 * 4);
    assert_eq!(engine.counters().steps_refused.load(Ordering::Relaxed), 4);
}

#[test]
fn malformed_steps_are_refused() {
    let engine = engine(2, 6);
    let client = client(&engine);
    let with = |first, end, activations| EngineStep {
        layers: LayerRange::new(first, end),
        activations,
        ..step("s", 0, &[1], 4)
    };
    let good = Activations::new(64, vec![0; 64]);

    let below = run_one(&client, with(1, 6, good.clone()));
    let above = run_one(&client, with(2, 7, good.clone()));
    let empty = run_one(&client, with(3, 3, good.clone()));
    let missing = run_one(&client, with(2, 6, Activations::default()));
    let narrow = run_one(&client, with(2, 6, Activations::new(8, vec![0; 8])));
    let fits = run_one(&client, with(2, 6, good));

    for output in [below, above, empty, missing, narrow] {
        refusal(output);
    }
    sampled(fits);
}

#[test]
fn batch_that_is_too_large_is_refused() {
    let engine = engine_with(engine_config(0, 1).with_max_batch(2));
    let steps: Vec<_> = (0..3).map(|n| step(&format!("s{n}"), 0, &[1], 1)).collect();

    let res = run(&client(&engine), steps);

    assert!(matches!(res, Err(EngineError::Refused { .. })), "{res:?}");
    assert_eq!(engine.record().applications(), 0);
}

#[test]
fn truncated_session_goes_on_as_if_the_rest_had_not_run() {
    let engine = engine(0, 4);
    let client = client(&engine);
    run_one(&client, step("s", 0, PROMPT, 4));
    run_one(&client, step("s", 3, &[9, 9], 4));

    client.truncate("s", 3).expect("an answer");
    let token = sampled(run_one(&client, step("s", 3, &[5], 4)));

    assert_eq!(token, expected_text(&[11, 7, 42, 5], 4, 1).0[0]);
    let applied = Applied { applied: 6, repeated: 1, end: 5, first_repeated: Some(3) };
    assert_eq!(engine.record().totals[&("s".into(), 0)], applied);
}

#[test]
fn truncate_refuses_what_it_can_not_do() {
    let engine = engine(0, 4);
    let client = client(&engine);
    run_one(&client, step("s", 0, PROMPT, 4));

    let beyond = client.truncate("s", 4);
    let unknown = client.truncate("other", 0);
    let to_nothing = client.truncate("s", 0);

    assert!(matches!(beyond, Err(EngineError::Refused { .. })), "{beyond:?}");
    assert!(matches!(unknown, Err(EngineError::Refused { .. })), "{unknown:?}");
    assert_eq!(to_nothing, Ok(()));
    sampled(run_one(&client, step("s", 0, PROMPT, 4)));
}

#[test]
fn released_session_is_freed() {
    let engine = engine_with(engine_config(0, 4).with_max_sessions(1));
    let client = client(&engine);
    run_one(&client, step("s", 0, PROMPT, 4));
    let full = run_one(&client, step("t", 0, PROMPT, 4));

    client.release(&["s".into(), "unknown".into()]).expect("an answer");
    let room = run_one(&client, step("t", 0, PROMPT, 4));

    assert!(refusal(full).contains("memory for 1 sessions"));
    sampled(room);
    assert_eq!(engine.load_now().sessions, 1);
    assert_eq!(engine.counters().released.load(Ordering::Relaxed), 1);
}

#[test]
fn exported_kv_goes_on_in_another_engine() {
    let (one, two) = (engine(0, 4), engine(0, 4));
    let (from, to) = (client(&one), client(&two));
    run_one(&from, step("s", 0, PROMPT, 4));

    let kv = from.export_kv("s").expect("an export");
    to.import_kv("s new", &kv).expect("an import");
    let token = sampled(run_one(&to, step("s new", 3, &[5], 4)));

    assert_eq!(token, expected_text(&[11, 7, 42, 5], 4, 1).0[0]);
    assert_eq!(two.record().applications(), 4);
}

#[test]
fn import_refuses_what_does_not_fit() {
    let (one, two) = (engine(0, 4), engine(2, 4));
    let (from, to) = (client(&one), client(&two));
    run_one(&from, step("s", 0, PROMPT, 4));
    let kv = from.export_kv("s").expect("an export");

    let other_layers = to.import_kv("s", &kv);
    let exists = from.import_kv("s", &kv);
    let cut_short = from.import_kv("t", &kv[..kv.len() - 1]);
    let unknown = from.export_kv("t");

    for res in [other_layers, exists, cut_short, unknown.map(|_| ())] {
        assert!(matches!(res, Err(EngineError::Refused { .. })), "{res:?}");
    }
}

#[test]
fn end_of_text_comes_only_if_asked_for() {
    let never = engine(0, 1);
    let always = engine_with(engine_config(0, 1).with_end_of_text_every(1));

    let ends = [&never, &always].map(|engine| {
        let output = run_one(&client(engine), step("s", 0, &[1], 1));
        let StepOutput::Sampled(sampled) = output else { panic!("{output:?}") };
        sampled.end_of_text
    });

    assert_eq!(ends, [false, true]);
}

#[test]
fn sessions_with_odd_names_are_kept_apart() {
    let engine = engine(0, 2);
    let chain = Chain::new(&[&engine]);
    let names = ["a/b", "a b", "a%2Fb", "ä"];

    let answers = names.map(|name| chain.answer(name, PROMPT, 3, 4));
    let exports = names.map(|name| chain.engines[0].0.export_kv(name).expect("an export"));

    let expected = expected_text(PROMPT, 2, 4).0;
    assert!(answers.iter().all(|answer| *answer == expected));
    assert!(exports.iter().all(|kv| *kv == exports[0]));
}
