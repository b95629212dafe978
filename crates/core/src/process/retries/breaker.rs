//! The breaker of one endpoint, by the outcomes of what was sent there.

use serde::Serialize;
use std::time::{Duration, Instant};

/// The shortest run of failures that opens a breaker.
pub const RUN_LEAST: u32 = 5;
/// A run of failures opens a breaker once it is this part of the recent outcomes.
pub const RUN_SHARE: f64 = 0.05;
/// The run of failures that opens a breaker whatever the volume.
pub const RUN_MOST: u32 = 100;
/// Outcomes of the present and the previous time of this length are recent.
pub const VOLUME_WINDOW: Duration = Duration::from_secs(10);
/// How long a breaker is open at first. Each failed probe doubles it.
pub const OPEN_FIRST: Duration = Duration::from_secs(1);
/// The longest time that a breaker is open before a probe may go.
pub const OPEN_MOST: Duration = Duration::from_secs(30);
/// Probes under way at once.
pub const LIVE_PROBES: u32 = 2;
/// Probes of which nothing was heard for so long are given up, and others may go.
pub const PROBE_LAPSE: Duration = Duration::from_secs(60);
/// Successes that close a breaker again.
pub const PROBES_TO_CLOSE: u32 = 2;

/// What a breaker lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakerState {
    /// Everything.
    Closed,
    /// Nothing.
    Open,
    /// A few probes.
    HalfOpen,
}

/// How an attempt ended, as far as its endpoint is to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered.
    Success,
    /// It refused for want of room, or its answer will not come.
    Failure,
    /// It says nothing of the endpoint, such as that the caller went away.
    Neutral,
}

/// Goes with an attempt; its end is told with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    period: u64,
    probe: bool,
}

impl Permit {
    /// Whether the attempt is a probe.
    pub fn is_probe(self) -> bool {
        self.probe
    }
}

/// The breaker of one endpoint.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: BreakerState,
    /// Counts the changes of state: an end from before the last one is of no use.
    period: u64,
    failures_in_a_row: u32,
    window_began: Instant,
    volume: u64,
    previous_volume: u64,
    /// When probes may go, or may go anew.
    probe_at: Instant,
    open_for: Duration,
    live_probes: u32,
    successes: u32,
}

impl Breaker {
    /// Closed, with nothing sent yet.
    pub fn new(now: Instant) -> Breaker {
        Breaker {
            state: BreakerState::Closed,
            period: 0,
            failures_in_a_row: 0,
            window_began: now,
            volume: 0,
            previous_volume: 0,
            probe_at: now,
            open_for: OPEN_FIRST,
            live_probes: 0,
            successes: 0,
        }
    }

    /// The state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Lets an attempt through, or none now.
    pub fn admit(&mut self, now: Instant) -> Option<Permit> {
        if self.state != BreakerState::Closed && now >= self.probe_at {
            self.enter(BreakerState::HalfOpen);
            self.probe_at = now + PROBE_LAPSE;
        }
        match self.state {
            BreakerState::Closed => Some(self.permit(false)),
            BreakerState::HalfOpen if self.live_probes < LIVE_PROBES => {
                self.live_probes += 1;
                self.probe_at = now + PROBE_LAPSE;
                Some(self.permit(true))
            }
            _ => None,
        }
    }

    /// Lets an attempt through for which there is no other endpoint.
    pub fn force(&self) -> Permit {
        self.permit(false)
    }

    /// Takes the end of an attempt.
    pub fn on_end(&mut self, now: Instant, permit: Permit, end: AttemptEnd) {
        if permit.period != self.period {
            return;
        }
        if permit.probe {
            self.live_probes = self.live_probes.saturating_sub(1);
        }
        match (self.state, end) {
            (_, AttemptEnd::Neutral) => {}
            (BreakerState::Closed, _) => self.on_end_closed(now, end),
            (_, AttemptEnd::Success) => self.on_recovery(now),
            (BreakerState::HalfOpen, _) if permit.probe => {
                self.open_for = (self.open_for * 2).min(OPEN_MOST);
                self.open(now);
            }
            _ => {}
        }
    }

    fn on_end_closed(&mut self, now: Instant, end: AttemptEnd) {
        self.turn_window(now);
        self.volume += 1;
        if end == AttemptEnd::Success {
            self.failures_in_a_row = 0;
            return;
        }
        self.failures_in_a_row += 1;
        if self.failures_in_a_row >= self.run_to_open() {
            self.open(now);
        }
    }

    fn on_recovery(&mut self, now: Instant) {
        self.successes += 1;
        if self.successes < PROBES_TO_CLOSE {
            return;
        }
        self.enter(BreakerState::Closed);
        self.open_for = OPEN_FIRST;
        self.failures_in_a_row = 0;
        self.window_began = now;
        (self.volume, self.previous_volume) = (0, 0);
    }

    fn run_to_open(&self) -> u32 {
        let recent = (self.volume + self.previous_volume) as f64;
        ((recent * RUN_SHARE).ceil() as u32).clamp(RUN_LEAST, RUN_MOST)
    }

    fn turn_window(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_began);
        if age < VOLUME_WINDOW {
            return;
        }
        self.previous_volume = if age < 2 * VOLUME_WINDOW { self.volume } else { 0 };
        self.volume = 0;
        self.window_began = now;
    }

    fn open(&mut self, now: Instant) {
        self.enter(BreakerState::Open);
        self.probe_at = now + self.open_for;
    }

    fn enter(&mut self, state: BreakerState) {
        self.state = state;
        self.period += 1;
        self.live_probes = 0;
        self.successes = 0;
    }

    fn permit(&self, probe: bool) -> Permit {
        Permit { period: self.period, probe }
    }
}
