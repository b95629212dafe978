//! Pauses of this process's event loop, as measured by a periodic timer.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Shorter lags are ignored: timers have a resolution of a millisecond.
const MIN_PAUSE: Duration = Duration::from_millis(10);
/// How long a pause is remembered.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of pauses remembered: covers some tens of seconds of a process that pauses all the time.
const MAX_PAUSES: usize = 1_024;

/// When a timer was set, and when it is due.
struct Timer {
    set: Instant,
    due: Instant,
}

impl Timer {
    /// Returns by how much the timer is late.
    fn lag(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.due)
    }

    fn is_late(&self, now: Instant) -> bool {
        self.lag(now) >= MIN_PAUSE
    }
}

/// A timer that fired late, and when.
struct Pause {
    timer: Timer,
    until: Instant,
}

/// Recent pauses of the event loop. A timer is set by [`LoopPauses::on_timer_set`] and ended by
/// [`LoopPauses::on_timer_fired`]; the time by which it is late is the lag of the loop.
#[derive(Default)]
pub struct LoopPauses {
    /// The pending timer.
    timer: Option<Timer>,
    /// Oldest first.
    pauses: VecDeque<Pause>,
}

impl LoopPauses {
    /// Records that the timer was set.
    pub fn on_timer_set(&mut self, now: Instant, due: Instant) {
        self.timer = Some(Timer { set: now, due });
    }

    /// Records that the timer fired. Returns the lag.
    pub fn on_timer_fired(&mut self, now: Instant) -> Duration {
        let Some(timer) = self.timer.take() else { return Duration::ZERO };
        let lag = timer.lag(now);
        if timer.is_late(now) {
            self.pauses.push_back(Pause { timer, until: now });
        }
        let is_old = |pause: &Pause| now.saturating_duration_since(pause.until) > RETENTION;
        while self.pauses.len() > MAX_PAUSES || self.pauses.front().is_some_and(is_old) {
            self.pauses.pop_front();
        }
        lag
    }

    /// Returns the longest lag since `from`, counting only the part after it.
    pub fn longest_lag_since(&self, from: Instant, now: Instant) -> Duration {
        let lags = self.late_since(from, now).map(|(timer, until)| until - timer.due.max(from));
        lags.max().unwrap_or_default()
    }

    /// Returns for how long since `from` the event loop may have been paused. A late timer doesn't show when
    /// between its start and its end the loop was paused, so all of it counts.
    pub fn total_since(&self, from: Instant, now: Instant) -> Duration {
        self.late_since(from, now).map(|(timer, until)| until - timer.set.max(from)).sum()
    }

    /// Returns the timers since `from` that were late, and when they fired. Includes a late timer that has not
    /// fired yet: after the same pause, the caller may run before it.
    fn late_since(&self, from: Instant, now: Instant) -> impl Iterator<Item = (&Timer, Instant)> {
        let pending = self.timer.as_ref().filter(|timer| timer.is_late(now));
        let ended = self.pauses.iter().rev().take_while(move |pause| pause.until > from);
        ended.map(|pause| (&pause.timer, pause.until)).chain(pending.map(|timer| (timer, now)))
    }
}
