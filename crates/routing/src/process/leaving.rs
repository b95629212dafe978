//! What a process that was told to end still takes, and when callers that it refuses should come back.
//!
//! All that it takes has to end before it does: an answer that is cut by its end can't be told from one
//! whose instance died, and a request that may run once is lost.

use std::time::{Duration, Instant};

/// For how long after it was told to end a process takes streams that usually end in time: balancers
/// ask once a second whether it is ready and send new connections until the second miss, so that a
/// caller refused sooner might come back to the same process.
const STILL_SENT: Duration = Duration::from_millis(2_200);
/// Least time that a call of a plain service needs: such calls take tens of ms, and up to a second
/// where they wait at a busy endpoint.
const CALL_LEAST: Duration = Duration::from_millis(1_000);
/// How many times the usual time of its service a call may take.
const CALL_SPREAD: u32 = 4;
/// How many times the usual time a stream may take: callers' estimates of its tokens are off, and engines
/// slow down as the load goes to fewer gateways.
const STREAM_SPREAD: f64 = 1.5;
/// Time that a stream needs to go on elsewhere: a new run brings its first event within half a second.
const RESUME_LEAST: Duration = Duration::from_millis(500);
/// From the end of a process until its successor is ready: 0.5 to 1.6 s over nine replacements, median 0.9 s.
const SUCCESSOR_STARTS: Duration = Duration::from_millis(1_500);
/// Time until a balancer has seen that a process is ready: it asks once a second.
const READY_SEEN: Duration = Duration::from_millis(1_000);

/// A process that was told to end.
///
/// It guards streams that come late on connections kept open: one of five seconds that is taken
/// three seconds after the signal is cut by the end, eight seconds after it (two in the replacement of 32
/// processes, seen twice).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Leaving {
    /// When the signal came.
    pub signalled: Instant,
    /// When it ends, whatever runs.
    pub ends: Instant,
}

impl Leaving {
    /// Whether it takes a stream that usually takes `usual`, and `longest` at most.
    pub fn takes_stream(&self, usual: Duration, longest: Duration, now: Instant) -> bool {
        let left = self.left(now);
        let is_still_sent = now.duration_since(self.signalled) < STILL_SENT && !left.is_zero();
        (is_still_sent && usual.as_secs_f64() * STREAM_SPREAD <= left.as_secs_f64())
            || longest <= left
    }

    /// Whether it takes a call whose service usually takes `usual`, and that takes `longest` at most.
    pub fn takes_call(&self, usual: Duration, longest: Duration, now: Instant) -> bool {
        let needed = CALL_LEAST.max(usual * CALL_SPREAD).min(longest);
        now + needed <= self.ends
    }

    /// Whether a stream that lost its run goes on over another path: right before the end a new run
    /// would only read the prompt, and its caller is sooner back elsewhere by itself.
    pub fn resumes(&self, now: Instant) -> bool {
        now + RESUME_LEAST <= self.ends
    }

    /// Time until it ends.
    pub fn left(&self, now: Instant) -> Duration {
        self.ends.saturating_duration_since(now)
    }

    /// Time until its successor is ready.
    pub fn successor_in(&self, now: Instant) -> Duration {
        self.left(now) + SUCCESSOR_STARTS
    }

    /// When a caller that this process refuses should come back, by when the other processes are ready:
    /// those of its data centre, and those elsewhere.
    ///
    /// Balancers send to all processes of a data centre, also those that aren't ready, until half of
    /// them are, and elsewhere once they have seen that none is.
    pub fn come_back(&self, near: &[Duration], elsewhere: &[Duration], now: Instant) -> Duration {
        let mut near = near.to_vec();
        near.push(self.successor_in(now));
        let is_any_ready = |all: &[Duration]| all.iter().any(Duration::is_zero);
        if !is_any_ready(&near) && is_any_ready(elsewhere) {
            return half_ready(elsewhere.to_vec()).max(self.seen_to_leave_in(&near));
        }
        half_ready(near)
    }

    /// Time until balancers have seen that the last of these isn't ready, all with this process's grace.
    fn seen_to_leave_in(&self, ready_in: &[Duration]) -> Duration {
        let whole = self.ends.duration_since(self.signalled) + SUCCESSOR_STARTS;
        let last_told = ready_in.iter().max().copied().unwrap_or_default();
        last_told.saturating_sub(whole.saturating_sub(STILL_SENT))
    }
}

/// Time until balancers have seen that half of the processes are ready; zero where they are.
fn half_ready(mut ready_in: Vec<Duration>) -> Duration {
    ready_in.sort();
    let half = ready_in.len().div_ceil(2);
    let at = half.checked_sub(1).map_or(Duration::ZERO, |index| ready_in[index]);
    if at.is_zero() { Duration::ZERO } else { at + READY_SEEN }
}
