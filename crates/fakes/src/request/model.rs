//! A model whose every output depends on each layer run, once and in order, at each position.

use sorrellock_core::id::{Layer, Position, TokenId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How many tokens the vocabulary has.
pub const VOCABULARY: u32 = 50_000;
/// Tokens in a block of the prefix cache.
pub const PREFIX_BLOCK: usize = 16;

const EMBED_SEED: u64 = 1;
const KV_SEED: u64 = 2;
const LAYER_SEED: u64 = 3;
const SAMPLE_SEED: u64 = 4;
const PREFIX_SEED: u64 = 5;

/// The activation of a token before the first layer.
pub fn embed(token: TokenId, position: Position) -> u64 {
    mix(EMBED_SEED, token.into(), position.into(), 0)
}

/// Runs one layer at one position: gives its KV entry and the activation after it. `kv` is the
/// layer's entry of the position before, 0 at the first.
pub fn apply_layer(layer: Layer, position: Position, kv: u64, activation: u64) -> (u64, u64) {
    let kv = mix(KV_SEED, kv, activation, position.into());
    let activation = mix(LAYER_SEED, activation, kv, layer.into());
    (kv, activation)
}

/// The token chosen from the activation after the last layer.
pub fn sample(activation: u64) -> TokenId {
    let hash = mix(SAMPLE_SEED, activation, 0, 0);
    (hash % u64::from(VOCABULARY)) as TokenId
}

/// The text of a token.
pub fn token_text(token: TokenId) -> String {
    format!("w{token} ")
}

/// The answer to `prompt` by a model of `layers` layers, in one process and one loop: what any
/// chain of engines has to give.
pub fn expected_text(prompt: &[TokenId], layers: Layer, max_tokens: u32) -> (Vec<TokenId>, String) {
    let mut kv = vec![0; usize::from(layers)];
    let mut sequence = prompt.to_vec();
    let mut text = String::new();
    let mut position = 0;
    while sequence.len() - prompt.len() < max_tokens as usize {
        let mut activation = embed(sequence[position], position as Position);
        for layer in 0..layers {
            let entry = &mut kv[usize::from(layer)];
            (*entry, activation) = apply_layer(layer, position as Position, *entry, activation);
        }
        position += 1;
        if position == sequence.len() {
            let token = sample(activation);
            sequence.push(token);
            text.push_str(&token_text(token));
        }
    }
    (sequence.split_off(prompt.len()), text)
}

/// The hashes of the prefixes of `tokens` that end at whole blocks, shortest first.
pub fn prefix_hashes(tokens: &[TokenId]) -> Vec<u64> {
    let mut hash = PREFIX_SEED;
    let blocks = tokens.chunks_exact(PREFIX_BLOCK);
    blocks
        .map(|block| {
            let bytes: Vec<u8> = block.iter().flat_map(|token| token.to_le_bytes()).collect();
            hash = xxh3_64_with_seed(&bytes, hash);
            hash
        })
        .collect()
}

fn mix(seed: u64, a: u64, b: u64, c: u64) -> u64 {
    let mut buf = [0; 24];
    buf[..8].copy_from_slice(&a.to_le_bytes());
    buf[8..16].copy_from_slice(&b.to_le_bytes());
    buf[16..].copy_from_slice(&c.to_le_bytes());
    xxh3_64_with_seed(&buf, seed)
}
