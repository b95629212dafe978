//! Detects stages that stop without an error, by comparing progress with the request's own pace.

use crate::id::StageIndex;
use crate::request::StageProgress;
use std::time::{Duration, Instant};

/// A token is overdue after this many times the mean interval between tokens.
const STALL_FACTOR: u32 = 4;
/// Minimum time before a token is overdue; ordinary scheduling delays of a machine are of this order.
const STALL_MIN: Duration = Duration::from_millis(40);
/// Time after which the first token of an attempt is overdue.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_millis(800);
/// Maximum time without a token before a stall is investigated.
const STALL_MAX: Duration = Duration::from_secs(5);
/// Time that stages have to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of probes that a stage must leave unanswered before it is blamed.
const MAX_PROBES: u32 = 3;
/// A check that is later than this means that this process itself was paused, so no stage is blamed.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(500);
/// A new interval enters the moving mean with weight `1 / MEAN_WEIGHT`.
const MEAN_WEIGHT: u32 = 8;

/// Action to take after a check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StallAction {
    /// Do nothing.
    Wait,
    /// Resend the `Open` of the current attempt and the last token.
    Nudge,
    /// Probe the progress of all stages.
    Probe,
    /// Replace these stages: they do not answer, or cannot continue.
    Blame(Vec<StageIndex>),
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    Flowing,
    Nudged,
    Probing { probes: u32, healthy: Vec<StageIndex>, stuck: Vec<StageIndex> },
}

/// Detects stalls of one request.
#[derive(Clone, Debug)]
pub struct StallDetector {
    last_progress: Instant,
    due: Instant,
    interval: Option<Duration>,
    /// Timeout factor, doubled each time that all stages answer as healthy, so that a slow request is
    /// probed less often.
    backoff: u32,
    awaiting_first_token: bool,
    phase: Phase,
}

impl StallDetector {
    /// Creates a detector for a request that starts now.
    pub fn new(now: Instant) -> StallDetector {
        let phase = Phase::Flowing;
        let mut detector = StallDetector {
            last_progress: now,
            due: now,
            interval: None,
            backoff: 1,
            awaiting_first_token: true,
            phase,
        };
        detector.due = now + detector.stall_timeout();
        detector
    }

    /// Returns when the next check is due.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Records a received token.
    pub fn on_token(&mut self, now: Instant) {
        let took = now.saturating_duration_since(self.last_progress);
        if !self.awaiting_first_token {
            let mean = |before: Duration| (before * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT;
            self.interval = Some(self.interval.map_or(took, mean));
        }
        self.awaiting_first_token = false;
        self.backoff = 1;
        self.reset(now);
    }

    /// Records the start of a new attempt.
    pub fn on_attempt(&mut self, now: Instant) {
        self.awaiting_first_token = true;
        self.reset(now);
    }

    /// Records a stage's answer to a probe.
    pub fn on_progress(&mut self, progress: &StageProgress) {
        let Phase::Probing { healthy, stuck, .. } = &mut self.phase else { return };
        let answers = if progress.stuck { stuck } else { healthy };
        if !answers.contains(&progress.stage) {
            answers.push(progress.stage);
        }
    }

    /// Checks the progress of the request, whose route has `stages` stages.
    pub fn check(&mut self, now: Instant, stages: StageIndex) -> StallAction {
        if now < self.due {
            return StallAction::Wait;
        }
        if now.saturating_duration_since(self.due) > PAUSE_THRESHOLD {
            self.reset(now);
            return StallAction::Wait;
        }
        match std::mem::replace(&mut self.phase, Phase::Flowing) {
            Phase::Flowing => self.check_token_due(now),
            Phase::Nudged => self.probe(now, 1, Vec::new()),
            Phase::Probing { probes, healthy, stuck } => {
                self.evaluate(now, stages, probes, healthy, stuck)
            }
        }
    }

    /// Nudges if the next token is overdue. A received token postpones that time without moving `due`, so
    /// the check may come too early; it is then rescheduled.
    fn check_token_due(&mut self, now: Instant) -> StallAction {
        let stall_timeout = self.stall_timeout();
        if now < self.last_progress + stall_timeout {
            self.due = self.last_progress + stall_timeout;
            return StallAction::Wait;
        }
        self.phase = Phase::Nudged;
        self.due = now + stall_timeout.min(FIRST_TOKEN_TIMEOUT);
        StallAction::Nudge
    }

    fn probe(&mut self, now: Instant, probes: u32, healthy: Vec<StageIndex>) -> StallAction {
        self.phase = Phase::Probing { probes, healthy, stuck: Vec::new() };
        self.due = now + PROBE_TIMEOUT;
        StallAction::Probe
    }

    fn evaluate(
        &mut self,
        now: Instant,
        stages: StageIndex,
        probes: u32,
        healthy: Vec<StageIndex>,
        stuck: Vec<StageIndex>,
    ) -> StallAction {
        if !stuck.is_empty() {
            self.reset(now);
            return StallAction::Blame(stuck);
        }
        let silent: Vec<StageIndex> =
            (0..stages).filter(|stage| !healthy.contains(stage)).collect();
        if !silent.is_empty() && probes < MAX_PROBES {
            return self.probe(now, probes + 1, healthy);
        }
        if silent.is_empty() {
            self.backoff = self.backoff.saturating_mul(2);
        }
        self.reset(now);
        if silent.is_empty() { StallAction::Wait } else { StallAction::Blame(silent) }
    }

    fn reset(&mut self, now: Instant) {
        self.last_progress = now;
        let due = now + self.stall_timeout();
        if self.phase != Phase::Flowing || self.due < now || due < self.due {
            self.due = due;
        }
        self.phase = Phase::Flowing;
    }

    fn stall_timeout(&self) -> Duration {
        let usual = match self.interval {
            Some(interval) if !self.awaiting_first_token => {
                (interval * STALL_FACTOR).max(STALL_MIN)
            }
            _ => FIRST_TOKEN_TIMEOUT,
        };
        usual.saturating_mul(self.backoff).min(STALL_MAX)
    }
}
