//! Counts requests by cause and by the time at which they came.

use super::{Cause, GroupTable, Grouping, LogFields, LogLine, StreamEnd, common_reason};
use std::collections::{BTreeMap, HashMap};

/// What callers expect of a stream, and how times are grouped.
#[derive(Clone, Copy, Debug)]
pub struct Aims {
    /// Time until the first event, in ms.
    pub first_ms: u64,
    /// Longest pause between two events, in ms.
    pub pause_ms: u64,
    /// Length of a period, in ms.
    pub period_ms: u64,
}

/// What is known of a request that has not ended.
#[derive(Clone, Debug, Default)]
struct Open {
    taken_at: u64,
    group: Option<String>,
    sends: u32,
    has_moved: bool,
    has_waited: bool,
}

/// Requests by cause.
#[derive(Debug)]
pub struct Account {
    aims: Aims,
    began_at: Option<u64>,
    open: HashMap<String, Open>,
    /// By the period in which the request came.
    causes: BTreeMap<u64, BTreeMap<Cause, u64>>,
    /// Requests of each period.
    taken: BTreeMap<u64, u64>,
    grouping: Option<Grouping>,
    groups: GroupTable,
}

impl Account {
    /// Creates an empty account.
    pub fn new(aims: Aims) -> Account {
        Account {
            aims,
            began_at: None,
            open: HashMap::new(),
            causes: BTreeMap::new(),
            taken: BTreeMap::new(),
            grouping: None,
            groups: GroupTable::new(),
        }
    }

    /// Counts requests by group as well.
    pub fn with_grouping(self, grouping: Option<Grouping>) -> Account {
        Account { grouping, ..self }
    }

    /// Counts a line.
    pub fn add(&mut self, line: &LogLine) {
        let Some(request) = line.fields.request.clone() else { return };
        match line.event.as_str() {
            "request taken" => {
                self.began_at.get_or_insert(line.timestamp);
                let group = self.grouping.map(|grouping| grouping.group(&line.fields));
                if let Some(group) = &group {
                    self.groups.entry(group.clone()).or_default().taken += 1;
                }
                let open = Open { taken_at: line.timestamp, group, ..Open::default() };
                self.open.insert(request, open);
                *self.taken.entry(self.period(line.timestamp)).or_default() += 1;
            }
            "request sent" => self.change(&request, |open| open.sends += 1),
            "stream moved to another path" => self.change(&request, |open| open.has_moved = true),
            "stream waits for a repair" => self.change(&request, |open| open.has_waited = true),
            "request ended" => self.on_end(&request, &line.fields),
            _ => {}
        }
    }

    fn change(&mut self, request: &str, change: impl FnOnce(&mut Open)) {
        if let Some(open) = self.open.get_mut(request) {
            change(open);
        }
    }

    /// A request that no route allows was never taken, and counts for nothing.
    fn on_end(&mut self, request: &str, end: &LogFields) {
        let Some(open) = self.open.remove(request) else { return };
        if let Some(cause) = cause(&self.aims, &open, end) {
            self.count(&open, cause);
        }
    }

    /// Counts those that have no end yet. Returns the account as a table.
    pub fn finish(mut self) -> CauseTable {
        for (_, open) in std::mem::take(&mut self.open) {
            self.count(&open, Cause::NoEnd);
        }
        let period_ms = self.aims.period_ms;
        CauseTable { period_ms, taken: self.taken, causes: self.causes, groups: self.groups }
    }

    fn count(&mut self, open: &Open, cause: Cause) {
        if let Some(group) = &open.group {
            self.groups.entry(group.clone()).or_default().count(&cause);
        }
        *self.causes.entry(self.period(open.taken_at)).or_default().entry(cause).or_default() += 1;
    }

    fn period(&self, at: u64) -> u64 {
        at.saturating_sub(self.began_at.unwrap_or(at)) / self.aims.period_ms.max(1)
    }
}

/// Returns why a request wasn't served as expected; `None` if it was.
fn cause(aims: &Aims, open: &Open, end: &LogFields) -> Option<Cause> {
    let why = end.why.as_deref().unwrap_or_default();
    match end.outcome.as_deref().unwrap_or_default() {
        "answered" => cause_of_late(aims, open, &StreamEnd::parse(why)?),
        "not allowed" => None,
        "not run" => Some(Cause::Refused(common_reason(why))),
        "cut" => Some(Cause::Cut(common_reason(why))),
        "caller gone" => Some(Cause::CallerGone),
        _ => Some(Cause::Failed(common_reason(why))),
    }
}

fn cause_of_late(aims: &Aims, open: &Open, end: &StreamEnd) -> Option<Cause> {
    if end.first_ms > aims.first_ms {
        let is_first = open.sends <= 1;
        return Some(if is_first { Cause::FirstEventLate } else { Cause::FirstEventAfterRepeat });
    }
    let is_late = end.pause_ms > aims.pause_ms;
    is_late.then_some(match (open.has_waited, end.failovers, open.has_moved) {
        (true, ..) => Cause::PauseByRepair,
        (_, 1.., _) => Cause::PauseByFailover,
        (.., true) => Cause::PauseByMove,
        _ => Cause::Pause,
    })
}

/// Requests by cause and period.
#[derive(Debug)]
pub struct CauseTable {
    period_ms: u64,
    taken: BTreeMap<u64, u64>,
    causes: BTreeMap<u64, BTreeMap<Cause, u64>>,
    groups: GroupTable,
}

impl CauseTable {
    /// Returns the counts by group; empty without a grouping.
    pub fn groups(&self) -> &GroupTable {
        &self.groups
    }

    /// Returns how many requests were taken.
    pub fn taken(&self) -> u64 {
        self.taken.values().sum()
    }

    /// Returns the causes of all periods, the most frequent first.
    pub fn by_cause(&self) -> Vec<(Cause, u64)> {
        let mut sums: BTreeMap<&Cause, u64> = BTreeMap::new();
        for (cause, count) in self.causes.values().flatten() {
            *sums.entry(cause).or_default() += count;
        }
        let mut sums: Vec<(Cause, u64)> =
            sums.into_iter().map(|(cause, count)| (cause.clone(), count)).collect();
        sums.sort_by(|a, b| b.1.cmp(&a.1).then_with(|| a.0.cmp(&b.0)));
        sums
    }

    /// Returns each period with its start in s, its requests, and those of each cause.
    pub fn by_period(&self) -> impl Iterator<Item = (f64, u64, &BTreeMap<Cause, u64>)> {
        static NONE: BTreeMap<Cause, u64> = BTreeMap::new();
        self.taken.iter().map(|(period, taken)| {
            let start_s = (period * self.period_ms) as f64 / 1e3;
            (start_s, *taken, self.causes.get(period).unwrap_or(&NONE))
        })
    }
}
