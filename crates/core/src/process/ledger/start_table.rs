//! What a daemon remembers of the records that it was given: the last word on what starts.

use super::{RecordKey, Shard, Stamp};
use crate::id::Revision;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// The most requests that follow one run.
pub const MAX_FOLLOWERS: usize = 64;

/// What is to be done with a run that came in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartVerdict {
    /// Start it, now or after a wait; it counts as started.
    Start,
    /// It was started, or refused, before: drop it.
    Repeated,
    /// It will never start here: it is not run.
    Fenced,
    /// Whether it ran is remembered no longer.
    Forgotten,
    /// There is no room to remember it, so it will never start here: it is not run.
    Full,
}

/// What a daemon says of a record that it is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordStatus<A> {
    /// It waits or runs; whoever asked hears of its end.
    Running,
    /// It ended, with this answer.
    Ended(A),
    /// It ended, and its answer is kept no longer.
    AnswerDropped,
    /// It has not come yet, and may come.
    NotSeen,
    /// It has not started, and never will.
    Tombstoned,
    /// Whether it ran is remembered no longer.
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

/// The records that a daemon was given. `A` is an answer, `F` names who follows a run.
///
/// All is bounded; what is forgotten leaves one number a shard behind, so that forgetting never
/// turns into "never seen".
#[derive(Clone, Debug)]
pub struct StartTable<A, F> {
    started: HashMap<RecordKey, Started<A, F>>,
    ended: VecDeque<(RecordKey, Revision)>,
    with_answer: VecDeque<(RecordKey, Revision)>,
    answer_bytes: usize,
    fences: HashMap<Shard, Revision>,
    forgotten: HashMap<Shard, Revision>,
    max_records: usize,
    max_answer_bytes: usize,
}

impl<A: Clone, F: PartialEq> StartTable<A, F> {
    /// An empty table of at most `max_records` records and `max_answer_bytes` of kept answers.
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

    /// Judges a run that came in.
    pub fn start(&mut self, stamp: &Stamp) -> StartVerdict {
        if let Some(known) = self.started.get(&stamp.key) {
            if known.base == stamp.base {
                return StartVerdict::Repeated;
            }
            if known.base > stamp.base {
                return StartVerdict::Fenced;
            }
        }
        if stamp.base < of_shard(&self.forgotten, stamp.shard) {
            return StartVerdict::Forgotten;
        }
        if stamp.base < of_shard(&self.fences, stamp.shard) {
            return StartVerdict::Fenced;
        }
        if !self.make_room() {
            self.raise_fence(stamp);
            return StartVerdict::Full;
        }
        self.put(stamp, State::Running(Vec::new()));
        StartVerdict::Start
    }

    /// A run that was to start is refused: it never starts.
    pub fn refuse(&mut self, stamp: &Stamp) -> Vec<F> {
        self.finish(stamp, State::Refused, 0)
    }

    /// A run ended. Returns who follows it; `bytes` is the size of the answer.
    pub fn end(&mut self, stamp: &Stamp, answer: A, bytes: usize) -> Vec<F> {
        let followers = self.finish(stamp, State::Ended(Some(answer)), bytes);
        self.with_answer.push_back((stamp.key, stamp.base));
        while self.answer_bytes > self.max_answer_bytes {
            let Some((key, base)) = self.with_answer.pop_front() else { break };
            self.drop_answer(&key, base);
        }
        followers
    }

    /// Tells of a record. With `fence`, one that was not seen yet will never start.
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
        if stamp.base < of_shard(&self.forgotten, stamp.shard) {
            return RecordStatus::Forgotten;
        }
        if fence {
            self.raise_fence(stamp);
        }
        let fenced = stamp.base < of_shard(&self.fences, stamp.shard);
        if fenced { RecordStatus::Tombstoned } else { RecordStatus::NotSeen }
    }

    /// How many records and bytes of answers it holds.
    pub fn size(&self) -> (usize, usize) {
        (self.started.len(), self.answer_bytes)
    }

    /// Whatever was committed on this version or a lower one and hasn't started never will.
    fn raise_fence(&mut self, stamp: &Stamp) {
        raise(&mut self.fences, stamp.shard, stamp.base + 1);
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

    /// Forgets the record that ended first if the table is full; false if all of them run.
    fn make_room(&mut self) -> bool {
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
        raise(marks, known.shard, base + 1);
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

fn of_shard(marks: &HashMap<Shard, Revision>, shard: Shard) -> Revision {
    marks.get(&shard).copied().unwrap_or_default()
}

fn raise(marks: &mut HashMap<Shard, Revision>, shard: Shard, to: Revision) {
    let mark = marks.entry(shard).or_default();
    *mark = to.max(*mark);
}
