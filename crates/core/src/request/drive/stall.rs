//! Finds the stage that stopped in silence, by missed progress against the request's own pace.

use crate::id::StageIndex;
use crate::request::StageProgress;
use std::time::{Duration, Instant};

/// A token is missed when it takes this many times the usual interval.
const MISSED_FACTOR: u32 = 4;
/// No token is missed sooner: the machines' own hiccups are of this order.
const MISSED_FLOOR: Duration = Duration::from_millis(40);
/// Before an attempt has brought a token, one is missed after this.
const MISSED_FIRST: Duration = Duration::from_millis(800);
/// No stall is looked into later than this.
const MISSED_CEILING: Duration = Duration::from_secs(5);
/// How long stages have to answer a probe.
const PROBE_WAIT: Duration = Duration::from_millis(100);
/// Probes that a stage must leave without an answer before it is blamed.
const PROBES: u32 = 3;
/// A check that comes this late tells that this process itself was paused: nobody is blamed.
const PAUSED: Duration = Duration::from_millis(500);
/// Weight of a new interval, one over this.
const WEIGHT: u32 = 8;

/// What to do at a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StallAction {
    /// Nothing.
    Wait,
    /// Send the attempt and the last token again.
    Nudge,
    /// Ask all stages how far they are.
    Probe,
    /// These stages don't answer, or can't go on.
    Blame(Vec<StageIndex>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Flowing,
    Nudged,
    Probing { probes: u32, well: Vec<StageIndex>, stuck: Vec<StageIndex> },
}

/// Watches the progress of one request.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last: Instant,
    due: Instant,
    interval: Option<Duration>,
    /// Grows each time that all stages turn out well, so that a slow request is left alone.
    slack: u32,
    fresh: bool,
    phase: Phase,
}

impl StallDetector {
    /// A request that starts now.
    pub fn new(now: Instant) -> StallDetector {
        let phase = Phase::Flowing;
        let mut detector =
            StallDetector { last: now, due: now, interval: None, slack: 1, fresh: true, phase };
        detector.due = now + detector.patience();
        detector
    }

    /// When to check next.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// A token came.
    pub fn on_token(&mut self, now: Instant) {
        let took = now.saturating_duration_since(self.last);
        if !self.fresh {
            let mean = |before: Duration| (before * (WEIGHT - 1) + took) / WEIGHT;
            self.interval = Some(self.interval.map_or(took, mean));
        }
        self.fresh = false;
        self.slack = 1;
        self.flow(now);
    }

    /// A new attempt began.
    pub fn on_attempt(&mut self, now: Instant) {
        self.fresh = true;
        self.flow(now);
    }

    /// A stage answered a probe.
    pub fn on_progress(&mut self, progress: &StageProgress) {
        let Phase::Probing { well, stuck, .. } = &mut self.phase else { return };
        let answers = if progress.stuck { stuck } else { well };
        if !answers.contains(&progress.stage) {
            answers.push(progress.stage);
        }
    }

    /// Looks at the request, which passes `stages` stages.
    pub fn check(&mut self, now: Instant, stages: StageIndex) -> StallAction {
        if now < self.due {
            return StallAction::Wait;
        }
        if now.saturating_duration_since(self.due) > PAUSED {
            self.flow(now);
            return StallAction::Wait;
        }
        match std::mem::replace(&mut self.phase, Phase::Flowing) {
            Phase::Flowing => self.missed(now),
            Phase::Nudged => self.probe(now, 1, Vec::new()),
            Phase::Probing { probes, well, stuck } => self.judge(now, stages, probes, well, stuck),
        }
    }

    /// Tokens move the time at which one is missed, without moving the check.
    fn missed(&mut self, now: Instant) -> StallAction {
        let patience = self.patience();
        if now < self.last + patience {
            self.due = self.last + patience;
            return StallAction::Wait;
        }
        self.phase = Phase::Nudged;
        self.due = now + patience.min(MISSED_FIRST);
        StallAction::Nudge
    }

    fn probe(&mut self, now: Instant, probes: u32, well: Vec<StageIndex>) -> StallAction {
        self.phase = Phase::Probing { probes, well, stuck: Vec::new() };
        self.due = now + PROBE_WAIT;
        StallAction::Probe
    }

    fn judge(
        &mut self,
        now: Instant,
        stages: StageIndex,
        probes: u32,
        well: Vec<StageIndex>,
        stuck: Vec<StageIndex>,
    ) -> StallAction {
        if !stuck.is_empty() {
            self.flow(now);
            return StallAction::Blame(stuck);
        }
        let silent: Vec<StageIndex> = (0..stages).filter(|stage| !well.contains(stage)).collect();
        if !silent.is_empty() && probes < PROBES {
            return self.probe(now, probes + 1, well);
        }
        if silent.is_empty() {
            self.slack = self.slack.saturating_mul(2);
        }
        self.flow(now);
        if silent.is_empty() { StallAction::Wait } else { StallAction::Blame(silent) }
    }

    fn flow(&mut self, now: Instant) {
        self.last = now;
        let due = now + self.patience();
        if self.phase != Phase::Flowing || self.due < now || due < self.due {
            self.due = due;
        }
        self.phase = Phase::Flowing;
    }

    fn patience(&self) -> Duration {
        let usual = match self.interval {
            Some(interval) if !self.fresh => (interval * MISSED_FACTOR).max(MISSED_FLOOR),
            _ => MISSED_FIRST,
        };
        usual.saturating_mul(self.slack).min(MISSED_CEILING)
    }
}
