//! Timeouts of a share: spending without a keeper that answers, and expiry of old grants.

use super::{ASK_TIMEOUT, Asked, GRANT_LIFETIME, KeeperView, Share};
use crate::process::grants::Amount;
use std::time::{Duration, Instant};

/// A grant request times out after this many mean answer times.
const ASK_TIMEOUT_FACTOR: u32 = 8;
/// Shortest timeout of a grant request.
const MIN_ASK_TIMEOUT: Duration = Duration::from_millis(100);

impl Share {
    /// Continues without a keeper if none is known or it doesn't answer in time. Reclaims a grant
    /// request to a keeper that is gone.
    pub(super) fn check_timeout(&mut self, now: Instant, keeper_view: KeeperView) {
        let gone = |asked: &Asked| keeper_view.keeper != Some(asked.keeper);
        let timeout = self.timeout();
        let silent = |asked: &Asked| now.saturating_duration_since(asked.at) >= timeout;
        match self.asked {
            Some(asked) if gone(&asked) => {
                self.reclaim_unanswered();
                self.ask_after = now;
            }
            Some(asked) if !asked.late && silent(&asked) => {
                self.asked = Some(Asked { late: true, ..asked });
                self.enter_standalone(asked.at);
            }
            None if keeper_view.keeper.is_none() => self.enter_standalone(now),
            _ => {}
        }
    }

    /// Returns the timeout of a grant request.
    pub(super) fn timeout(&self) -> Duration {
        let usual = self.answer_seconds.get().map(Duration::from_secs_f64);
        usual.map_or(ASK_TIMEOUT, |usual| {
            (usual * ASK_TIMEOUT_FACTOR).clamp(MIN_ASK_TIMEOUT, ASK_TIMEOUT)
        })
    }

    /// Continues at the last granted rate, counted from `since`: the time of the unanswered grant
    /// request.
    pub(super) fn enter_standalone(&mut self, since: Instant) {
        if self.standalone_since.is_none() {
            self.standalone_since = Some(since);
            self.last_share = self.granted.per_second(since);
            self.standalone_balance = Amount::new(0.0, 1.0);
            self.standalone_at = since;
        }
    }

    /// Drops the balance and the unused slots of an expired grant: the process may have been
    /// suspended since.
    pub(super) fn expire_balance(&mut self, now: Instant) {
        if self.is_stale(now) {
            let expired = self.balance.max(Amount::ZERO);
            self.granted.add(now, expired * -1.0);
            self.balance -= expired;
            if self.standalone_since.is_none() {
                self.slots = self.slots.min(self.in_use);
            }
        }
    }

    pub(super) fn is_stale(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.granted_at) >= GRANT_LIFETIME
    }
}
