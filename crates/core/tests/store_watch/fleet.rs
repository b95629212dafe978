//! Simulation of a small fleet that watches one object of a store, on simulated time in ms.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use sorrellock_core::process::store_watch::{Rank, WatchSchedule, WatchTimes, list_turn};
use std::time::Duration;

/// Time step of the simulation.
const STEP: u64 = 10;
/// Round trip time between a process and the store.
const ROUND_TRIP: u64 = 10;
/// Interval at which a process reports its state to the others.
const REPORT_INTERVAL: u64 = 100;
/// A process whose last report is older is not counted.
const REPORT_EXPIRY: u64 = 1_500;
/// Time between the report of a higher version by another process and the fetch of that version, and the duration of
/// the fetch.
const MAX_BEHIND: u64 = 300;
const FETCH_TIME: u64 = 100;
/// Pause between an answer with a change and the next watch.
const PAUSE: u64 = 200;

/// A period of a fault.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    pub from: u64,
    pub lasts: u64,
}

impl Span {
    pub fn end(self) -> u64 {
        self.from + self.lasts
    }

    fn covers(self, now: u64) -> bool {
        (self.from..self.end()).contains(&now)
    }
}

/// Faults and changes of a simulation run.
#[derive(Clone, Debug, Default)]
pub struct Scenario {
    /// Periods in which the store answers no call. Calls that it loses are never answered.
    pub silences: Vec<Span>,
    /// Times at which all open connections to the store become silent permanently.
    pub dead_connections: Vec<u64>,
    /// Periods in which the processes receive no reports from each other.
    pub partitions: Vec<Span>,
    /// One report in this number is lost; 0 for none.
    pub loss: u32,
    /// Times at which the store returns from an older copy, each time in a new era.
    pub restores: Vec<u64>,
    /// Times at which the operator changes the object; a change during a silence is written at its end.
    pub changes: Vec<u64>,
}

impl Scenario {
    fn is_silent(&self, now: u64) -> bool {
        self.silences.iter().any(|span| span.covers(now))
    }

    fn era(&self, now: u64) -> u64 {
        self.restores.iter().filter(|at| **at <= now).count() as u64
    }

    /// Returns when the store acknowledges a change.
    pub fn acknowledged(&self, change: u64) -> u64 {
        let silence = self.silences.iter().find(|span| span.covers(change));
        silence.map_or(change, |span| span.end())
    }
}

/// A pending call.
struct Call {
    sent: u64,
    wait: u64,
    answer_timeout: u64,
    after: u64,
    /// The store has received it.
    is_received: bool,
    is_lost: bool,
}

struct Process {
    schedule: WatchSchedule,
    call: Option<Call>,
    /// Earliest time of the next call.
    next_call: u64,
    version: u64,
    /// Time of the last answer of the store.
    answered_at: Option<u64>,
    /// The last report of each other process.
    reports: Vec<Option<Report>>,
    behind_since: Option<u64>,
    /// The newest era that it knows of.
    known_era: u64,
    /// It waits for its turn to list in a newer era or is listing.
    is_listing: bool,
    /// Time at which it had listed in each era.
    listed_at: Vec<u64>,
    /// Time at which it knew each version.
    known_at: Vec<u64>,
}

#[derive(Clone, Copy)]
struct Report {
    at: u64,
    version: u64,
    answered_at: Option<u64>,
    era: u64,
}

/// The simulated fleet.
pub struct Fleet {
    processes: Vec<Process>,
    scenario: Scenario,
    rng: SmallRng,
    now: u64,
    version: u64,
    /// Number of calls sent to the store.
    pub calls: u64,
}

impl Fleet {
    pub fn new(count: usize, within: Duration, scenario: Scenario, seed: u64) -> Fleet {
        let process = || Process {
            schedule: WatchSchedule::new(WatchTimes::new(within)),
            call: None,
            next_call: 0,
            version: 0,
            answered_at: None,
            reports: vec![None; count],
            behind_since: None,
            known_era: 0,
            is_listing: true,
            listed_at: Vec::new(),
            known_at: Vec::new(),
        };
        let processes = (0..count).map(|_| process()).collect();
        let rng = SmallRng::seed_from_u64(seed);
        Fleet { processes, scenario, rng, now: 0, version: 0, calls: 0 }
    }

    /// Runs until `end`.
    pub fn run(&mut self, end: u64) {
        while self.now < end {
            self.now += STEP;
            self.write();
            self.send_reports();
            for index in 0..self.processes.len() {
                self.advance(index);
            }
        }
    }

