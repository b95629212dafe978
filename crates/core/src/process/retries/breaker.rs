//! Circuit breaker of one endpoint, driven by the outcomes of attempts there.

use serde::Serialize;
use std::time::{Duration, Instant};

/// Shortest run of failures that opens a breaker.
pub const MIN_FAILURE_RUN: u32 = 5;
/// A run of failures opens a breaker once it reaches this part of the recent outcomes, within
/// [`MIN_FAILURE_RUN`] and [`MAX_FAILURE_RUN`].
pub const FAILURE_RUN_RATIO: f64 = 0.05;
/// Run of failures that opens a breaker at any volume.
pub const MAX_FAILURE_RUN: u32 = 100;
/// Length of a window of outcomes; those of the current and the previous window are recent.
pub const VOLUME_WINDOW: Duration = Duration::from_secs(10);
/// Time that a breaker stays open at first; each failed probe doubles it.
pub const INITIAL_OPEN_TIME: Duration = Duration::from_secs(1);
/// Longest time that a breaker stays open before a probe may go.
pub const MAX_OPEN_TIME: Duration = Duration::from_secs(30);
/// Maximum number of probes in flight.
pub const MAX_LIVE_PROBES: u32 = 2;
/// Probes without an outcome are abandoned this long after the last one, and new ones may go.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of successes that close a breaker.
pub const PROBES_TO_CLOSE: u32 = 2;

/// State of a breaker: which attempts it lets through.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum BreakerState {
    /// All attempts.
    Closed,
    /// None.
    Open,
    /// A few probes.
    HalfOpen,
}

/// Outcome of an attempt, as evidence on its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The endpoint answered.
    Success,
    /// It refused for lack of capacity, or its answer won't come.
    Failure,
    /// The outcome says nothing about the endpoint, such as when the caller went away.
    Neutral,
}

/// Permission for an attempt; passed back with its outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permit {
    generation: u64,
    probe: bool,
}

impl Permit {
    /// Returns whether the attempt is a probe.
    pub fn is_probe(self) -> bool {
        self.probe
    }
}

/// Circuit breaker of one endpoint.
#[derive(Clone, Debug)]
pub struct Breaker {
    state: BreakerState,
    /// Number of state changes; outcomes of attempts from before the last one are ignored.
    generation: u64,
    failures_in_a_row: u32,
    window_start: Instant,
    volume: u64,
    previous_volume: u64,
    /// Time at which probes may go, or at which those in flight time out.
    probe_at: Instant,
    open_for: Duration,
    live_probes: u32,
    successes: u32,
}

impl Breaker {
    /// Creates a closed breaker.
    pub fn new(now: Instant) -> Breaker {
        Breaker {
            state: BreakerState::Closed,
            generation: 0,
            failures_in_a_row: 0,
            window_start: now,
            volume: 0,
            previous_volume: 0,
            probe_at: now,
            open_for: INITIAL_OPEN_TIME,
            live_probes: 0,
            successes: 0,
        }
    }

    /// Returns the state.
    pub fn state(&self) -> BreakerState {
        self.state
    }

    /// Returns a permit if an attempt may go now.
    pub fn admit(&mut self, now: Instant) -> Option<Permit> {
        if self.state != BreakerState::Closed && now >= self.probe_at {
            self.enter(BreakerState::HalfOpen);
            self.probe_at = now + PROBE_TIMEOUT;
        }
        match self.state {
            BreakerState::Closed => Some(self.permit(false)),
            BreakerState::HalfOpen if self.live_probes < MAX_LIVE_PROBES => {
                self.live_probes += 1;
                self.probe_at = now + PROBE_TIMEOUT;
                Some(self.permit(true))
            }
            _ => None,
        }
    }

    /// Returns a permit in any state, for an attempt that has no other endpoint.
    pub fn force(&self) -> Permit {
        self.permit(false)
    }

    /// Records the outcome of an attempt.
    pub fn on_end(&mut self, now: Instant, permit: Permit, end: AttemptEnd) {
        if permit.generation != self.generation {
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
                self.open_for = (self.open_for * 2).min(MAX_OPEN_TIME);
                self.open(now);
            }
            _ => {}
        }
    }

    fn on_end_closed(&mut self, now: Instant, end: AttemptEnd) {
        self.rotate_window(now);
        self.volume += 1;
        if end == AttemptEnd::Success {
            self.failures_in_a_row = 0;
            return;
        }
        self.failures_in_a_row += 1;
        if self.failures_in_a_row >= self.failures_to_open() {
            self.open(now);
        }
    }

    /// Records a success of a breaker that isn't closed.
    fn on_recovery(&mut self, now: Instant) {
        self.successes += 1;
        if self.successes < PROBES_TO_CLOSE {
            return;
        }
        self.enter(BreakerState::Closed);
        self.open_for = INITIAL_OPEN_TIME;
        self.failures_in_a_row = 0;
        self.window_start = now;
        (self.volume, self.previous_volume) = (0, 0);
    }

    /// Returns the run of failures that opens the breaker at the recent volume.
    fn failures_to_open(&self) -> u32 {
        let recent = (self.volume + self.previous_volume) as f64;
        ((recent * FAILURE_RUN_RATIO).ceil() as u32).clamp(MIN_FAILURE_RUN, MAX_FAILURE_RUN)
    }

    fn rotate_window(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window_start);
        if age < VOLUME_WINDOW {
            return;
        }
        self.previous_volume = if age < 2 * VOLUME_WINDOW { self.volume } else { 0 };
        self.volume = 0;
        self.window_start = now;
    }

    fn open(&mut self, now: Instant) {
        self.enter(BreakerState::Open);
        self.probe_at = now + self.open_for;
    }

    fn enter(&mut self, state: BreakerState) {
        self.state = state;
        self.generation += 1;
        self.live_probes = 0;
        self.successes = 0;
    }

    fn permit(&self, probe: bool) -> Permit {
        Permit { generation: self.generation, probe }
    }
}
