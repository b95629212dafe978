//! Table of a daemon's records, which decides whether a run starts.

use super::{RecordKey, Shard, Stamp};
use crate::id::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// Maximum number of requests that follow one run.
pub const MAX_FOLLOWERS: usize = 64;

/// What to do with a run that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    /// Start it, at once or after a wait; the table counts it as started.
    Start,
    /// It was started or refused before: drop it.
    Repeated,
    /// A fence or a later record of the key prevents it from ever starting here: it is not run.
    Fenced,
    /// The table no longer knows whether it ran.
    Forgotten,
    /// The table is full of running records, so it will never start here: it is not run.
    Full,
}

/// Status of a record, as its daemon reports it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordStatus<A> {
    /// It waits or runs. The request that asked is notified of its end.
    Running,
    /// It ended, with this answer.
    Ended(A),
    /// It ended, and its answer was dropped to free memory.
    AnswerDropped,
    /// Its run has not arrived yet, and may still arrive.
    NotSeen,
    /// It has not started, and never will.
    Tombstoned,
    /// The table no longer knows whether it ran.
    Forgotten,
}

#[derive(Clone, Debug)]
enum State<A, F> {
    Running(Vec<F>),
    Ended(Option<A>),
    Refused,
}

#[derive(Clone, Debug)]
struct Started<A, F> {
    shard: Shard,
    base: Revision,
    state: State<A, F>,
    bytes: usize,
}

/// The records that a daemon received. `A` is an answer, `F` identifies a follower of a run.
///
/// Its size is bounded. For the records that it forgets it keeps one revision per shard, so that a
/// forgotten record is never reported as not seen.
#[derive(Clone, Debug)]
pub struct StartTable<A, F> {
    started: HashMap<RecordKey, Started<A, F>>,
    /// Records that ended or were refused, oldest first.
    ended: VecDeque<(RecordKey, Revision)>,
    /// Records that ended with an answer, oldest first.
    with_answer: VecDeque<(RecordKey, Revision)>,
    answer_bytes: usize,
    /// For each shard: a record with a lower base that has not started never will.
    fences: HashMap<Shard, Revision>,
    /// For each shard: a record with a lower base that isn't in the table may have run.
    forgotten: HashMap<Shard, Revision>,
    max_records: usize,
    max_answer_bytes: usize,
}

impl<A: Clone, F: PartialEq> StartTable<A, F> {
    /// Creates an empty table of at most `max_records` records and `max_answer_bytes` of kept answers.
    pub fn new(max_records: usize, max_answer_bytes: usize) -> StartTable<A, F> {
        StartTable {
            started: HashMap::new(),
            ended: VecDeque::new(),
            with_answer: VecDeque::new(),
            answer_bytes: 0,
            fences: HashMap::new(),
            forgotten: HashMap::new(),
            max_records,
            max_answer_bytes,
        }
    }

    /// Decides whether a run that arrived starts, and records it.
    pub fn start(&mut self, stamp: &Stamp) -> StartVerdict {
        if let Some(known) = self.started.get(&stamp.key) {
            if known.base == stamp.base {
                return StartVerdict::Repeated;
            }
            if known.base > stamp.base {
                return StartVerdict::Fenced;
            }
        }
        if stamp.base < mark_of_shard(&self.forgotten, stamp.shard) {
            return StartVerdict::Forgotten;
        }
        if stamp.base < mark_of_shard(&self.fences, stamp.shard) {
            return StartVerdict::Fenced;
        }
        if !self.evict_ended() {
            self.raise_fence(stamp);
            return StartVerdict::Full;
        }
        self.put(stamp, State::Running(Vec::new()));
        StartVerdict::Start
    }

    /// Marks a run that was about to start as refused, so that it never starts. Returns its followers.
    pub fn refuse(&mut self, stamp: &Stamp) -> Vec<F> {
        self.finish(stamp, State::Refused, 0)
    }

    /// Marks a run as ended, with an answer of size `bytes`. Returns its followers.
    pub fn end(&mut self, stamp: &Stamp, answer: A, bytes: usize) -> Vec<F> {
        let followers = self.finish(stamp, State::Ended(Some(answer)), bytes);
        self.with_answer.push_back((stamp.key, stamp.base));
        while self.answer_bytes > self.max_answer_bytes {
            let Some((key, base)) = self.with_answer.pop_front() else { break };
            self.drop_answer(&key, base);
        }
        followers
    }

