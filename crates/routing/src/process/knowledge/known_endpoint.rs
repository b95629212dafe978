//! An endpoint known to a gateway, and the state of its entry.

use crate::process::{Endpoint, EntryFault, Revision};
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// State of a known endpoint's entry in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum EntryState {
    /// The entry is listed and usable.
    #[default]
    Listed,
    /// The entry is missing, and may be written again.
    MissingSince(Instant),
    /// The entry can't be used, and may be corrected.
    UnusableSince(Instant, EntryFault),
}

impl EntryState {
    /// Returns since when the entry has been missing or unusable, so that the endpoint is kept only for a
    /// while.
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

/// An endpoint, with the revision and state of its entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownEndpoint {
    /// The endpoint as its last usable entry describes it.
    pub endpoint: Endpoint,
    /// Revision of the entry.
    pub revision: Revision,
    /// State of the entry.
    #[serde(skip)]
    pub entry: EntryState,
}

impl KnownEndpoint {
    /// Marks the entry as missing. An entry that is unusable stays so.
    pub(super) fn note_missing(&mut self, now: Instant) {
        if self.entry == EntryState::Listed {
            self.entry = EntryState::MissingSince(now);
        }
    }
}
