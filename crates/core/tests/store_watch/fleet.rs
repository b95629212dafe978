//! A small fleet that follows one object of a store, on simulated time, in ms.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::process::store_watch::{Rank, WatchSchedule, WatchTimes, list_turn};
use std::time::Duration;

/// One step.
const STEP: u64 = 10;
/// From a process to the store and back.
const ROUND_TRIP: u64 = 10;
/// How often a process tells the others what it knows.
const TELL_EVERY: u64 = 100;
/// A process that wasn't heard for so long is not counted.
const LAPSE: u64 = 1_500;
/// How long another process may know more before it is asked, and how long that takes.
const BEHIND_PATIENCE: u64 = 300;
const FETCH_TIME: u64 = 100;
/// After news the next watch follows so much later.
const PAUSE: u64 = 200;

/// A span in which something is out of order.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: u64,
    pub lasts: u64,
}

impl Span {
    pub fn end(self) -> u64 {
        self.from + self.lasts
    }

    fn holds(self, now: u64) -> bool {
        (self.from..self.end()).contains(&now)
    }
}

/// What goes wrong.
#[derive(Clone, Debug, Default)]
pub struct Course {
    /// The store answers nothing, also not afterwards.
    pub silences: Vec<Span>,
    /// Connections to the store that are open at these times go silent for good.
    pub dead_connections: Vec<u64>,
    /// The processes don't hear each other.
    pub unheard: Vec<Span>,
    /// One message in so many is lost; 0 for none.
    pub loss: u32,
    /// When the store has come back from an older copy, each time in a new era.
    pub restores: Vec<u64>,
    /// When the operator changes the object; a change that meets a silence is written at its end.
    pub changes: Vec<u64>,
}

impl Course {
    fn is_silent(&self, now: u64) -> bool {
        self.silences.iter().any(|span| span.holds(now))
    }

    fn era(&self, now: u64) -> u64 {
        self.restores.iter().filter(|at| **at <= now).count() as u64
    }

    /// When the store has acknowledged a change.
    pub fn acknowledged(&self, change: u64) -> u64 {
        let silence = self.silences.iter().find(|span| span.holds(change));
        silence.map_or(change, |span| span.end())
    }
}

/// A call under way.
struct Call {
    sent: u64,
    wait: u64,
    answer_timeout: u64,
    after: u64,
    /// The store has it.
    is_taken: bool,
    is_lost: bool,
}

struct Process {
    schedule: WatchSchedule,
    call: Option<Call>,
    /// No call before this.
    next_call: u64,
    version: u64,
    /// When the store last told all that it had.
    heard: Option<u64>,
    /// Of each other process: when its last message came, and what it knew by when.
    told: Vec<Option<Told>>,
    behind_since: Option<u64>,
    /// The newest era that it has heard of.
    known_era: u64,
    /// It waits for its turn to list in a newer era, or lists.
    is_listing: bool,
    /// When it had listed in each era.
    listed_at: Vec<u64>,
    /// When each version was known.
    known_at: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Told {
    at: u64,
    version: u64,
    heard: Option<u64>,
    era: u64,
}

/// The fleet.
pub struct Fleet {
    processes: Vec<Process>,
    course: Course,
    rng: SmallRng,
    now: u64,
    version: u64,
    /// Calls that the store got.
    pub calls: u64,
}

impl Fleet {
    pub fn new(count: usize, within: Duration, course: Course, seed: u64) -> Fleet {
        let process = || Process {
            schedule: WatchSchedule::new(WatchTimes::new(within)),
            call: None,
            next_call: 0,
            version: 0,
            heard: None,
            told: vec![None; count],
            behind_since: None,
            known_era: 0,
            is_listing: true,
            listed_at: Vec::new(),
            known_at: Vec::new(),
        };
        let processes = (0..count).map(|_| process()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { processes, course, rng, now: 0, version: 0, calls: 0 }
    }

    /// Runs until `end`, and tells for each change how long after its acknowledgement the last process knew it.
    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            self.write();
            self.tell();
            for index in 0..self.processes.len() {
                self.advance(index);
            }
        }
    }

