//! What a stand-in engine ran, for oracles.

use sorrellock_core::id::{Layer, Position};
use sorrellock_core::request::LayerRange;
use sorrellock_ports::api::{EngineStep, SessionId};
use std::collections::{BTreeMap, VecDeque};

/// Steps that are remembered singly.
const MAX_RUNS: usize = 65_536;
/// Pairs of session and layer whose totals are kept.
const MAX_TOTALS: usize = 1 << 20;

/// A step that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    /// The session.
    pub session: SessionId,
    /// The first position.
    pub first: Position,
    /// One past the last position.
    pub end: Position,
    /// The layers.
    pub layers: LayerRange,
}

/// How often one layer was applied for one session.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// Applications, one a position.
    pub applied: u64,
    /// Those at a position at which the layer had been applied before.
    pub repeated: u64,
    /// One past the highest position.
    pub end: Position,
    /// The lowest position at which it was applied again.
    pub first_repeated: Option<Position>,
}

/// What a stand-in engine ran since it started. It outlives the sessions.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// The last steps, oldest first.
    pub runs: VecDeque<Ran>,
    /// Steps no longer in `runs`.
    pub runs_dropped: u64,
    /// Totals by session and layer.
    pub totals: BTreeMap<(SessionId, Layer), Applied>,
    /// Applications that are in no total, as there were too many.
    pub totals_dropped: u64,
}

impl Record {
    /// Applications of all layers for all sessions.
    pub fn applications(&self) -> u64 {
        self.totals.values().map(|applied| applied.applied).sum::<u64>() + self.totals_dropped
    }

    /// Applications at positions at which the same layer had been applied before.
    pub fn repeated(&self) -> u64 {
        self.totals.values().map(|applied| applied.repeated).sum()
    }

    /// The lowest position at which a layer was applied again. A session takes only the position that it needs next, so
    /// that one was cut back before.
    pub fn first_repeated(&self) -> Option<Position> {
        self.totals.values().filter_map(|applied| applied.first_repeated).min()
    }

    pub(crate) fn add(&mut self, step: &EngineStep) {
        let end = step.first + step.tokens.len() as Position;
        for layer in step.layers.first..step.layers.end {
            self.add_layer(&step.session, layer, step.first, end);
        }
        if self.runs.len() == MAX_RUNS {
            self.runs.pop_front();
            self.runs_dropped += 1;
        }
        let session = step.session.clone();
        self.runs.push_back(Ran { session, first: step.first, end, layers: step.layers });
    }

    fn add_layer(&mut self, session: &SessionId, layer: Layer, first: Position, end: Position) {
        let count = u64::from(end - first);
        let key = (session.clone(), layer);
        if self.totals.len() >= MAX_TOTALS && !self.totals.contains_key(&key) {
            self.totals_dropped += count;
            return;
        }
        let applied = self.totals.entry(key).or_default();
        applied.applied += count;
        let repeated = applied.end.min(end).saturating_sub(first);
        if repeated > 0 {
            let before = applied.first_repeated.unwrap_or(first);
            applied.first_repeated = Some(before.min(first));
        }
        applied.repeated += u64::from(repeated);
        applied.end = applied.end.max(end);
    }
}
