//! Events of the prefix cache, which come late and with gaps.

use sorrellock_ports::api::CacheEvent;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Events that are kept for those who ask.
const MAX_EVENTS: usize = 16_384;

/// The last events.
#[derive(Debug, Default)]
pub(crate) struct CacheLog {
    number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheLog {
    /// Adds an event, or loses it if its number is divisible by `gap`; tells whether an old one
    /// was forgotten for it.
    pub(crate) fn add(&mut self, prefix: u64, stored: bool, gap: u64) -> bool {
        self.number += 1;
        if gap > 0 && self.number.is_multiple_of(gap) {
            return false;
        }
        let full = self.events.len() == MAX_EVENTS;
        if full {
            self.events.pop_front();
        }
        let event = CacheEvent { number: self.number, prefix, stored };
        self.events.push_back((Instant::now(), event));
        full
    }

    /// The events after number `after` that are older than `lag`.
    pub(crate) fn shown(&self, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let old = self.events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        old.filter(|(_, event)| event.number > after).map(|(_, event)| event.clone()).collect()
    }
}
