//! How often contents and parts of prompts ran lately without harm.

use crate::request::ContentId;
use std::collections::HashMap;
use std::mem;
use std::time::{Duration, Instant};

/// Runs of the current term and the one before it count. What was sound for long may crash endpoints from now on.
const TERM: Duration = Duration::from_secs(30);
/// Maximum number of identities counted in a term.
const MAX_COUNTED: usize = 8_192;
/// Sound runs that each identity is taken to have had, out of one more than were counted: what never ran may be sound.
const PRIOR_RUNS: f64 = 0.001;

#[derive(Debug, Default)]
struct Counts {
    runs: u32,
    by_identity: HashMap<ContentId, u32>,
}

impl Counts {
    fn of(&self, identity: ContentId) -> f64 {
        self.by_identity.get(&identity).copied().unwrap_or_default().into()
    }
}

/// The runs of this gateway that did no harm, by identity.
#[derive(Debug, Default)]
pub(super) struct SoundRuns {
    current: Counts,
    before: Counts,
    began: Option<Instant>,
    total: u64,
}

impl SoundRuns {
    /// Counts a run without harm.
    pub(super) fn add(&mut self, identities: impl Iterator<Item = ContentId>, now: Instant) {
        self.turn(now);
        self.total += 1;
        self.current.runs += 1;
        for identity in identities {
            let is_counted = self.current.by_identity.contains_key(&identity);
            if is_counted || self.current.by_identity.len() < MAX_COUNTED {
                *self.current.by_identity.entry(identity).or_default() += 1;
            }
        }
    }

    /// Begins a new term once the current one is over.
    fn turn(&mut self, now: Instant) {
        let began = *self.began.get_or_insert(now);
        let age = now.duration_since(began);
        if age < TERM {
            return;
        }
        self.before = mem::take(&mut self.current);
        if age >= 2 * TERM {
            self.before = Counts::default();
        }
        self.began = Some(now);
    }

    /// Returns the share of the latest runs that have an identity.
    pub(super) fn share(&self, identity: ContentId) -> f64 {
        let runs = f64::from(self.current.runs + self.before.runs);
        let with_identity = self.current.of(identity) + self.before.of(identity);
        ((with_identity + PRIOR_RUNS) / (runs + 1.0)).min(1.0)
    }

    /// Returns the number of runs since the start.
    pub(super) fn total(&self) -> u64 {
        self.total
    }
}
