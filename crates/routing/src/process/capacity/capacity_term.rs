//! Whether the gateway that gives out capacity knows enough to do so.

use super::alone_part::PART_TIME;
use std::time::{Duration, Instant};

/// Time until a gateway knows what its predecessor gave out: the loads of all gateways show it by then.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Pause of the event loop after which its view of the others is too old.
const MAX_PAUSE: Duration = Duration::from_millis(200);

/// The time for which a gateway has given out the capacity of a service.
#[derive(Debug, Default)]
pub struct CapacityTerm {
    since: Option<Instant>,
    checked: Option<Instant>,
}

impl CapacityTerm {
    /// Records whether the gateway is the one that gives out the capacity now. To be called at least each tenth of a second, as
    /// a longer gap counts as a pause.
    pub fn check(&mut self, is_keeper: bool, now: Instant) {
        let is_paused =
            self.checked.is_some_and(|at| now.saturating_duration_since(at) > MAX_PAUSE);
        self.checked = Some(now);
        self.since = match is_keeper {
            true if is_paused => Some(now),
            true => self.since.or(Some(now)),
            false => None,
        };
    }

    /// Returns whether it knows what was given out.
    pub fn is_settled(&self, now: Instant) -> bool {
        let is_current =
            self.checked.is_some_and(|at| now.saturating_duration_since(at) <= MAX_PAUSE);
        is_current && self.has_lasted(SETTLE_TIME, now)
    }

    /// Returns whether all see by now what was taken before it gave out the capacity, when each gateway decided alone.
    pub fn is_seen(&self, now: Instant) -> bool {
        self.has_lasted(SETTLE_TIME + PART_TIME, now)
    }

    fn has_lasted(&self, time: Duration, now: Instant) -> bool {
        self.since.is_some_and(|since| now.saturating_duration_since(since) >= time)
    }
}
