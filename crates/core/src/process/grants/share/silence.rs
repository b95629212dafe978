//! What an entry does while the keeper is silent, and with grants that it slept through.

use super::{ASK_TIMEOUT, Asked, GRANT_LIFETIME, KeeperView, Share};
use crate::process::grants::Amount;
use std::time::{Duration, Instant};

/// After this many times the usual time without an answer, the entry goes on alone.
const ASK_PATIENCE: u32 = 8;
/// The least time waited for an answer.
const LEAST_TIMEOUT: Duration = Duration::from_millis(100);

impl Share {
    /// A keeper that doesn't answer, or is no more: the entry goes on alone.
    pub(super) fn check_timeout(&mut self, now: Instant, keeping: KeeperView) {
        let gone = |asked: &Asked| keeping.keeper != Some(asked.keeper);
        let timeout = self.timeout();
        let silent = |asked: &Asked| now.saturating_duration_since(asked.at) >= timeout;
        match self.asked {
            Some(asked) if gone(&asked) => {
                self.take_up_unanswered();
                self.ask_after = now;
            }
            Some(asked) if !asked.late && silent(&asked) => {
                self.asked = Some(Asked { late: true, ..asked });
                self.go_alone(asked.at);
            }
            None if keeping.keeper.is_none() => self.go_alone(now),
            _ => {}
        }
    }

    pub(super) fn timeout(&self) -> Duration {
        let usual = self.answer_seconds.get().map(Duration::from_secs_f64);
        usual.map_or(ASK_TIMEOUT, |usual| (usual * ASK_PATIENCE).clamp(LEAST_TIMEOUT, ASK_TIMEOUT))
    }

    /// Goes on with the last share, which counts from the question that was not answered.
    pub(super) fn go_alone(&mut self, since: Instant) {
        if self.alone_since.is_none() {
            self.alone_since = Some(since);
            self.last_share = self.granted.per_second(since);
            self.alone = Amount::new(0.0, 1.0);
            self.alone_at = since;
        }
    }

    /// What was granted long ago is not spent: the process may have slept.
    pub(super) fn lapse(&mut self, now: Instant) {
        if self.is_stale(now) {
            let lapsed = self.balance.max(Amount::ZERO);
            self.granted.add(now, lapsed * -1.0);
            self.balance -= lapsed;
            if self.alone_since.is_none() {
                self.slots = self.slots.min(self.in_use);
            }
        }
    }

    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.granted_at) >= GRANT_LIFETIME
    }
}
