//! What a stand-in service ran, for oracles.

use std::collections::{BTreeMap, VecDeque};

/// Calls that are remembered singly.
const MAX_CALLS: usize = 65_536;
/// Keys whose runs are counted.
const MAX_KEYS: usize = 1 << 20;

/// A call that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RanCall {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The `Idempotency-Key`, if any.
    pub idempotency_key: Option<String>,
    /// xxh3 of the body.
    pub body_hash: u64,
    /// Which run with this key it is, counted from 1.
    pub run: u64,
}

/// What a stand-in service ran since it started.
#[derive(Clone, Debug, Default)]
pub struct ServiceRecord {
    /// The last calls, oldest first.
    pub calls: VecDeque<RanCall>,
    /// Calls no longer in `calls`.
    pub calls_dropped: u64,
    /// How often a call with each key ran.
    pub runs: BTreeMap<String, u64>,
    /// Calls whose key is not in `runs`, as there were too many.
    pub runs_dropped: u64,
}

impl ServiceRecord {
    /// How often a call with `key` ran.
    pub fn runs_of(&self, key: &str) -> u64 {
        self.runs.get(key).copied().unwrap_or(0)
    }

    /// Keys that ran more than once.
    pub fn double_runs(&self) -> usize {
        self.runs.values().filter(|runs| **runs > 1).count()
    }

    /// Adds a call, and numbers it among those with its key.
    pub(crate) fn add(&mut self, mut call: RanCall) -> u64 {
        call.run = call.idempotency_key.as_deref().map_or(1, |key| self.number(key));
        let run = call.run;
        if self.calls.len() == MAX_CALLS {
            self.calls.pop_front();
            self.calls_dropped += 1;
        }
        self.calls.push_back(call);
        run
    }

    fn number(&mut self, key: &str) -> u64 {
        if self.runs.len() >= MAX_KEYS && !self.runs.contains_key(key) {
            self.runs_dropped += 1;
            return 1;
        }
        let runs = self.runs.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }
}
