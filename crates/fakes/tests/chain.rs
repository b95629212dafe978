//! A chain of engines against the whole model in one loop.

mod common;

use common::{Chain, engine, engine_config, engine_with};
use quickcheck::{Arbitrary, Gen};
use sorrellock_core::id::{Layer, TokenId};
use sorrellock_fakes::{Applied, FakeEngine, apply_layer, embed, expected_text, sample};

/// Seed of the random cases.
const SEED: u64 = 0x50_44_31_19;
/// How many random cases are run.
const CASES: usize = 24;

/// A model, how it is split, and a request.
#[derive(Clone, Debug)]
struct Case {
    ends: Vec<Layer>,
    prompt: Vec<TokenId>,
    chunk: usize,
    max_tokens: u32,
    width: u32,
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let stages = 1 + usize::arbitrary(g) % 4;
        let mut end = 0;
        let ends = (0..stages).map(|_| {
            end += 1 + Layer::arbitrary(g) % 5;
            end
        });
        let ends = ends.collect();
        let len = 1 + usize::arbitrary(g) % 20;
        Case {
            ends,
            prompt: (0..len).map(|_| TokenId::arbitrary(g) % 50_000).collect(),
            chunk: 1 + usize::arbitrary(g) % len,
            max_tokens: 1 + u32::arbitrary(g) % 12,
            width: 8 + u32::arbitrary(g) % 100,
        }
    }
}

impl Case {
    fn engines(&self) -> Vec<FakeEngine> {
        let firsts = [0].into_iter().chain(self.ends.iter().copied());
        firsts
            .zip(&self.ends)
            .map(|(first, end)| {
                engine_with(engine_config(first, *end).with_activation_bytes(self.width))
            })
            .collect()
    }

    fn layers(&self) -> Layer {
        *self.ends.last().expect("at least one stage")
    }
}

#[test]
fn chain_of_engines_gives_the_text_of_the_whole_model() {
    println!("seed {SEED:#x}");
    let mut g = Gen::from_size_and_seed(100, SEED);
    for _ in 0..CASES {
        let case = Case::arbitrary(&mut g);
        let engines = case.engines();
        let chain = Chain::new(&engines.iter().collect::<Vec<_>>());

        let answer = chain.answer("s", &case.prompt, case.chunk, case.max_tokens);

        let expected = expected_text(&case.prompt, case.layers(), case.max_tokens).0;
        assert_eq!(answer, expected, "{case:?}");
        let positions = (case.prompt.len() + case.max_tokens as usize - 1) as u32;
        let once = Applied {
            applied: positions.into(),
            repeated: 0,
            end: positions,
            first_repeated: None,
        };
        for engine in &engines {
            let record = engine.record();
            assert_eq!(record.totals.len(), engine.info().layers.count(), "{case:?}");
            assert!(record.totals.values().all(|applied| *applied == once), "{case:?}");
        }
    }
}

#[test]
fn requests_crossed_in_one_chain_do_not_mix() {
    let engines = [engine(0, 3), engine(3, 5)];
    let chain = Chain::new(&[&engines[0], &engines[1]]);
    let prompts: [&[TokenId]; 2] = [&[1, 2, 3], &[3, 2, 1]];

    let mut answers = prompts.map(|prompt| vec![chain.pass(&format!("{prompt:?}"), 0, prompt)]);
    for position in 3..10 {
        for (prompt, answer) in prompts.iter().zip(&mut answers) {
            let last = answer[answer.len() - 1];
            answer.push(chain.pass(&format!("{prompt:?}"), position, &[last]));
        }
    }

    assert_eq!(answers, prompts.map(|prompt| expected_text(prompt, 5, 8).0));
}

#[test]
fn text_spells_the_tokens() {
    let (tokens, text) = expected_text(&[1, 2, 3], 4, 5);

    let spelled: String = tokens.iter().map(|token| format!("w{token} ")).collect();
    assert_eq!(tokens.len(), 5);
    assert_eq!(text, spelled);
}

#[test]
fn reference_with_no_tokens_to_make_is_empty() {
    assert_eq!(expected_text(&[1, 2], 4, 0), (Vec::new(), String::new()));
}

/// The answer's first token where the layers are applied in the order of `layers` at each
/// position, and the KV cache is forgotten before position `lost_kv_at`.
fn faulty(prompt: &[TokenId], layers: &[Layer], lost_kv_at: Option<u32>) -> TokenId {
    let mut kv = [0; 16];
    let mut activation = 0;
    for (position, token) in (0..).zip(prompt) {
        if lost_kv_at == Some(position) {
            kv.fill(0);
        }
        activation = embed(*token, position);
        for layer in layers {
            let entry = &mut kv[usize::from(*layer)];
            (*entry, activation) = apply_layer(*layer, position, *entry, activation);
        }
    }
    sample(activation)
}

#[test]
fn each_fault_changes_the_text() {
    let prompt = [5, 6, 7, 8];
    let right = expected_text(&prompt, 4, 1).0[0];

    assert_eq!(faulty(&prompt, &[0, 1, 2, 3], None), right);
    assert_ne!(faulty(&prompt, &[0, 1, 3], None), right, "a layer left out");
    assert_ne!(faulty(&prompt, &[0, 1, 1, 2, 3], None), right, "a layer twice");
    assert_ne!(faulty(&prompt, &[0, 2, 1, 3], None), right, "layers in the wrong order");
    assert_ne!(faulty(&prompt, &[0, 1, 2, 3], Some(2)), right, "the KV cache lost");
    assert_ne!(faulty(&[5, 6, 8, 7], &[0, 1, 2, 3], None), right, "tokens in the wrong order");
}
