//! Pauses of the event loop of this process, as a periodic timer shows them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A shorter lag is not kept: timers have a resolution of a millisecond.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);
/// How long a pause is kept.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// The most pauses that are kept: those of a process that pauses all the time fill some tens of seconds.
const MOST_PAUSES: usize = 1_024;

/// A timer.
struct Timer {
    set: Instant,
    due: Instant,
}

impl Timer {
    /// By how much it is late.
    fn lag(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.due)
    }

    fn is_late(&self, now: Instant) -> bool {
        self.lag(now) >= SHORTEST_PAUSE
    }
}

/// A timer that was late.
struct Pause {
    timer: Timer,
    until: Instant,
}

/// Recent pauses of the event loop. A timer is set by [`LoopPauses::on_timer_set`] and ends by
/// [`LoopPauses::on_timer_fired`]; by how much it is late is the lag of the loop.
#[derive(Default)]
pub struct LoopPauses {
    /// The timer that runs.
    timer: Option<Timer>,
    /// Oldest first.
    pauses: VecDeque<Pause>,
}

impl LoopPauses {
    /// The timer was set.
    pub fn on_timer_set(&mut self, now: Instant, due: Instant) {
        self.timer = Some(Timer { set: now, due });
    }

    /// The timer fired. Returns the lag.
    pub fn on_timer_fired(&mut self, now: Instant) -> Duration {
        let Some(timer) = self.timer.take() else { return Duration::ZERO };
        let lag = timer.lag(now);
        if timer.is_late(now) {
            self.pauses.push_back(Pause { timer, until: now });
        }
        let is_old = |pause: &Pause| now.saturating_duration_since(pause.until) > KEPT_FOR;
        while self.pauses.len() > MOST_PAUSES || self.pauses.front().is_some_and(is_old) {
            self.pauses.pop_front();
        }
        lag
    }

    /// The longest lag since `from`, as far as it lies after that.
    pub fn longest_lag_since(&self, from: Instant, now: Instant) -> Duration {
        let lags = self.late_since(from, now).map(|(timer, until)| until - timer.due.max(from));
        lags.max().unwrap_or_default()
    }

    /// For how long since `from` the event loop may have been paused: a timer that was late doesn't show
    /// where between its start and its end the loop stood still, so that all of it counts.
    pub fn total_since(&self, from: Instant, now: Instant) -> Duration {
        self.late_since(from, now).map(|(timer, until)| until - timer.set.max(from)).sum()
    }

    /// The timers since `from` that were late, and when they fired. One that is late and has not fired yet
    /// is among them: whoever asks may run before it after the same pause.
    fn late_since(&self, from: Instant, now: Instant) -> impl Iterator<Item = (&Timer, Instant)> {
        let under_way = self.timer.as_ref().filter(|timer| timer.is_late(now));
        let ended = self.pauses.iter().rev().take_while(move |pause| pause.until > from);
        ended.map(|pause| (&pause.timer, pause.until)).chain(under_way.map(|timer| (timer, now)))
    }
}