    /// Returns when the last process knew a change, by its index; none if one never did.
    pub fn known_everywhere(&self, change: usize) -> Option<u64> {
        let known = self.processes.iter().map(|process| process.known_at.get(change).copied());
        known.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    fn write(&mut self) {
        let changes = &self.scenario.changes;
        let written =
            changes.iter().filter(|change| self.scenario.acknowledged(**change) <= self.now);
        self.version = written.count() as u64;
    }

    fn send_reports(&mut self) {
        if !self.now.is_multiple_of(REPORT_INTERVAL)
            || self.scenario.partitions.iter().any(|span| span.covers(self.now))
        {
            return;
        }
        let snapshots: Vec<Report> = self
            .processes
            .iter()
            .map(|process| Report {
                at: self.now,
                version: process.version,
                answered_at: process.answered_at,
                era: process.known_era,
            })
            .collect();
        for (to, process) in self.processes.iter_mut().enumerate() {
            for (from, report) in snapshots.iter().enumerate() {
                let is_lost =
                    self.scenario.loss > 0 && self.rng.random_range(0..self.scenario.loss) == 0;
                if from != to && !is_lost {
                    process.reports[from] = Some(*report);
                    process.known_era = process.known_era.max(report.era);
                }
            }
        }
    }

    fn advance(&mut self, index: usize) {
        let (now, rank) = (self.now, self.rank(index));
        self.catch_up(index);
        self.list_again(index);
        let others = self.others_age(index);
        let own = self.processes[index].answered_at.map(|answered_at| now - answered_at);
        let age = others.into_iter().chain(own).min();
        let max_age = millis(self.processes[index].schedule.max_age(rank));
        let is_too_old = age.is_none_or(|age| age > max_age);
        let is_silent = self.scenario.is_silent(now);
        let is_cut = self.scenario.dead_connections.iter().any(|at| (now - STEP..now).contains(at));
        let process = &mut self.processes[index];
        let Some(call) = &mut process.call else {
            if now >= process.next_call {
                self.calls += 1;
                process.call = Some(Call {
                    sent: now,
                    wait: if process.is_listing { 0 } else { millis(process.schedule.wait(rank)) },
                    answer_timeout: millis(process.schedule.answer_timeout()),
                    after: process.version,
                    is_received: false,
                    is_lost: false,
                });
            }
            return;
        };
        let due = now >= call.sent + call.wait + ROUND_TRIP;
        call.is_lost |= is_cut;
        if is_silent && now >= call.sent + ROUND_TRIP / 2 {
            call.is_lost |= !call.is_received || due;
        }
        call.is_received |= now >= call.sent + ROUND_TRIP / 2;
        let has_changes = self.version > call.after && now >= call.sent + ROUND_TRIP;
        if !call.is_lost && !is_silent && (has_changes || due) {
            let pause = if has_changes { PAUSE } else { 0 };
            process.call = None;
            process.next_call = now + pause;
            process.answered_at = Some(now);
            process.known_era = process.known_era.max(self.scenario.era(now));
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

    /// Schedules a list of a process that knows of a newer era than it has listed in.
    fn list_again(&mut self, index: usize) {
        let (now, rank) = (self.now, self.rank(index));
        let reports = &self.processes[index].reports;
        let others =
            reports.iter().flatten().filter(|report| now - report.at < REPORT_EXPIRY).count();
        let process = &mut self.processes[index];
        let is_listed = process.listed_at.len() as u64 > process.known_era;
        if !is_listed && !process.is_listing {
            process.call = None;
            process.is_listing = true;
            process.next_call = now + millis(list_turn(rank, others as u32 + 1));
        }
    }

    /// Returns when the last process had listed in an era; none if one never did.
    pub fn listed_everywhere(&self, era: usize) -> Option<u64> {
        let listed = self.processes.iter().map(|process| process.listed_at.get(era).copied());
        listed.collect::<Option<Vec<u64>>>()?.into_iter().max()
    }

    /// Fetches a higher version from another process, some time after its report.
    fn catch_up(&mut self, index: usize) {
        let now = self.now;
        let process = &mut self.processes[index];
        let live =
            process.reports.iter().flatten().filter(|report| now - report.at < REPORT_EXPIRY);
        let ahead =
            live.map(|report| report.version).max().filter(|version| *version > process.version);
        let Some(version) = ahead else {
            process.behind_since = None;
            return;
        };
        let since = *process.behind_since.get_or_insert(now);
        if now - since >= MAX_BEHIND + FETCH_TIME {
            learn(process, version, now);
            process.behind_since = None;
        }
    }

    fn rank(&self, index: usize) -> Rank {
        let is_current = |report: &Option<Report>| {
            report.is_some_and(|report| self.now - report.at < REPORT_EXPIRY)
        };
        let reports = &self.processes[index].reports;
        reports[..index].iter().filter(|report| is_current(report)).count() as Rank
    }

    /// Returns the age of the most recent data of the others that are in contact and know no higher version.
    fn others_age(&self, index: usize) -> Option<u64> {
        let process = &self.processes[index];
        let live =
            process.reports.iter().flatten().filter(|report| self.now - report.at < REPORT_EXPIRY);
        let answers = live
            .filter(|report| report.version <= process.version)
            .filter_map(|report| report.answered_at);
        Some(self.now - answers.max()?)
    }
}

fn learn(process: &mut Process, version: u64, now: u64) {
    process.version = process.version.max(version);
    process.known_at.resize(process.version as usize, now);
}

fn millis(duration: Duration) -> u64 {
    duration.as_millis() as u64
}