    /// Returns the status of a record, and adds the follower to a running one. With `fence`, a record that was not seen
    /// yet will never start.
    pub fn ask(&mut self, stamp: &Stamp, fence: bool, follower: F) -> RecordStatus<A> {
        match self.started.get_mut(&stamp.key) {
            Some(known) if known.base > stamp.base => return RecordStatus::Tombstoned,
            Some(known) if known.base == stamp.base => match &mut known.state {
                State::Running(followers) => {
                    if followers.len() < MAX_FOLLOWERS && !followers.contains(&follower) {
                        followers.push(follower);
                    }
                    return RecordStatus::Running;
                }
                State::Ended(Some(answer)) => return RecordStatus::Ended(answer.clone()),
                State::Ended(None) => return RecordStatus::AnswerDropped,
                State::Refused => return RecordStatus::Tombstoned,
            },
            _ => {}
        }
        if stamp.base < mark_of_shard(&self.forgotten, stamp.shard) {
            return RecordStatus::Forgotten;
        }
        if fence {
            self.raise_fence(stamp);
        }
        let fenced = stamp.base < mark_of_shard(&self.fences, stamp.shard);
        if fenced { RecordStatus::Tombstoned } else { RecordStatus::NotSeen }
    }

    /// Returns the number of records and the bytes of kept answers.
    pub fn size(&self) -> (usize, usize) {
        (self.started.len(), self.answer_bytes)
    }

    /// Prevents every record with this base or a lower one that hasn't started from ever starting.
    fn raise_fence(&mut self, stamp: &Stamp) {
        raise_mark(&mut self.fences, stamp.shard, stamp.base + 1);
    }

    fn finish(&mut self, stamp: &Stamp, state: State<A, F>, bytes: usize) -> Vec<F> {
        let Some(known) = self.started.get_mut(&stamp.key) else { return Vec::new() };
        if known.base != stamp.base || !matches!(known.state, State::Running(_)) {
            return Vec::new();
        }
        let before = std::mem::replace(&mut known.state, state);
        known.bytes = bytes;
        self.answer_bytes += bytes;
        self.ended.push_back((stamp.key, stamp.base));
        match before {
            State::Running(followers) => followers,
            State::Ended(_) | State::Refused => Vec::new(),
        }
    }

    fn put(&mut self, stamp: &Stamp, state: State<A, F>) {
        let started = Started { shard: stamp.shard, base: stamp.base, state, bytes: 0 };
        if let Some(before) = self.started.insert(stamp.key, started) {
            self.answer_bytes -= before.bytes;
        }
    }

    /// Forgets the records that ended first while the table is full. Returns false if all of them run.
    fn evict_ended(&mut self) -> bool {
        while self.started.len() >= self.max_records {
            let Some((key, base)) = self.ended.pop_front() else { return false };
            self.forget(&key, base);
        }
        true
    }

    fn forget(&mut self, key: &RecordKey, base: Revision) {
        if self.started.get(key).is_none_or(|known| known.base != base) {
            return;
        }
        let Some(known) = self.started.remove(key) else { return };
        self.answer_bytes -= known.bytes;
        let marks = match known.state {
            State::Refused => &mut self.fences,
            State::Running(_) | State::Ended(_) => &mut self.forgotten,
        };
        raise_mark(marks, known.shard, base + 1);
    }

    fn drop_answer(&mut self, key: &RecordKey, base: Revision) {
        let Some(known) = self.started.get_mut(key) else { return };
        if known.base == base && matches!(known.state, State::Ended(Some(_))) {
            known.state = State::Ended(None);
            self.answer_bytes -= known.bytes;
            known.bytes = 0;
        }
    }
}

fn mark_of_shard(marks: &HashMap<Shard, Revision>, shard: Shard) -> Revision {
    marks.get(&shard).copied().unwrap_or_default()
}

fn raise_mark(marks: &mut HashMap<Shard, Revision>, shard: Shard, to: Revision) {
    let mark = marks.entry(shard).or_default();
    *mark = to.max(*mark);
}
