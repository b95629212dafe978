//! Health of a path, from suspicions of its engines and from the events that arrive over it.

use std::time::{Duration, Instant};

/// How long after an event refuted a suspicion those that other processes report are ignored.
const DISTRUST_TIME: Duration = Duration::from_secs(1);

/// State of a path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serves,
    /// An engine of the path is suspected to be dead, but events still arrive.
    Suspected,
    /// An engine of the path is suspected to be dead, and no events arrive.
    Broken,
}

/// The health of a path. A suspected engine breaks it only while no stream receives events over it: an event
/// shows that all engines of the path are alive.
#[derive(Clone, Copy, Debug)]
pub struct PathHealth {
    state: State,
    /// Whether an engine was suspected at the last update.
    was_suspected: bool,
    /// When an event last refuted a suspicion.
    refuted: Option<Instant>,
}

impl Default for PathHealth {
    fn default() -> PathHealth {
        PathHealth { state: State::Serves, was_suspected: false, refuted: None }
    }
}

impl PathHealth {
    /// Returns whether streams on the path should look for other paths.
    pub fn is_broken(self) -> bool {
        self.state == State::Broken
    }

    /// Updates whether an engine of the path is suspected to be dead. Only a new suspicion counts: one that an
    /// event has refuted doesn't break the path a second time.
    pub fn set_suspected(&mut self, is_suspected: bool) {
        let was_suspected = std::mem::replace(&mut self.was_suspected, is_suspected);
        if is_suspected && !was_suspected && self.state == State::Serves {
            self.state = State::Suspected;
        }
    }

    /// Breaks a suspected path on which no events arrive. Returns whether it breaks now.
    pub fn break_if_suspected(&mut self, is_idle: bool) -> bool {
        let breaks = self.state == State::Suspected && is_idle;
        if breaks {
            self.state = State::Broken;
        }
        breaks
    }

    /// Breaks the path because it is idle and an engine of it was found dead. Returns whether it breaks now.
    pub fn mark_broken(&mut self) -> bool {
        std::mem::replace(&mut self.state, State::Broken) != State::Broken
    }

    /// Records an event on the path. Returns whether the path was broken.
    pub fn on_event(&mut self, now: Instant) -> bool {
        let before = std::mem::replace(&mut self.state, State::Serves);
        if before != State::Serves {
            self.refuted = Some(now);
        }
        before == State::Broken
    }

    /// Returns whether suspicions reported by other processes count: not right after an event has refuted one.
    pub fn trusts_reports(self, now: Instant) -> bool {
        self.refuted.is_none_or(|refuted| now.saturating_duration_since(refuted) >= DISTRUST_TIME)
    }
}
