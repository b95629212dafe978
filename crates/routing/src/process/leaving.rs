//! Decides what a process still accepts after its stop signal, and when callers that it refuses should retry.
//!
//! All that it accepts must end before the process exits: an answer that the exit cuts off can't be distinguished
//! from one whose instance died, and a request that may run only once is lost.

use std::time::{Duration, Instant};

/// How long after the stop signal a process accepts streams that usually end in time: balancers check readiness
/// once a second and send new connections until the second failed check, so that a caller refused sooner might
/// reach the same process again.
const UNREADY_DETECTION: Duration = Duration::from_millis(2_200);
/// Minimum time for a call of a plain service: such calls take tens of ms, and up to a second if they wait at a
/// busy endpoint.
const MIN_CALL_TIME: Duration = Duration::from_millis(1_000);
/// Multiple of its service's usual time that a call may take.
const CALL_TIME_FACTOR: u32 = 4;
/// Multiple of the usual time that a stream may take: callers' estimates of its tokens are inaccurate, and
/// engines slow down as the load moves to fewer gateways.
const STREAM_TIME_FACTOR: f64 = 1.5;
/// Time that a stream needs to resume elsewhere: a new run brings its first event within half a second.
const MIN_RESUME_TIME: Duration = Duration::from_millis(500);
/// Time from the exit of a process until its successor is ready: 0.5 to 1.6 s over nine replacements, median
/// 0.9 s.
const SUCCESSOR_START_TIME: Duration = Duration::from_millis(1_500);
/// Time until a balancer has seen that a process is ready: it checks once a second.
const READY_DETECTION: Duration = Duration::from_millis(1_000);

/// A process that has received a stop signal.
///
/// Guards against streams that arrive late on connections kept open: one of five seconds that is accepted three
/// seconds after the signal is cut off by the exit, eight seconds after it (two in the replacement of 32
/// processes, seen twice).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When the stop signal arrived.
    pub signalled: Instant,
    /// When the process exits, even if requests still run.
    pub ends: Instant,
}

impl Leaving {
    /// Returns whether to accept a stream that usually takes `usual`, and `longest` at most.
    pub fn takes_stream(&self, usual: Duration, longest: Duration, now: Instant) -> bool {
        let left = self.left(now);
        let is_still_routed_here =
            now.duration_since(self.signalled) < UNREADY_DETECTION && !left.is_zero();
        (is_still_routed_here && usual.as_secs_f64() * STREAM_TIME_FACTOR <= left.as_secs_f64())
            || longest <= left
    }

    /// Returns whether to accept a call whose service usually takes `usual`, and that takes `longest` at most.
    pub fn takes_call(&self, usual: Duration, longest: Duration, now: Instant) -> bool {
        let needed = MIN_CALL_TIME.max(usual * CALL_TIME_FACTOR).min(longest);
        now + needed <= self.ends
    }

    /// Returns whether a stream that lost its run resumes over another path: right before the exit a new run
    /// would only read the prompt, and its caller resumes sooner elsewhere by itself.
    pub fn resumes(&self, now: Instant) -> bool {
        now + MIN_RESUME_TIME <= self.ends
    }

    /// Returns the time until the process exits.
    pub fn left(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// Returns the time until the successor is ready.
    pub fn successor_in(&self, now: Instant) -> Duration {
        self.left(now) + SUCCESSOR_START_TIME
    }

    /// Returns the delay after which a caller that this process refuses should retry. `near` and `elsewhere` hold
    /// the times until the other processes are ready: those of its data centre, and those of others.
    ///
    /// Balancers send to all processes of a data centre, ready or not, until half of them are ready, and
    /// elsewhere once they have seen that none is.
    pub fn retry_delay(&self, near: &[Duration], elsewhere: &[Duration], now: Instant) -> Duration {
        let mut near = near.to_vec();
        near.push(self.successor_in(now));
        let is_any_ready = |all: &[Duration]| all.iter().any(Duration::is_zero);
        if !is_any_ready(&near) && is_any_ready(elsewhere) {
            return half_ready(elsewhere.to_vec()).max(self.unready_detected_in(&near));
        }
        half_ready(near)
    }

    /// Returns the time until balancers have seen that the last of these isn't ready, assuming this process's
    /// grace period for all.
    fn unready_detected_in(&self, ready_in: &[Duration]) -> Duration {
        let whole = self.ends.duration_since(self.signalled) + SUCCESSOR_START_TIME;
        let last_ready = ready_in.iter().max().copied().unwrap_or_default();
        last_ready.saturating_sub(whole.saturating_sub(UNREADY_DETECTION))
    }
}

/// Returns the time until balancers have seen that half of the processes are ready; zero if they are.
fn half_ready(mut ready_in: Vec<Duration>) -> Duration {
    ready_in.sort();
    let half = ready_in.len().div_ceil(2);
    let at = half.checked_sub(1).map_or(Duration::ZERO, |index| ready_in[index]);
    if at.is_zero() { Duration::ZERO } else { at + READY_DETECTION }
}
