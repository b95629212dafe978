//! The KV cache of one request in one engine.

use crate::request::{apply_layer, embed, sample, token_text};
use sorrellock_core::id::{Layer, Position, TokenId};
use sorrellock_core::request::{Activations, LayerRange};
use sorrellock_ports::api::{EngineStep, Sampled, StepOutput};

/// Bytes at the front of an activation that count; the rest is padding.
const ACTIVATION_BYTES: usize = 8;
/// Bytes before the entries of an exported KV cache.
const EXPORT_HEAD_BYTES: usize = 8;

/// The KV cache of one request: for each layer an entry a position.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Session {
    layers: LayerRange,
    positions: Position,
    kv: Vec<Vec<u64>>,
}

impl Session {
    pub(crate) fn new(layers: LayerRange) -> Session {
        Session { layers, positions: 0, kv: vec![Vec::new(); layers.count()] }
    }

    pub(crate) fn layers(&self) -> LayerRange {
        self.layers
    }

    pub(crate) fn positions(&self) -> Position {
        self.positions
    }

    pub(crate) fn bytes(&self) -> u64 {
        u64::from(self.positions) * self.kv.len() as u64 * size_of::<u64>() as u64
    }

    /// Runs a step that was found to fit.
    pub(crate) fn run(&mut self, step: &EngineStep, width: u32, end_every: u32) -> StepOutput {
        let mut out = Vec::with_capacity(step.tokens.len() * width as usize);
        let mut last = 0;
        for (index, token) in step.tokens.iter().enumerate() {
            let input = input(step, index, *token, self.positions);
            last = self.run_position(input);
            if !step.sample {
                out.extend_from_slice(&last.to_le_bytes());
                out.resize((index + 1) * width as usize, 0);
            }
        }
        if step.sample {
            return StepOutput::Sampled(choose(last, end_every));
        }
        StepOutput::Activations(Activations::new(width, out))
    }

    fn run_position(&mut self, mut activation: u64) -> u64 {
        for (layer, entries) in (self.layers.first..).zip(&mut self.kv) {
            let before = entries.last().copied().unwrap_or(0);
            let (entry, after) = apply_layer(layer, self.positions, before, activation);
            entries.push(entry);
            activation = after;
        }
        self.positions += 1;
        activation
    }

    /// Cuts the cache back to the positions below `position`.
    pub(crate) fn truncate(&mut self, position: Position) {
        self.positions = position;
        for entries in &mut self.kv {
            entries.truncate(position as usize);
        }
    }

    pub(crate) fn export(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        buf.extend_from_slice(&self.layers.first.to_le_bytes());
        buf.extend_from_slice(&self.layers.end.to_le_bytes());
        buf.extend_from_slice(&self.positions.to_le_bytes());
        for entry in self.kv.iter().flatten() {
            buf.extend_from_slice(&entry.to_le_bytes());
        }
        buf
    }

    /// Reads an exported cache; nothing if it is malformed.
    pub(crate) fn import(buf: &[u8]) -> Option<Session> {
        let (head, entries) = buf.split_at_checked(EXPORT_HEAD_BYTES)?;
        let first = Layer::from_le_bytes(head[0..2].try_into().ok()?);
        let end = Layer::from_le_bytes(head[2..4].try_into().ok()?);
        let positions = Position::from_le_bytes(head[4..8].try_into().ok()?);
        let layers = LayerRange::new(first, end);
        let per_layer = positions as usize * size_of::<u64>();
        if per_layer == 0 || entries.len() != layers.count() * per_layer {
            return None;
        }
        let kv = entries.chunks_exact(per_layer).map(read_entries).collect();
        Some(Session { layers, positions, kv })
    }
}

/// Whether the activations of a step are of the shape that the layers need.
pub(crate) fn activations_fit(step: &EngineStep, width: u32) -> bool {
    if step.layers.first == 0 {
        return step.activations.data.is_empty();
    }
    let len = step.tokens.len() * width as usize;
    step.activations.width == width && step.activations.data.len() == len
}

fn input(step: &EngineStep, index: usize, token: TokenId, position: Position) -> u64 {
    if step.layers.first == 0 {
        return embed(token, position);
    }
    let at = index * step.activations.width as usize;
    read_u64(&step.activations.data[at..at + ACTIVATION_BYTES])
}

fn choose(activation: u64, end_every: u32) -> Sampled {
    let token = sample(activation);
    let end_of_text = end_every > 0 && token.is_multiple_of(end_every);
    Sampled { token, text: token_text(token), end_of_text }
}

fn read_entries(bytes: &[u8]) -> Vec<u64> {
    bytes.chunks_exact(size_of::<u64>()).map(read_u64).collect()
}

fn read_u64(bytes: &[u8]) -> u64 {
    u64::from_le_bytes(bytes.try_into().expect("eight bytes were taken"))
}
