//! A simulated model engine for the fuzz test. It applies every input, so that only the protocol
//! prevents a layer from being applied twice. Each result contains its own lineage.

use super::choices::Choices;
use sorrellock_core::id::{Layer, Position, TokenId};
use sorrellock_core::request::{Activations, Chosen, EngineResult, EngineWork};
use std::collections::HashMap;

/// Number of layers of the model.
pub const LAYERS: Layer = 6;
/// Small, so that two choices at the same position are often equal.
const VOCABULARY: u64 = 5;
/// Bytes of an activation: a hash of everything that it depends on, and the list of layers applied.
const WIDTH: usize = 8 + LAYERS as usize + 4;
const NO_LAYER: u8 = u8::MAX;

/// Lineage of one activation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lineage {
    pub hash: u64,
    pub layers: Vec<u8>,
}

/// A KV cache: one entry per layer and position.
type Session = HashMap<Layer, Vec<u64>>;

/// A simulated model engine.
#[derive(Default)]
pub struct SimEngine {
    pub sessions: HashMap<String, Session>,
    /// Number of positions that ran in each session, including those truncated since.
    ran: HashMap<String, usize>,
    /// Number of positions that ran again after a truncation.
    pub reruns: usize,
}

impl SimEngine {
    pub fn run(&mut self, work: &EngineWork, salt: u64) -> EngineResult {
        if let Some(position) = work.truncate {
            self.truncate(&work.session, position);
        }
        let session = self.sessions.entry(work.session.clone()).or_default();
        let first = session.values().next().map_or(0, Vec::len);
        let ran = self.ran.entry(work.session.clone()).or_default();
        let end = first + work.step.tokens.len();
        self.reruns += end.min(*ran).saturating_sub(first);
        *ran = end.max(*ran);
        let mut out = Vec::new();
        let mut last = Lineage { hash: 0, layers: Vec::new() };
        for (index, token) in work.step.tokens.iter().enumerate() {
            let data = &work.step.activations.data;
            last = match work.layers.first {
                0 => embed(*token),
                _ => decode(&data[index * WIDTH..][..WIDTH]),
            };
            for layer in work.layers.first..work.layers.end {
                apply(session.entry(layer).or_default(), layer, &mut last);
            }
            out.extend(encode(&last));
        }
        if !work.sample {
            return EngineResult::Activations(Activations::new(WIDTH as u32, out));
        }
        let text = format!("{}:{:?}", last.hash, last.layers);
        EngineResult::Chosen(Chosen { token: token(last.hash, salt), text, end_of_text: false })
    }

    pub fn truncate(&mut self, session: &str, position: Position) {
        for entries in self.sessions.get_mut(session).into_iter().flat_map(HashMap::values_mut) {
            entries.truncate(position as usize);
        }
    }

    pub fn export(&self, session: &str) -> Option<Vec<u8>> {
        let session = self.sessions.get(session)?;
        let mut buf = Vec::new();
        for (layer, entries) in session {
            buf.extend(layer.to_le_bytes());
            buf.extend((entries.len() as u32).to_le_bytes());
            buf.extend(entries.iter().flat_map(|entry| entry.to_le_bytes()));
        }
        Some(buf)
    }

    pub fn import(&mut self, name: &str, mut kv: &[u8]) {
        let mut session = Session::new();
        while let Some((head, rest)) = kv.split_at_checked(6) {
            let layer = Layer::from_le_bytes([head[0], head[1]]);
            let count = u32::from_le_bytes(head[2..].try_into().unwrap()) as usize;
            let (entries, rest) = rest.split_at(count * 8);
            let read = |bytes: &[u8]| u64::from_le_bytes(bytes.try_into().unwrap());
            session.insert(layer, entries.chunks(8).map(read).collect());
            kv = rest;
        }
        self.sessions.insert(name.to_owned(), session);
    }
}

/// Reference model that runs all layers in one place, one token at a time.
#[derive(Debug, Default)]
pub struct NaiveModel {
    session: Session,
}

impl NaiveModel {
    /// Runs `token`, and returns the output of the last layer as a hash and as text.
    pub fn feed(&mut self, token: TokenId) -> (u64, String) {
        let mut lineage = embed(token);
        for layer in 0..LAYERS {
            apply(self.session.entry(layer).or_default(), layer, &mut lineage);
        }
        (lineage.hash, format!("{}:{:?}", lineage.hash, lineage.layers))
    }
}

/// Returns the token chosen for a result. Different salts stand for different samples.
pub fn token(hash: u64, salt: u64) -> TokenId {
    (mix(hash, salt) % VOCABULARY) as TokenId
}

/// Returns a salt: a constant if `fixed`, otherwise a random one for each call.
pub fn salt(choices: &mut Choices, fixed: bool) -> u64 {
    if fixed { 0 } else { choices.below(4) as u64 }
}

fn embed(token: TokenId) -> Lineage {
    Lineage { hash: mix(1, token.into()), layers: Vec::new() }
}

fn apply(entries: &mut Vec<u64>, layer: Layer, lineage: &mut Lineage) {
    let before = entries.last().copied().unwrap_or(0);
    let entry = mix(mix(before, lineage.hash), entries.len() as u64);
    entries.push(entry);
    lineage.hash = mix(entry, u64::from(layer) + 7);
    lineage.layers.push(layer as u8);
}

fn encode(lineage: &Lineage) -> Vec<u8> {
    let mut buf = lineage.hash.to_le_bytes().to_vec();
    buf.extend(&lineage.layers);
    buf.resize(WIDTH, NO_LAYER);
    buf
}

fn decode(buf: &[u8]) -> Lineage {
    let hash = u64::from_le_bytes(buf[..8].try_into().unwrap());
    let layers = buf[8..].iter().copied().take_while(|layer| *layer != NO_LAYER).collect();
    Lineage { hash, layers }
}

fn mix(a: u64, b: u64) -> u64 {
    let mut x = a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b.wrapping_add(0x2545_f491_4f6c_dd1d);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
