//! The journal: the most recent state changes, each with its cause, peer and step. They are kept in
//! memory for dumps, and logged as they happen.

use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of changes kept; the oldest is dropped first.
pub const JOURNAL_LENGTH: usize = 512;

/// A state change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Milliseconds since the Unix epoch, for display only.
    pub at_ms: u64,
    /// What changed, such as `instance suspected` or `page applied`.
    pub what: &'static str,
    /// The peer concerned, if any.
    pub peer: Option<SocketAddr>,
    /// The step in which the change happened.
    pub step: &'static str,
    /// The cause, in one sentence.
    pub cause: String,
}

/// The most recent state changes of a process.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Mutex<VecDeque<Entry>>,
}

impl Journal {
    /// Creates an empty journal.
    pub fn new() -> Journal {
        Journal::default()
    }

    /// Records a change, and logs it as one line.
    pub fn note(
        &self,
        what: &'static str,
        peer: Option<SocketAddr>,
        step: &'static str,
        cause: impl Into<String>,
    ) {
        let cause = cause.into();
        match peer {
            Some(peer) => spdlog::info!("{what}: peer {peer}, step {step}: {cause}"),
            None => spdlog::info!("{what}: step {step}: {cause}"),
        }
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let mut entries = self.entries.lock().unwrap();
        if entries.len() == JOURNAL_LENGTH {
            entries.pop_front();
        }
        entries.push_back(Entry { at_ms: now.as_millis() as u64, what, peer, step, cause });
    }

    /// Returns the changes kept, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().iter().cloned().collect()
    }
}
