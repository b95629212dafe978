//! Whether a path serves, by what is judged of its engines and by the events that come over it.

use std::time::{Duration, Instant};

/// For how long after an event refuted a judgement one that another process reports is not believed.
const DISTRUST: Duration = Duration::from_secs(1);

/// How a path stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serves,
    /// An engine of it is judged to be dead, and events still come.
    Suspected,
    /// An engine of it is judged to be dead, and no events come.
    Broken,
}

/// The health of a path. A judgement of an engine breaks it only while no stream gets an event over it: an event shows that
/// all engines of the path live.
#[derive(Clone, Copy, Debug)]
pub struct PathHealth {
    state: State,
    /// As it was judged last.
    is_judged_dead: bool,
    /// When an event last refuted a judgement.
    refuted: Option<Instant>,
}

impl Default for PathHealth {
    fn default() -> PathHealth {
        PathHealth { state: State::Serves, is_judged_dead: false, refuted: None }
    }
}

impl PathHealth {
    /// Whether its streams should look for other paths.
    pub fn is_broken(self) -> bool {
        self.state == State::Broken
    }

    /// Takes whether an engine of it is judged to be dead. Only a new judgement counts: one that an event has refuted
    /// breaks the path no second time.
    pub fn judge(&mut self, is_dead: bool) {
        let was_dead = std::mem::replace(&mut self.is_judged_dead, is_dead);
        if is_dead && !was_dead && self.state == State::Serves {
            self.state = State::Suspected;
        }
    }

    /// Breaks a suspected path on which no events come. Whether it breaks now.
    pub fn break_if_suspected(&mut self, is_quiet: bool) -> bool {
        let breaks = self.state == State::Suspected && is_quiet;
        if breaks {
            self.state = State::Broken;
        }
        breaks
    }

    /// Breaks it, as it is quiet and an engine of it was found dead. Whether it breaks now.
    pub fn break_up(&mut self) -> bool {
        std::mem::replace(&mut self.state, State::Broken) != State::Broken
    }

    /// An event came over it. Whether it was broken.
    pub fn on_event(&mut self, now: Instant) -> bool {
        let before = std::mem::replace(&mut self.state, State::Serves);
        if before != State::Serves {
            self.refuted = Some(now);
        }
        before == State::Broken
    }

    /// Whether a judgement that another process reports counts: not right after an event has refuted one.
    pub fn trusts_reports(self, now: Instant) -> bool {
        self.refuted.is_none_or(|refuted| now.saturating_duration_since(refuted) >= DISTRUST)
    }
}
