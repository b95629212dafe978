//! An endpoint that a gateway knows, and what became of its entry.

use crate::process::{Endpoint, EntryFault, Revision};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// What became of a known endpoint's entry.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum EntryState {
    /// It is in the list, and whole.
    #[default]
    Listed,
    /// It is missing, and may come back.
    MissingSince(Instant),
    /// It names no endpoint to use, and may be whole again.
    UnusableSince(Instant, EntryFault),
}

impl EntryState {
    /// Since when the endpoint stays only for a while.
    pub(super) fn since(&self) -> Option<Instant> {
        match self {
            EntryState::Listed => None,
            EntryState::MissingSince(since) | EntryState::UnusableSince(since, _) => Some(*since),
        }
    }

    pub(super) fn is_unusable(&self) -> bool {
        matches!(self, EntryState::UnusableSince(..))
    }
}

/// An endpoint with the revision of its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownEndpoint {
    /// What its entry tells, or told when it was whole last.
    pub endpoint: Endpoint,
    /// Revision of the entry.
    pub revision: Revision,
    /// What became of the entry.
    #[serde(skip)]
    pub entry: EntryState,
}

impl KnownEndpoint {
    /// Its entry is missing. One that couldn't be used before is no more usable for that.
    pub(super) fn note_missing(&mut self, now: Instant) {
        if self.entry == EntryState::Listed {
            self.entry = EntryState::MissingSince(now);
        }
    }
}