    /// When the last process knew a change, counted from 0; nothing if one never did.
    pub fn known_everywhere(&self, change: usize) -> Option<u64> {
        let known = self.processes.iter().map(|process| process.known_at.get(change).copied());
        known.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    fn write(&mut self) {
        let changes = &self.course.changes;
        let written =
            changes.iter().filter(|change| self.course.acknowledged(**change) <= self.now);
        self.version = written.count() as u64;
    }

    fn tell(&mut self) {
        if !self.now.is_multiple_of(TELL_EVERY)
            || self.course.unheard.iter().any(|span| span.holds(self.now))
        {
            return;
        }
        let told: Vec<Told> = self
            .processes
            .iter()
            .map(|process| Told {
                at: self.now,
                version: process.version,
                heard: process.heard,
                era: process.known_era,
            })
            .collect();
        for (to, process) in self.processes.iter_mut().enumerate() {
            for (from, told) in told.iter().enumerate() {
                let is_lost =
                    self.course.loss > 0 && self.rng.random_range(0..self.course.loss) == 0;
                if from != to && !is_lost {
                    process.told[from] = Some(*told);
                    process.known_era = process.known_era.max(told.era);
                }
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let (now, rank) = (self.now, self.rank(index));
        self.catch_up(index);
        self.list_anew(index);
        let others = self.others_age(index);
        let own = self.processes[index].heard.map(|heard| now - heard);
        let age = others.into_iter().chain(own).min();
        let max_age = millis(self.processes[index].schedule.max_age(rank));
        let is_too_old = age.is_none_or(|age| age > max_age);
        let is_silent = self.course.is_silent(now);
        let is_cut = self.course.dead_connections.iter().any(|at| (now - STEP..now).contains(at));
        let process = &mut self.processes[index];
        let Some(call) = &mut process.call else {
            if now >= process.next_call {
                self.calls += 1;
                process.call = Some(Call {
                    sent: now,
                    wait: if process.is_listing { 0 } else { millis(process.schedule.wait(rank)) },
                    answer_timeout: millis(process.schedule.answer_timeout()),
                    after: process.version,
                    is_taken: false,
                    is_lost: false,
                });
            }
            return;
        };
        let due = now >= call.sent + call.wait + ROUND_TRIP;
        call.is_lost |= is_cut;
        if is_silent && now >= call.sent + ROUND_TRIP / 2 {
            call.is_lost |= !call.is_taken || due;
        }
        call.is_taken |= now >= call.sent + ROUND_TRIP / 2;
        let has_news = self.version > call.after && now >= call.sent + ROUND_TRIP;
        if !call.is_lost && !is_silent && (has_news || due) {
            let pause = if has_news { PAUSE } else { 0 };
            process.call = None;
            process.next_call = now + pause;
            process.heard = Some(now);
            process.known_era = process.known_era.max(self.course.era(now));
            if std::mem::take(&mut process.is_listing) {
                process.listed_at.resize(process.known_era as usize + 1, now);
            }
            process.schedule.on_answer();
            learn(process, self.version, now);
        } else if now >= call.sent + call.wait + call.answer_timeout {
            process.call = None;
            process.schedule.on_failure();
            let retry_in = process.schedule.retry_in(rank, age.map(Duration::from_millis));
            process.next_call = now + millis(retry_in);
        } else if call.wait > 0 && is_too_old {
            process.call = None;
            process.schedule.on_suspicion();
        }
    }

    /// In a newer era than it has listed in, it lists as its turn comes.
    fn list_anew(&mut self, index: usize) {
        let (now, rank) = (self.now, self.rank(index));
        let told = &self.processes[index].told;
        let others = told.iter().flatten().filter(|told| now - told.at < LAPSE).count();
        let process = &mut self.processes[index];
        let is_listed = process.listed_at.len() as u64 > process.known_era;
        if !is_listed && !process.is_listing {
            process.call = None;
            process.is_listing = true;
            process.next_call = now + millis(list_turn(rank, others as u32 + 1));
        }
    }

    /// When the last process had listed in an era; nothing if one never did.
    pub fn listed_everywhere(&self, era: usize) -> Option<u64> {
        let listed = self.processes.iter().map(|process| process.listed_at.get(era).copied());
        listed.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    /// Takes what another process knows, a while after it is heard to know more.
    fn catch_up(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let live = process.told.iter().flatten().filter(|told| now - told.at < LAPSE);
        let ahead =
            live.map(|told| told.version).max().filter(|version| *version > process.version);
        let Some(version) = ahead else {
            process.behind_since = None;
            return;
        };
        let since = *process.behind_since.get_or_insert(now);
        if now - since >= BEHIND_PATIENCE + FETCH_TIME {
            learn(process, version, now);
            process.behind_since = None;
        }
    }

    fn rank(&self, index: usize) -> Rank {
        let heard = |told: &Option<Told>| told.is_some_and(|told| self.now - told.at < LAPSE);
        let told = &self.processes[index].told;
        told[..index].iter().filter(|told| heard(told)).count() as Rank
    }

    /// How old the knowledge is of the others that a process hears and that know no more.
    fn others_age(&self, index: usize) -> Option<u64> {
        let process = &self.processes[index];
        let live = process.told.iter().flatten().filter(|told| self.now - told.at < LAPSE);
        let told =
            live.filter(|told| told.version <= process.version).filter_map(|told| told.heard);
        Some(self.now - told.max()?)
    }
}

fn learn(process: &mut Process, version: u64, now: u64) {
    process.version = process.version.max(version);
    process.known_at.resize(process.version as usize, now);
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
