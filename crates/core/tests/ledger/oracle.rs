//! Checks of the ledger's guarantees, from the runs and the outcomes alone.

use crate::net::RunNumber;
use sorrellock_core::process::ledger::{Fingerprint, RecordKey};
use sorrellock_core::request::RequestKey;
use std::collections::{HashMap, HashSet};

/// The final outcome of a request, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    Done,
    NotRun,
    Unknown,
    Mismatch,
}

#[derive(Default)]
pub struct Oracle {
    runs: HashMap<RecordKey, RunNumber>,
    ran_for: HashSet<RequestKey>,
    not_run: HashSet<RequestKey>,
    finals: HashMap<RequestKey, Outcome>,
    bodies: HashMap<RecordKey, HashSet<Fingerprint>>,
    next_run: RunNumber,
    pub counts: HashMap<Outcome, u64>,
}

impl Oracle {
    /// Records a request that a caller sent.
    pub fn on_submit(&mut self, key: RecordKey, body: Fingerprint) {
        self.bodies.entry(key).or_default().insert(body);
    }

    /// Records that a service runs a key for a request, and checks that it may.
    pub fn run(&mut self, key: RecordKey, owner: RequestKey) -> RunNumber {
        self.next_run += 1;
        let before = self.runs.insert(key, self.next_run);
        assert_eq!(before, None, "key {key:x?} ran twice, the second time for {owner}");
        assert!(!self.not_run.contains(&owner), "{owner} ran after it was answered as not run");
        self.ran_for.insert(owner);
        self.next_run
    }

    /// Records the final outcome that a caller got, and checks it.
    pub fn on_finish(&mut self, owner: RequestKey, key: RecordKey, end: Outcome, run: RunNumber) {
        let before = self.finals.insert(owner, end);
        assert_eq!(before, None, "{owner} was answered twice, the second time {end:?}");
        *self.counts.entry(end).or_default() += 1;
        match end {
            Outcome::Done => {
                assert_eq!(self.runs.get(&key), Some(&run), "{owner} got another key's answer");
            }
            Outcome::NotRun => {
                assert!(!self.ran_for.contains(&owner), "{owner} ran, and was answered as not run");
                self.not_run.insert(owner);
            }
            Outcome::Mismatch => {
                let bodies = self.bodies.get(&key).map_or(0, HashSet::len);
                assert!(bodies > 1, "{owner} was refused for another body that nobody sent");
            }
            Outcome::Unknown => {}
        }
    }
}
