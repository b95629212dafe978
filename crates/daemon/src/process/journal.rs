//! The journal: the last changes of state, each with cause, peer and step, kept in memory for
//! dumps and written to the log as they happen.

use serde::Serialize;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::{SystemTime, UNIX_EPOCH};

/// How many changes are kept.
pub const JOURNAL_LENGTH: usize = 512;

/// A change of state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Milliseconds since the Unix epoch, for people only.
    pub at_ms: u64,
    /// What changed, such as `instance suspected` or `page applied`.
    pub what: &'static str,
    /// The peer that it concerns, if any.
    pub peer: Option<SocketAddr>,
    /// The step at which it arose.
    pub step: &'static str,
    /// Why, in a plain sentence.
    pub cause: String,
}

/// The last changes of state of a process.
#[derive(Debug, Default)]
pub struct Journal {
    entries: Mutex<VecDeque<Entry>>,
}

impl Journal {
    /// An empty journal.
    pub fn new() -> Journal {
        Journal::default()
    }

    /// Notes a change, and logs it as one line.
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

    /// The changes kept, oldest first.
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.lock().unwrap().iter().cloned().collect()
    }
}
