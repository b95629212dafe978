//! Pauses of the event loop of this process, as a periodic timer shows them.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A shorter lag is not kept: timers have a resolution of a millisecond.
const SHORTEST_PAUSE: Duration = Duration::from_millis(10);
/// How long a pause is kept.
const KEPT_FOR: Duration = Duration::from_secs(60);
/// The most pauses that are kept: those of a process that pauses all the time fill some tens of seconds.
const MOST_PAUSES: usize = 1_024;

/// The time by which a timer was late.
struct Pause {
    from: Instant,
    until: Instant,
}

/// Recent pauses of the event loop. A timer is set by [`LoopPauses::on_timer_set`] and ends by
/// [`LoopPauses::on_timer_fired`]; by how much it is late is the lag of the loop.
#[derive(Default)]
pub struct LoopPauses {
    /// When the timer that runs is due.
    due: Option<Instant>,
    /// Oldest first.
    pauses: VecDeque<Pause>,
}

impl LoopPauses {
    /// The timer was set.
    pub fn on_timer_set(&mut self, due: Instant) {
        self.due = Some(due);
    }

    /// The timer fired. Returns the lag.
    pub fn on_timer_fired(&mut self, now: Instant) -> Duration {
        let Some(due) = self.due.take() else { return Duration::ZERO };
        let lag = now.saturating_duration_since(due);
        if lag >= SHORTEST_PAUSE {
            self.pauses.push_back(Pause { from: due, until: now });
        }
        let is_old = |pause: &Pause| now.saturating_duration_since(pause.until) > KEPT_FOR;
        while self.pauses.len() > MOST_PAUSES || self.pauses.front().is_some_and(is_old) {
            self.pauses.pop_front();
        }
        lag
    }

    /// The longest pause since `from`, as far as it lies after that.
    pub fn longest_since(&self, from: Instant, now: Instant) -> Duration {
        self.since(from, now).max().unwrap_or_default()
    }

    /// The sum of the pauses since `from`.
    pub fn total_since(&self, from: Instant, now: Instant) -> Duration {
        self.since(from, now).sum()
    }

    /// The pauses since `from`. A timer that is due and has not fired yet counts: whoever asks may run
    /// before it after the same pause.
    fn since(&self, from: Instant, now: Instant) -> impl Iterator<Item = Duration> {
        let under_way = self.due.map(|due| now.saturating_duration_since(due.max(from)));
        let ended = self.pauses.iter().rev().take_while(move |pause| pause.until > from);
        ended.map(move |pause| pause.until - pause.from.max(from)).chain(under_way)
    }
}
